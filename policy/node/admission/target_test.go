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
	f.publishConfig()
	return f
}

// Guards against a limit that rises to the configured slots at once, and
// against a ramp that takes much longer than configured.
func TestRampTakesConfiguredTime(t *testing.T) {
	f := newColdFixture(t)
	assert.Equal(t, f.core.currentLimit(), 10)
	f.serve(time.Second, 10*time.Millisecond, ResultOK)
	assert.Assert(t, f.core.currentLimit() > 40 && f.core.currentLimit() < 65, "limit %d after half the ramp", f.core.currentLimit())
	f.serve(1300*time.Millisecond, 10*time.Millisecond, ResultOK)
	assert.Equal(t, f.core.currentLimit(), 100)
	assert.Equal(t, f.state(), "warm")
}

// Guards against a single fast answer that raises the limit of a cold target.
func TestSingleFastAnswerDoesNotRaiseLimit(t *testing.T) {
	f := newColdFixture(t)
	id := f.arrive(customerName(0), "lookup")
	f.advance(time.Second)
	f.finish(id, ResultOK)
	assert.Equal(t, f.core.currentLimit(), 10)
}

// Guards against an undetected restart of the target: each outcome that shows one
// must reset the limit to the cold floor or to zero.
func TestRestartIsDetected(t *testing.T) {
	for name, tc := range map[string]struct {
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
			f.setWarm()
			f.finishWith(Outcome{CallID: f.arrive(customerName(0), "lookup"), StartMarker: "first"})
			assert.Equal(t, f.core.currentLimit(), 100)
			f.finishWith(tc.outcome(f.arrive(customerName(0), "lookup")))
			assert.Equal(t, f.state(), tc.state)
			assert.Equal(t, f.core.currentLimit(), tc.limit)
		})
	}
}

// Guards against a target that counts as lost for all customers because a single
// request of one customer reset its connection.
func TestSingleResetDoesNotLoseTarget(t *testing.T) {
	f := newColdFixture(t)
	f.setWarm()
	id := f.arrive(customerName(0), "lookup")
	for range 20 {
		f.arrive(customerName(1), "lookup")
	}
	f.finish(id, ResultConnectionReset)
	assert.Equal(t, f.state(), "warm")
}

// Guards against accepting calls for a lost target, and against full load on a
// target that has just accepted a connection again.
func TestLostTargetGetsOneTrialCall(t *testing.T) {
	f := newColdFixture(t)
	f.setWarm()
	f.finish(f.arrive(customerName(0), "lookup"), ResultConnectionRefused)
	assert.Equal(t, refusalReasonOf(t, f, f.arrive(customerName(0), "lookup")), model.ReasonTargetFailed)

	f.signals = nil
	f.advance(100 * time.Millisecond)
	assert.Assert(t, f.signals[0].Probe)
	f.core.OnProbe(f.now, false)
	f.advance(time.Second)
	f.core.OnProbe(f.now, true)
	assert.Equal(t, f.state(), "trial")

	trial := f.arrive(customerName(0), "lookup")
	assert.Assert(t, f.running[trial])
	assert.Equal(t, refusalReasonOf(t, f, f.arrive(customerName(0), "lookup")), model.ReasonTargetFailed)
	f.finish(trial, ResultOK)
	assert.Equal(t, f.state(), "cold")
	assert.Equal(t, f.core.currentLimit(), 10)
}

// Guards against a limit that stays low after a jump of the service time that a
// slow dependency caused, such as a database: less load does not make the target
// faster then.
func TestSlowDependencyRestoresLimit(t *testing.T) {
	f := newColdFixture(t)
	f.setWarm()
	f.serve(3*time.Second, 10*time.Millisecond, ResultOK)
	f.serve(1500*time.Millisecond, 60*time.Millisecond, ResultOK)
	assert.Equal(t, f.state(), "warm")
	assert.Equal(t, f.core.currentLimit(), 100)
	var states []string
	for _, s := range f.signals {
		states = append(states, s.To)
	}
	assert.DeepEqual(t, states, []string{"checking", "warm"})
}

// Guards against keeping a target overloaded that can temporarily handle fewer
// calls than its configured slots.
func TestLimitFollowsDegradedTarget(t *testing.T) {
	f := newColdFixture(t)
	f.setWarm()
	f.serve(3*time.Second, 10*time.Millisecond, ResultOK)
	for range 200 {
		// The target can handle 30 calls at once; above that its service time
		// grows.
		slowdown := max(1, float64(f.core.currentLimit())/30)
		d := time.Duration(slowdown * float64(10*time.Millisecond))
		f.serve(d, d, ResultOK)
	}
	assert.Assert(t, f.core.currentLimit() < 75, "limit %d", f.core.currentLimit())
	assert.Assert(t, f.core.currentLimit() >= 30, "limit %d", f.core.currentLimit())
}

// Guards against repeated checks at the cold floor because a customer alternates
// between light and heavy requests.
func TestAlternatingRequestCostCausesOneCheck(t *testing.T) {
	f := newColdFixture(t)
	f.setWarm()
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

// Guards against a trial that ends although its call was not answered in time.
func TestLateTrialCallDoesNotEndTrial(t *testing.T) {
	f := newColdFixture(t)
	f.setWarm()
	f.finish(f.arrive(customerName(0), "lookup"), ResultConnectionRefused)
	f.advance(100 * time.Millisecond)
	f.core.OnProbe(f.now, true)
	trial := f.arrive(customerName(0), "lookup")
	f.advance(time.Second)
	f.finish(trial, ResultTimeout)
	assert.Equal(t, f.state(), "trial")
}

// Guards against a division by zero for a service without a ramp time: the limit
// would become NaN on the first step of the ramp, and all calls would be shed.
func TestTargetWithoutRampTimeKeepsConfiguredSlots(t *testing.T) {
	f := newFixture(t, 100)
	f.setWarm()
	f.core.target.now = f.now
	f.core.target.resetLimitAndRamp()
	f.core.target.rampUp()
	assert.Equal(t, f.core.currentLimit(), 100)
	f.core.target.rampDown()
	assert.Equal(t, f.core.currentLimit(), 100)
}
