// Package routing runs the routing policy on its own thread.
package routing

import (
	"time"

	"github.com/oleanderworks/oleanderworks/core/duty"
	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/core/ring"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/routing"
)

// ringCapacity bounds the waiting messages; calls beyond it are refused as
// not run.
const ringCapacity = 8192

// Message is what the routing duty takes.
type Message interface{ routingMessage() }

// Begin starts a call. Reply gets the first decision.
type Begin struct {
	Request *model.Request
	Reply   ring.Reply[routing.Decision]
}

// Outcome reports the result of an attempt. Reply gets the next decision; it
// is the zero value when the sender does not wait.
type Outcome struct {
	Answer *model.Answer
	Reply  ring.Reply[routing.Decision]
}

// Cancel ends a call whose caller has gone.
type Cancel struct{ CallID model.CallID }

// SnapshotChanged carries a new configuration.
type SnapshotChanged struct{ Snapshot *model.Snapshot }

// SuspectChanged tells whether a peer is to get no new calls, since it is
// silent to this node or leaving.
type SuspectChanged struct {
	Instance model.Instance
	Avoided  bool
}

// LoadReport carries a load report from a peer's heartbeat.
type LoadReport struct {
	Instance model.Instance
	Load     model.Load
}

// ContactChanged tells until when the node has contact. Zero means that it
// has none.
type ContactChanged struct{ Until time.Time }

func (*SuspectChanged) routingMessage()  {}
func (*LoadReport) routingMessage()      {}
func (*ContactChanged) routingMessage()  {}
func (*Begin) routingMessage()           {}
func (*Outcome) routingMessage()         {}
func (*Cancel) routingMessage()          {}
func (*SnapshotChanged) routingMessage() {}

// Handler is the logic of the routing duty.
type Handler struct {
	core    *routing.Core
	log     *event.Log
	replies map[model.CallID]ring.Reply[routing.Decision]
}

// New returns the duty that runs core.
func New(core *routing.Core, log *event.Log) *duty.Duty[Message] {
	h := &Handler{core: core, log: log, replies: make(map[model.CallID]ring.Reply[routing.Decision])}
	return duty.New[Message]("routing", ringCapacity, h)
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
	case *Begin:
		h.replies[m.Request.ID] = m.Reply
		h.core.OnRequest(now, m.Request)
	case *Outcome:
		h.onOutcome(now, m)
	case *Cancel:
		h.core.OnCanceled(now, m.CallID)
	case *SnapshotChanged:
		h.core.OnSnapshot(m.Snapshot)
	case *SuspectChanged:
		h.core.OnSuspect(m.Instance, m.Avoided)
	case *ContactChanged:
		h.core.OnContact(m.Until)
	}
}

func (h *Handler) onOutcome(now time.Time, m *Outcome) {
	if !h.core.Has(m.Answer.ID) {
		// The call was cancelled while its attempt was on the way.
		m.Reply.Send(routing.Decision{CallID: m.Answer.ID, Answer: m.Answer})
		return
	}
	h.replies[m.Answer.ID] = m.Reply
	h.core.OnOutcome(now, m.Answer)
	if !m.Answer.Refused() {
		delete(h.replies, m.Answer.ID)
	}
}

func (h *Handler) deliver() {
	for _, d := range h.core.Decisions() {
		h.logDecision(d)
		reply := h.replies[d.CallID]
		delete(h.replies, d.CallID)
		reply.Send(d)
	}
}

func (h *Handler) logDecision(d routing.Decision) {
	if d.Answer != nil {
		h.log.Emit(event.CallAnswered, "call", d.CallID, "reason", d.Answer.Reason, "run", d.Answer.Run)
		return
	}
	h.log.Emit(event.CallRouted, "call", d.CallID, "service", d.Call.Service, "customer", d.Call.Customer,
		"target", d.Target.Instance, "zone", d.Target.Zone, "attempt", d.Call.Attempt)
}

// Tick implements duty.Handler.
func (h *Handler) Tick(time.Time) time.Time { return time.Time{} }
