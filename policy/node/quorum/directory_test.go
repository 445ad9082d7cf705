package quorum

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
)

// Guards against an additional group that moves nearly every customer, and
// against groups that get far more customers than others.
func TestRendezvousHashIsEvenAndStable(t *testing.T) {
	const keys, groups = 8000, 8
	counts := make([]int, groups+1)
	moved := 0
	for key := range uint64(keys) {
		before, after := rendezvous(key, groups), rendezvous(key, groups+1)
		counts[before]++
		if before != after {
			moved++
			assert.Equal(t, after, groups)
		}
	}
	assert.Assert(t, moved < keys/groups, "%d of %d moved", moved, keys)
	for g, n := range counts[:groups] {
		assert.Assert(t, n > keys/groups*8/10, "group %d has %d keys", g, n)
	}
}

// Guards against nodes that ask different members about one id, and against
// leases of an unsealed composition, or of one after it, before the old
// majority has stopped.
func TestEpochSelectionByTime(t *testing.T) {
	start := time.Unix(1_770_000_000, 0)
	key := model.GroupKey{Region: "viti"}
	s := &model.Snapshot{Groups: map[model.GroupKey][]model.GroupRecord{key: {
		{Region: "viti", Epoch: 1, From: start, Sealed: true},
		{Region: "viti", Epoch: 2, From: start.Add(UnsealedStartDelay)},
		{Region: "viti", Epoch: 3, From: start.Add(UnsealedStartDelay + time.Minute), Sealed: true},
	}}}
	d := NewDirectory("viti", s)
	assert.Assert(t, d.CompositionAt(key, start.Add(-1)) == nil)
	assert.Equal(t, d.CompositionAt(key, start).Epoch, uint64(1))
	assert.Equal(t, d.CompositionAt(key, start.Add(UnsealedStartDelay)).Epoch, uint64(2))
	assert.Equal(t, d.LeaseComposition(key, start.Add(UnsealedStartDelay+time.Hour/2)).Epoch, uint64(1))
	assert.Equal(t, d.LeaseComposition(key, start.Add(UnsealedStartDelay+LeaseGracePeriod)).Epoch, uint64(3))
}

// Guards against a seal that excludes an id that the member has accepted, and
// against a sealed or retired member that accepts later ids.
func TestSealKeepsAcceptedIDs(t *testing.T) {
	now := time.Unix(1_770_000_000, 0)
	self := model.NodeID{Instance: "tally-1", Incarnation: 1}
	v := NewVoterState(self, rand.New(rand.NewPCG(1, 1)))
	v.SetLogContact(now)
	v.OnComposition(now, &model.GroupRecord{Region: "viti", Epoch: 1, Members: []model.Member{{NodeID: self}}})
	b := Ballot{Group: model.GroupKey{Region: "viti"}, Epoch: 1, Voter: self}
	ahead := now.Add(30 * time.Second)
	assert.Equal(t, v.AcceptID(now, b, ahead), VoterActive)
	a := v.OnSeal(now, &SealRequest{Ballot: b, Time: now})
	assert.Equal(t, a.Status, VoterSealed)
	assert.Equal(t, a.Time, ahead.Add(time.Millisecond))
	assert.Equal(t, v.AcceptID(now, b, ahead), VoterActive)
	assert.Equal(t, v.AcceptID(now, b, a.Time), VoterSealed)
	assert.Assert(t, !v.MayPromiseLease(now, b, true))
	v.Retire(now)
	assert.Equal(t, v.AcceptID(now, b, now), VoterRetired)
	assert.Equal(t, v.OnSeal(now, &SealRequest{Ballot: b, Time: now}).Time, a.Time)
	b.Voter.Incarnation++
	assert.Equal(t, v.Status(now, b), VoterRestarted)
}

// Guards against candidates in availability zones that are out of service, and
// against several members in one zone while another zone has none.
func TestMembersAreSpreadOverServingZones(t *testing.T) {
	s := &model.Snapshot{
		Members: make(map[model.Service][]model.Member),
		Zones:   map[model.Zone]model.AvailabilityConfig{"zone-2": {OutOfService: true}},
	}
	for i := range 12 {
		m := model.Member{Region: "viti", Zone: model.Zone(fmt.Sprint("zone-", i%3))}
		m.Instance = model.Instance(fmt.Sprint("tally-", i))
		s.Members["tally"] = append(s.Members["tally"], m)
	}
	candidates := rankCandidates(s, model.GroupKey{Region: "viti"})
	assert.Equal(t, len(candidates), 8)
	chosen := chooseMembers(candidates[:1], candidates)
	size, zones := countMembersAndZones(chosen)
	assert.Equal(t, size, 3)
	assert.Equal(t, zones, 2)
	assert.Equal(t, chosen[0], candidates[0])
}
