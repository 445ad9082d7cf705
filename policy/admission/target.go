package admission

import (
	"time"

	"github.com/oleanderworks/oleanderworks/charts"
	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/model"
)

type eventID = chart.EventID

// States of the target chart, in the chart's order.
const (
	stateCold chart.StateID = iota
	stateRamping
	stateWarm
	stateChecking
	stateLost
	stateTrial
	stateOut
	stateDraining
	stateDrained
)

// Events of the target chart, in the chart's order.
const (
	eventGoodWindow chart.EventID = iota
	eventBadWindow
	eventSlowElsewhere
	eventJumped
	eventRestarted
	eventLost
	eventTimer
	eventProbeOK
	eventProbeFailed
	eventTakenOut
	eventReturned
	eventDrain
	eventEmptied
)

const (
	// resetWindow is the time in which broken connections count together. One
	// broken connection may come from one request; a target that has gone
	// breaks all of them at once.
	resetWindow = 200 * time.Millisecond
	// Pace of connection attempts to a lost target.
	firstProbe = 25 * time.Millisecond
	maxProbe   = 100 * time.Millisecond
	// maxTrialPause bounds the pause after a trial call was lost: such a call
	// costs a caller its request, a connection attempt costs nothing.
	maxTrialPause = 4 * time.Second
	// drainQueueTime is how long waiting calls may still start after the
	// shutdown began: a leaving target gets no new work after a few seconds.
	drainQueueTime = 2 * time.Second
)

// Signal tells what happened to the target. Exactly one field is set.
type Signal struct {
	Probe   bool   // try to open a connection and report to OnProbe
	Drained bool   // draining, and no call is left
	From    string // state before a change of state
	To      string // state after it
	Limit   int    // calls that may run at once after it
}

// target is the life of the target beside the node.
type target struct {
	core    *Core
	now     time.Time
	state   chart.StateID
	machine *chart.Machine[*target]
	window  window
	judged  window // the window of the current event
	start   string // last start marker

	resets     int // broken connections since firstReset
	firstReset time.Time
	atReset    int // calls in flight at firstReset
	probePause time.Duration
	due        time.Time // of the next timer; zero when none is planned
	rampFrom   time.Time // start of the ramp
	out        bool
}

func newTarget(c *Core) target {
	t := target{core: c, probePause: firstProbe}
	t.machine = newTargetMachine()
	t.state = t.machine.Initial()
	return t
}

func newTargetMachine() *chart.Machine[*target] {
	return chart.MustCompile(charts.MustRead("target"), chart.Binding[*target]{
		States: []string{"cold", "ramping", "warm", "checking", "lost", "trial", "out", "draining", "drained"},
		Events: []string{"good_window", "bad_window", "slow_elsewhere", "jumped", "restarted", "lost", "timer",
			"probe_ok", "probe_failed", "taken_out", "returned", "drain", "emptied"},
		Guards: map[string]func(*target) bool{
			"at_slots": func(t *target) bool { return t.core.limit.atSlots() },
		},
		Actions: map[string]func(*target){
			"to_floor":       (*target).toFloor,
			"step_up":        (*target).stepUp,
			"step_down":      (*target).stepDown,
			"decrease":       func(t *target) { t.core.limit.decrease(&t.judged) },
			"increase":       func(t *target) { t.core.limit.increase() },
			"restore":        func(t *target) { t.core.limit.restore() },
			"adopt_latency":  func(t *target) { t.core.latency.adopt(t.now) },
			"forget_latency": func(t *target) { t.core.latency.forget() },
			"stop":           func(t *target) { t.core.limit.value = 0 },
			"refuse_waiting": (*target).refuseWaiting,
			"schedule_probe": func(t *target) { t.due = t.now.Add(t.jittered()) },
			"retry_probe":    (*target).retryProbe,
			"back_off":       (*target).backOff,
			"send_probe":     (*target).sendProbe,
			"allow_trial":    (*target).allowTrial,
			"end_trial":      func(t *target) { t.core.limit.toFloor() },
			"reset_probe":    func(t *target) { t.probePause = firstProbe },
			"limit_drain":    func(t *target) { t.due = t.now.Add(drainQueueTime) },
			"report_empty":   func(t *target) { t.core.signals = append(t.core.signals, Signal{Drained: true}) },
		},
	})
}

func (t *target) step(now time.Time, e eventID) {
	t.now = now
	before := t.state
	t.state = t.machine.Step(t, before, e)
	if t.state == before {
		return
	}
	t.window.reset(now)
	t.core.signals = append(t.core.signals, Signal{
		From: t.machine.StateName(before), To: t.machine.StateName(t.state), Limit: t.core.slots(),
	})
}

// onEnd looks for signs of a restart in the end of a call. It reports whether
// the target was found to be another one than before.
func (t *target) onEnd(now time.Time, o Outcome, inFlight int) bool {
	switch o.Result {
	case ResultConnectionRefused:
		t.step(now, eventLost)
		return true
	case ResultConnectionReset:
		return t.onReset(now, inFlight)
	}
	if o.StartMarker == "" || o.StartMarker == t.start {
		return false
	}
	changed := t.start != ""
	t.start = o.StartMarker
	if changed {
		t.step(now, eventRestarted)
	}
	return changed
}

// onReset counts broken connections. The target is lost when half of what was
// in flight at the first of them has broken.
func (t *target) onReset(now time.Time, inFlight int) bool {
	if t.resets == 0 || now.Sub(t.firstReset) > resetWindow {
		t.resets, t.firstReset, t.atReset = 0, now, inFlight
	}
	t.resets++
	if 2*t.resets < t.atReset {
		return false
	}
	t.resets = 0
	t.step(now, eventLost)
	return true
}

// onSwitch follows the operators' switches for the target and its zone.
func (t *target) onSwitch(now time.Time, out bool) {
	if out == t.out {
		return
	}
	t.out = out
	if out {
		t.step(now, eventTakenOut)
	} else {
		t.step(now, eventReturned)
	}
}

// onEmptied ends the draining when no call is left.
func (t *target) onEmptied(now time.Time) {
	if t.state == stateDraining && len(t.core.executions) == 0 {
		t.step(now, eventEmptied)
	}
}

func (t *target) tick(now time.Time) {
	if t.due.IsZero() || now.Before(t.due) {
		return
	}
	t.due = time.Time{}
	t.step(now, eventTimer)
}

func (t *target) sendProbe() { t.core.signals = append(t.core.signals, Signal{Probe: true}) }

// retryProbe doubles the pause after a failed connection attempt.
func (t *target) retryProbe() {
	if t.probePause < maxProbe {
		t.probePause *= 2
	}
	t.due = t.now.Add(t.jittered())
}

// backOff lengthens the pause after a lost trial call, so that a target that
// fails at each start does not get a call at each.
func (t *target) backOff() {
	t.probePause = min(4*t.probePause, maxTrialPause)
	t.due = t.now.Add(t.jittered())
}

func (t *target) jittered() time.Duration {
	return time.Duration(float64(t.probePause) * (0.75 + 0.5*t.core.rng.Float64()))
}

func (t *target) refuseWaiting() {
	reason, detail := model.ReasonTargetFailed, "the target takes no connections"
	switch {
	case t.out && t.core.zoneOut():
		reason, detail = model.ReasonZoneOut, "the availability zone is out of service"
	case t.out:
		reason, detail = model.ReasonTargetOut, "the target is out of service"
	case t.leaving():
		reason, detail = model.ReasonTargetLeaving, "the target's node shuts down"
	}
	t.core.refuseWaiting(t.now, reason, detail)
}

// stepUp lifts the limit to the line from the floor, at the time the target
// came back, to the slots at the end of the ramp. A limit never more than
// doubles on one good window.
func (t *target) stepUp() {
	l := &t.core.limit
	if l.floor() >= l.slots() {
		// Without a ramp time there is no line to follow.
		l.set(l.slots())
		return
	}
	part := float64(t.now.Sub(t.rampFrom)) / float64(t.core.config.RampTime.Std())
	line := l.floor() + (l.slots()-l.floor())*part
	l.set(min(max(line, l.value), 2*l.value))
}

// stepDown lowers the limit of a ramping target, not below its floor. The ramp
// goes on from there.
func (t *target) stepDown() {
	l := &t.core.limit
	l.set(max(l.value*stepDownFactor, l.floor()))
	if rest := l.slots() - l.floor(); rest > 0 {
		part := (l.value - l.floor()) / rest
		t.rampFrom = t.now.Add(-time.Duration(part * float64(t.core.config.RampTime.Std())))
	}
}

// allowTrial lets one call pass. The ramp counts from here, since the target
// has come back by now.
func (t *target) allowTrial() {
	t.core.limit.value = 1
	t.rampFrom = t.now
}

// toFloor begins a ramp.
func (t *target) toFloor() {
	t.core.limit.toFloor()
	t.rampFrom = t.now
}

// closed returns why no call is taken, or no reason.
func (t *target) closed() (model.Reason, string) {
	switch t.state {
	case stateLost:
		return model.ReasonTargetFailed, "the target takes no connections"
	case stateTrial:
		if t.core.running > 0 {
			return model.ReasonTargetFailed, "the target has not answered since it was lost"
		}
	case stateDraining, stateDrained:
		return model.ReasonTargetLeaving, "the target's node shuts down"
	}
	return model.ReasonNone, ""
}

// tried reports whether the target has yet to answer a first call.
func (t *target) tried() bool { return t.state == stateTrial }

func (t *target) leaving() bool {
	return t.state == stateOut || t.state == stateDraining || t.state == stateDrained
}

// OnProbe takes the result of a connection attempt that a signal asked for.
func (c *Core) OnProbe(now time.Time, ok bool) {
	if ok {
		c.target.step(now, eventProbeOK)
	} else {
		c.target.step(now, eventProbeFailed)
	}
}

// OnDrain begins the shutdown: new calls are refused, waiting and running
// ones end. A signal reports when none is left.
func (c *Core) OnDrain(now time.Time) {
	c.target.step(now, eventDrain)
	c.target.onEmptied(now)
}
