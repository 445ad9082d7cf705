package admission

import (
	"time"

	"github.com/oleanderworks/oleanderworks/charts"
	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/model"
)

// Events of the execution chart, in the chart's order.
const (
	eventAdmit chart.EventID = iota
	eventSlotFree
	eventExpired
	eventFenced
	eventPushedOut
	eventCanceled
	eventFinished
)

// execution is one call at its target's node.
type execution struct {
	core    *Core
	state   chart.StateID
	now     time.Time // time of the current step
	call    *model.Call
	rank    int
	arrived time.Time
	started time.Time
	answer  *model.Answer // why a fence refuses the call

	handedOver bool // the decision to run was given out
	canceled   bool // the target was told to stop
	answered   bool // a decision that ends the call was given out
	fromShare  bool // runs on the slots that are not given away by class

	// Place in the queue; nil when the call does not wait.
	list       *list
	prev, next *execution
}

func newMachine() *chart.Machine[*execution] {
	return chart.MustCompile(charts.MustRead("execution"), chart.Binding[*execution]{
		States: []string{"arrived", "queued", "running", "ended"},
		Events: []string{"admit", "slot_free", "expired", "fenced", "pushed_out", "canceled", "finished"},
		Guards: map[string]func(*execution) bool{
			"slot_available": (*execution).slotAvailable,
			"queue_has_room": (*execution).queueHasRoom,
			"may_push_out":   (*execution).mayPushOut,
		},
		Actions: map[string]func(*execution){
			"start":           (*execution).start,
			"enqueue":         (*execution).enqueue,
			"push_out":        (*execution).pushOut,
			"leave_queue":     func(e *execution) { e.core.queue.remove(e) },
			"refuse_full":     (*execution).refuseFull,
			"refuse_deadline": (*execution).refuseDeadline,
			"refuse_fenced":   func(e *execution) { e.refuse(e.answer) },
			"refuse_canceled": (*execution).refuseCanceled,
			"cancel_target":   (*execution).cancelTarget,
			"release_slot":    (*execution).releaseSlot,
		},
	})
}

// newExecution takes an ended execution into use again, or a new one.
func (c *Core) newExecution(now time.Time, call *model.Call) *execution {
	var e *execution
	if n := len(c.free); n > 0 {
		e = c.free[n-1]
		c.free = c.free[:n-1]
	} else {
		e = new(execution)
	}
	*e = execution{core: c, state: c.machine.Initial(), call: call, rank: c.rank(call), arrived: now}
	return e
}

// maxFree bounds the executions that are kept for reuse.
const maxFree = 1024

// recycle keeps an ended execution for reuse.
func (c *Core) recycle(e *execution) {
	if len(c.free) < maxFree {
		*e = execution{}
		c.free = append(c.free, e)
	}
}

func (e *execution) step(now time.Time, ev chart.EventID) {
	m := e.core.machine
	e.now = now
	e.state = m.Step(e, e.state, ev)
	if m.Final(e.state) {
		delete(e.core.executions, e.call.ID)
	}
}

// slotAvailable lets a call pass only when none waits: a call that arrives
// does not overtake.
func (e *execution) slotAvailable() bool {
	return e.core.running < e.core.slots() && e.core.queue.length == 0
}

func (e *execution) queueHasRoom() bool {
	c := e.core
	return !e.hopeless() && c.queue.length < c.budget() && c.queue.belowPart(e, c.weight(e.call.Customer), c.budget())
}

// hopeless reports whether a sub-call would wait in a class that gets no
// slots. It is refused at once, since it would hold the slot of its parent at
// another target until it is dropped.
func (e *execution) hopeless() bool {
	return e.call.Depth > 0 && e.core.queue.classes[e.rank].starved(e.now)
}

func (e *execution) mayPushOut() bool { return e.victim() != nil }

// victim returns the waiting call that e replaces, or nil.
func (e *execution) victim() *execution {
	c := e.core
	if e.hopeless() {
		return nil
	}
	if !c.queue.belowPart(e, c.weight(e.call.Customer), c.budget()) {
		return c.queue.ownLater(e)
	}
	return c.queue.victim(e)
}

func (e *execution) start() {
	c := e.core
	c.running++
	e.assert(c.running <= c.slots(), "admission_within_limit")
	e.assert(!e.answered && !e.handedOver, "admission_runs_once")
	e.handedOver = true
	e.started = e.now
	c.queue.onStart(e)
	c.pressure.onStart(e.now)
	c.out = append(c.out, Decision{
		CallID: e.call.ID, Run: true, HandoffDeadline: e.handOverUntil(), StallTimeout: c.latency.silence(e),
	})
}

func (e *execution) enqueue() { e.core.queue.add(e, e.core.weight(e.call.Customer)) }

// pushOut makes room by dropping a waiting call of the class shed first.
func (e *execution) pushOut() {
	e.victim().step(e.now, eventPushedOut)
}

func (e *execution) refuseFull() {
	e.core.queue.onShed(e.now, e.rank)
	e.refuse(model.NewRefusal(e.call.ID, model.ReasonShed, "the queue for the target is full"))
}

func (e *execution) refuseDeadline() {
	e.core.queue.onShed(e.now, e.rank)
	e.refuse(model.NewRefusal(e.call.ID, model.ReasonDeadline, "no slot became free early enough for the deadline"))
}

func (e *execution) refuseCanceled() {
	e.refuse(model.NewRefusal(e.call.ID, model.ReasonCanceled, "the caller has gone"))
}

func (e *execution) refuse(a *model.Answer) {
	if e.call.Claim != nil {
		e.core.seen.MarkRefused(e.call.Claim)
	}
	e.assert(!e.handedOver, "admission_not_run_is_true")
	e.assert(!e.answered, "admission_answers_once")
	e.answered = true
	e.core.refuse(e.now, a)
}

// cancelTarget tells the target to stop. The slot stays taken until the
// target's side has ended.
func (e *execution) cancelTarget() {
	if e.canceled {
		return
	}
	e.canceled = true
	e.core.out = append(e.core.out, Decision{CallID: e.call.ID, Cancel: true})
}

func (e *execution) releaseSlot() {
	e.assert(!e.answered, "admission_answers_once")
	e.answered = true
	e.core.running--
	e.core.queue.onEnd(e)
}
