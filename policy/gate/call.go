package gate

import (
	"time"

	"github.com/oleanderworks/oleanderworks/charts"
	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/model"
)

// Events of the call chart, in the chart's order.
const (
	eventAdmit chart.EventID = iota
	eventSlotFree
	eventShut
	eventExpired
	eventCanceled
	eventFinished
)

// call is one call at the gate.
type call struct {
	core    *Core
	state   chart.StateID
	now     time.Time // of the current step
	call    *model.Call
	arrived time.Time
	started time.Time
}

func newCallMachine() *chart.Machine[*call] {
	return chart.MustCompile(charts.MustRead("gate_call"), chart.Binding[*call]{
		States: []string{"arrived", "waiting", "running", "ended"},
		Events: []string{"admit", "slot_free", "shut", "expired", "canceled", "finished"},
		Guards: map[string]func(*call) bool{
			"open":          func(l *call) bool { return l.core.target.open() },
			"slot_free_now": (*call).slotFreeNow,
			"in_time":       (*call).inTime,
			"repeatable":    func(l *call) bool { return l.call.Idempotent },
		},
		Actions: map[string]func(*call){
			"run":         (*call).run,
			"wait":        func(l *call) { l.core.queue.add(l) },
			"leave_queue": func(l *call) { l.core.queue.remove(l) },
			"refuse_shut": (*call).refuseShut,
			"refuse_full": (*call).refuseFull,
			"refuse_late": func(l *call) { l.refuse(model.ReasonDeadline, "no slot became free before the deadline", 0) },
			"cancel_run":  func(l *call) { l.decide(Decision{Cancel: true}) },
			"release":     func(l *call) { l.core.running-- },
		},
	})
}

func (l *call) step(now time.Time, e chart.EventID) {
	l.now = now
	m := l.core.calls
	l.state = m.Step(l, l.state, e)
	if m.Final(l.state) {
		delete(l.core.byID, l.call.ID)
	}
}

func (l *call) slotFreeNow() bool {
	c := l.core
	return c.queue.length == 0 && c.slotFree(l.now) && (l.call.Nested || c.mayRunFresh(l.call.Priority))
}

// inTime reports whether the call can expect a slot early enough. A call that
// a target makes for one it runs may use all of its time: work was already
// done for it, and its refusal wastes that.
func (l *call) inTime() bool {
	c := l.core
	wait := c.waitAhead(l.now, l)
	left := l.call.Deadline.Sub(l.now) - c.runTime
	if l.call.Nested {
		return wait < left
	}
	objective := time.Duration(lateShare * float64(l.call.SLODeadline.Sub(l.now)))
	return wait < min(left, max(objective, 0))
}

func (l *call) run() {
	c := l.core
	l.started = l.now
	c.running++
	if !l.call.Nested {
		c.window(l.call.Priority).running++
	}
	c.target.countCold(l.now)
	l.decide(Decision{Run: l.call, Target: c.target.id})
}

func (l *call) refuseShut() {
	reason, detail := l.core.target.refusal()
	l.refuse(reason, detail, 0)
}

func (l *call) refuseFull() {
	c := l.core
	l.refuse(model.ReasonShed, "the queue for the target is too long", c.waitAhead(l.now, l))
}

func (l *call) refuse(reason model.Reason, detail string, after time.Duration) {
	a := model.NewRefusal(l.call.ID, reason, detail)
	a.RetryAfter = after
	a.Load = l.core.Load()
	l.decide(Decision{Answer: a})
}

func (l *call) decide(d Decision) {
	d.ID = l.call.ID
	l.core.out = append(l.core.out, d)
}
