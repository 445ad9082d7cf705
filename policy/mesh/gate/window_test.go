package gate

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
)

// simObjective is the latency objective of the simulated external calls.
const simObjective = 2 * time.Second

// backendSim simulates runs that first work for ownWork and then wait for their turn at a
// service behind the target, which ends rate runs a second.
type backendSim struct {
	*gateSim
	ownWork time.Duration
	rate    float64
	freeAt  time.Time // when the service behind has ended all runs that it has

	ended, lateRuns int // lateRuns took longer than the objective, without the wait for a slot
}

func newBackendSim(t *testing.T, ownWork time.Duration) *backendSim {
	s := &backendSim{ownWork: ownWork}
	s.gateSim = newGateSim(t, 106, func(*model.Call) time.Duration { // a limit of 100
		s.freeAt = later(s.freeAt, s.now).Add(time.Duration(float64(time.Second) / s.rate))
		return max(s.freeAt.Sub(s.now), s.ownWork)
	})
	return s
}

// run simulates a period in which demand calls a second arrive and the service behind ends
// rate runs a second, and calls observe after each step.
func (s *backendSim) run(period time.Duration, demand, rate float64, observe func()) {
	s.rate = rate
	calls := &stream{rate: demand, newCall: func(now time.Time) *model.Call {
		call := newCall(now)
		call.SLODeadline, call.Deadline = now.Add(simObjective), now.Add(5*time.Second)
		return call
	}}
	s.gateSim.run(period, []*stream{calls}, observe, func(tc *trackedCall) {
		s.ended++
		if s.now.Sub(tc.started) > simObjective {
			s.lateRuns++
		}
	})
}

func (s *backendSim) size() float64 { return s.core.windowFor(2).size }

var ownWorkTimes = []time.Duration{300 * time.Millisecond, 500 * time.Millisecond, 700 * time.Millisecond, time.Second}

// Guards against a service level that returns only a minute after a service behind the
// target was saturated, because the windows reopen by one call for a window of answers.
func TestWindowReopensAfterSaturation(t *testing.T) {
	for _, ownWork := range ownWorkTimes {
		demand := 1.2 * 100 / ownWork.Seconds()
		s := newBackendSim(t, ownWork)
		s.run(6*time.Second, demand, 25, func() {})
		closed := s.size()
		assert.Assert(t, closed <= 60, "run time %v: the window did not close: %.1f", ownWork, closed)
		s.core.windowFor(2).size = s.core.minWindowSize()
		s.freeAt = s.now // the service behind has capacity again and no backlog
		for range 4000 { // until the runs that began while it was saturated have ended
			if s.core.running <= 10 {
				break
			}
			s.run(simStep, demand, 1e6, func() {})
		}
		firstAnswer, reopened := s.now.Add(ownWork), time.Duration(0)
		s.run(4*time.Second, demand, 1e6, func() {
			if reopened == 0 && s.size() >= 0.9*100 {
				reopened = max(s.now.Sub(firstAnswer), simStep)
			}
		})
		t.Logf("run time %v: closed to %.0f, reopened after %v", ownWork, closed, reopened)
		assert.Assert(t, reopened > 0 && reopened <= 3*time.Second, "run time %v: reopened after %v (0: not at all)", ownWork, reopened)
	}
}

// Guards against windows that reopen although a service behind takes only seven tenths of
// what is asked, and collapse again and again.
func TestWindowSettlesAtSaturatedService(t *testing.T) {
	for _, ownWork := range ownWorkTimes {
		const demand = 60 // per second; 0.7 of it for 2 s, the objective, are fewer calls than the limit
		s := newBackendSim(t, ownWork)
		s.core.windowFor(2).size = s.core.minWindowSize()
		var sizes []float64
		observe := func() { sizes = append(sizes, s.size()) }
		s.run(10*time.Second, demand, 0.7*demand, observe)
		highest := slices.Index(sizes, slices.Max(sizes))
		t.Logf("run time %v: first 10 s: window at most %.0f, then at least %.0f, late %.3f", ownWork, sizes[highest],
			slices.Min(sizes[highest:]), float64(s.lateRuns)/float64(s.ended))
		assert.Check(t, slices.Min(sizes[highest:]) >= sizes[highest]/2, "run time %v: the window collapsed again", ownWork)
		s.ended, s.lateRuns, sizes = 0, 0, nil
		s.run(30*time.Second, demand, 0.7*demand, observe)
		late, used := float64(s.lateRuns)/float64(s.ended), float64(s.ended)/(30*0.7*demand)
		t.Logf("run time %v: next 30 s: window %.0f to %.0f, late %.3f, %.3f of the capacity used", ownWork, slices.Min(sizes), slices.Max(sizes), late, used)
		assert.Check(t, late <= 0.05, "run time %v: %.3f end late", ownWork, late)
		assert.Check(t, used >= 0.95, "run time %v: %.3f of the capacity is used", ownWork, used)
	}
}

// Guards against a window that reopens at the expense of calls of a higher priority, which end
// late.
func TestWindowDoesNotReopenWhileHigherPriorityIsLate(t *testing.T) {
	c := newCore(t)
	late, timely := newCall(start), newCall(start)
	late.Priority, timely.Priority = 1, 5
	timely.SLODeadline = start.Add(8 * time.Second)
	const size = 8.0
	low := c.windowFor(timely.Priority)
	low.size = size
	for i := range 20 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		for _, call := range []*model.Call{late, timely} {
			tc := &trackedCall{core: c, call: call, arrived: start.Add(-time.Second), started: now.Add(-time.Second)}
			c.windowFor(call.Priority).running = 9
			c.adjustWindows(now, tc, map[*model.Call]loadSignal{late: signalLate, timely: signalTimely}[call])
		}
	}
	assert.Assert(t, low.size <= size, "%.1f", low.size)
}

// Guards against windows that stay small for minutes after a target that is not full has
// rejected calls: its quick rejections would pass for the shortest run.
func TestRejectionsAreNoShortRuns(t *testing.T) {
	c := newCore(t)
	for _, run := range []struct {
		took    time.Duration
		outcome model.RunOutcome
		status  int
	}{
		{100 * time.Millisecond, model.OutcomeAnswered, 200}, {time.Millisecond, model.OutcomeTargetFull, 429},
		{time.Millisecond, model.OutcomeAnswered, 500},
	} {
		call := newCall(start)
		c.OnCall(start, call)
		c.OnFinished(start.Add(run.took), call.ID, run.outcome, run.status)
		assert.Assert(t, c.windowFor(call.Priority).shortestRun >= 100*time.Millisecond, "%v", run)
	}
}
