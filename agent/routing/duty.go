// Package routing implements the routing duty, which runs the routing policy of the
// entry node on its own thread.
package routing

import (
	"expvar"
	"time"

	"github.com/oleanderworks/oleanderworks/agent/quorum"
	"github.com/oleanderworks/oleanderworks/core/duty"
	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/core/ring"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/routing"
)

// ringCapacity bounds the queued messages. A call is refused as not run if the ring
// is full.
const ringCapacity = 8192

// Handler handles the messages of the routing duty.
type Handler struct {
	core         *routing.Core
	log          *event.Log
	quorum       *ring.Ring[quorum.Message]
	inbox        *ring.Ring[Message]
	pendingCalls map[model.CallID]*pendingCall
	metrics      *metrics

	contactKnown bool // set by the first ContactChanged
	contactUntil time.Time
	contact      bool // last value passed to the core
}

// pendingCall holds what the duty needs to reply to, or cancel, the goroutine that
// serves a call in progress.
type pendingCall struct {
	reply      ring.Reply[routing.Decision]
	cancel     func()
	receivedAt time.Time // zero after the first decision
}

// New returns the duty that runs core, and its handler. Requests for tokens and
// claims go to quorumRing.
func New(core *routing.Core, quorumRing *ring.Ring[quorum.Message], log *event.Log) (*duty.Duty[Message], *Handler) {
	h := &Handler{
		core:         core,
		log:          log,
		quorum:       quorumRing,
		pendingCalls: make(map[model.CallID]*pendingCall),
		metrics:      newMetrics(),
		contact:      true,
	}
	d := duty.New[Message]("routing", ringCapacity, h)
	h.inbox = d.Ring()
	return d, h
}

// Vars returns the metrics of the routing decisions.
func (h *Handler) Vars() expvar.Var { return h.metrics.vars }

// Handle implements duty.Handler.
func (h *Handler) Handle(now time.Time, batch []Message) {
	h.updateContact(now)
	for _, m := range batch {
		h.handle(now, m)
		h.performActions(now)
	}
}

// Tick implements duty.Handler.
func (h *Handler) Tick(now time.Time) time.Time {
	h.updateContact(now)
	next := h.core.Tick(now)
	h.performActions(now)
	h.metrics.publishAll(now, h.core)
	return next
}

// Paused implements duty.PauseObserver.
func (h *Handler) Paused(_ time.Time, gap time.Duration) {
	h.log.Emit(event.NodePaused, "duty", "routing", "gap", gap)
	h.core.OnPaused()
}

func (h *Handler) handle(now time.Time, m Message) {
	switch m := m.(type) {
	case *BeginCall:
		h.pendingCalls[m.Request.ID] = &pendingCall{reply: m.Reply, cancel: m.CancelAttempt, receivedAt: m.ReceivedAt}
		h.core.OnRequest(now, m.Request)
	case *AttemptDone:
		h.onAttemptDone(now, m)
	case *Cancel:
		h.core.OnCanceled(now, m.CallID)
	case *RegisterParent:
		h.core.OnParentStarted(m.ContextID, m.Call)
	case *EndParent:
		m.Reply.Send(h.core.OnParentEnded(now, m.ContextID, m.Canceled))
		h.metrics.handoffDelay.record(m.HandoffDelay)
	case *TokenResult:
		h.onTokenResult(now, m)
	case *ClaimResult:
		h.core.OnClaim(now, m.CallID, m.Result)
	default:
		h.handleUpdate(now, m)
	}
}

// handleUpdate handles messages that do not belong to a call: about the
// configuration, targets and contact.
func (h *Handler) handleUpdate(now time.Time, m Message) {
	switch m := m.(type) {
	case *SnapshotChanged:
		h.core.OnSnapshot(m.Snapshot)
	case *LoadReport:
		h.core.OnLoad(now, m.Instance, m.Load)
	case *ExclusionChanged:
		h.log.Emit(event.TargetSuspected, "target", m.Instance, "suspect", m.Excluded)
		h.core.OnExclusion(m.Instance, m.Excluded)
	case *ContactChanged:
		h.contactKnown, h.contactUntil = true, m.Until
		h.updateContact(now)
	}
}

// updateContact tells the core whether the node has contact, if that has changed. It
// runs before each batch, so that the first batch after a pause of the process is
// not handled with contact that expired during the pause.
func (h *Handler) updateContact(now time.Time) {
	inContact := !h.contactKnown || now.Before(h.contactUntil)
	if inContact == h.contact {
		return
	}
	h.contact = inContact
	h.log.Emit(event.ContactChanged, "contact", inContact)
	h.core.OnContact(inContact)
}

func (h *Handler) onAttemptDone(now time.Time, m *AttemptDone) {
	id := m.Answer.ID
	c := h.pendingCalls[id]
	if c == nil {
		// The call has already ended, so only the sender gets the outcome.
		m.Reply.Send(routing.Decision{CallID: id, Answer: m.Answer})
		return
	}
	c.reply = m.Reply
	if m.CallerDisconnected {
		h.core.OnCanceled(now, id)
	}
	h.core.OnOutcome(now, m.Answer)
	if !h.core.Has(id) && !m.Answer.FromNode() {
		h.metrics.answered.Add(1)
		delete(h.pendingCalls, id)
	}
}

func (h *Handler) onTokenResult(now time.Time, m *TokenResult) {
	h.core.OnTokens(now, m.Result)
}

// performActions sends the core's requests to the quorum duty and then delivers its
// decisions. Requests come first, since a request that the full ring of the quorum
// duty rejects leads to further decisions.
func (h *Handler) performActions(now time.Time) {
	for _, request := range h.core.QuorumRequests() {
		h.sendQuorumRequest(now, request)
	}
	for _, d := range h.core.Decisions() {
		h.deliverDecision(now, d)
	}
}

func (h *Handler) deliverDecision(now time.Time, d routing.Decision) {
	h.metrics.recordDecision(d)
	h.logDecision(d)
	c := h.pendingCalls[d.CallID]
	if c == nil {
		return
	}
	if d.Cancel {
		c.cancel()
		return
	}
	if !c.receivedAt.IsZero() {
		h.metrics.recordFirstDecision(now.Sub(c.receivedAt), d)
		c.receivedAt = time.Time{}
	}
	if d.Answer != nil {
		delete(h.pendingCalls, d.CallID)
	}
	c.reply.Send(d)
}

// logDecision logs a decision. A replayed answer and the node's own answer to OPTIONS
// are also logged as EntryCallRefused, with an empty reason; the metrics count them as
// answered.
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

var attemptEvents = map[routing.Cause]*event.Definition{
	routing.FirstAttempt: event.CallRouted,
	routing.Moved:        event.CallMoved,
	routing.Retried:      event.CallRetried,
}
