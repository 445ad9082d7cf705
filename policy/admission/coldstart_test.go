package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
)

func newColdFixture(t *testing.T) *fixture {
	f := newFixture(t, 100)
	f.config.ColdFloor = 10
	f.config.RampTime = model.Duration(2 * time.Second)
	f.configure()
	return f
}

// Guards against a limit that jumps to the slots at once, and against a ramp
// that takes much longer than configured.
func TestRampTakesConfiguredTime(t *testing.T) {
	f := newColdFixture(t)
	assert.Equal(t, f.core.slots(), 10)
	f.serve(time.Second, 10*time.Millisecond, ResultOK)
	assert.Assert(t, f.core.slots() > 40 && f.core.slots() < 65, "limit %d after half the ramp", f.core.slots())
	f.serve(1300*time.Millisecond, 10*time.Millisecond, ResultOK)
	assert.Equal(t, f.core.slots(), 100)
	assert.Equal(t, f.state(), "warm")
}

// Guards against one lucky fast answer that lifts the limit of a cold target.
func TestOneGoodAnswerLiftsNothing(t *testing.T) {
	f := newColdFixture(t)
	id := f.arrive(customerName(0), "lookup")
	f.advance(time.Second)
	f.finish(id, ResultOK)
	assert.Equal(t, f.core.slots(), 10)
}

// Guards against a restart that passes unnoticed: each sign must bring the
// limit back to the floor or stop the calls.
func TestSignsOfRestart(t *testing.T) {
	for name, test := range map[string]struct {
		outcome func(id model.CallID) Outcome
		state   string
		limit   int
	}{
		"refused connection": {func(id model.CallID) Outcome { return Outcome{CallID: id, Result: ResultConnectionRefused} }, "lost", 0},
		"reset connection":   {func(id model.CallID) Outcome { return Outcome{CallID: id, Result: ResultConnectionReset} }, "lost", 0},
		"start marker":       {func(id model.CallID) Outcome { return Outcome{CallID: id, StartMarker: "second"} }, "cold", 10},
	} {
		t.Run(name, func(t *testing.T) {
			f := newColdFixture(t)
			f.warm()
			f.finishAs(Outcome{CallID: f.arrive(customerName(0), "lookup"), StartMarker: "first"})
			assert.Equal(t, f.core.slots(), 100)
			f.finishAs(test.outcome(f.arrive(customerName(0), "lookup")))
			assert.Equal(t, f.state(), test.state)
			assert.Equal(t, f.core.slots(), test.limit)
		})
	}
}

// Guards against a customer that stops the target for all others with single
// requests whose connection breaks.
func TestSingleResetOfManyIsNotLoss(t *testing.T) {
	f := newColdFixture(t)
	f.warm()
	id := f.arrive(customerName(0), "lookup")
	for range 20 {
		f.arrive(customerName(1), "lookup")
	}
	f.finish(id, ResultConnectionReset)
	assert.Equal(t, f.state(), "warm")
}

// Guards against a lost target that absorbs calls, and against full load on a
// target that has only just accepted a connection.
func TestLostTargetTakesOneTrialCall(t *testing.T) {
	f := newColdFixture(t)
	f.warm()
	f.finish(f.arrive(customerName(0), "lookup"), ResultConnectionRefused)
	assert.Equal(t, reasonOf(t, f, f.arrive(customerName(0), "lookup")), model.ReasonTargetFailed)

	f.signals = nil
	f.advance(100 * time.Millisecond)
	assert.Assert(t, f.signals[0].Probe)
	f.core.OnProbe(f.now, false)
	f.advance(time.Second)
	f.core.OnProbe(f.now, true)
	assert.Equal(t, f.state(), "trial")

	trial := f.arrive(customerName(0), "lookup")
	assert.Assert(t, f.running[trial])
	assert.Equal(t, reasonOf(t, f, f.arrive(customerName(0), "lookup")), model.ReasonTargetFailed)
	f.finish(trial, ResultOK)
	assert.Equal(t, f.state(), "cold")
	assert.Equal(t, f.core.slots(), 10)
}

// Guards against a latency jump that keeps the limit down when the target
// waits for another service: less load does not make it faster.
func TestSlowElsewhereRestoresLimit(t *testing.T) {
	f := newColdFixture(t)
	f.warm()
	f.serve(3*time.Second, 10*time.Millisecond, ResultOK)
	f.serve(1500*time.Millisecond, 60*time.Millisecond, ResultOK)
	assert.Equal(t, f.state(), "warm")
	assert.Equal(t, f.core.slots(), 100)
	var states []string
	for _, s := range f.signals {
		states = append(states, s.To)
	}
	assert.DeepEqual(t, states, []string{"checking", "warm"})
}

// Guards against a target that bears less than its slots and is kept beyond
// what it bears.
func TestLimitFollowsDegradedTarget(t *testing.T) {
	f := newColdFixture(t)
	f.warm()
	f.serve(3*time.Second, 10*time.Millisecond, ResultOK)
	for range 200 {
		// The target bears 30 calls at once; its time grows beyond them.
		slow := max(1, float64(f.core.slots())/30)
		d := time.Duration(slow * float64(10*time.Millisecond))
		f.serve(d, d, ResultOK)
	}
	assert.Assert(t, f.core.slots() < 75, "limit %d", f.core.slots())
	assert.Assert(t, f.core.slots() >= 30, "limit %d", f.core.slots())
}

// Guards against a customer that lowers the limit again and again by turns of
// light and heavy requests.
func TestAlternatingWorkCausesOneCheck(t *testing.T) {
	f := newColdFixture(t)
	f.warm()
	for range 4 {
		f.serve(3*time.Second, 10*time.Millisecond, ResultOK)
		f.serve(1500*time.Millisecond, 60*time.Millisecond, ResultOK)
	}
	checks := 0
	for _, s := range f.signals {
		if s.To == "checking" {
			checks++
		}
	}
	assert.Equal(t, checks, 1)
}

// Guards against a late trial call that counts as a good answer.
func TestLateTrialCallDoesNotEndTrial(t *testing.T) {
	f := newColdFixture(t)
	f.warm()
	f.finish(f.arrive(customerName(0), "lookup"), ResultConnectionRefused)
	f.advance(100 * time.Millisecond)
	f.core.OnProbe(f.now, true)
	trial := f.arrive(customerName(0), "lookup")
	f.advance(time.Second)
	f.finish(trial, ResultTimeout)
	assert.Equal(t, f.state(), "trial")
}

// Guards against a service without a ramp time whose limit becomes no number
// on the first step of a ramp, so that all its calls are refused as shed.
func TestTargetWithoutRampTimeKeepsItsSlots(t *testing.T) {
	f := newFixture(t, 100)
	f.warm()
	f.core.target.now = f.now
	f.core.target.toFloor()
	f.core.target.stepUp()
	assert.Equal(t, f.core.slots(), 100)
	f.core.target.stepDown()
	assert.Equal(t, f.core.slots(), 100)
}
