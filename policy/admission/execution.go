package admission

import (
	"slices"

	"github.com/oleanderworks/oleanderworks/charts"
	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/model"
)

// Events of the execution chart, in the chart's order.
const (
	eventAdmit chart.EventID = iota
	eventSlotFree
	eventExpired
	eventCanceled
	eventFinished
)

// execution is one call at its target's node.
type execution struct {
	core  *Core
	state chart.StateID
	call  *model.Call
}

func newMachine() *chart.Machine[*execution] {
	return chart.MustCompile(charts.MustRead("execution"), chart.Binding[*execution]{
		States: []string{"arrived", "queued", "running", "ended"},
		Events: []string{"admit", "slot_free", "expired", "canceled", "finished"},
		Guards: map[string]func(*execution) bool{
			"slot_available": (*execution).slotAvailable,
			"queue_has_room": (*execution).queueHasRoom,
		},
		Actions: map[string]func(*execution){
			"start":           (*execution).start,
			"enqueue":         (*execution).enqueue,
			"refuse_full":     func(e *execution) { e.refuse(model.ReasonShed, "the queue is full") },
			"refuse_deadline": func(e *execution) { e.refuse(model.ReasonDeadline, "the deadline passed in the queue") },
			"refuse_canceled": func(e *execution) { e.refuse(model.ReasonCanceled, "the caller has gone") },
			"cancel_target":   (*execution).cancelTarget,
			"release_slot":    func(e *execution) { e.core.running-- },
		},
	})
}

func (e *execution) step(ev chart.EventID) {
	m := e.core.machine
	e.state = m.Step(e, e.state, ev)
	if m.Final(e.state) {
		delete(e.core.executions, e.call.ID)
	}
}

func (e *execution) slotAvailable() bool {
	return e.core.running < e.core.slots() && len(e.core.queue) == 0
}

func (e *execution) queueHasRoom() bool {
	return len(e.core.queue) < queueFactor*e.core.slots()
}

func (e *execution) start() {
	e.leaveQueue()
	e.core.running++
	e.core.out = append(e.core.out, Decision{CallID: e.call.ID, Run: true})
}

func (e *execution) enqueue() { e.core.queue = append(e.core.queue, e) }

func (e *execution) refuse(reason model.Reason, detail string) {
	e.leaveQueue()
	answer := model.Refusal(e.call.ID, reason, detail)
	e.core.out = append(e.core.out, Decision{CallID: e.call.ID, Answer: answer})
}

func (e *execution) cancelTarget() {
	e.core.out = append(e.core.out, Decision{CallID: e.call.ID, Cancel: true})
}

func (e *execution) leaveQueue() {
	if i := slices.Index(e.core.queue, e); i >= 0 {
		e.core.queue = slices.Delete(e.core.queue, i, i+1)
	}
}
