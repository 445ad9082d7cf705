package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
)

func (n *network) hasContact(i model.Instance) bool { return n.now.Before(n.until[i]) }

// Guards against a refusal of keyed requests by the whole fleet while only
// the log is away.
func TestFleetKeepsContactWithoutLog(t *testing.T) {
	n := newNetwork(fleetMembers(3, 1))
	n.noLog = func(model.Instance) bool { return true }
	n.run(time.Minute)
	for _, i := range n.order {
		assert.Assert(t, n.hasContact(i), i)
	}
}

// Guards against two nodes that keep up each other's contact although they
// are cut off from the other zones, also when they read the log.
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

// Guards against contact with a peer that hears nothing of this node: what it
// says may be old, and it does not pass on what this node knows.
func TestOneWayLinksGiveNoContact(t *testing.T) {
	n := newNetwork(fleetMembers(3, 1))
	deaf := n.order[0]
	n.cut = func(from, _ model.Instance) bool { return from == deaf }
	n.run(20 * time.Second)
	assert.Assert(t, !n.hasContact(deaf))
}

// Guards against an answer that was long on the way and counts as fresh.
func TestContactCountsFromHeartbeatSendTime(t *testing.T) {
	c := newFleetCore(a, b, d)
	c.OnHeartbeat(epoch, epoch, epoch.Add(-2*time.Second), b)
	c.Tick(epoch)
	assert.Equal(t, only(c.Actions(), UpdateContact)[0].ContactUntil, epoch.Add(ContactLifetime-2*time.Second))
}

// Guards against keyed requests served after a pause with knowledge from
// before it.
func TestPauseDropsContact(t *testing.T) {
	c := newFleetCore(a, b, d)
	c.OnHeartbeat(epoch, epoch, epoch, b)
	c.Tick(epoch)
	assert.Assert(t, epoch.Before(only(c.Actions(), UpdateContact)[0].ContactUntil))
	resumed := epoch.Add(3 * time.Second)
	c.OnPaused(resumed)
	assert.Assert(t, only(c.Actions(), UpdateContact)[0].ContactUntil.IsZero())
	// An answer to a heartbeat from before the pause.
	c.OnHeartbeat(resumed, resumed, epoch.Add(time.Second), b)
	c.Tick(resumed)
	assert.Equal(t, len(only(c.Actions(), UpdateContact)), 0)
	c.OnHeartbeat(resumed, resumed, resumed, b)
	c.Tick(resumed)
	assert.Equal(t, only(c.Actions(), UpdateContact)[0].ContactUntil, resumed.Add(ContactLifetime))
}

// Guards against contact by zones of another region, and against zones
// without a known node that are left out of the count.
func TestContactNeedsMajorityOfRegionZones(t *testing.T) {
	far := member("tally-f", "perth")
	far.Region = "australia"
	c := newFleetCore(a, far)
	s := snapshot(a, far)
	s.Zones = map[model.Zone]model.AvailabilityConfig{"suva": {}, "nadi": {}, "lautoka": {}, "perth": {Region: "australia"}}
	c.OnSnapshot(epoch, s)
	c.OnHeartbeat(epoch, epoch, epoch, far)
	c.Tick(epoch)
	assert.Equal(t, len(only(c.Actions(), UpdateContact)), 0)
}

// Guards against a node or a fleet in one zone that refuses everybody.
func TestSingleZoneHasContact(t *testing.T) {
	for _, each := range []int{1, 3} {
		n := newNetwork(fleetMembers(1, each))
		n.noLog = func(model.Instance) bool { return true }
		n.run(time.Minute)
		assert.Assert(t, n.hasContact(n.order[0]))
	}
}
