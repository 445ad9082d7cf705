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
	"github.com/oleanderworks/oleanderworks/policy/node/quorum"
)

const (
	// promiseTimeout bounds how long a lease request waits for promises.
	promiseTimeout = 250 * time.Millisecond
	// memberStagger is the delay between members of a group that request a
	// free lease, so that the first one gets it.
	memberStagger = 50 * time.Millisecond
	// retryJitter is the random part of a retry delay. It keeps members that
	// collided from colliding again.
	retryJitter = 100 * time.Millisecond
)

// Events of the token_lease chart, in the order of the chart.
const (
	eventTimerDue chart.EventID = iota
	eventPromiseGranted
	eventPromiseRefused
	eventExpired
	eventAbandoned
	eventEpochAdvanced
	eventPromiseReleased
)

// LeaseManager requests, renews and holds the leases of the groups in which
// this node votes. All methods run on one thread.
type LeaseManager struct {
	quorum.Outbox
	voter    *quorum.VoterState
	promises *Promises
	rng      *rand.Rand
	checker  *invariant.Checker
	machine  *chart.Machine[*lease]
	leases   map[model.GroupKey]*lease
	sequence uint64
	changes  []LeaseChange
}

// LeaseChange reports that this node opened or closed the buckets of a group.
type LeaseChange struct {
	Group model.GroupKey
	Term  uint64
	Open  bool // opened if true, closed if false
}

// TakeChanges returns the changes since the last call.
func (lm *LeaseManager) TakeChanges() []LeaseChange {
	out := lm.changes
	lm.changes = nil
	return out
}

// lease is the lease of one group, whether or not this node holds it.
type lease struct {
	manager *LeaseManager
	group   model.GroupKey
	state   chart.StateID
	now     time.Time
	dueAt   time.Time // when the next request, renewal or timeout is due

	composition *model.GroupRecord
	continued   bool         // this node held the lease of the previous epoch
	voterID     model.NodeID // this node, with the incarnation under which it votes in the composition
	memberIndex int          // this node's position in the composition
	term        uint64
	highestTerm uint64 // highest term in any answer
	expiry      time.Time
	buckets     *Buckets

	sequence    uint64 // sequence number of the latest promise requests
	requestedAt time.Time
	promisedBy  map[model.NodeID]bool
	refusedBy   map[model.NodeID]bool
}

// NewLeaseManager returns a manager that holds no leases.
func NewLeaseManager(voter *quorum.VoterState, promises *Promises, rng *rand.Rand, checker *invariant.Checker) *LeaseManager {
	lm := &LeaseManager{voter: voter, promises: promises, rng: rng, checker: checker, leases: make(map[model.GroupKey]*lease)}
	lm.machine = newMachine()
	return lm
}

func newMachine() *chart.Machine[*lease] {
	return chart.MustCompile(charts.MustRead("token_lease"), chart.Binding[*lease]{
		States: []string{"idle", "requesting", "held"},
		Events: []string{"timer_due", "promise_granted", "promise_refused", "expired", "abandoned", "epoch_advanced", "promise_released"},
		Guards: map[string]func(*lease) bool{
			"majority":            func(l *lease) bool { return len(l.promisedBy) >= l.majority() },
			"majority_impossible": (*lease).isRefused,
			"promised_elsewhere":  (*lease).promisedElsewhere,
		},
		Actions: map[string]func(*lease){
			"request_lease":    (*lease).requestLease,
			"request_renewal":  (*lease).requestPromises,
			"schedule_retry":   (*lease).scheduleRetry,
			"open_buckets":     (*lease).openBuckets,
			"extend_lease":     (*lease).extendLease,
			"release_promises": (*lease).releasePromises,
			"close_buckets":    (*lease).closeBuckets,
			"mark_continued":   func(l *lease) { l.continued = true },
		},
	})
}

// OnDirectory handles new compositions. A lease is released when its epoch is
// no longer the one whose members promise the lease, unless the next epoch
// continues it.
func (lm *LeaseManager) OnDirectory(now time.Time, keys []model.GroupKey, d *quorum.Directory) {
	for _, key := range keys {
		lm.updateGroup(now, key, d.LeaseComposition(key, now))
	}
}

func (lm *LeaseManager) updateGroup(now time.Time, key model.GroupKey, r *model.GroupRecord) {
	l := lm.leases[key]
	if l != nil && r != nil && l.composition.Epoch == r.Epoch && l.voterID == lm.voter.ID() {
		return
	}
	index := -1
	if r != nil {
		index = slices.IndexFunc(r.Members, func(m model.Member) bool { return m.NodeID == lm.voter.ID() })
	}
	if l != nil && index >= 0 && l.continuesInto(now, r) {
		l.composition, l.memberIndex = r, index
		l.step(now, eventEpochAdvanced)
		return
	}
	if l != nil {
		l.step(now, eventAbandoned)
		delete(lm.leases, key)
	}
	if index >= 0 {
		lm.leases[key] = lm.newLease(now, key, r, index)
	}
}

// continuesInto reports whether this node may continue its lease in composition
// r: the lease has not expired, the node still votes under the same incarnation,
// r is the next epoch, and the lease's epoch was sealed before r was composed.
func (l *lease) continuesInto(now time.Time, r *model.GroupRecord) bool {
	return l.buckets != nil && now.Before(l.expiry) && l.voterID == l.manager.voter.ID() &&
		r.Sealed && r.Epoch == l.composition.Epoch+1
}

func (lm *LeaseManager) newLease(now time.Time, key model.GroupKey, r *model.GroupRecord, index int) *lease {
	return &lease{
		manager: lm, group: key, state: lm.machine.Initial(), composition: r, memberIndex: index,
		voterID: lm.voter.ID(), dueAt: now.Add(time.Duration(index) * memberStagger),
	}
}

// OnAnswer handles a voter's answer to a promise request.
func (lm *LeaseManager) OnAnswer(now time.Time, a *PromiseAnswer) {
	l := lm.leases[a.Ballot.Group]
	if l == nil || a.Ballot.Epoch != l.composition.Epoch || a.Sequence != l.sequence {
		return
	}
	l.highestTerm = max(l.highestTerm, a.Term)
	if a.Promised {
		l.promisedBy[a.Ballot.Voter] = true
		l.step(now, eventPromiseGranted)
		return
	}
	l.refusedBy[a.Ballot.Voter] = true
	l.step(now, eventPromiseRefused)
}

// OnPromiseReleased schedules a new lease request, since the holder has
// released a promise of this node's voter and the lease may be free.
func (lm *LeaseManager) OnPromiseReleased(now time.Time, key model.GroupKey) {
	if l := lm.leases[key]; l != nil {
		l.step(now, eventPromiseReleased)
	}
}

// Buckets returns the token buckets of a group, or nil if this node does not
// hold the group's lease at now.
func (lm *LeaseManager) Buckets(now time.Time, key model.GroupKey) *Buckets {
	l := lm.leases[key]
	if l == nil || l.buckets == nil || !now.Before(l.expiry) {
		return nil
	}
	return l.buckets
}

// ReleaseAll releases all leases before a shutdown or after a pause, so that
// another member can become grantor once the last token has expired.
func (lm *LeaseManager) ReleaseAll(now time.Time) {
	for _, l := range lm.sortedLeases() {
		l.step(now, eventAbandoned)
		delete(lm.leases, l.group)
	}
}

// Tick runs the timers that are due and returns the time of the next one, or
// the zero time if there is none.
func (lm *LeaseManager) Tick(now time.Time) time.Time {
	var next time.Time
	for _, l := range lm.sortedLeases() {
		if l.buckets != nil && !now.Before(l.expiry) {
			l.step(now, eventExpired)
		}
		if !l.dueAt.After(now) {
			l.step(now, eventTimerDue)
		}
		if next.IsZero() || l.dueAt.Before(next) {
			next = l.dueAt
		}
	}
	return next
}

// sortedLeases returns the leases in order of their groups, so that tests are
// reproducible.
func (lm *LeaseManager) sortedLeases() []*lease {
	return slices.SortedFunc(maps.Values(lm.leases), func(a, b *lease) int { return cmp.Compare(a.group.Group, b.group.Group) })
}

// HeldCount returns the number of leases that this node holds.
func (lm *LeaseManager) HeldCount() int {
	n := 0
	for _, l := range lm.leases {
		if l.buckets != nil {
			n++
		}
	}
	return n
}

func (l *lease) step(now time.Time, e chart.EventID) {
	l.now = now
	l.state = l.manager.machine.Step(l, l.state, e)
}

func (l *lease) majority() int { return quorum.Majority(len(l.composition.Members)) }

// isRefused reports whether too many voters refused for a majority.
func (l *lease) isRefused() bool { return len(l.composition.Members)-len(l.refusedBy) < l.majority() }

func (l *lease) promisedElsewhere() bool {
	holder, ok := l.manager.promises.Holder(l.now, l.group)
	return ok && holder != l.voterID
}

// scheduleRetry schedules the next lease request for the expiry of the promise
// that this node's voter has made, so that a lost grantor is replaced soon
// after its lease has expired.
func (l *lease) scheduleRetry() {
	delay := l.manager.promises.Remaining(l.now, l.group)
	delay += time.Duration(l.memberIndex)*memberStagger + time.Duration(l.manager.rng.Int64N(int64(retryJitter)))
	l.dueAt = l.now.Add(min(delay, PromiseLifetime))
}

// requestLease requests the lease under a new term.
func (l *lease) requestLease() {
	l.continued = false
	l.term = max(l.term, l.highestTerm) + 1
	l.requestPromises()
	l.dueAt = l.now.Add(promiseTimeout)
}

// requestPromises sends a promise request to all members, this node included.
func (l *lease) requestPromises() {
	l.manager.sequence++
	l.sequence = l.manager.sequence
	l.requestedAt = l.now
	l.promisedBy = make(map[model.NodeID]bool)
	l.refusedBy = make(map[model.NodeID]bool)
	l.dueAt = l.now.Add(renewInterval)
	for _, m := range l.composition.Members {
		l.manager.Send(m.Instance, &PromiseRequest{Ballot: l.ballot(m), Holder: l.voterID, Term: l.term, Sequence: l.sequence, Continued: l.continued})
	}
}

func (l *lease) ballot(m model.Member) quorum.Ballot {
	return quorum.Ballot{Group: l.group, Epoch: l.composition.Epoch, Voter: m.NodeID}
}

// openBuckets creates empty buckets. No other node can be grantor at this time,
// since a majority promised the lease to this one.
func (l *lease) openBuckets() {
	l.buckets = NewBuckets(l.now, l.term, l.manager.checker)
	l.extendLease()
	l.dueAt = l.requestedAt.Add(renewInterval)
	l.manager.changes = append(l.manager.changes, LeaseChange{Group: l.group, Term: l.term, Open: true})
}

func (l *lease) closeBuckets() {
	l.buckets = nil
	l.manager.changes = append(l.manager.changes, LeaseChange{Group: l.group, Term: l.term})
}

// extendLease sets the end of the lease. The lease starts when the promise
// requests were sent, so that it ends before the members' promises.
func (l *lease) extendLease() {
	l.expiry = l.requestedAt.Add(PromiseLifetime - leaseMargin)
	if l.buckets != nil {
		l.buckets.SetLeaseEnd(l.expiry)
	}
}

func (l *lease) releasePromises() {
	var remaining time.Duration
	if l.buckets != nil {
		remaining = l.buckets.RemainingTokenLifetime(l.now)
	}
	for _, m := range l.composition.Members {
		l.manager.Send(m.Instance, &PromiseRelease{Ballot: l.ballot(m), Holder: l.voterID, Term: l.term, Remaining: remaining})
	}
}
