// Package admission runs the admission policy on its own thread.
package admission

import (
	"time"

	"github.com/oleanderworks/oleanderworks/core/duty"
	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/core/ring"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/admission"
)

// ringCapacity bounds the waiting messages; calls beyond it are refused as
// not run.
const ringCapacity = 8192

// Message is what the admission duty takes.
type Message interface{ admissionMessage() }

// Arrive asks for a call to be run. Reply gets the decision. CancelRunning
// is called on the duty's thread when a running call is to be cancelled; it
// must not block.
type Arrive struct {
	Call          *model.Call
	Reply         ring.Reply[Verdict]
	CancelRunning func()
}

// Verdict is the decision on a call. Answer is nil when the call is to run.
type Verdict struct {
	Answer *model.Answer
}

// Finish reports that the target has answered or lost a call. Reply gets the
// load report that goes with the answer.
type Finish struct {
	Answer *model.Answer
	Reply  ring.Reply[model.Load]
}

// Cancel reports that a caller has gone.
type Cancel struct{ CallID model.CallID }

// SnapshotChanged carries a new configuration.
type SnapshotChanged struct{ Snapshot *model.Snapshot }

// ContactChanged tells until when the node has contact. Zero means that it
// has none.
type ContactChanged struct{ Until time.Time }

// SampleLoad asks for the load report. Deliver runs on the admission thread
// and must not block.
type SampleLoad struct{ Deliver func(model.Load) }

func (*ContactChanged) admissionMessage()  {}
func (*SampleLoad) admissionMessage()      {}
func (*Arrive) admissionMessage()          {}
func (*Finish) admissionMessage()          {}
func (*Cancel) admissionMessage()          {}
func (*SnapshotChanged) admissionMessage() {}

// Handler is the logic of the admission duty.
type Handler struct {
	core    *admission.Core
	log     *event.Log
	waiting map[model.CallID]*Arrive
}

// New returns the duty that runs core.
func New(core *admission.Core, log *event.Log) *duty.Duty[Message] {
	h := &Handler{core: core, log: log, waiting: make(map[model.CallID]*Arrive)}
	return duty.New[Message]("admission", ringCapacity, h)
}

// Handle implements duty.Handler.
func (h *Handler) Handle(now time.Time, batch []Message) {
	for _, m := range batch {
		h.handle(now, m)
		h.deliver()
	}
}

func (h *Handler) handle(now time.Time, m Message) {
	switch m := m.(type) {
	case *Arrive:
		h.waiting[m.Call.ID] = m
		h.core.OnArrival(now, m.Call)
	case *Finish:
		h.core.OnFinished(now, m.Answer.ID)
		delete(h.waiting, m.Answer.ID)
		m.Reply.Send(h.core.Load())
	case *Cancel:
		h.core.OnCanceled(now, m.CallID)
	case *SnapshotChanged:
		h.core.OnSnapshot(m.Snapshot)
	case *ContactChanged:
		h.core.OnContact(m.Until)
	case *SampleLoad:
		m.Deliver(h.core.Load())
	}
}

func (h *Handler) deliver() {
	for _, d := range h.core.Decisions() {
		arrive := h.waiting[d.CallID]
		if arrive == nil {
			continue
		}
		h.deliverOne(d, arrive)
	}
}

func (h *Handler) deliverOne(d admission.Decision, arrive *Arrive) {
	switch {
	case d.Answer != nil:
		d.Answer.Load = h.core.Load()
		h.log.Emit(event.CallRefused, "call", d.CallID, "reason", d.Answer.Reason)
		delete(h.waiting, d.CallID)
		arrive.Reply.Send(Verdict{Answer: d.Answer})
	case d.Cancel:
		arrive.CancelRunning()
	case d.Run:
		h.log.Emit(event.CallStarted, "call", d.CallID, "customer", arrive.Call.Customer, "class", arrive.Call.Class)
		arrive.Reply.Send(Verdict{})
	}
}

// Tick implements duty.Handler.
func (h *Handler) Tick(now time.Time) time.Time {
	next := h.core.Tick(now)
	h.deliver()
	return next
}
