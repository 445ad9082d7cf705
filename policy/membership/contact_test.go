package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
)

func (n *network) hasContact(i model.Instance) bool { return n.now.Before(n.contactUntil[i]) }

// Guards against a whole fleet that refuses requests with a key while only the
// log is down.
func TestFleetKeepsContactWithoutLog(t *testing.T) {
	n := newNetwork(fleetMembers(3, 1))
	n.logUnreachable = func(model.Instance) bool { return true }
	n.run(time.Minute)
	for _, i := range n.order {
		assert.Assert(t, n.hasContact(i), i)
	}
}

// Guards against two nodes that keep each other in contact although they are
// partitioned from the other zones, even while they can read the log.
func TestMinorityOfZonesLosesContact(t *testing.T) {
	n := newNetwork(fleetMembers(3, 2))
	n.run(5 * time.Second)
	inside := func(i model.Instance) bool { return n.cores[i].self.Zone == "zone-0" }
	n.cut = func(from, to model.Instance) bool { return inside(from) != inside(to) }
	n.run(ContactLifetime)
	for _, i := range n.order {
		assert.Equal(t, n.hasContact(i), !inside(i), i)
	}
	n.cut = func(model.Instance, model.Instance) bool { return false }
	n.run(2 * time.Second)
	for _, i := range n.order {
		assert.Assert(t, n.hasContact(i), i)
	}
}

// Guards against contact through peers that hear nothing from this node: without
// a round trip, what they send may be outdated.
func TestOneWayLinksGiveNoContact(t *testing.T) {
	n := newNetwork(fleetMembers(3, 1))
	unheard := n.order[0]
	n.cut = func(from, _ model.Instance) bool { return from == unheard }
	n.run(20 * time.Second)
	assert.Assert(t, !n.hasContact(unheard))
}

// Guards against a delayed heartbeat answer that counts as fresh.
func TestContactCountsFromHeartbeatSendTime(t *testing.T) {
	c := newFleetCore(a, b, d)
	c.OnHeartbeat(epoch, epoch, epoch.Add(-2*time.Second), b)
	c.Tick(epoch)
	assert.Equal(t, filterKind(c.Actions(), UpdateContact)[0].ContactUntil, epoch.Add(ContactLifetime-2*time.Second))
}

// Guards against requests with a key that are served after a pause on the basis
// of heartbeats from before it.
func TestPauseDropsContact(t *testing.T) {
	c := newFleetCore(a, b, d)
	c.OnHeartbeat(epoch, epoch, epoch, b)
	c.Tick(epoch)
	assert.Assert(t, epoch.Before(filterKind(c.Actions(), UpdateContact)[0].ContactUntil))
	resumed := epoch.Add(3 * time.Second)
	c.OnPaused(resumed)
	assert.Assert(t, filterKind(c.Actions(), UpdateContact)[0].ContactUntil.IsZero())
	// An answer to a heartbeat from before the pause.
	c.OnHeartbeat(resumed, resumed, epoch.Add(time.Second), b)
	c.Tick(resumed)
	assert.Equal(t, len(filterKind(c.Actions(), UpdateContact)), 0)
	c.OnHeartbeat(resumed, resumed, resumed, b)
	c.Tick(resumed)
	assert.Equal(t, filterKind(c.Actions(), UpdateContact)[0].ContactUntil, resumed.Add(ContactLifetime))
}

// Guards against contact through zones of another region, and against leaving
// out zones without a known node when the majority is counted.
func TestContactNeedsMajorityOfRegionZones(t *testing.T) {
	far := member("tally-f", "perth")
	far.Region = "australia"
	c := newFleetCore(a, far)
	s := snapshot(a, far)
	s.Zones = map[model.Zone]model.AvailabilityConfig{"suva": {}, "nadi": {}, "lautoka": {}, "perth": {Region: "australia"}}
	c.OnSnapshot(epoch, s)
	c.OnHeartbeat(epoch, epoch, epoch, far)
	c.Tick(epoch)
	assert.Equal(t, len(filterKind(c.Actions(), UpdateContact)), 0)
}

// Guards against a single node or a fleet in a single zone that never has
// contact and refuses all requests with a key.
func TestSingleZoneHasContact(t *testing.T) {
	for _, nodesPerZone := range []int{1, 3} {
		n := newNetwork(fleetMembers(1, nodesPerZone))
		n.logUnreachable = func(model.Instance) bool { return true }
		n.run(time.Minute)
		assert.Assert(t, n.hasContact(n.order[0]))
	}
}
