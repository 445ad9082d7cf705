package gate

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
)

// nestedCall returns a nested call with the progress of its parent.
func nestedCall(now time.Time, customer model.Customer, progress float64) *model.Call {
	call := newCall(now)
	call.Nested, call.OnBehalfOf, call.Progress = true, customer, progress
	return call
}

// Guards against wasting the work of requests that are nearly done: a nested call goes before
// external calls of its priority, the most urgent first, and customers take turns in calls
// that are equally urgent.
func TestNestedCallsGoFirstByUrgency(t *testing.T) {
	c := newCore(t)
	var running []model.CallID
	for range c.limit() {
		call := nestedCall(start, "herders", 0)
		c.OnCall(start, call)
		running = append(running, call.ID)
	}
	add := func(call *model.Call) model.CallID {
		c.OnCall(start, call)
		return call.ID
	}
	external := add(newCall(start))
	greedy1, greedy2 := add(nestedCall(start, "greedy", 0)), add(nestedCall(start, "greedy", 0))
	modest := add(nestedCall(start, "modest", 0))
	late := add(nestedCall(start, "greedy", 0.75))
	urgent := nestedCall(start, "greedy", 0)
	urgent.Deadline = start.Add(700 * time.Millisecond)
	add(urgent)
	c.Decisions()
	var order []model.CallID
	for _, id := range running[:6] {
		c.OnFinished(start, id, model.OutcomeAnswered, 200)
		for _, d := range c.Decisions() {
			order = append(order, d.ID)
		}
	}
	assert.DeepEqual(t, order, []model.CallID{late, urgent.ID, greedy1, modest, greedy2, external})
}

// callCounts counts calls, also those that were answered, and answered within their
// objective.
type callCounts struct {
	arrived, answered, inTime int
	waited                    time.Duration // by the answered calls
}

func (c *callCounts) fraction(n int) float64 { return float64(n) / float64(c.arrived) }

// mixResult counts the calls of a simulated minute. halfDone are the nested calls with a
// progress of at least a half.
type mixResult struct{ nested, halfDone, long callCounts }

func (r *mixResult) countsOf(call *model.Call) []*callCounts {
	switch {
	case !call.Nested:
		return []*callCounts{&r.long}
	case call.Progress >= 0.5:
		return []*callCounts{&r.nested, &r.halfDone}
	default:
		return []*callCounts{&r.nested}
	}
}

// playMix simulates a minute with nested calls of 80 ms and external calls of 1.3 s with a
// lower priority, which load 68 slots by fractions of them. burst multiplies the load by nested
// calls for 6 s in 20 s.
func playMix(t *testing.T, nestedLoad, burst, longLoad float64) (*mixResult, *gateSim) {
	const nestedRun, longRun = 80 * time.Millisecond, 1300 * time.Millisecond
	r := new(mixResult)
	var s *gateSim
	s = newGateSim(t, 72, func(call *model.Call) time.Duration {
		run := longRun
		if call.Nested {
			run = nestedRun
		}
		return time.Duration((0.5 + s.rng.Float64()) * float64(run))
	})
	limit := float64(s.core.limit())
	arrived := func(call *model.Call, objective, timeout time.Duration) *model.Call {
		call.SLODeadline, call.Deadline = s.now.Add(objective), s.now.Add(timeout)
		for _, counts := range r.countsOf(call) {
			counts.arrived++
		}
		return call
	}
	nested := &stream{newCall: func(now time.Time) *model.Call {
		return arrived(nestedCall(now, "herders", float64(s.rng.IntN(4))/4), 300*time.Millisecond, 700*time.Millisecond)
	}}
	long := &stream{rate: longLoad * limit / longRun.Seconds(), newCall: func(now time.Time) *model.Call {
		call := newCall(now)
		call.Priority = 5
		return arrived(call, 8*time.Second, 16*time.Second)
	}}
	s.run(time.Minute, []*stream{nested, long}, func() {
		since := s.now.Sub(start)
		nested.rate = nestedLoad * limit / nestedRun.Seconds() * (1 + 0.15*math.Sin(2*math.Pi*since.Seconds()/11))
		if since%(20*time.Second) > 14*time.Second {
			nested.rate *= burst
		}
	}, func(tc *trackedCall) {
		for _, counts := range r.countsOf(tc.call) {
			counts.answered++
			counts.waited += tc.started.Sub(tc.arrived)
			if !s.now.After(tc.call.SLODeadline) {
				counts.inTime++
			}
		}
	})
	return r, s
}

// Guards against long calls that take the slots of nested calls, against refusing long calls
// that could be answered within their objective, and against never serving them. Nested
// calls that nearly complete their request must be answered although not all can be.
func TestLongCallsLeaveSlotsToNestedCalls(t *testing.T) {
	for _, c := range []struct {
		nested, burst, long float64 // loads as fractions of the limit; the burst multiplies the first
		minAnswered         float64 // of the nested calls
		minLong             float64 // of the long calls, in time
	}{
		{nested: 0.7, burst: 1, long: 0.3, minAnswered: 0.99, minLong: 0.8},
		{nested: 0.7, burst: 1, long: 0.6, minAnswered: 0.99, minLong: 0.2},
		{nested: 0.4, burst: 2.2, long: 0.9, minAnswered: 0.99, minLong: 0.2},
		{nested: 1.1, burst: 1, long: 0.3, minAnswered: 0.98 / 1.1, minLong: 0.001}, // 0.02 of the slots are open to long calls
	} {
		r, _ := playMix(t, c.nested, c.burst, c.long)
		nested, halfDone, long := r.nested.fraction(r.nested.answered), r.halfDone.fraction(r.halfDone.answered), r.long.fraction(r.long.inTime)
		wait := r.nested.waited / time.Duration(r.nested.answered)
		t.Logf("load %.1f x %.1f and %.1f: answered %.4f of the nested calls, %.4f of the half done; mean wait %v; in time %.3f of the long calls",
			c.nested, c.burst, c.long, nested, halfDone, wait.Round(100*time.Microsecond), long)
		assert.Check(t, nested >= c.minAnswered && halfDone >= 0.99 && long >= c.minLong)
		if c.burst == 1 && c.nested < 1 {
			assert.Check(t, wait <= 5*time.Millisecond, "long calls take slots that nested calls need")
		}
	}
}

// Guards against other decisions than before where no target makes calls: the wait of a long
// call is bounded by half of its objective, and all slots are open to it.
func TestWithoutNestedCallsLongCallsWaitHalf(t *testing.T) {
	r, s := playMix(t, 0, 1, 1.5)
	wait := r.long.waited / time.Duration(r.long.answered)
	assert.Assert(t, wait <= 4500*time.Millisecond, "mean wait %v", wait)
	assert.Equal(t, s.core.Load().InFlight, s.core.limit())
}

// Guards against long calls that leave slots to nested calls of a lower priority, and would
// be served worse than these.
func TestLongCallsLeaveNoSlotsToLowerPriorities(t *testing.T) {
	c := newCore(t)
	for range 9 {
		nested := nestedCall(start, "herders", 0)
		nested.Priority = 3
		c.OnCall(start, nested)
	}
	for _, d := range c.Decisions() {
		c.OnFinished(start, d.ID, model.OutcomeAnswered, 200)
	}
	for priority, want := range map[int]int{2: c.limit(), 3: c.limit() - 9, 4: c.limit() - 9} {
		slots, _ := c.slotsForLong(start, priority)
		assert.Equal(t, int(slots), want, "priority %d", priority)
	}
}

// Guards against nested calls of a lower priority that keep a long call from the slots that
// are open to external calls in any case.
func TestLowerPrioritiesDoNotExcludeLongCalls(t *testing.T) {
	c := newCore(t)
	c.runTimes.nested.add(start, 80*time.Millisecond)
	c.runTimes.external[2] = &meanTime{mean: 1300 * time.Millisecond, sampledAt: start}
	add := func(call *model.Call, priority int) model.CallID {
		call.Priority = priority
		c.OnCall(start, call)
		return call.ID
	}
	var running []model.CallID
	for range c.limit() - 1 {
		running = append(running, add(nestedCall(start, "herders", 0), 0))
	}
	add(nestedCall(start, "greedy", 0), 5)
	long := newCall(start)
	long.SLODeadline, long.Deadline = start.Add(8*time.Second), start.Add(15*time.Second)
	add(long, 2)
	add(nestedCall(start, "greedy", 0), 5)
	c.Decisions()
	c.OnFinished(start.Add(80*time.Millisecond), running[0], model.OutcomeAnswered, 200)
	d := c.Decisions()
	assert.Equal(t, len(d), 1)
	assert.Equal(t, d[0].ID, long.ID)
}
