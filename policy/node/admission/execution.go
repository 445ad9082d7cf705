package admission

import (
	"time"

	"github.com/oleanderworks/oleanderworks/charts"
	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/model"
)

// Events of the execution chart, in the chart's order.
const (
	executionEventAdmit chart.EventID = iota
	executionEventSlotFree
	executionEventDeadlineUnreachable
	executionEventRefused
	executionEventShed
	executionEventCanceled
	executionEventFinished
)

// execution is the state of one call at its target's node.
type execution struct {
	core      *Core
	state     chart.StateID
	now       time.Time // time of the current step
	call      *model.Call
	classRank int
	arrived   time.Time
	started   time.Time
	refusal   *model.Answer // answer that the event refused sends

	runDecided     bool // the decision to run the call has been made
	canceled       bool // the decision to cancel the call at the target has been made
	answered       bool // the call was refused, or its outcome at the target is known
	onReservedSlot bool // started on a reserved slot, out of class order

	// Links of the list that the call is queued in; nil when it is not queued.
	list       *executionList
	prev, next *execution
}

func newExecutionMachine() *chart.Machine[*execution] {
	return chart.MustCompile(charts.MustRead("execution"), chart.Binding[*execution]{
		States: []string{"arrived", "queued", "running", "ended"},
		Events: []string{"admit", "slot_free", "deadline_unreachable", "refused", "shed", "canceled", "finished"},
		Guards: map[string]func(*execution) bool{
			"slot_available": (*execution).slotAvailable,
			"queue_has_room": (*execution).queueHasRoom,
			"can_evict":      (*execution).canEvict,
		},
		Actions: map[string]func(*execution){
			"start":            (*execution).start,
			"enqueue":          (*execution).enqueue,
			"evict":            (*execution).evict,
			"leave_queue":      func(e *execution) { e.core.queue.remove(e) },
			"refuse_shed":      (*execution).refuseShed,
			"refuse_deadline":  (*execution).refuseDeadline,
			"answer_refusal":   func(e *execution) { e.refuse(e.refusal) },
			"refuse_canceled":  (*execution).refuseCanceled,
			"cancel_at_target": (*execution).cancelAtTarget,
			"release_slot":     (*execution).releaseSlot,
		},
	})
}

// newExecution reuses an ended execution or allocates a new one.
func (c *Core) newExecution(now time.Time, call *model.Call) *execution {
	var e *execution
	if n := len(c.freeExecutions); n > 0 {
		e = c.freeExecutions[n-1]
		c.freeExecutions = c.freeExecutions[:n-1]
	} else {
		e = new(execution)
	}
	*e = execution{core: c, state: c.machine.Initial(), call: call, classRank: c.classRank(call), arrived: now}
	return e
}

// maxFreeExecutions bounds the executions that are kept for reuse.
const maxFreeExecutions = 1024

// recycle keeps an ended execution for reuse.
func (c *Core) recycle(e *execution) {
	if len(c.freeExecutions) < maxFreeExecutions {
		*e = execution{}
		c.freeExecutions = append(c.freeExecutions, e)
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

// slotAvailable reports whether an arriving call may start at once. It may not
// while others are queued, so that it does not overtake them.
func (e *execution) slotAvailable() bool {
	return e.core.running < e.core.currentLimit() && e.core.queue.length == 0
}

func (e *execution) queueHasRoom() bool {
	c := e.core
	return !e.wouldStarve() && c.queue.length < c.queueLimit() && c.queue.hasFairShareLeft(e, c.weight(e.call.Customer), c.queueLimit())
}

// wouldStarve reports whether a sub-call would be queued in a class that gets
// no slots. It is refused at once, since it would hold its parent's slot at
// another target until it is shed.
func (e *execution) wouldStarve() bool {
	return e.call.Depth > 0 && e.core.queue.classes[e.classRank].starved(e.now)
}

func (e *execution) canEvict() bool { return e.victim() != nil }

// victim returns the queued call that is evicted to make room for e, or nil.
func (e *execution) victim() *execution {
	c := e.core
	if e.wouldStarve() {
		return nil
	}
	if !c.queue.hasFairShareLeft(e, c.weight(e.call.Customer), c.queueLimit()) {
		return c.queue.victimOfSameCustomer(e)
	}
	return c.queue.victimOfLongestQueue(e)
}

func (e *execution) start() {
	c := e.core
	c.running++
	e.assert(c.running <= c.currentLimit(), "admission_within_limit")
	e.assert(!e.answered && !e.runDecided, "admission_runs_once")
	e.runDecided = true
	e.started = e.now
	c.queue.onStart(e)
	c.demand.onStart(e.now)
	c.decisions = append(c.decisions, Decision{
		CallID: e.call.ID, Run: true, HandoffDeadline: e.handoffDeadline(), StallTimeout: c.serviceTimes.stallTimeout(e),
	})
}

func (e *execution) enqueue() { e.core.queue.add(e, e.core.weight(e.call.Customer)) }

// evict sheds the queued call that victim selects.
func (e *execution) evict() {
	e.victim().step(e.now, executionEventShed)
}

// refuseShed refuses a call that can neither start nor be queued, was evicted,
// or has waited too long.
func (e *execution) refuseShed() {
	e.core.queue.onShed(e.now, e.classRank)
	e.refuse(model.NewRefusal(e.call.ID, model.ReasonShed, "the queue for the target is full"))
}

func (e *execution) refuseDeadline() {
	e.core.queue.onShed(e.now, e.classRank)
	e.refuse(model.NewRefusal(e.call.ID, model.ReasonDeadline, "no slot became free early enough for the deadline"))
}

func (e *execution) refuseCanceled() {
	e.refuse(model.NewRefusal(e.call.ID, model.ReasonCanceled, "the caller has gone"))
}

func (e *execution) refuse(a *model.Answer) {
	if e.call.Claim != nil {
		e.core.handoffs.MarkRefused(e.call.Claim)
	}
	e.assert(!e.runDecided, "admission_not_run_is_true")
	e.assert(!e.answered, "admission_answers_once")
	e.answered = true
	e.core.refuse(e.now, a)
}

// cancelAtTarget decides to cancel the call at the target. The slot stays in use
// until OnFinished reports that the call has ended there.
func (e *execution) cancelAtTarget() {
	if e.canceled {
		return
	}
	e.canceled = true
	e.core.decisions = append(e.core.decisions, Decision{CallID: e.call.ID, Cancel: true})
}

func (e *execution) releaseSlot() {
	e.assert(!e.answered, "admission_answers_once")
	e.answered = true
	e.core.running--
	e.core.queue.onEnd(e)
}
