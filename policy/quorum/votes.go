package quorum

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// IDGracePeriod bounds how long a voter without contact to the log accepts new
	// ids. An unsealed composition starts after it.
	IDGracePeriod = 15 * time.Minute
	// LeaseGracePeriod bounds how long a voter without contact to the log promises
	// leases. Outages of the log are more frequent than the loss of two
	// availability zones at once, so it is longer than the horizon of ids: a
	// log that is down for less takes no tokens away.
	LeaseGracePeriod = time.Hour
	// clockAllowance is the assumed bound on the difference between the wall
	// clocks of two instances.
	clockAllowance = time.Minute
	// idResolution is the resolution of the time in a request id.
	idResolution = time.Millisecond
)

// epochKey names one epoch of a group.
type epochKey struct {
	group model.GroupKey
	epoch uint64
}

// membership is the standing of this node's voter in one epoch.
type epochState struct {
	voter        model.NodeID
	learnedAt    time.Time     // when this node read the composition
	sealed       bool          // the epoch before was sealed
	leaseWait    time.Duration // before leases are promised
	status       VoterStatus
	sealTime     time.Time // ids from here on are refused when sealed
	latestIDTime time.Time // largest time of an accepted id
	endTime      time.Time // start of the successor; zero when there is none
}

// VoterState keeps in which epochs this node votes. It lives in memory and is
// bound to a voter incarnation: a node that restarts or was paused is in no
// group until a composition names its new incarnation.
type VoterState struct {
	rng        *rand.Rand
	voter      model.NodeID
	retired    []model.NodeID // retired incarnations of this process
	epochs     map[epochKey]*epochState
	logContact time.Time // latest contact to the log
}

// NewVoterState returns the votes of a node that has started.
func NewVoterState(self model.NodeID, rng *rand.Rand) *VoterState {
	return &VoterState{rng: rng, voter: self, epochs: make(map[epochKey]*epochState)}
}

// Voter returns the incarnation that new compositions name.
func (v *VoterState) Voter() model.NodeID { return v.voter }

// SetLogContact records the time of the latest contact to the log.
func (v *VoterState) SetLogContact(t time.Time) {
	if t.After(v.logContact) {
		v.logContact = t
	}
}

// OnRecord takes the composition of an epoch.
func (v *VoterState) OnRecord(now time.Time, r *model.GroupRecord) {
	k := epochKey{model.GroupKey{Region: r.Region, Group: r.Group}, r.Epoch}
	if v.epochs[k] != nil {
		return
	}
	for _, m := range r.Members {
		if m.NodeID == v.voter {
			v.epochs[k] = &epochState{voter: v.voter, learnedAt: now, sealed: r.Sealed, leaseWait: r.LeaseWait.Std(), status: VoterActive}
		}
	}
}

// OnSuccessor takes the composition after an epoch. The epoch ends where the
// successor starts; it is dropped keep after that, when no id of it is valid
// any more. Before an unsealed successor may have leases, the epoch's go on.
func (v *VoterState) OnSuccessor(now time.Time, next *model.GroupRecord, keep time.Duration) {
	k := epochKey{model.GroupKey{Region: next.Region, Group: next.Group}, next.Epoch - 1}
	m := v.epochs[k]
	if m == nil {
		return
	}
	m.endTime = next.From
	if next.Sealed || !now.Before(leaseStart(next).Add(-clockAllowance)) {
		m.seal(next.From)
	}
	if m.status != VoterActive && now.After(next.From.Add(keep)) {
		delete(v.epochs, k)
	}
}

// Status returns the standing of the addressed voter at now.
func (v *VoterState) Status(now time.Time, b Ballot) VoterStatus {
	if b.Voter != v.voter && !slices.Contains(v.retired, b.Voter) {
		return VoterGone
	}
	m := v.epochs[epochKey{b.Key, b.Epoch}]
	if m == nil || m.voter != b.Voter {
		return VoterUninformed
	}
	return m.status
}

// LogContact returns the time of the latest contact to the log.
func (v *VoterState) LogContact() time.Time { return v.logContact }

// MayPromiseLease reports whether the addressed voter may promise a lease. A voter
// waits until promises of the epoch before have lapsed. It need not wait for
// a holder that continues its lease: one that held the lease of the sealed
// epoch before when it read this composition is the last one that could.
func (v *VoterState) MayPromiseLease(now time.Time, b Ballot, continued bool) bool {
	if v.Status(now, b) != VoterActive || now.Sub(v.logContact) > LeaseGracePeriod {
		return false
	}
	m := v.epochs[epochKey{b.Key, b.Epoch}]
	return continued && m.sealed || now.Sub(m.learnedAt) >= m.leaseWait
}

// AcceptID decides whether the addressed voter may accept a new id made at t,
// and remembers it. Any status but VoterActive is a refusal.
func (v *VoterState) AcceptID(now time.Time, b Ballot, t time.Time) VoterStatus {
	status := v.Status(now, b)
	m := v.epochs[epochKey{b.Key, b.Epoch}]
	switch status {
	case VoterActive:
		if t.After(v.logContact.Add(IDGracePeriod)) || now.Sub(v.logContact) > IDGracePeriod {
			return VoterUninformed
		}
		if !m.endTime.IsZero() && !t.Before(m.endTime) {
			return VoterSealed
		}
	case VoterSealed:
		if !t.Before(m.sealTime) {
			return VoterSealed
		}
	default:
		return status
	}
	if t.After(m.latestIDTime) {
		m.latestIDTime = t
	}
	return VoterActive
}

// OnProbe answers a probe.
func (v *VoterState) OnProbe(now time.Time, r *ProbeRequest) *ProbeAnswer {
	return &ProbeAnswer{Ballot: r.Ballot, Status: v.Status(now, r.Ballot), Voter: v.voter}
}

// OnSeal seals an epoch.
func (v *VoterState) OnSeal(now time.Time, r *SealRequest) *SealAnswer {
	a := &SealAnswer{Ballot: r.Ballot, Status: v.Status(now, r.Ballot), Voter: v.voter}
	if a.Status == VoterGone {
		return a
	}
	m := v.epochs[epochKey{r.Ballot.Key, r.Ballot.Epoch}]
	if m == nil || m.voter != r.Ballot.Voter {
		return a
	}
	m.seal(r.Time)
	a.Status, a.Time = m.status, m.sealTime
	return a
}

// seal refuses ids made at or after t, but none that was accepted. An earlier
// seal stands.
func (m *epochState) seal(t time.Time) {
	if m.status != VoterActive {
		return
	}
	m.status = VoterSealed
	m.sealTime = t
	if next := m.latestIDTime.Add(idResolution); next.After(t) {
		m.sealTime = next
	}
}

// Retire gives up all votes. The node goes on under a new incarnation, which
// is in no group. The retired voter still answers seals, so that a group can
// be composed again without the unsealed fallback.
func (v *VoterState) Retire(now time.Time) {
	v.retired = append(v.retired, v.voter)
	v.voter.Incarnation = model.Incarnation(v.rng.Uint64())
	for _, m := range v.epochs {
		m.seal(now)
		m.status = VoterRetired
	}
}
