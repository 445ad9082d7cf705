package tokenlease

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oleanderworks/oleanderworks/charts"
	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/core/invariant"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/quorum"
)

const (
	// askTimeout bounds the wait for promises.
	askTimeout = 250 * time.Millisecond
	// memberDelay separates the members that ask for a free lease.
	memberDelay = 50 * time.Millisecond
	// askJitter keeps members that collided from colliding again.
	askJitter = 100 * time.Millisecond
)

// Events of the token_lease chart, in the chart's order.
const (
	eventDue chart.EventID = iota
	eventPromised
	eventRefused
	eventLapsed
	eventLost
	eventMoved
	eventReleased
)

// LeaseManager seeks and holds the leases of the groups in which this node votes.
// All methods run on one thread.
type LeaseManager struct {
	quorum.Outbox
	votes    *quorum.VoterState
	promises *Promises
	rng      *rand.Rand
	checker  *invariant.Checker
	machine  *chart.Machine[*lease]
	groups   map[model.GroupKey]*lease
	sequence uint64
	changes  []LeaseChange
}

// LeaseChange reports that this node opened or closed the buckets of a group.
type LeaseChange struct {
	Key  model.GroupKey
	Term uint64
	Open bool
}

// TakeChanges returns the changes since the last call.
func (c *LeaseManager) TakeChanges() []LeaseChange {
	out := c.changes
	c.changes = nil
	return out
}

// lease is the lease of one group.
type lease struct {
	core  *LeaseManager
	key   model.GroupKey
	state chart.StateID
	now   time.Time
	due   time.Time

	record    *model.GroupRecord
	continued bool         // the lease was held in the epoch before
	holder    model.NodeID // this node's voter in the record
	index     int          // this node's place in the record
	term      uint64
	seen      uint64 // highest term that an answer named
	until     time.Time
	grantor   *Grantor

	sequence uint64 // of the latest round of requests
	askedAt  time.Time
	promised map[model.NodeID]bool
	refused  map[model.NodeID]bool
}

// NewLeases returns a member that holds no lease.
func NewLeaseManager(votes *quorum.VoterState, promises *Promises, rng *rand.Rand, checker *invariant.Checker) *LeaseManager {
	c := &LeaseManager{votes: votes, promises: promises, rng: rng, checker: checker, groups: make(map[model.GroupKey]*lease)}
	c.machine = newMachine()
	return c
}

func newMachine() *chart.Machine[*lease] {
	return chart.MustCompile(charts.MustRead("token_lease"), chart.Binding[*lease]{
		States: []string{"idle", "asking", "held"},
		Events: []string{"due", "promised", "refused", "lapsed", "lost", "moved", "released"},
		Guards: map[string]func(*lease) bool{
			"majority":           func(l *lease) bool { return len(l.promised) >= l.majority() },
			"hopeless":           (*lease).hopeless,
			"standing_elsewhere": (*lease).standingElsewhere,
		},
		Actions: map[string]func(*lease){
			"ask":       (*lease).askNew,
			"ask_again": (*lease).ask,
			"wait":      (*lease).wait,
			"open":      (*lease).open,
			"extend":    (*lease).extend,
			"give_back": (*lease).giveBack,
			"close":     (*lease).close,
			"move":      func(l *lease) { l.continued = true },
		},
	})
}

// OnDirectory takes new compositions. A lease is given up when its epoch is
// not the latest any more.
func (c *LeaseManager) OnDirectory(now time.Time, keys []model.GroupKey, d *quorum.Directory) {
	for _, key := range keys {
		c.update(now, key, d.LeaseEpoch(key, now))
	}
}

func (c *LeaseManager) update(now time.Time, key model.GroupKey, r *model.GroupRecord) {
	l := c.groups[key]
	if l != nil && r != nil && l.record.Epoch == r.Epoch && l.holder == c.votes.Voter() {
		return
	}
	index := -1
	if r != nil {
		index = slices.IndexFunc(r.Members, func(m model.Member) bool { return m.NodeID == c.votes.Voter() })
	}
	if l != nil && index >= 0 && l.follows(now, r) {
		l.record, l.index = r, index
		l.step(now, eventMoved)
		return
	}
	if l != nil {
		l.step(now, eventLost)
		delete(c.groups, key)
	}
	if index >= 0 {
		c.groups[key] = c.newLease(now, key, r, index)
	}
}

// follows reports whether a composition continues the lease's epoch, so that
// its holder may go on.
func (l *lease) follows(now time.Time, r *model.GroupRecord) bool {
	return l.grantor != nil && now.Before(l.until) && l.holder == l.core.votes.Voter() &&
		r.Sealed && r.Epoch == l.record.Epoch+1
}

func (c *LeaseManager) newLease(now time.Time, key model.GroupKey, r *model.GroupRecord, index int) *lease {
	return &lease{
		core: c, key: key, state: c.machine.Initial(), record: r, index: index,
		holder: c.votes.Voter(), due: now.Add(time.Duration(index) * memberDelay),
	}
}

// OnAnswer takes a voter's answer.
func (c *LeaseManager) OnAnswer(now time.Time, a *PromiseAnswer) {
	l := c.groups[a.Ballot.Key]
	if l == nil || a.Ballot.Epoch != l.record.Epoch || a.Sequence != l.sequence {
		return
	}
	l.seen = max(l.seen, a.Term)
	if a.Promised {
		l.promised[a.Ballot.Voter] = true
		l.step(now, eventPromised)
		return
	}
	l.refused[a.Ballot.Voter] = true
	l.step(now, eventRefused)
}

// OnPromiseReleased looks again when the lease may be free, since its holder has
// given a promise of this node back.
func (c *LeaseManager) OnPromiseReleased(now time.Time, key model.GroupKey) {
	if l := c.groups[key]; l != nil {
		l.step(now, eventReleased)
	}
}

// Grantor returns the open buckets of a group, or nil when this node does not
// hold its lease at now.
func (c *LeaseManager) Grantor(now time.Time, key model.GroupKey) *Grantor {
	l := c.groups[key]
	if l == nil || l.grantor == nil || !now.Before(l.until) {
		return nil
	}
	return l.grantor
}

// ReleaseAll ends all leases, for a pause or a shutdown. Releases let another
// member become grantor at once.
func (c *LeaseManager) ReleaseAll(now time.Time) {
	for _, l := range c.sorted() {
		l.step(now, eventLost)
		delete(c.groups, l.key)
	}
}

// Tick runs the timers that are due and returns the time of the next one.
func (c *LeaseManager) Tick(now time.Time) time.Time {
	var next time.Time
	for _, l := range c.sorted() {
		if l.grantor != nil && !now.Before(l.until) {
			l.step(now, eventLapsed)
		}
		if !l.due.After(now) {
			l.step(now, eventDue)
		}
		if next.IsZero() || l.due.Before(next) {
			next = l.due
		}
	}
	return next
}

// sorted returns the leases in order of group, so that a run can be repeated.
func (c *LeaseManager) sorted() []*lease {
	return slices.SortedFunc(maps.Values(c.groups), func(a, b *lease) int { return cmp.Compare(a.key.Group, b.key.Group) })
}

// HeldCount returns the number of leases that this node holds.
func (c *LeaseManager) HeldCount() int {
	n := 0
	for _, l := range c.groups {
		if l.grantor != nil {
			n++
		}
	}
	return n
}

func (l *lease) step(now time.Time, e chart.EventID) {
	l.now = now
	l.state = l.core.machine.Step(l, l.state, e)
}

func (l *lease) majority() int { return quorum.Majority(len(l.record.Members)) }

// hopeless reports that the refusals leave no majority.
func (l *lease) hopeless() bool { return len(l.record.Members)-len(l.refused) < l.majority() }

func (l *lease) standingElsewhere() bool {
	holder, ok := l.core.promises.Holder(l.now, l.key)
	return ok && holder != l.holder
}

// wait sets the next try for the end of the standing promise, so that a lost
// grantor is followed soon after its lease lapsed.
func (l *lease) wait() {
	delay := l.core.promises.Remaining(l.now, l.key)
	delay += time.Duration(l.index)*memberDelay + time.Duration(l.core.rng.Int64N(int64(askJitter)))
	l.due = l.now.Add(min(delay, PromiseLifetime))
}

// askNew asks for the lease under a new term.
func (l *lease) askNew() {
	l.continued = false
	l.term = max(l.term, l.seen) + 1
	l.ask()
	l.due = l.now.Add(askTimeout)
}

// ask asks all members, this node included.
func (l *lease) ask() {
	l.core.sequence++
	l.sequence = l.core.sequence
	l.askedAt = l.now
	l.promised = make(map[model.NodeID]bool)
	l.refused = make(map[model.NodeID]bool)
	l.due = l.now.Add(renewInterval)
	for _, m := range l.record.Members {
		l.core.Send(m.Instance, &PromiseRequest{Ballot: l.ballot(m), Holder: l.holder, Term: l.term, Sequence: l.sequence, Continued: l.continued})
	}
}

func (l *lease) ballot(m model.Member) quorum.Ballot {
	return quorum.Ballot{Key: l.key, Epoch: l.record.Epoch, Voter: m.NodeID}
}

// open starts empty buckets. The promises of a majority exclude any other
// grantor at this time.
func (l *lease) open() {
	l.grantor = NewGrantor(l.now, l.term, l.core.checker)
	l.extend()
	l.due = l.askedAt.Add(renewInterval)
	l.core.changes = append(l.core.changes, LeaseChange{Key: l.key, Term: l.term, Open: true})
}

func (l *lease) close() {
	l.grantor = nil
	l.core.changes = append(l.core.changes, LeaseChange{Key: l.key, Term: l.term})
}

// extend counts the lease from before the members were asked.
func (l *lease) extend() {
	l.until = l.askedAt.Add(PromiseLifetime - leaseMargin)
	if l.grantor != nil {
		l.grantor.Extend(l.until)
	}
}

func (l *lease) giveBack() {
	var remaining time.Duration
	if l.grantor != nil {
		remaining = l.grantor.LongestTokenLifetime(l.now)
	}
	for _, m := range l.record.Members {
		l.core.Send(m.Instance, &PromiseRelease{Ballot: l.ballot(m), Holder: l.holder, Term: l.term, Remaining: remaining})
	}
}
