package zoneshare

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
)

var start = time.Unix(1000, 0)

// load returns the load of a zone that can bear 1000 calls per second.
func load(zone string, utilization float64) Load {
	return Load{Zone: model.Zone(zone), Capacity: 1000, Asked: 1000 * utilization}
}

// run updates a share every 100 ms and returns the time after it.
func run(s *Share, from time.Time, steps int, in Input) time.Time {
	for range steps {
		from = from.Add(100 * time.Millisecond)
		s.Update(from, in)
	}
	return from
}

// Guards against calls that leave a zone that bears its own calls, since the bytes between
// zones are expensive.
func TestNoCallLeavesWhileZoneIsEnough(t *testing.T) {
	for _, in := range []Input{
		{Nested: true, Own: load("a", 0.92), Others: []Load{load("b", 0.1)}},
		{Own: load("a", 1.02), Others: []Load{load("b", 0.1)}},
	} {
		s := New()
		run(s, start, 100, in)
		assert.Equal(t, s.Leaving(), 0.0)
		assert.Equal(t, s.Reason(), Enough)
	}
}

// Guards against calls that wait in a full zone while others have room, and against a
// spread that ignores how much room they have.
func TestCallsLeaveFullZone(t *testing.T) {
	s := New()
	run(s, start, 50, Input{Nested: true, Own: load("a", 1.1), Others: []Load{load("b", 0.85), load("c", 0.75), load("d", 1.2)}})
	assert.Assert(t, s.Leaving() > 0.2, "%v", s.Leaving())
	assert.Equal(t, s.Reason(), Full)
	count := make(map[string]int)
	for i := range 1000 {
		zone, ok := s.Zone(float64(i) / 1000)
		assert.Assert(t, ok)
		count[string(zone)]++
	}
	assert.Assert(t, count["c"] > count["b"]*3/2 && count["b"] > 100 && count["d"] == 0, "%v", count)
}

// Guards against a share that jumps, which sends waves of calls to other zones, also after
// a pause of the node.
func TestShareMovesSlowly(t *testing.T) {
	s := New()
	full := Input{Nested: true, Own: load("a", 3), Others: []Load{load("b", 0.1)}}
	now := run(s, start, 1, full)
	for range 30 {
		before := s.Leaving()
		now = run(s, now, 1, full)
		assert.Assert(t, s.Leaving()-before <= maxRise*0.1+1e-9)
	}
	assert.Assert(t, s.Leaving() <= maxShare)
	before := s.Leaving()
	s.Update(now.Add(10*time.Second), Input{Nested: true, Own: load("a", 0.1), Others: []Load{load("b", 0.1)}})
	assert.Assert(t, before-s.Leaving() <= maxFall*maxElapsed.Seconds()+1e-9)
}

// Guards against two zones that send calls to each other: none becomes less full.
func TestFullZonesDoNotExchangeCalls(t *testing.T) {
	for _, utilization := range []float64{1, 1.3, 2.5} {
		a, b := New(), New()
		run(a, start, 100, Input{Nested: true, Own: load("a", utilization), Others: []Load{load("b", utilization-0.1)}})
		run(b, start, 100, Input{Nested: true, Own: load("b", utilization-0.1), Others: []Load{load("a", utilization)}})
		assert.Equal(t, a.Leaving(), 0.0)
		assert.Equal(t, b.Leaving(), 0.0)
	}
}

// Guards against calls that leave on reports that are stale: the own zone is enough then.
func TestShareEndsWithoutReports(t *testing.T) {
	for reason, in := range map[Reason]Input{
		OtherUnknown: {Nested: true, Own: load("a", 2)},
		OwnUnknown:   {Nested: true, Others: []Load{load("b", 0.1)}},
	} {
		s := New()
		now := run(s, start, 30, Input{Nested: true, Own: load("a", 2), Others: []Load{load("b", 0.1)}})
		assert.Assert(t, s.Leaving() > 0.5)
		run(s, now, 50, in)
		assert.Equal(t, s.Leaving(), 0.0)
		assert.Equal(t, s.Reason(), reason)
	}
}

// Guards against calls that stay with the slow targets of their zone although they would
// gain more time elsewhere than their bytes cost.
func TestCallsLeaveSlowZone(t *testing.T) {
	s := New()
	run(s, start, 50, Input{Nested: true, Own: load("a", 0.4), Others: []Load{load("b", 0.4)}, Gain: 0.5})
	assert.Assert(t, s.Leaving() > 0.2, "%v", s.Leaving())
	assert.Equal(t, s.Reason(), Slow)
}

// Guards against log lines for each small change, and against none when calls no longer
// leave.
func TestNotableChanges(t *testing.T) {
	s := New()
	now, changes := start, 0
	for range 60 {
		now = run(s, now, 1, Input{Nested: true, Own: load("a", 1.02), Others: []Load{load("b", 0.3)}})
		if s.TakeChange() {
			changes++
		}
	}
	assert.Assert(t, changes >= 1 && changes <= 3, "%d", changes)
	run(s, now, 100, Input{Nested: true, Own: load("a", 0.3), Others: []Load{load("b", 0.3)}})
	assert.Assert(t, s.TakeChange())
	assert.Assert(t, !s.TakeChange())
}
