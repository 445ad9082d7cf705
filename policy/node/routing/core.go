// Package routing decides, at the entry node, whether a request is accepted,
// which target it is sent to and whether it is sent again. A refusal is an answer
// that says that the call was not run, a failure one that it may have run.
package routing

import (
	"math/rand/v2"
	"time"

	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/core/invariant"
	"github.com/oleanderworks/oleanderworks/core/timers"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/record"
	"github.com/oleanderworks/oleanderworks/policy/node/tokenlease"
)

// DefaultTimeout is the time limit of calls whose route sets none.
const DefaultTimeout = 10 * time.Second

// Decision is what the entry node does next for a call. Exactly one of
// Answer, Call and Cancel is set.
type Decision struct {
	CallID         model.CallID
	Answer         *model.Answer // answer for the caller
	Call           *model.Call   // an attempt to send to Target
	Target         model.Member
	Cancel         bool          // cancel the attempt in progress; its outcome is still reported
	Cause          Cause         // why the attempt is sent
	PreviousReason model.Reason  // reason of the previous attempt's refusal or failure
	TokenWait      time.Duration // total time spent waiting for tokens, set with Call
	ClaimWait      time.Duration // total time spent waiting for claims, set with Call
}

// Cause is why an attempt is sent.
type Cause uint8

// Causes of an attempt.
const (
	// FirstAttempt is the first attempt of a call.
	FirstAttempt Cause = iota
	// Moved means that the previous attempt was not run.
	Moved
	// Retried means that the previous attempt may have run.
	Retried
)

// QuorumRequest is a request to the quorum duty: TokenRequest, TokenReport,
// ClaimRequest, ClaimCompletion or ClaimRelease.
type QuorumRequest interface{ isQuorumRequest() }

// TokenRequest asks for tokens of a customer's rate. OnTokens handles the
// result.
type TokenRequest struct {
	Customer model.Customer
	Want     int // tokens
}

// ClaimRequest asks for the exclusive right to hand a non-idempotent request
// to a target. OnClaim handles the result.
type ClaimRequest struct {
	CallID    model.CallID
	Customer  model.Customer
	RequestID model.RequestID
	Target    model.NodeID
	Attempt   int
}

// ClaimCompletion stores the answer to a request, so that the request gets the
// same answer when it is sent again.
type ClaimCompletion struct {
	Claim  *model.Claim
	Answer *model.Answer
}

// TokenReport reports tokens of a customer that were used or are returned.
type TokenReport struct {
	Customer model.Customer
	Reports  []tokenlease.Report
}

// ClaimRelease releases the claim of a request that was not handed to a target.
type ClaimRelease struct{ Claim *model.Claim }

func (TokenRequest) isQuorumRequest()    {}
func (ClaimRequest) isQuorumRequest()    {}
func (ClaimCompletion) isQuorumRequest() {}
func (TokenReport) isQuorumRequest()     {}
func (ClaimRelease) isQuorumRequest()    {}

// Core holds the calls of one entry node. It is not safe for concurrent use.
type Core struct {
	self           model.Member
	snapshot       *model.Snapshot
	inContact      bool
	rng            *rand.Rand
	check          *invariant.Checker
	machine        *chart.Machine[*callState]
	calls          map[model.CallID]*callState
	awaitingClaim  map[model.CallID]*callState
	targets        *targetTable
	accounts       map[model.Customer]*account
	awaitingToken  map[model.Customer]*account // accounts with calls in their token queue
	balances       *tokenlease.Balances
	nextReportAt   time.Time
	parents        map[string]*parent
	seen           seenRequests
	decisions      []Decision
	quorumRequests []QuorumRequest
}

// New returns a core without a configuration. It refuses requests until
// OnSnapshot. check may be nil.
func New(self model.Member, rng *rand.Rand, check *invariant.Checker) *Core {
	return &Core{
		self:          self,
		inContact:     true,
		rng:           rng,
		check:         check,
		machine:       requestMachine(),
		calls:         make(map[model.CallID]*callState),
		awaitingClaim: make(map[model.CallID]*callState),
		targets:       newTargetTable(self.Zone, rng),
		accounts:      make(map[model.Customer]*account),
		awaitingToken: make(map[model.Customer]*account),
		balances:      tokenlease.NewBalances(),
		parents:       make(map[string]*parent),
	}
}

// Decisions returns the decisions made since the last call. The slice is
// valid until the next method call.
func (c *Core) Decisions() []Decision {
	out := c.decisions
	c.decisions = c.decisions[:0]
	return out
}

// QuorumRequests returns the requests to the quorum duty made since the last call.
func (c *Core) QuorumRequests() []QuorumRequest {
	out := c.quorumRequests
	c.quorumRequests = nil
	return out
}

// OnSnapshot applies a new configuration. It deletes the accounts of customers
// that no longer exist and have no calls waiting for tokens.
func (c *Core) OnSnapshot(s *model.Snapshot) {
	c.snapshot = s
	c.targets.onSnapshot(s)
	for name, a := range c.accounts {
		// The account without a name is that of calls without a customer.
		if s.Customers[name] == nil && name != "" && a.tokenQueue.len() == 0 {
			delete(c.accounts, name)
		}
	}
}

// OnContact sets whether the node has contact, that is, recent heartbeat round
// trips with nodes in a majority of its region's availability zones (see
// policy/node/membership). Without contact, requests that need a key are refused, since
// a key may have been withdrawn.
func (c *Core) OnContact(inContact bool) { c.inContact = inContact }

// OnExclusion excludes a target whose node is silent or leaving, or includes it
// again.
func (c *Core) OnExclusion(i model.Instance, excluded bool) { c.targets.onExclusion(i, excluded) }

// OnLoad records a load report of a target.
func (c *Core) OnLoad(now time.Time, i model.Instance, load model.Load) {
	c.targets.onLoad(now, i, load)
}

// OnPaused drops the tokens and pending token requests after a pause of the
// process, in which they may have expired.
func (c *Core) OnPaused() {
	c.balances.DropAll()
	for _, a := range c.accounts {
		a.requestedAt = time.Time{}
	}
}

// OnRequest starts a call.
func (c *Core) OnRequest(now time.Time, req *model.Request) {
	r := &callState{core: c, now: now, state: c.machine.Initial(), id: req.ID}
	c.calls[req.ID] = r
	call, answer := c.resolveRequest(now, r, req)
	r.call = call
	if answer != nil {
		r.answer = answer
		c.step(r, requestEventRejected)
		return
	}
	c.step(r, requestEventAccepted)
}

// OnOutcome handles the outcome of an attempt. It is ignored if the call has no
// attempt in progress.
func (c *Core) OnOutcome(now time.Time, a *model.Answer) {
	r := c.calls[a.ID]
	if r == nil || !r.attemptInProgress {
		return
	}
	r.now = now
	r.answer = a
	r.recordOutcome(a)
	switch {
	case !a.FromNode():
		c.step(r, requestEventAnswered)
	case a.Run == model.NotRun:
		c.step(r, requestEventNotRun)
	default:
		c.step(r, requestEventMayHaveRun)
	}
	c.useReturnedToken(now, r)
}

// useReturnedToken resumes calls of r's customer that wait for a token, since r
// may have returned its own.
func (c *Core) useReturnedToken(now time.Time, r *callState) {
	if a := c.accounts[r.call.Customer]; a != nil && r.needsToken() {
		c.resumeQueued(now, a)
	}
}

// OnClaim handles the result of a claim request. A claim that is granted after
// the call has ended is released, since nothing was handed over under it.
func (c *Core) OnClaim(now time.Time, id model.CallID, result record.Result) {
	r := c.awaitingClaim[id]
	delete(c.awaitingClaim, id)
	if r == nil {
		if result.Outcome == record.Granted && c.calls[id] == nil {
			c.quorumRequests = append(c.quorumRequests, ClaimRelease{Claim: result.Claim})
		}
		return
	}
	r.now = now
	c.step(r, r.claimEvent(result))
	c.useReturnedToken(now, r)
}

// OnCanceled ends a call whose caller has gone. An attempt in progress is canceled,
// and the call ends with its outcome.
func (c *Core) OnCanceled(now time.Time, id model.CallID) {
	r := c.calls[id]
	if r == nil {
		return
	}
	r.now = now
	if !r.attemptInProgress {
		r.answer = model.NewRefusal(id, model.ReasonCanceled, "the caller has gone")
	}
	c.step(r, requestEventCanceled)
	c.useReturnedToken(now, r)
}

// Tick runs due timers. It returns the time of the next one, or the zero time if
// there is none.
func (c *Core) Tick(now time.Time) time.Time {
	next := c.reportTokens(now)
	for _, a := range c.awaitingToken {
		next = timers.Earlier(next, c.tickAccount(now, a))
	}
	for _, r := range c.awaitingClaim {
		if now.Before(r.call.Deadline) {
			next = timers.Earlier(next, r.call.Deadline)
			continue
		}
		c.expire(now, r)
	}
	return next
}

func (c *Core) expire(now time.Time, r *callState) {
	r.now = now
	r.answer = model.NewRefusal(r.id, model.ReasonDeadline, "the deadline passed at the entry node")
	c.step(r, requestEventExpired)
	c.useReturnedToken(now, r)
}

// Has reports whether the call is in progress.
func (c *Core) Has(id model.CallID) bool { return c.calls[id] != nil }

// Len returns the number of calls in progress.
func (c *Core) Len() int { return len(c.calls) }

// ParentCount returns the number of running calls that may make sub-calls.
func (c *Core) ParentCount() int { return len(c.parents) }
