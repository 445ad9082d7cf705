// Package routing decides, at the entry node, whether a request is accepted,
// which target gets it and whether it is sent again.
package routing

import (
	"math/rand/v2"
	"time"

	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/core/invariant"
	"github.com/oleanderworks/oleanderworks/core/timers"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/record"
	"github.com/oleanderworks/oleanderworks/policy/tokenlease"
)

// DefaultTimeout applies to routes and callers that set none.
const DefaultTimeout = 10 * time.Second

// Decision is what the entry node does next for a call. Exactly one of
// Answer, Call and Cancel is set.
type Decision struct {
	CallID         model.CallID
	Answer         *model.Answer // the caller's answer
	Call           *model.Call   // an attempt to send to Target
	Target         model.Member
	Cancel         bool          // end the attempt in progress; its outcome is still reported
	Cause          Cause         // why the attempt is sent
	PreviousReason model.Reason  // reason of the earlier attempt's refusal or failure
	TokenWait      time.Duration // time spent waiting for tokens, for an attempt
	ClaimWait      time.Duration // time spent waiting for claims, for an attempt
}

// Cause tells why an attempt is sent.
type Cause uint8

// Causes of an attempt.
const (
	// FirstAttempt is the first attempt of a call.
	FirstAttempt Cause = iota
	// Moved means that the earlier attempt was not run.
	Moved
	// Retried means that the earlier attempt may have run.
	Retried
)

// QuorumRequest is a request to the quorum duty: TokenRequest, TokenReport,
// ClaimRequest, ClaimCompletion or ClaimRelease.
type QuorumRequest interface{ isQuorumRequest() }

// TokenRequest asks for tokens of a customer's rate. OnTokens takes the
// result.
type TokenRequest struct {
	Customer model.Customer
	Want     int // tokens
}

// ClaimRequest asks for the exclusive right to hand a non-idempotent request
// to a target. OnClaim takes the result.
type ClaimRequest struct {
	CallID    model.CallID
	Customer  model.Customer
	RequestID model.RequestID
	Target    model.NodeID
	Attempt   int
}

// ClaimCompletion stores the first answer of a request, so that a re-send of
// the request gets the same answer.
type ClaimCompletion struct {
	Claim  *model.Claim
	Answer *model.Answer
}

// TokenReport tells a grantor which tokens were used or are given back.
type TokenReport struct {
	Customer model.Customer
	Reports  []tokenlease.Report
}

// ClaimRelease gives up the claim of a request that was certainly not handed
// to a target.
type ClaimRelease struct{ Claim *model.Claim }

func (TokenRequest) isQuorumRequest()    {}
func (ClaimRequest) isQuorumRequest()    {}
func (ClaimCompletion) isQuorumRequest() {}
func (TokenReport) isQuorumRequest()     {}
func (ClaimRelease) isQuorumRequest()    {}

// Core holds the calls of one entry node. All methods run on one thread.
type Core struct {
	self     model.Member
	snapshot *model.Snapshot
	contact  bool
	rng      *rand.Rand
	check    *invariant.Checker
	machine  *chart.Machine[*call]
	calls    map[model.CallID]*call
	claiming map[model.CallID]*call
	targets  *table
	accounts map[model.Customer]*account
	waiting  map[model.Customer]*account // those with parked calls
	balances *tokenlease.Balances
	reportAt time.Time
	parents  map[string]*parent
	seen     seenRequests
	out      []Decision
	orders   []QuorumRequest
}

// New returns a core that knows no configuration yet. check may be nil.
func New(self model.Member, rng *rand.Rand, check *invariant.Checker) *Core {
	return &Core{
		self:     self,
		contact:  true,
		rng:      rng,
		check:    check,
		machine:  requestMachine(),
		calls:    make(map[model.CallID]*call),
		claiming: make(map[model.CallID]*call),
		targets:  newTable(self.Zone, rng),
		accounts: make(map[model.Customer]*account),
		waiting:  make(map[model.Customer]*account),
		balances: tokenlease.NewBalances(),
		parents:  make(map[string]*parent),
	}
}

// Decisions returns the decisions made since the last call. The slice is
// valid until the next call of a method.
func (c *Core) Decisions() []Decision {
	out := c.out
	c.out = c.out[:0]
	return out
}

// QuorumRequests returns the requests to the quorum duty made since the last call.
func (c *Core) QuorumRequests() []QuorumRequest {
	out := c.orders
	c.orders = nil
	return out
}

// OnSnapshot takes a new configuration into use.
func (c *Core) OnSnapshot(s *model.Snapshot) {
	c.snapshot = s
	c.targets.onSnapshot(s)
	for name, a := range c.accounts {
		if s.Customers[name] == nil && name != "" && a.parked.len() == 0 {
			delete(c.accounts, name)
		}
	}
}

// OnContact tells whether the node is in contact with the fleet. Without
// contact keyed requests are refused, since a key may have been withdrawn.
func (c *Core) OnContact(inContact bool) { c.contact = inContact }

// OnSuspect excludes a target, or admits it again.
func (c *Core) OnSuspect(i model.Instance, suspect bool) { c.targets.onSuspect(i, suspect) }

// OnLoad takes a target's report about itself.
func (c *Core) OnLoad(now time.Time, i model.Instance, load model.Load) {
	c.targets.onLoad(now, i, load)
}

// OnPause drops what may have lapsed while the process was paused.
func (c *Core) OnPause() {
	c.balances.DropAll()
	for _, a := range c.accounts {
		a.askedAt = time.Time{}
	}
}

// OnRequest starts a call.
func (c *Core) OnRequest(now time.Time, req *model.Request) {
	r := &call{core: c, now: now, state: c.machine.Initial(), id: req.ID}
	c.calls[req.ID] = r
	attempt, refusal := c.classify(now, r, req)
	r.call = attempt
	if refusal != nil {
		r.answer = refusal
		c.step(r, eventRejected)
		return
	}
	c.step(r, eventAdmitted)
}

// OnOutcome takes the result of an attempt. An outcome of a call that is not
// in progress reaches nobody.
func (c *Core) OnOutcome(now time.Time, a *model.Answer) {
	r := c.calls[a.ID]
	if r == nil || !r.outstanding {
		return
	}
	r.now = now
	r.answer = a
	r.settle(a)
	switch {
	case !a.FromSystem():
		c.step(r, eventAnswered)
	case a.Run == model.NotRun:
		c.step(r, eventNotRun)
	default:
		c.step(r, eventFailed)
	}
	c.serveParked(now, r)
}

// serveParked passes a returned token on to the next call that waits.
func (c *Core) serveParked(now time.Time, r *call) {
	if a := c.accounts[r.call.Customer]; a != nil && r.needsToken() {
		c.grantParked(now, a)
	}
}

// OnClaim takes the result of a claim. A grant that arrives after the call
// has ended is given back, since nothing was handed over under it.
func (c *Core) OnClaim(now time.Time, id model.CallID, result record.Result) {
	r := c.claiming[id]
	delete(c.claiming, id)
	if r == nil {
		if result.Outcome == record.Granted && c.calls[id] == nil {
			c.orders = append(c.orders, ClaimRelease{Claim: result.Claim})
		}
		return
	}
	r.now = now
	c.step(r, r.claimEvent(result))
	c.serveParked(now, r)
}

// OnCanceled ends a call whose caller has gone.
func (c *Core) OnCanceled(now time.Time, id model.CallID) {
	r := c.calls[id]
	if r == nil {
		return
	}
	r.now = now
	if !r.outstanding {
		r.answer = model.NewRefusal(id, model.ReasonCanceled, "the caller has gone")
	}
	c.step(r, eventCanceled)
	c.serveParked(now, r)
}

// Tick runs timers and returns the time of the next one; zero for none.
func (c *Core) Tick(now time.Time) time.Time {
	next := c.report(now)
	for _, a := range c.waiting {
		next = timers.Earlier(next, c.tickAccount(now, a))
	}
	for _, r := range c.claiming {
		if now.Before(r.call.Deadline) {
			next = timers.Earlier(next, r.call.Deadline)
			continue
		}
		c.expire(now, r)
	}
	return next
}

func (c *Core) expire(now time.Time, r *call) {
	r.now = now
	r.answer = model.NewRefusal(r.id, model.ReasonDeadline, "the deadline passed at the entry node")
	c.step(r, eventExpired)
	c.serveParked(now, r)
}

// Has reports whether the call is in progress.
func (c *Core) Has(id model.CallID) bool { return c.calls[id] != nil }

// Len returns the number of calls in progress.
func (c *Core) Len() int { return len(c.calls) }

// ParentCount returns the number of running calls that may make sub-calls.
func (c *Core) ParentCount() int { return len(c.parents) }
