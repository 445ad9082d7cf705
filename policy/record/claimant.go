package record

import (
	"math/rand/v2"
	"time"

	"github.com/oleanderworks/oleanderworks/core/timers"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/quorum"
)

const (
	// claimTimeout bounds the search for a majority.
	claimTimeout = 2 * time.Second
	// resendInterval separates requests to members that have not answered.
	resendInterval = 200 * time.Millisecond
	// contentionRounds is how often contenders that split the votes try again.
	maxContendedRounds = 3
	// contentionDelay spreads contenders that split the votes.
	maxContentionDelay = 20 * time.Millisecond
	// epochDelay is the first wait for a composition that is on its way.
	minRoundDelay = 50 * time.Millisecond
	// maxEpochDelay bounds the wait between two rounds.
	maxRoundDelay = 400 * time.Millisecond
)

// Delivery is a result for one request of the routing duty.
type Delivery struct {
	Deliver func(Result)
	Result  Result
}

// Request asks for a claim.
type Request struct {
	Key     Key
	Call    model.CallID
	Target  model.NodeID
	Attempt int // grows when an earlier attempt was certainly not run
}

// Claimant claims requests at their quorum groups on behalf of this node. All
// methods run on one thread.
type Claimant struct {
	quorum.Outbox
	self         model.NodeID
	rng          *rand.Rand
	directory    *quorum.Directory
	pending      map[callKey]*claim // claims that seek a majority
	held         map[Key]*claim     // claims that have one
	heldExpiries []expiringClaim    // held claims in order of expiry
	openRounds   map[uint64]*claim  // by sequence of the round under way
	timers       *timers.Queue[*claim]
	sequence     uint64
	deliveries   []Delivery
}

type expiringClaim struct {
	claim *claim
	at    time.Time
}

type callKey struct {
	request Key
	call    model.CallID
}

// NewClaimant returns a claimant that knows no configuration yet.
func NewClaimant(self model.NodeID, rng *rand.Rand) *Claimant {
	return &Claimant{
		self:       self,
		rng:        rng,
		directory:  quorum.NewDirectory("", nil),
		pending:    make(map[callKey]*claim),
		held:       make(map[Key]*claim),
		openRounds: make(map[uint64]*claim),
		timers:     timers.New[*claim](),
	}
}

// TakeDeliveries returns the results since the last call.
func (c *Claimant) TakeDeliveries() []Delivery {
	out := c.deliveries
	c.deliveries = nil
	return out
}

// SetDirectory takes new compositions.
func (c *Claimant) SetDirectory(d *quorum.Directory) { c.directory = d }

// Acquire starts a claim, or replaces the call's claim with a later
// attempt. deliver is handed out with the result.
func (c *Claimant) Acquire(now time.Time, r Request, deliver func(Result)) {
	k := callKey{r.Key, r.Call}
	cl := c.claimOf(k)
	cl.deliver, cl.target, cl.attempt = deliver, r.Target, r.Attempt
	cl.deadline, cl.contendedRounds, cl.roundDelay = now.Add(claimTimeout), 0, 0
	cl.remove()
	t := model.RequestIDTime(r.Key.ID)
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

// claim returns the call's claim. Another call with the same id has its own.
func (c *Claimant) claimOf(k callKey) *claim {
	if cl := c.held[k.request]; cl != nil && cl.key == k {
		return cl
	}
	if cl := c.pending[k]; cl != nil {
		return cl
	}
	return &claim{claimant: c, key: k}
}

// OnAnswer takes a member's vote. Votes of rounds that are over are ignored:
// their claims were released.
func (c *Claimant) OnAnswer(now time.Time, a *ClaimAnswer) {
	cl := c.openRounds[a.Sequence]
	if cl == nil || a.Ballot.Epoch != cl.composition.Epoch || a.Key != cl.key.request {
		return
	}
	cl.votes[a.Ballot.Voter] = a.Vote
	if a.Vote == VoteCompleted {
		cl.answer = a.Answer
	}
	cl.decide(now)
}

// Release gives up a claim that was certainly not handed over.
func (c *Claimant) Release(m *model.Claim) {
	if cl := c.heldClaim(m); cl != nil {
		cl.releaseVotes()
		cl.remove()
	}
}

// Complete stores the first answer of a request at the members.
func (c *Claimant) Complete(m *model.Claim, a *model.Answer) {
	cl := c.heldClaim(m)
	if cl == nil {
		return
	}
	for _, member := range cl.composition.Members {
		c.Send(member.Instance, &ClaimComplete{Ballot: cl.ballot(member), Key: cl.key.request, Holder: cl.holder(), Answer: a})
	}
	cl.remove()
}

func (c *Claimant) heldClaim(m *model.Claim) *claim {
	return c.held[Key{m.Customer, m.RequestID}]
}

func (c *Claimant) deliver(cl *claim, r Result) {
	c.deliveries = append(c.deliveries, Delivery{Deliver: cl.deliver, Result: r})
}

// Tick sends requests again, ends those that found no majority, and returns
// the time of the next event.
func (c *Claimant) Tick(now time.Time) time.Time {
	c.dropExpired(now)
	for {
		cl, ok := c.timers.PopDue(now)
		if !ok {
			return c.timers.Next()
		}
		cl.handleTimer(now)
	}
}

// expire forgets claims whose records the members drop.
func (c *Claimant) dropExpired(now time.Time) {
	n := 0
	for n < len(c.heldExpiries) && c.heldExpiries[n].at.Before(now) {
		if cl := c.heldExpiries[n].claim; c.held[cl.key.request] == cl {
			cl.remove()
		}
		n++
	}
	c.heldExpiries = c.heldExpiries[n:]
}
