package quorum

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// IDGracePeriod bounds how long a voter accepts new ids without contact to
	// the log. An unsealed composition starts after it.
	IDGracePeriod = 15 * time.Minute
	// LeaseGracePeriod bounds how long a voter promises leases without contact
	// to the log. It is longer than IDGracePeriod, so that a shorter outage of
	// the log does not stop customers from getting tokens: such outages are
	// more frequent than the loss of two availability zones at once.
	LeaseGracePeriod = time.Hour
	// clockAllowance is the assumed bound on the difference between the wall
	// clocks of two instances.
	clockAllowance = time.Minute
	// idResolution is the resolution of the time in a request id.
	idResolution = time.Millisecond
)

// epochKey identifies one epoch of a group.
type epochKey struct {
	group model.GroupKey
	epoch uint64
}

// epochState is the state of this node's voter in one epoch.
type epochState struct {
	voter          model.NodeID
	learnedAt      time.Time     // when this node read the composition
	previousSealed bool          // the previous epoch was sealed before this one was composed
	leaseWait      time.Duration // how long after learnedAt no lease is promised
	status         VoterStatus
	sealTime       time.Time // with any status but VoterActive, ids from this time on are refused
	latestIDTime   time.Time // latest time of an accepted id
	endTime        time.Time // start of the next epoch; zero if there is none
}

// VoterState holds the state of this node's voter in each epoch. It is not
// persisted. After a restart or a pause, the node has a new incarnation and does
// not vote until a composition contains that incarnation.
type VoterState struct {
	rng        *rand.Rand
	current    model.NodeID
	retired    []model.NodeID // retired incarnations of this process
	epochs     map[epochKey]*epochState
	logContact time.Time // latest contact to the log; every composition appended earlier is known
}

// NewVoterState returns the state of a node that has just started.
func NewVoterState(self model.NodeID, rng *rand.Rand) *VoterState {
	return &VoterState{rng: rng, current: self, epochs: make(map[epochKey]*epochState)}
}

// ID returns the incarnation under which the node votes in new compositions:
// that of the process until the first pause, a random one after each pause.
func (v *VoterState) ID() model.NodeID { return v.current }

// SetLogContact records the time of the latest contact to the log.
func (v *VoterState) SetLogContact(t time.Time) {
	if t.After(v.logContact) {
		v.logContact = t
	}
}

// OnComposition handles a composition of a group, in which this node may
// be a member.
func (v *VoterState) OnComposition(now time.Time, r *model.GroupRecord) {
	k := epochKey{model.GroupKey{Region: r.Region, Group: r.Group}, r.Epoch}
	if v.epochs[k] != nil {
		return
	}
	for _, m := range r.Members {
		if m.NodeID == v.current {
			v.epochs[k] = &epochState{voter: v.current, learnedAt: now, previousSealed: r.Sealed, leaseWait: r.LeaseWait.Std(), status: VoterActive}
		}
	}
}

// OnSuccessor handles the composition that follows an epoch. The epoch ends
// when its successor starts. The state of the ended epoch is dropped after the
// retention time, when none of its ids is valid any more. The voter continues to
// promise leases of the epoch until clockAllowance before an unsealed successor
// may have leases.
func (v *VoterState) OnSuccessor(now time.Time, next *model.GroupRecord, retention time.Duration) {
	k := epochKey{model.GroupKey{Region: next.Region, Group: next.Group}, next.Epoch - 1}
	e := v.epochs[k]
	if e == nil {
		return
	}
	e.endTime = next.From
	if next.Sealed || !now.Before(leaseStart(next).Add(-clockAllowance)) {
		e.seal(next.From)
	}
	if e.status != VoterActive && now.After(next.From.Add(retention)) {
		delete(v.epochs, k)
	}
}

// Status returns the status of the addressed voter at now.
func (v *VoterState) Status(now time.Time, b Ballot) VoterStatus {
	if b.Voter != v.current && !slices.Contains(v.retired, b.Voter) {
		return VoterRestarted
	}
	e := v.epochs[epochKey{b.Group, b.Epoch}]
	if e == nil || e.voter != b.Voter {
		return VoterUninformed
	}
	return e.status
}

// LogContact returns the time of the latest contact to the log.
func (v *VoterState) LogContact() time.Time { return v.logContact }

// MayPromiseLease reports whether the addressed voter may promise a lease. A
// voter waits until the promises of the previous epoch have expired, except
// for a holder that continues its lease: a node that held the lease of the
// sealed previous epoch when it read this composition is the last one that
// could hold it.
func (v *VoterState) MayPromiseLease(now time.Time, b Ballot, continued bool) bool {
	if v.Status(now, b) != VoterActive || now.Sub(v.logContact) > LeaseGracePeriod {
		return false
	}
	e := v.epochs[epochKey{b.Group, b.Epoch}]
	return continued && e.previousSealed || now.Sub(e.learnedAt) >= e.leaseWait
}

// AcceptID decides whether the addressed voter may accept an id generated at t,
// and records the time of an accepted id. VoterActive means that the id is
// accepted, also by a sealed voter whose seal time is later than t. Any other
// result is a refusal: VoterUninformed also if the contact to the log is too
// old, and VoterSealed also if t is not before the start of the next epoch.
func (v *VoterState) AcceptID(now time.Time, b Ballot, t time.Time) VoterStatus {
	status := v.Status(now, b)
	e := v.epochs[epochKey{b.Group, b.Epoch}]
	switch status {
	case VoterActive:
		if t.After(v.logContact.Add(IDGracePeriod)) || now.Sub(v.logContact) > IDGracePeriod {
			return VoterUninformed
		}
		if !e.endTime.IsZero() && !t.Before(e.endTime) {
			return VoterSealed
		}
	case VoterSealed:
		if !t.Before(e.sealTime) {
			return VoterSealed
		}
	default:
		return status
	}
	if t.After(e.latestIDTime) {
		e.latestIDTime = t
	}
	return VoterActive
}

// OnProbe answers a probe.
func (v *VoterState) OnProbe(now time.Time, r *ProbeRequest) *ProbeAnswer {
	return &ProbeAnswer{Ballot: r.Ballot, Status: v.Status(now, r.Ballot), Voter: v.current}
}

// OnSeal handles a request to seal an epoch.
func (v *VoterState) OnSeal(now time.Time, r *SealRequest) *SealAnswer {
	a := &SealAnswer{Ballot: r.Ballot, Status: v.Status(now, r.Ballot), Voter: v.current}
	if a.Status == VoterRestarted {
		return a
	}
	e := v.epochs[epochKey{r.Ballot.Group, r.Ballot.Epoch}]
	if e == nil || e.voter != r.Ballot.Voter {
		return a
	}
	e.seal(r.Time)
	a.Status, a.Time = e.status, e.sealTime
	return a
}

// seal makes the voter refuse ids generated at or after the seal time. That is
// t, or just after the latest id that was accepted if that is later. An earlier
// seal is kept.
func (e *epochState) seal(t time.Time) {
	if e.status != VoterActive {
		return
	}
	e.status = VoterSealed
	e.sealTime = t
	if next := e.latestIDTime.Add(idResolution); next.After(t) {
		e.sealTime = next
	}
}

// Retire ends voting under the current incarnation. The node continues under a
// new incarnation, which is a member of no group. The retired voter still
// answers seal requests, so that the next composition can be a sealed one.
func (v *VoterState) Retire(now time.Time) {
	v.retired = append(v.retired, v.current)
	v.current.Incarnation = model.Incarnation(v.rng.Uint64())
	for _, e := range v.epochs {
		e.seal(now)
		e.status = VoterRetired
	}
}
