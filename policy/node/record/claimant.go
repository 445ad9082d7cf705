package record

import (
	"math/rand/v2"
	"time"

	"github.com/oleanderworks/oleanderworks/core/timers"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/quorum"
)

const (
	// claimTimeout bounds how long a claim waits for a majority.
	claimTimeout = 2 * time.Second
	// resendInterval is the time between requests to a member that does not
	// answer.
	resendInterval = 200 * time.Millisecond
	// maxContendedRounds is the number of rounds in which competing claims got
	// votes after which a claim is refused.
	maxContendedRounds = 3
	// maxContentionDelay bounds the random delay after such a round, which
	// separates the competing claims.
	maxContentionDelay = 20 * time.Millisecond
	// minRoundDelay is the first delay before another round, and the delay
	// between checks for the group's first composition.
	minRoundDelay = 50 * time.Millisecond
	// maxRoundDelay bounds the delay between two rounds.
	maxRoundDelay = 400 * time.Millisecond
)

// Delivery is the result of one call of Acquire, with the callback to which it
// is passed.
type Delivery struct {
	Deliver func(Result)
	Result  Result
}

// ClaimParams are the parameters of a claim on behalf of one call.
type ClaimParams struct {
	Key     RequestKey
	Call    model.CallID
	Target  model.NodeID
	Attempt int // increases after an attempt that certainly did not run
}

// Claimant claims requests at their quorum groups on behalf of this node. All
// methods run on one thread.
type Claimant struct {
	quorum.Outbox
	self            model.NodeID
	rng             *rand.Rand
	directory       *quorum.Directory
	pending         map[callKey]*claim    // claims without a majority so far
	granted         map[RequestKey]*claim // claims that were granted
	grantedExpiries []claimExpiry         // granted claims in order of expiry
	openRounds      map[uint64]*claim     // by sequence number of the current round
	timers          *timers.Queue[*claim]
	sequence        uint64
	deliveries      []Delivery
}

type claimExpiry struct {
	claim *claim
	at    time.Time
}

type callKey struct {
	request RequestKey
	call    model.CallID
}

// NewClaimant returns a claimant without a configuration.
func NewClaimant(self model.NodeID, rng *rand.Rand) *Claimant {
	return &Claimant{
		self:       self,
		rng:        rng,
		directory:  quorum.NewDirectory("", nil),
		pending:    make(map[callKey]*claim),
		granted:    make(map[RequestKey]*claim),
		openRounds: make(map[uint64]*claim),
		timers:     timers.New[*claim](),
	}
}

// TakeDeliveries returns the deliveries since the last call.
func (c *Claimant) TakeDeliveries() []Delivery {
	out := c.deliveries
	c.deliveries = nil
	return out
}

// SetDirectory replaces the compositions of the quorum groups.
func (c *Claimant) SetDirectory(d *quorum.Directory) { c.directory = d }

// Acquire starts a claim, or restarts the call's claim for a later attempt. The
// result is returned by TakeDeliveries together with deliver.
func (c *Claimant) Acquire(now time.Time, p ClaimParams, deliver func(Result)) {
	k := callKey{p.Key, p.Call}
	cl := c.findOrNewClaim(k)
	cl.deliver, cl.target, cl.attempt = deliver, p.Target, p.Attempt
	cl.deadline, cl.contendedRounds, cl.roundDelay = now.Add(claimTimeout), 0, 0
	cl.remove()
	t := model.RequestIDTime(p.Key.ID)
	if t.Before(now.Add(-MaxIDAge)) {
		cl.finish(Result{Outcome: TooOld})
		return
	}
	if t.After(now.Add(MaxIDAhead)) {
		cl.finish(Result{Outcome: TooFarAhead})
		return
	}
	c.pending[k] = cl
	cl.startRound(now)
}

// findOrNewClaim returns the call's claim, or a new one. Calls with the same
// request id have separate claims.
func (c *Claimant) findOrNewClaim(k callKey) *claim {
	if cl := c.granted[k.request]; cl != nil && cl.key == k {
		return cl
	}
	if cl := c.pending[k]; cl != nil {
		return cl
	}
	return &claim{claimant: c, key: k}
}

// OnVote handles a member's vote. Votes of ended rounds are ignored: either the
// claim was granted without them, or they were released.
func (c *Claimant) OnVote(now time.Time, a *ClaimAnswer) {
	cl := c.openRounds[a.Sequence]
	if cl == nil || a.Ballot.Epoch != cl.composition.Epoch || a.Key != cl.key.request {
		return
	}
	cl.votes[a.Ballot.Voter] = a.Vote
	if a.Vote == VoteCompleted {
		cl.answer = a.Answer
	}
	cl.evaluateVotes(now)
}

// Release releases a claim whose request was certainly not handed over.
func (c *Claimant) Release(m *model.Claim) {
	if cl := c.grantedClaim(m); cl != nil {
		cl.releaseVotes()
		cl.remove()
	}
}

// Complete sends the first answer of a request to the members, which store it.
func (c *Claimant) Complete(m *model.Claim, a *model.Answer) {
	cl := c.grantedClaim(m)
	if cl == nil {
		return
	}
	for _, member := range cl.composition.Members {
		c.Send(member.Instance, &ClaimComplete{Ballot: cl.ballot(member), Key: cl.key.request, Holder: cl.holder(), Answer: a})
	}
	cl.remove()
}

func (c *Claimant) grantedClaim(m *model.Claim) *claim {
	return c.granted[RequestKey{m.Customer, m.RequestID}]
}

func (c *Claimant) deliver(cl *claim, r Result) {
	c.deliveries = append(c.deliveries, Delivery{Deliver: cl.deliver, Result: r})
}

// Tick repeats unanswered claim requests, starts further rounds, ends claims that
// got no majority in time, drops expired granted claims, and returns the time of
// the next timer.
func (c *Claimant) Tick(now time.Time) time.Time {
	c.dropExpired(now)
	for {
		cl, ok := c.timers.PopDue(now)
		if !ok {
			return c.timers.NextDue()
		}
		cl.handleTimer(now)
	}
}

// dropExpired drops granted claims whose records the members have dropped.
func (c *Claimant) dropExpired(now time.Time) {
	n := 0
	for n < len(c.grantedExpiries) && c.grantedExpiries[n].at.Before(now) {
		if cl := c.grantedExpiries[n].claim; c.granted[cl.key.request] == cl {
			cl.remove()
		}
		n++
	}
	c.grantedExpiries = c.grantedExpiries[n:]
}
