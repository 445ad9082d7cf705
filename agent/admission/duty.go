// Package admission implements the admission duty, which runs the admission policy
// of the target's node on its own thread.
package admission

import (
	"context"
	"expvar"
	"time"

	"github.com/oleanderworks/oleanderworks/core/duty"
	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/core/ring"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/admission"
)

// ringCapacity bounds the queued messages. A call is refused as not run if the ring
// is full.
const ringCapacity = 8192

// Message is a message to the admission duty.
type Message interface{ admissionMessage() }

// Admit requests a decision whether a call may run at the target. Reply gets the
// decision. CancelRunning is called on the duty's thread to cancel the running call;
// it must not block.
type Admit struct {
	Call          *model.Call
	Reply         ring.Reply[AdmitResult]
	CancelRunning func()
}

// AdmitResult is the decision on a call. Answer is the refusal, or nil if the
// call may run.
type AdmitResult struct {
	Answer          *model.Answer
	HandoffDeadline time.Time // the call must not be sent to the target after it
	// StallTimeout is the time without a byte after which the connection to the
	// target is closed, if the target has answered a call that started later.
	StallTimeout time.Duration
	Load         model.Load // the target's load at the decision, sent with the answer
}

// CallEnded reports that an admitted call has ended.
type CallEnded struct {
	Answer      *model.Answer
	StartMarker string        // changes when the target restarts; empty if the target sends none
	SubCallWait time.Duration // time for which the call waited for its sub-calls
}

// ProbeDone reports whether a connection attempt to the target succeeded.
type ProbeDone struct{ OK bool }

// BeginDrain starts to drain the target: new calls are refused as target_leaving,
// queued calls may still start for a short time, and running calls finish. Done gets
// a value when no call is left.
type BeginDrain struct{ Done ring.Reply[struct{}] }

// Cancel reports that the caller of a call no longer waits: it has disconnected or
// the call's deadline has passed.
type Cancel struct{ CallID model.CallID }

// SnapshotChanged carries a new configuration.
type SnapshotChanged struct{ Snapshot *model.Snapshot }

// ContactChanged gives the time until which the node counts as in contact with
// nodes in a majority of the region's availability zones (policy/node/membership). The
// zero time means that it has no contact. Without contact, requests with a key are
// refused.
type ContactChanged struct{ Until time.Time }

// SampleLoad requests a sample of the target's load. Deliver is called with it on
// the duty's thread and must not block.
type SampleLoad struct{ Deliver func(model.Load) }

// IncarnationChanged reports that the node has a new incarnation. Claims that name
// it are valid once a snapshot contains it; those that name an earlier incarnation of
// this process stay valid.
type IncarnationChanged struct{ Self model.Member }

func (*IncarnationChanged) admissionMessage() {}
func (*ContactChanged) admissionMessage()     {}
func (*SampleLoad) admissionMessage()         {}
func (*Admit) admissionMessage()              {}
func (*CallEnded) admissionMessage()          {}
func (*ProbeDone) admissionMessage()          {}
func (*BeginDrain) admissionMessage()         {}
func (*Cancel) admissionMessage()             {}
func (*SnapshotChanged) admissionMessage()    {}

// Target probes the target and limits the connections to it.
type Target interface {
	// Probe reports whether a connection can be opened.
	Probe(ctx context.Context) bool
	// SetMaxConnections sets the limit of connections to the target.
	SetMaxConnections(n int)
}

// Handler handles the messages of the admission duty.
type Handler struct {
	ctx          context.Context
	core         *admission.Core
	target       Target
	quarantine   Quarantine
	log          *event.Log
	inbox        *ring.Ring[Message]
	pending      map[model.CallID]*Admit
	drainReplies []ring.Reply[struct{}]
	drained      bool // the drain has ended
	metrics      *metrics
}

// New returns the duty that runs core, and its metrics. Probes of the target are
// canceled when ctx ends. q must be the quarantine with which core checks calls.
func New(ctx context.Context, core *admission.Core, target Target, q Quarantine, log *event.Log) (*duty.Duty[Message], *expvar.Map) {
	h := &Handler{
		ctx:        ctx,
		core:       core,
		target:     target,
		quarantine: q,
		log:        log,
		pending:    make(map[model.CallID]*Admit),
		metrics:    newMetrics(core),
	}
	d := duty.New[Message]("admission", ringCapacity, h)
	h.inbox = d.Ring()
	return d, h.metrics.vars
}

// Handle implements duty.Handler.
func (h *Handler) Handle(now time.Time, batch []Message) {
	for _, m := range batch {
		h.handle(now, m)
		h.deliverDecisions(now)
	}
	h.quarantine.Flush(now)
}

func (h *Handler) handle(now time.Time, m Message) {
	switch m := m.(type) {
	case *Admit:
		h.admit(now, m)
	case *QuarantineUpdate:
		h.quarantine.OnMarkUpdate(now, m.Update)
	case *CallEnded:
		h.quarantine.OnEnded(now, m.Answer)
		outcome := admission.OutcomeOf(m.Answer, m.StartMarker)
		outcome.SubCallWait = m.SubCallWait
		h.core.OnFinished(now, outcome)
		delete(h.pending, m.Answer.ID)
	case *Cancel:
		h.core.OnCanceled(now, m.CallID)
	case *ProbeDone:
		h.core.OnProbe(now, m.OK)
	case *BeginDrain:
		h.drain(now, m)
	case *SnapshotChanged:
		h.core.OnSnapshot(now, m.Snapshot)
		h.quarantine.OnSnapshot(m.Snapshot)
		if n := h.core.MaxConnections(); n > 0 {
			h.target.SetMaxConnections(n)
		}
	case *IncarnationChanged:
		h.core.OnNewIncarnation(m.Self)
	case *ContactChanged:
		h.core.OnContact(m.Until)
	case *SampleLoad:
		m.Deliver(h.core.Load())
	}
}

// admit passes a call to the policy. It refuses a call whose id is in use, which does
// not affect the first call with the id.
func (h *Handler) admit(now time.Time, m *Admit) {
	if h.pending[m.Call.ID] != nil {
		answer := model.NewRefusal(m.Call.ID, model.ReasonInProgress, "a call with this id is at the target's node")
		m.Reply.Send(AdmitResult{Answer: answer})
		return
	}
	h.pending[m.Call.ID] = m
	h.core.OnArrival(now, m.Call)
}

func (h *Handler) drain(now time.Time, m *BeginDrain) {
	if h.drained {
		m.Done.Send(struct{}{})
		return
	}
	h.drainReplies = append(h.drainReplies, m.Done)
	h.core.OnDrain(now)
}

func (h *Handler) deliverDecisions(now time.Time) {
	for _, d := range h.core.Decisions() {
		if request := h.pending[d.CallID]; request != nil {
			h.deliverDecision(now, d, request)
		}
	}
	for _, s := range h.core.Signals() {
		h.handleSignal(s)
	}
}

func (h *Handler) deliverDecision(now time.Time, d admission.Decision, request *Admit) {
	switch {
	case d.Answer != nil:
		d.Answer.Load = h.core.Load()
		h.quarantine.OnEnded(now, d.Answer)
		h.metrics.onRefusal(d.Answer.Reason)
		h.log.Emit(event.CallNotAdmitted, "call", d.CallID, "reason", d.Answer.Reason)
		delete(h.pending, d.CallID)
		request.Reply.Send(AdmitResult{Answer: d.Answer})
	case d.Cancel:
		request.CancelRunning()
	case d.Run:
		h.quarantine.OnStarted(d.CallID)
		h.metrics.started.Add(1)
		h.log.Emit(event.CallStarted, "call", d.CallID, "customer", request.Call.Customer, "class", request.Call.Class)
		request.Reply.Send(AdmitResult{HandoffDeadline: d.HandoffDeadline, StallTimeout: d.StallTimeout, Load: h.core.Load()})
	}
}

func (h *Handler) handleSignal(s admission.Signal) {
	switch {
	case s.Probe:
		go h.probe()
	case s.Drained:
		h.drained = true
		for _, reply := range h.drainReplies {
			reply.Send(struct{}{})
		}
		h.drainReplies = nil
	default:
		h.metrics.onSignal(s)
		h.log.Emit(event.TargetChanged, "from", s.From, "to", s.To, "limit", s.Limit)
	}
}

// probe tries to connect to the target. It blocks, so it needs its own goroutine.
func (h *Handler) probe() {
	ok := h.target.Probe(h.ctx)
	_ = h.inbox.Put(h.ctx, &ProbeDone{OK: ok})
}

// Tick implements duty.Handler.
func (h *Handler) Tick(now time.Time) time.Time {
	next := h.core.Tick(now)
	h.deliverDecisions(now)
	h.metrics.publish(h.core.Load())
	return next
}
