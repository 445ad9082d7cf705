package dispatch

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/mesh/zoneshare"
)

// newUnevenSim returns a simulation in which one availability zone has 4 of the 21 targets
// and a quarter of the callers.
func newUnevenSim(utilization float64, choose choice) *fleetSim {
	f := newFleetSim(utilization, unevenSpeeds[0], choose)
	f.zoneSizes = []int{4, 6, 6, 5}
	return f
}

// Guards against calls that wait in a zone with too few targets while other zones have
// room, and against more traffic between zones than that needs.
func TestCallsLeaveZoneWithTooFewTargets(t *testing.T) {
	for i, utilization := range []float64{0.5, 0.75, 0.85} {
		r := newUnevenSim(utilization, drawn).run(uint64(200 + i))
		t.Logf("utilization %.2f: %v", utilization, r)
		assert.Check(t, r.p99Wait < 40*time.Millisecond)
		assert.Check(t, r.turns <= 1)
		// The zone has 0.176 of the capacity for 0.25 of the calls, and nested calls leave
		// from 0.9 of it on.
		assert.Check(t, r.leftZone <= max(0.25-0.9*0.176/utilization, 0)+0.01)
	}
}

// Guards against shares that overshoot when the demand rises and falls, and against zones
// that exchange calls.
func TestZoneSharesFollowWave(t *testing.T) {
	wave := func(choose choice) simResult {
		f := newUnevenSim(0.6, choose)
		f.wave, f.slowPart, f.length = 0.55, 0.15, 13*time.Second
		return f.run(210)
	}
	r, least := wave(drawn), wave(leastCost)
	t.Logf("drawn %v, least cost %v", r, least)
	assert.Check(t, r.p99Wait < least.p99Wait && r.leftZone < least.leftZone/2 && r.turns < least.turns/2)
}

// Guards against leaving the zone on stale reports, or when the links to the targets of
// other zones broke: the own zone is enough as long as it has a target in service.
func TestOwnZoneIsEnoughWithoutNewReports(t *testing.T) {
	for name, after := range map[string]func(c *Core) time.Time{
		"stale": func(*Core) time.Time { return start.Add(staleReportAge + time.Second) },
		"links": func(c *Core) time.Time { c.OnLinkLost(start, remote); return start },
	} {
		c := newCore(t)
		for _, peer := range []model.Instance{local1, local2} {
			full := report(peer, "north", model.TargetServing)
			full.Running, full.Queued = 100, 100
			c.OnReport(start, full)
		}
		now := after(c)
		for range 50 {
			c.OnRequest(now, newRequest("/tags/1"))
			assert.Check(t, onlyDecision(t, c).Peer != remote, name)
		}
	}
}

// Guards against a share that nobody can see.
func TestZoneSharesAreReported(t *testing.T) {
	c := newCore(t)
	for _, peer := range []model.Instance{local1, local2} {
		full := report(peer, "north", model.TargetServing)
		full.Running, full.Queued = 100, 50
		c.OnReport(start, full)
	}
	for i := range 40 {
		c.OnRequest(start.Add(time.Duration(i)*50*time.Millisecond), newRequest("/tags/1"))
	}
	changes := c.TakeShareChanges()
	assert.Assert(t, len(changes) > 0 && changes[0].Service == service && changes[0].Input.Own.Zone == "north", "%v", changes)
	assert.Equal(t, len(c.TakeShareChanges()), 0)
	assert.Assert(t, c.ZoneShares()[0].Leaving > 0)
}

// BenchmarkChoose measures the choice among 35 targets in four availability zones.
func BenchmarkChoose(b *testing.B) {
	f := newFleetSim(0.8, unevenSpeeds[0], drawn)
	f.zoneSizes, f.length = []int{9, 9, 9, 8}, 3*time.Second
	f.run(1)
	call := &model.Call{Service: service, Nested: true, SLODeadline: f.now.Add(f.objective)}
	b.ResetTimer()
	for range b.N {
		f.nodes[0].choose(f.now, call, nil, nil)
	}
}

// Guards against shares that are listed in an order that changes.
func TestZoneSharesAreSorted(t *testing.T) {
	c := newCore(t)
	for _, s := range []model.Service{service, "other"} {
		for _, nested := range []bool{true, false} {
			c.targets.shares[shareKey{s, nested}] = zoneshare.New()
		}
	}
	var listed []shareKey
	for _, share := range c.ZoneShares() {
		listed = append(listed, shareKey{share.Service, share.Nested})
	}
	assert.Assert(t, slices.Equal(listed, []shareKey{{"other", false}, {"other", true}, {service, false}, {service, true}}), "%v", listed)
}

// Guards against shares of services that the configuration no longer has, which would stay
// for the life of the node.
func TestZoneSharesFollowConfiguration(t *testing.T) {
	c := newCore(t)
	c.targets.shares[shareKey{"retired", true}], c.targets.shares[shareKey{service, true}] = zoneshare.New(), zoneshare.New()
	c.OnConfig(start, config(t, 2, nil), nil)
	shares := c.ZoneShares()
	assert.Assert(t, len(shares) == 1 && shares[0].Service == service, "%v", shares)
}

// Guards against a share that stays as it was while the links to other zones are broken, and
// sends calls out of an idle zone when they are back.
func TestZoneShareFallsWhileOtherZonesAreUnknown(t *testing.T) {
	c := newCore(t)
	now := start
	play := func(running int, links bool) ZoneShare {
		for range 100 {
			now = now.Add(50 * time.Millisecond)
			for _, peer := range []model.Instance{local1, local2} {
				r := report(peer, "north", model.TargetServing)
				r.Running = running
				c.OnReport(now, r)
			}
			if links {
				c.OnReport(now, report(remote, "south", model.TargetServing))
			}
			r := newRequest("/tags/1")
			c.OnRequest(now, r)
			c.OnAnswer(now, onlyDecision(t, c).Peer, completedAnswer(r.ID))
			c.Decisions()
		}
		return c.ZoneShares()[0]
	}
	assert.Assert(t, play(150, true).Leaving > 0.2)
	c.OnLinkLost(now, remote)
	share := play(10, false)
	assert.Equal(t, share.Leaving, 0.0)
	assert.Equal(t, share.Reason, zoneshare.OtherUnknown)
}
