package admission

import (
	"time"

	"github.com/oleanderworks/oleanderworks/charts"
	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/model"
)

// targetEventID is an event of the target chart.
type targetEventID = chart.EventID

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
	targetEventGoodWindow chart.EventID = iota
	targetEventBadWindow
	targetEventDependencySlow
	targetEventServiceTimeJumped
	targetEventRestarted
	targetEventLost
	targetEventTimerExpired
	targetEventProbeOK
	targetEventProbeFailed
	targetEventOutOfService
	targetEventBackInService
	targetEventDrain
	targetEventNoCallsLeft
)

const (
	// connectionResetWindow is the time within which connection resets are counted
	// together. A single reset may be caused by one request, while a target that
	// has crashed resets all connections at once.
	connectionResetWindow = 200 * time.Millisecond
	// Bounds of the delay between connection attempts to a lost target, without
	// jitter. After a lost trial call the delay may be longer, up to
	// maxProbeDelayAfterTrial.
	initialProbeDelay = 25 * time.Millisecond
	maxProbeDelay     = 100 * time.Millisecond
	// maxProbeDelayAfterTrial bounds the delay after a trial call was lost. It is
	// longer than maxProbeDelay, since a lost trial call fails a caller's request,
	// while a failed connection attempt costs nothing.
	maxProbeDelayAfterTrial = 4 * time.Second
	// maxDrainQueueTime is how long queued calls may still start after the
	// shutdown has begun. Those left are then refused, so that entry nodes can
	// send them to other targets.
	maxDrainQueueTime = 2 * time.Second
)

// Signal is a request for a connection attempt (Probe), the end of a drain
// (Drained), or a change of the target's state (From, To and Limit).
type Signal struct {
	Probe   bool   // open a connection to the target and report the result to OnProbe
	Drained bool   // the last call has ended in the state draining
	From    string // state before the change
	To      string // state after the change
	Limit   int    // current limit after the change
}

// target is the state of the node's local target.
type target struct {
	core            *Core
	now             time.Time
	state           chart.StateID
	machine         *chart.Machine[*target]
	window          window
	evaluatedWindow window // window whose evaluation gave the current event
	startMarker     string // latest start marker from the target; it changes when the target restarts

	resets               int // connection resets since firstReset
	firstReset           time.Time
	inFlightAtFirstReset int // calls in flight at firstReset
	probeDelay           time.Duration
	timerDue             time.Time // zero when no timer is set
	rampStart            time.Time
	outOfService         bool
}

func newTarget(c *Core) target {
	t := target{core: c, probeDelay: initialProbeDelay}
	t.machine = newTargetMachine()
	t.state = t.machine.Initial()
	return t
}

func newTargetMachine() *chart.Machine[*target] {
	return chart.MustCompile(charts.MustRead("target"), chart.Binding[*target]{
		States: []string{"cold", "ramping", "warm", "checking", "lost", "trial", "out", "draining", "drained"},
		Events: []string{"good_window", "bad_window", "dependency_slow", "service_time_jumped", "restarted", "lost", "timer_expired",
			"probe_ok", "probe_failed", "out_of_service", "back_in_service", "drain", "no_calls_left"},
		Guards: map[string]func(*target) bool{
			"limit_at_slots": func(t *target) bool { return t.core.limit.atConfiguredSlots() },
		},
		Actions: map[string]func(*target){
			"reset_limit_and_ramp":            (*target).resetLimitAndRamp,
			"ramp_up":                         (*target).rampUp,
			"ramp_down":                       (*target).rampDown,
			"decrease_limit":                  func(t *target) { t.core.limit.decrease(&t.evaluatedWindow) },
			"increase_limit":                  func(t *target) { t.core.limit.increase() },
			"reset_limit_to_slots":            func(t *target) { t.core.limit.resetToConfiguredSlots() },
			"adopt_mean_as_baseline":          func(t *target) { t.core.serviceTimes.adoptMeanAsBaseline(t.now) },
			"reset_service_times":             func(t *target) { t.core.serviceTimes.reset() },
			"set_limit_to_zero":               func(t *target) { t.core.limit.value = 0 },
			"refuse_queued":                   (*target).refuseQueued,
			"schedule_first_probe":            func(t *target) { t.timerDue = t.now.Add(t.jitteredProbeDelay()) },
			"schedule_next_probe":             (*target).scheduleNextProbe,
			"schedule_probe_after_lost_trial": (*target).scheduleProbeAfterLostTrial,
			"send_probe":                      (*target).sendProbe,
			"admit_trial_call":                (*target).admitTrialCall,
			"reset_limit_to_cold_floor":       func(t *target) { t.core.limit.resetToColdFloor() },
			"reset_probe_delay":               func(t *target) { t.probeDelay = initialProbeDelay },
			"start_drain_timer":               func(t *target) { t.timerDue = t.now.Add(maxDrainQueueTime) },
			"report_drained":                  func(t *target) { t.core.signals = append(t.core.signals, Signal{Drained: true}) },
		},
	})
}

func (t *target) step(now time.Time, e targetEventID) {
	t.now = now
	before := t.state
	t.state = t.machine.Step(t, before, e)
	if t.state == before {
		return
	}
	t.window.reset(now)
	t.core.signals = append(t.core.signals, Signal{
		From: t.machine.StateName(before), To: t.machine.StateName(t.state), Limit: t.core.currentLimit(),
	})
}

// observeOutcome detects from the outcome of a call that the target is lost or
// has restarted. It reports whether one of them is the case.
func (t *target) observeOutcome(now time.Time, o Outcome, inFlight int) bool {
	switch o.Result {
	case ResultConnectionRefused:
		t.step(now, targetEventLost)
		return true
	case ResultConnectionReset:
		return t.onConnectionReset(now, inFlight)
	}
	if o.StartMarker == "" || o.StartMarker == t.startMarker {
		return false
	}
	changed := t.startMarker != ""
	t.startMarker = o.StartMarker
	if changed {
		t.step(now, targetEventRestarted)
	}
	return changed
}

// onConnectionReset counts connection resets. The target counts as lost when the
// resets within connectionResetWindow reach half of the calls that were in flight
// at the first one. It reports whether that is so.
func (t *target) onConnectionReset(now time.Time, inFlight int) bool {
	if t.resets == 0 || now.Sub(t.firstReset) > connectionResetWindow {
		t.resets, t.firstReset, t.inFlightAtFirstReset = 0, now, inFlight
	}
	t.resets++
	if 2*t.resets < t.inFlightAtFirstReset {
		return false
	}
	t.resets = 0
	t.step(now, targetEventLost)
	return true
}

// setOutOfService applies the operator's setting that takes the target or its
// availability zone out of service.
func (t *target) setOutOfService(now time.Time, outOfService bool) {
	if outOfService == t.outOfService {
		return
	}
	t.outOfService = outOfService
	if outOfService {
		t.step(now, targetEventOutOfService)
	} else {
		t.step(now, targetEventBackInService)
	}
}

// checkDrained ends the state draining once no call is left.
func (t *target) checkDrained(now time.Time) {
	if t.state == stateDraining && len(t.core.executions) == 0 {
		t.step(now, targetEventNoCallsLeft)
	}
}

func (t *target) tick(now time.Time) {
	if t.timerDue.IsZero() || now.Before(t.timerDue) {
		return
	}
	t.timerDue = time.Time{}
	t.step(now, targetEventTimerExpired)
}

func (t *target) sendProbe() { t.core.signals = append(t.core.signals, Signal{Probe: true}) }

// scheduleNextProbe doubles the delay after a failed connection attempt until it
// reaches maxProbeDelay. A delay that a lost trial call has made longer is kept.
func (t *target) scheduleNextProbe() {
	if t.probeDelay < maxProbeDelay {
		t.probeDelay *= 2
	}
	t.timerDue = t.now.Add(t.jitteredProbeDelay())
}

// scheduleProbeAfterLostTrial lengthens the delay after a lost trial call, so
// that a target in a crash loop does not fail a call after each start.
func (t *target) scheduleProbeAfterLostTrial() {
	t.probeDelay = min(4*t.probeDelay, maxProbeDelayAfterTrial)
	t.timerDue = t.now.Add(t.jitteredProbeDelay())
}

func (t *target) jitteredProbeDelay() time.Duration {
	return time.Duration(float64(t.probeDelay) * (0.75 + 0.5*t.core.rng.Float64()))
}

func (t *target) refuseQueued() {
	reason, detail := model.ReasonTargetFailed, "the target takes no connections"
	switch {
	case t.outOfService && t.core.zoneOut():
		reason, detail = model.ReasonZoneOut, "the availability zone is out of service"
	case t.outOfService:
		reason, detail = model.ReasonTargetOut, "the target is out of service"
	case t.acceptsNoNewCalls():
		reason, detail = model.ReasonTargetLeaving, "the target's node shuts down"
	}
	t.core.refuseQueued(t.now, reason, detail)
}

// rampUp raises the limit along the ramp, which rises linearly from the cold
// floor at rampStart to the configured slots at the end of the ramp time. After
// one good window the limit at most doubles.
func (t *target) rampUp() {
	l := &t.core.limit
	if l.coldFloor() >= l.configuredSlots() {
		// There is no ramp without a ramp time, or if the cold floor is not below
		// the configured slots.
		l.set(l.configuredSlots())
		return
	}
	fraction := float64(t.now.Sub(t.rampStart)) / float64(t.core.config.RampTime.Std())
	planned := l.coldFloor() + (l.configuredSlots()-l.coldFloor())*fraction
	l.set(min(max(planned, l.value), 2*l.value))
}

// rampDown lowers the limit of a ramping target, but not below the cold floor.
// The ramp continues from the lowered limit.
func (t *target) rampDown() {
	l := &t.core.limit
	l.set(max(l.value*rampDownFactor, l.coldFloor()))
	if span := l.configuredSlots() - l.coldFloor(); span > 0 {
		fraction := (l.value - l.coldFloor()) / span
		t.rampStart = t.now.Add(-time.Duration(fraction * float64(t.core.config.RampTime.Std())))
	}
}

// admitTrialCall sets the limit to one call. The ramp starts now, since the
// target accepts connections again.
func (t *target) admitTrialCall() {
	t.core.limit.value = 1
	t.rampStart = t.now
}

// resetLimitAndRamp sets the limit to the cold floor and begins a new ramp.
func (t *target) resetLimitAndRamp() {
	t.core.limit.resetToColdFloor()
	t.rampStart = t.now
}

// refusalReason returns why the target's state admits no call, or ReasonNone. In
// the state out, checkPolicy refuses the calls.
func (t *target) refusalReason() (model.Reason, string) {
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

// inTrial reports whether a target that was lost has not answered a call since.
func (t *target) inTrial() bool { return t.state == stateTrial }

// acceptsNoNewCalls reports whether the target is out of service or its node
// shuts down. Load reports tell entry nodes to choose other targets.
func (t *target) acceptsNoNewCalls() bool {
	return t.state == stateOut || t.state == stateDraining || t.state == stateDrained
}

// OnProbe handles the result of a connection attempt that a signal requested.
func (c *Core) OnProbe(now time.Time, ok bool) {
	if ok {
		c.target.step(now, targetEventProbeOK)
	} else {
		c.target.step(now, targetEventProbeFailed)
	}
}

// OnDrain begins the shutdown: new calls are refused, while queued and running
// calls may end. A signal reports when none is left.
func (c *Core) OnDrain(now time.Time) {
	c.target.step(now, targetEventDrain)
	c.target.checkDrained(now)
}
