package gate

import (
	"time"

	"github.com/oleanderworks/oleanderworks/charts"
	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/model"
)

// Events of the state chart gate_call, in the chart's order.
const (
	eventAdmissionRequested chart.EventID = iota
	eventSlotFree
	eventTargetUnavailable
	eventExpired
	eventCanceled
	eventFinished
)

// trackedCall is a call at the target's node. It is tracked from its arrival until it
// is refused, it is canceled while it waits, or its run ends.
type trackedCall struct {
	core    *Core
	state   chart.StateID
	now     time.Time // time of the current step
	call    *model.Call
	arrived time.Time
	started time.Time

	urgency      int64 // order of the nested calls, see urgencyOf
	endedAtStart int   // external calls of the same priority that had ended when it started
}

func newCallMachine() *chart.Machine[*trackedCall] {
	return chart.MustCompile(charts.MustRead("gate_call"), chart.Binding[*trackedCall]{
		States: []string{"arrived", "waiting", "running", "ended"},
		Events: []string{"admission_requested", "slot_free", "target_unavailable", "expired", "canceled", "finished"},
		Guards: map[string]func(*trackedCall) bool{
			"target_available": func(tc *trackedCall) bool { return tc.core.target.available() },
			"may_run_now":      (*trackedCall).mayRunNow,
			"may_wait":         (*trackedCall).mayWait,
			"idempotent":       func(tc *trackedCall) bool { return tc.call.Idempotent },
		},
		Actions: map[string]func(*trackedCall){
			"run":                (*trackedCall).run,
			"enqueue":            func(tc *trackedCall) { tc.core.queue.add(tc) },
			"dequeue":            func(tc *trackedCall) { tc.core.queue.remove(tc) },
			"refuse_unavailable": (*trackedCall).refuseUnavailable,
			"refuse_overload":    (*trackedCall).refuseOverload,
			"refuse_deadline":    (*trackedCall).refuseDeadline,
			"cancel_run":         func(tc *trackedCall) { tc.emit(Decision{Cancel: true}) },
			"release_slot":       func(tc *trackedCall) { tc.core.running-- },
		},
	})
}

func (tc *trackedCall) step(now time.Time, event chart.EventID) {
	tc.now = now
	m := tc.core.callMachine
	tc.state = m.Step(tc, tc.state, event)
	if m.Final(tc.state) {
		delete(tc.core.byID, tc.call.ID)
	}
}

// mayRunNow reports whether the call may run without waiting: the target has capacity, an
// external call may run, and no waiting call may.
func (tc *trackedCall) mayRunNow() bool {
	c := tc.core
	return c.hasCapacity(tc.now) && (tc.call.Nested || c.mayRunExternal(tc.now, tc.call.Priority)) &&
		c.nextWaiting(tc.now) == nil
}

// mayWait reports whether the call's expected wait is short enough to queue it. A
// nested call, which a target makes for a call that it runs, may wait as long as its
// deadline allows: refusing it would waste the work already done for its parent. A long
// call may wait as long as it can still be answered within its objective: while it waits it
// takes no slot from the nested calls for which the target is short of room.
func (tc *trackedCall) mayWait() bool {
	c := tc.core
	wait := c.expectedWait(tc.now, tc)
	runTime := c.runTimes.of(tc.call.Nested, tc.call.Priority)
	remaining := tc.call.Deadline.Sub(tc.now) - runTime
	if tc.call.Nested {
		return wait < remaining
	}
	untilSLO := tc.call.SLODeadline.Sub(tc.now)
	maxWait := time.Duration(maxWaitFraction * float64(untilSLO))
	if c.runTimes.long(tc.now, tc.call.Priority) {
		maxWait = untilSLO - runTime
	}
	return wait < min(remaining, max(maxWait, 0))
}

func (tc *trackedCall) run() {
	c := tc.core
	tc.started = tc.now
	c.running++
	if tc.call.Nested {
		c.nested.onStarted(tc.now, tc.call.Priority)
		c.pressure.onStarted(tc.now, tc.now.Sub(tc.arrived))
	} else {
		w := c.windowFor(tc.call.Priority)
		w.running++
		tc.endedAtStart = w.ended
	}
	c.target.takeColdToken(tc.now)
	tc.emit(Decision{Run: tc.call, Target: c.target.id, Waited: tc.now.Sub(tc.arrived)})
}

func (tc *trackedCall) refuseUnavailable() {
	reason, detail := tc.core.target.refusal()
	tc.refuse(reason, detail, 0)
}

func (tc *trackedCall) refuseDeadline() {
	tc.recordTurnedAway()
	tc.refuse(model.ReasonDeadline, "no slot became free before the deadline", 0)
}

func (tc *trackedCall) refuseOverload() {
	c := tc.core
	tc.recordTurnedAway()
	tc.refuse(model.ReasonShed, "the queue for the target is too long", c.expectedWait(tc.now, tc))
}

func (tc *trackedCall) recordTurnedAway() {
	if tc.call.Nested {
		tc.core.pressure.onTurnedAway(tc.now)
	}
}

func (tc *trackedCall) refuse(reason model.Reason, detail string, retryAfter time.Duration) {
	a := model.NewRefusal(tc.call.ID, reason, detail)
	a.RetryAfter = retryAfter
	a.Load = tc.core.Load()
	tc.emit(Decision{Answer: a})
}

func (tc *trackedCall) emit(d Decision) {
	d.ID = tc.call.ID
	tc.core.decisions = append(tc.core.decisions, d)
}
