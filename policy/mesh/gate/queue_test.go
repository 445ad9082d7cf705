package gate

import (
	"math"
	"math/rand/v2"
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

// mixSim simulates a target with nested calls of 80 ms and external calls of lower priority.
type mixSim struct {
	core *Core
	rng  *rand.Rand
	ends map[time.Time][]*model.Call

	nested, halfDone, external mixResult // halfDone: the nested calls with a progress of at least a half
}

// mixResult counts calls, also those that were answered, and answered within their
// objective.
type mixResult struct {
	arrived, ran, answered, inTime int
	waited                         time.Duration // by the calls that ran
}

func (r *mixResult) fraction(n int) float64 { return float64(n) / float64(r.arrived) }

// run simulates a minute. nestedLoad and externalLoad are fractions of the limit; burst
// multiplies the first for 6 s in 20 s.
func (s *mixSim) run(t *testing.T, nestedLoad, burst, externalLoad float64, externalRun, objective time.Duration) {
	s.core, s.rng, s.ends = newCore(t), rand.New(rand.NewPCG(1, 1)), make(map[time.Time][]*model.Call)
	a := announcement(2)
	a.Slots = 72
	assert.Assert(t, s.core.OnAnnouncement(start, a))
	const nestedRun, nestedObjective = 80 * time.Millisecond, 300 * time.Millisecond
	limit, steps := float64(s.core.limit()), time.Minute/simStep
	var nestedDue, externalDue float64
	for i := range steps {
		now := start.Add(i * simStep)
		for _, call := range s.ends[now] {
			for _, result := range s.results(call) {
				result.answered++
				if !now.After(call.SLODeadline) {
					result.inTime++
				}
			}
			s.core.OnFinished(now, call.ID, model.OutcomeAnswered, 200)
		}
		delete(s.ends, now)
		wave := 1 + 0.15*math.Sin(2*math.Pi*now.Sub(start).Seconds()/11)
		if now.Sub(start)%(20*time.Second) > 14*time.Second {
			wave *= burst
		}
		for nestedDue += wave * nestedLoad * limit / nestedRun.Seconds() * simStep.Seconds(); nestedDue >= 1; nestedDue-- {
			call := nestedCall(now, "herders", float64(s.rng.IntN(4))/4)
			call.SLODeadline, call.Deadline = now.Add(nestedObjective), now.Add(700*time.Millisecond)
			s.arrive(now, call)
		}
		for externalDue += externalLoad * limit / externalRun.Seconds() * simStep.Seconds(); externalDue >= 1; externalDue-- {
			call := newCall(now)
			call.Priority, call.SLODeadline, call.Deadline = 5, now.Add(objective), now.Add(2*objective)
			s.arrive(now, call)
		}
		s.core.Tick(now)
		for _, d := range s.core.Decisions() {
			if !isRun(d) {
				continue
			}
			run, waited := externalRun, now.Sub(d.Run.SLODeadline.Add(-objective))
			if d.Run.Nested {
				run, waited = nestedRun, now.Sub(d.Run.SLODeadline.Add(-nestedObjective))
			}
			for _, result := range s.results(d.Run) {
				result.ran++
				result.waited += waited
			}
			end := now.Add(time.Duration((0.5 + s.rng.Float64()) * float64(run))).Truncate(simStep)
			s.ends[end] = append(s.ends[end], d.Run)
		}
	}
}

// results returns the results that include a call.
func (s *mixSim) results(call *model.Call) []*mixResult {
	switch {
	case !call.Nested:
		return []*mixResult{&s.external}
	case call.Progress >= 0.5:
		return []*mixResult{&s.nested, &s.halfDone}
	default:
		return []*mixResult{&s.nested}
	}
}

func (s *mixSim) arrive(now time.Time, call *model.Call) {
	for _, result := range s.results(call) {
		result.arrived++
	}
	s.core.OnCall(now, call)
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
		{nested: 1.1, burst: 1, long: 0.3, minAnswered: 0.9, minLong: 0.001},
	} {
		var s mixSim
		s.run(t, c.nested, c.burst, c.long, 1300*time.Millisecond, 8*time.Second)
		nested, halfDone, long := s.nested.fraction(s.nested.answered), s.halfDone.fraction(s.halfDone.answered), s.external.fraction(s.external.inTime)
		wait := s.nested.waited / time.Duration(s.nested.ran)
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
	var s mixSim
	s.run(t, 0, 1, 1.5, 1300*time.Millisecond, 8*time.Second)
	assert.Assert(t, s.external.waited <= time.Duration(s.external.ran)*4500*time.Millisecond, "mean wait %v", s.external.waited/time.Duration(s.external.ran))
	assert.Equal(t, s.core.Load().InFlight, s.core.limit())
}
