package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
)

func (n *network) hasContact(i model.Instance) bool { return n.now.Before(n.contactUntil[i]) }

// Guards against a fleet that refuses all requests with a key while only the log is
// down.
func TestFleetKeepsContactWithoutLog(t *testing.T) {
	n := newNetwork(fleetMembers(3, 1))
	n.logUnreachable = func(model.Instance) bool { return true }
	n.run(time.Minute)
	for _, i := range n.order {
		assert.Assert(t, n.hasContact(i), i)
	}
}

// Guards against contact between the nodes of a single availability zone that is
// partitioned from the others, although these nodes can read the log.
func TestMinorityOfZonesLosesContact(t *testing.T) {
	n := newNetwork(fleetMembers(3, 2))
	n.run(5 * time.Second)
	inZone0 := func(i model.Instance) bool { return n.cores[i].self.Zone == "zone-0" }
	n.isCut = func(from, to model.Instance) bool { return inZone0(from) != inZone0(to) }
	n.run(ContactLifetime)
	for _, i := range n.order {
		assert.Equal(t, n.hasContact(i), !inZone0(i), i)
	}
	n.isCut = func(model.Instance, model.Instance) bool { return false }
	n.run(2 * time.Second)
	for _, i := range n.order {
		assert.Assert(t, n.hasContact(i), i)
	}
}

// Guards against contact through peers that do not receive this node's heartbeats.
// Without a round trip, their heartbeats may be old.
func TestOneWayLinksGiveNoContact(t *testing.T) {
	n := newNetwork(fleetMembers(3, 1))
	muted := n.order[0]
	n.isCut = func(from, _ model.Instance) bool { return from == muted }
	n.run(20 * time.Second)
	assert.Assert(t, !n.hasContact(muted))
}

// Guards against contact that counts from the arrival of an echo instead of the
// sending of the heartbeat that it echoes.
func TestContactCountsFromHeartbeatSendTime(t *testing.T) {
	c := newFleetCore(memberA, memberB, memberD)
	c.OnHeartbeat(startTime, startTime, startTime.Add(-2*time.Second), memberB)
	c.Tick(startTime)
	assert.Equal(t, filterKind(c.Actions(), UpdateContact)[0].ContactUntil, startTime.Add(ContactLifetime-2*time.Second))
}

// Guards against contact after a pause of the process that is based on heartbeats
// from before the pause.
func TestPauseDropsContact(t *testing.T) {
	c := newFleetCore(memberA, memberB, memberD)
	c.OnHeartbeat(startTime, startTime, startTime, memberB)
	c.Tick(startTime)
	assert.Assert(t, startTime.Before(filterKind(c.Actions(), UpdateContact)[0].ContactUntil))
	resumed := startTime.Add(3 * time.Second)
	c.OnPaused(resumed)
	assert.Assert(t, filterKind(c.Actions(), UpdateContact)[0].ContactUntil.IsZero())
	// This echoes a heartbeat that was sent before the pause.
	c.OnHeartbeat(resumed, resumed, startTime.Add(time.Second), memberB)
	c.Tick(resumed)
	assert.Equal(t, len(filterKind(c.Actions(), UpdateContact)), 0)
	c.OnHeartbeat(resumed, resumed, resumed, memberB)
	c.Tick(resumed)
	assert.Equal(t, filterKind(c.Actions(), UpdateContact)[0].ContactUntil, resumed.Add(ContactLifetime))
}

// Guards against contact through availability zones of another region, and against
// a majority that is counted without the configured zones in which no node is known.
func TestContactNeedsMajorityOfRegionZones(t *testing.T) {
	far := member("tally-f", "perth")
	far.Region = "australia"
	c := newFleetCore(memberA, far)
	s := snapshot(memberA, far)
	s.Zones = map[model.Zone]model.AvailabilityConfig{"suva": {}, "nadi": {}, "lautoka": {}, "perth": {Region: "australia"}}
	c.OnSnapshot(startTime, s)
	c.OnHeartbeat(startTime, startTime, startTime, far)
	c.Tick(startTime)
	assert.Equal(t, len(filterKind(c.Actions(), UpdateContact)), 0)
}

// Guards against a single node, or a fleet in a single availability zone, that never
// has contact.
func TestSingleZoneHasContact(t *testing.T) {
	for _, nodesPerZone := range []int{1, 3} {
		n := newNetwork(fleetMembers(1, nodesPerZone))
		n.logUnreachable = func(model.Instance) bool { return true }
		n.run(time.Minute)
		assert.Assert(t, n.hasContact(n.order[0]))
	}
}
