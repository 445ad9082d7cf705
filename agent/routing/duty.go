// Package routing runs the routing policy on its own thread.
package routing

import (
	"expvar"
	"time"

	"github.com/oleanderworks/oleanderworks/agent/quorum"
	"github.com/oleanderworks/oleanderworks/core/duty"
	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/core/ring"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/routing"
)

// ringCapacity bounds the waiting messages; calls beyond it are refused as
// not run.
const ringCapacity = 8192

// Handler is the logic of the routing duty.
type Handler struct {
	core    *routing.Core
	log     *event.Log
	quorum  *ring.Ring[quorum.Message]
	inbox   *ring.Ring[Message]
	callers map[model.CallID]*caller
	metrics *metrics

	contactKnown bool // set by the first ContactChanged
	contactUntil time.Time
	contact      bool // as told to the core
}

// caller is the goroutine that carries one call.
type caller struct {
	reply   ring.Reply[routing.Decision]
	cancel  func()
	arrived time.Time // zero after the first decision
}

// New returns the duty that runs core. Requests for tokens and claims go to
// the ring of the quorum duty.
func New(core *routing.Core, votes *ring.Ring[quorum.Message], log *event.Log) (*duty.Duty[Message], *Handler) {
	h := &Handler{
		core:    core,
		log:     log,
		quorum:  votes,
		callers: make(map[model.CallID]*caller),
		metrics: newMetrics(),
		contact: true,
	}
	d := duty.New[Message]("routing", ringCapacity, h)
	h.inbox = d.Ring()
	return d, h
}

// Vars returns the metrics of routing decisions.
func (h *Handler) Vars() expvar.Var { return h.metrics.vars }

// Handle implements duty.Handler.
func (h *Handler) Handle(now time.Time, batch []Message) {
	h.judgeContact(now)
	for _, m := range batch {
		h.handle(now, m)
		h.act(now)
	}
}

// Tick implements duty.Handler.
func (h *Handler) Tick(now time.Time) time.Time {
	h.judgeContact(now)
	next := h.core.Tick(now)
	h.act(now)
	h.metrics.tick(now, h.core)
	return next
}

// Paused implements duty.PauseObserver.
func (h *Handler) Paused(_ time.Time, gap time.Duration) {
	h.log.Emit(event.NodePaused, "duty", "routing", "gap", gap)
	h.core.OnPause()
}

func (h *Handler) handle(now time.Time, m Message) {
	switch m := m.(type) {
	case *Begin:
		h.callers[m.Request.ID] = &caller{reply: m.Reply, cancel: m.Cancel, arrived: m.Arrived}
		h.core.OnRequest(now, m.Request)
	case *Outcome:
		h.onOutcome(now, m)
	case *Cancel:
		h.core.OnCanceled(now, m.CallID)
	case *RegisterParent:
		h.core.OnParentStarted(m.ContextID, m.Call)
	case *EndParent:
		m.Reply.Send(h.core.OnParentEnded(now, m.ContextID, m.Canceled))
		h.metrics.targetNode.record(m.NodeTime)
	case *TokensGranted:
		h.onTokens(now, m)
	case *ClaimDecided:
		h.core.OnClaim(now, m.CallID, m.Result)
	default:
		h.handleFleet(now, m)
	}
}

// handleFleet takes what the node learns about the fleet.
func (h *Handler) handleFleet(now time.Time, m Message) {
	switch m := m.(type) {
	case *SnapshotChanged:
		h.core.OnSnapshot(m.Snapshot)
	case *LoadReport:
		h.core.OnLoad(now, m.Instance, m.Load)
	case *SuspectChanged:
		h.log.Emit(event.TargetSuspected, "target", m.Instance, "suspect", m.Suspect)
		h.core.OnSuspect(m.Instance, m.Suspect)
	case *ContactChanged:
		h.contactKnown, h.contactUntil = true, m.Until
		h.judgeContact(now)
	}
}

// judgeContact tells the core when contact begins or has run out. It runs
// before each batch, so that a batch after a pause finds the contact ended.
func (h *Handler) judgeContact(now time.Time) {
	has := !h.contactKnown || now.Before(h.contactUntil)
	if has == h.contact {
		return
	}
	h.contact = has
	h.log.Emit(event.ContactKnown, "contact", has)
	h.core.OnContact(has)
}

func (h *Handler) onOutcome(now time.Time, m *Outcome) {
	id := m.Answer.ID
	c := h.callers[id]
	if c == nil {
		// The call has ended; its late outcome reaches only its own sender.
		m.Reply.Send(routing.Decision{CallID: id, Answer: m.Answer})
		return
	}
	c.reply = m.Reply
	if m.CallerGone {
		h.core.OnCanceled(now, id)
	}
	h.core.OnOutcome(now, m.Answer)
	if !h.core.Has(id) && !m.Answer.FromSystem() {
		h.metrics.answered.Add(1)
		delete(h.callers, id)
	}
}

func (h *Handler) onTokens(now time.Time, m *TokensGranted) {
	h.core.OnTokens(now, m.Result)
}

// act carries out what the core decided. Requests that the quorum ring refuses
// lead to further decisions.
func (h *Handler) act(now time.Time) {
	for _, o := range h.core.QuorumRequests() {
		h.order(now, o)
	}
	for _, d := range h.core.Decisions() {
		h.deliver(now, d)
	}
}

func (h *Handler) deliver(now time.Time, d routing.Decision) {
	h.metrics.decided(d)
	h.logDecision(d)
	c := h.callers[d.CallID]
	if c == nil {
		return
	}
	if d.Cancel {
		c.cancel()
		return
	}
	if !c.arrived.IsZero() {
		h.metrics.firstDecision(now.Sub(c.arrived), d)
		c.arrived = time.Time{}
	}
	if d.Answer != nil {
		delete(h.callers, d.CallID)
	}
	c.reply.Send(d)
}

func (h *Handler) logDecision(d routing.Decision) {
	switch {
	case d.Cancel:
		h.log.Emit(event.CallCanceled, "call", d.CallID)
	case d.Answer != nil:
		h.log.Emit(event.EntryCallRefused, "call", d.CallID, "reason", d.Answer.Reason, "run", d.Answer.Run,
			"detail", d.Answer.Detail)
	default:
		h.log.Emit(attemptEvents[d.Cause], "call", d.CallID, "service", d.Call.Service,
			"customer", d.Call.Customer, "class", d.Call.Class, "target", d.Target.Instance,
			"zone", d.Target.Zone, "attempt", d.Call.Attempt, "after", d.PreviousReason, "depth", d.Call.Depth)
	}
}

var attemptEvents = map[routing.Cause]*event.Def{
	routing.FirstAttempt: event.CallRouted,
	routing.Moved:        event.CallMoved,
	routing.Retried:      event.CallRetried,
}
