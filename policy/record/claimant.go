package record

import (
	"math/rand/v2"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/quorum"
)

const (
	// claimTimeout bounds the search for a majority.
	claimTimeout = 2 * time.Second
	// resendInterval separates requests to members that have not answered.
	resendInterval = 200 * time.Millisecond
	// contentionRounds is how often contenders that split the votes try again.
	contentionRounds = 3
	// contentionDelay spreads contenders that split the votes.
	contentionDelay = 20 * time.Millisecond
	// epochDelay is the wait for a composition that is on its way.
	epochDelay = 50 * time.Millisecond
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
	self       model.NodeID
	rng        *rand.Rand
	directory  *quorum.Directory
	calls      map[callKey]*claim
	held       map[Key]*claim
	rounds     map[uint64]*claim // by sequence of the round under way
	sequence   uint64
	deliveries []Delivery
}

type callKey struct {
	key  Key
	call model.CallID
}

// NewClaimant returns a claimant that knows no configuration yet.
func NewClaimant(self model.NodeID, rng *rand.Rand) *Claimant {
	return &Claimant{
		self:      self,
		rng:       rng,
		directory: quorum.NewDirectory("", nil),
		calls:     make(map[callKey]*claim),
		held:      make(map[Key]*claim),
		rounds:    make(map[uint64]*claim),
	}
}

// Deliveries returns the results since the last call.
func (c *Claimant) Deliveries() []Delivery {
	out := c.deliveries
	c.deliveries = nil
	return out
}

// OnDirectory takes new compositions.
func (c *Claimant) OnDirectory(d *quorum.Directory) { c.directory = d }

// OnAcquire starts a claim, or replaces the call's claim with a later
// attempt. deliver is handed out with the result.
func (c *Claimant) OnAcquire(now time.Time, r Request, deliver func(Result)) {
	k := callKey{r.Key, r.Call}
	cl := c.calls[k]
	if cl == nil {
		cl = &claim{core: c, key: k, expires: now.Add(Keep + MaxAhead)}
	}
	cl.deliver, cl.target, cl.attempt = deliver, r.Target, r.Attempt
	cl.deadline, cl.contended = now.Add(claimTimeout), 0
	delete(c.held, r.Key)
	t := model.Time(r.Key.ID)
	if t.Before(now.Add(-MaxAge)) {
		cl.finish(Result{Outcome: TooOld})
		return
	}
	if t.After(now.Add(MaxAhead)) {
		cl.finish(Result{Outcome: TooFarAhead})
		return
	}
	c.calls[k] = cl
	cl.ask(now)
}

// OnAnswer takes a member's vote. Votes of rounds that are over are ignored:
// their claims were released.
func (c *Claimant) OnAnswer(now time.Time, a *ClaimAnswer) {
	cl := c.rounds[a.Sequence]
	if cl == nil || a.Ballot.Epoch != cl.record.Epoch || a.Key != cl.key.key {
		return
	}
	cl.votes[a.Ballot.Voter] = a.Vote
	if a.Vote == VoteDone {
		cl.answer = a.Answer
	}
	cl.count(now)
}

// OnRelease gives up a claim that was certainly not handed over.
func (c *Claimant) OnRelease(m *model.Claim) {
	if cl := c.holding(m); cl != nil {
		cl.release()
		cl.forget()
	}
}

// OnComplete stores the first answer of a request at the members.
func (c *Claimant) OnComplete(m *model.Claim, a *model.Answer) {
	cl := c.holding(m)
	if cl == nil {
		return
	}
	for _, member := range cl.record.Members {
		c.Send(member.Instance, &ClaimComplete{Ballot: cl.ballot(member), Key: cl.key.key, Holder: cl.holder(), Answer: a})
	}
	cl.forget()
}

func (c *Claimant) holding(m *model.Claim) *claim {
	return c.held[Key{m.Customer, m.RequestID}]
}

func (c *Claimant) deliver(cl *claim, r Result) {
	c.deliveries = append(c.deliveries, Delivery{Deliver: cl.deliver, Result: r})
}

// Tick sends requests again, ends those that found no majority, and returns
// the time of the next event.
func (c *Claimant) Tick(now time.Time) time.Time {
	var next time.Time
	for k, cl := range c.calls {
		if c.held[k.key] == cl {
			if now.After(cl.expires) {
				cl.forget()
			}
			continue
		}
		if !cl.due.After(now) {
			cl.onDue(now)
		}
		if next.IsZero() || cl.due.Before(next) {
			next = cl.due
		}
	}
	return next
}
