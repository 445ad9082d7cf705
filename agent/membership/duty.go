// Package membership implements the membership duty, which runs the membership and
// shutdown policies of a node of package agent on its own thread.
package membership

import (
	"time"

	"github.com/oleanderworks/oleanderworks/core/duty"
	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/drain"
	"github.com/oleanderworks/oleanderworks/policy/node/membership"
	"github.com/oleanderworks/oleanderworks/transport/wire"
)

const (
	// ringCapacity bounds the queued messages. Only the sender of TargetUp waits
	// for room; other messages are dropped if the ring is full. A single dropped
	// heartbeat is harmless, since a peer counts as silent only after three
	// missing heartbeats. Snapshots are offered again. Load samples, probes and
	// suspicions are repeated at intervals, and a suspicion whose retraction was
	// dropped expires. A peer whose goodbye was dropped is excluded once it is
	// silent. If an AppendDone is dropped, the node does not retry a failed append
	// of its own record, nor the removal of the peer that the record names. If
	// BeginShutdown is dropped, the node stops without announcing it, once the drain
	// time and a margin have passed.
	ringCapacity = 1024
	// loadSampleInterval is the time between samples of the load of the node's
	// target. Each heartbeat carries the latest sample.
	loadSampleInterval = 500 * time.Millisecond
)

// Outputs holds the functions that carry out the duty's actions. None may block.
type Outputs struct {
	// Send queues a payload for a peer, Broadcast for all linked peers.
	// SendRefutation tells a node that suspects a peer that this node receives the
	// peer's heartbeats.
	Send           func(to model.Instance, kind uint32, m *wire.Probe)
	Broadcast      func(kind uint32, m *wire.Suspicion)
	SendRefutation func(to model.Instance, m *wire.Suspicion)
	// SetExcluded tells the routing duty to send no new calls to a peer, or to
	// resume them. It returns false if the duty's ring is full.
	SetExcluded func(i model.Instance, excluded bool) bool
	// ReportPeerLoad passes a peer's load to the routing duty. The load may be
	// dropped, since the next one replaces it.
	ReportPeerLoad func(i model.Instance, l model.Load)
	// UpdateContact tells the other duties the time until which the node counts as
	// in contact with its peers.
	UpdateContact func(until time.Time)
	// SetOwnLoad passes the load that heartbeats carry to the links duty.
	SetOwnLoad func(l model.Load)
	// SampleLoad requests a sample of the load, which is delivered as LoadSampled.
	SampleLoad func()
	// Append starts the append of a record to the log. Its result is delivered as
	// AppendDone.
	Append func(r *model.MemberRecord)
	// ProbePeer starts a probe of a peer on behalf of another node, which gets the
	// result.
	ProbePeer func(to model.Instance, id uint64, peer model.Member)
	// InFlight returns the number of calls in progress on the node.
	InFlight func() int
	// RunShutdownStep carries out one step of the shutdown.
	RunShutdownStep func(a drain.Action)
	// ChangeIncarnation gives the node a new incarnation.
	ChangeIncarnation func(self model.Member)
}

// Handler handles the messages of the membership duty.
type Handler struct {
	core              *membership.Core
	shutdown          *drain.Core
	out               Outputs
	log               *event.Log
	loadSampledAt     time.Time
	contactUntil      time.Time
	pendingExclusions map[model.Instance]bool // changes that the routing duty does not have yet, since its ring was full
}

// New returns the duty that runs the membership and shutdown policies.
func New(core *membership.Core, shutdown *drain.Core, out Outputs, log *event.Log) *duty.Duty[Message] {
	h := &Handler{core: core, shutdown: shutdown, out: out, log: log, pendingExclusions: make(map[model.Instance]bool)}
	return duty.New[Message]("membership", ringCapacity, h)
}

// Handle implements duty.Handler.
func (h *Handler) Handle(now time.Time, batch []Message) {
	for _, m := range batch {
		h.handle(now, m)
	}
	h.performActions()
}

// Tick implements duty.Handler.
func (h *Handler) Tick(now time.Time) time.Time {
	next := h.core.Tick(now)
	h.shutdown.Tick(now, h.out.InFlight())
	h.performActions()
	h.offerExclusions()
	h.out.UpdateContact(h.contactUntil)
	if now.Sub(h.loadSampledAt) >= loadSampleInterval {
		h.loadSampledAt = now
		h.out.SampleLoad()
	}
	return next
}

// Paused implements duty.PauseObserver.
func (h *Handler) Paused(now time.Time, gap time.Duration) {
	h.log.Emit(event.NodePaused, "duty", "membership", "gap", gap)
	h.core.OnPaused(now)
	h.performActions()
}

func (h *Handler) handle(now time.Time, m Message) {
	switch m := m.(type) {
	case *SnapshotChanged:
		h.core.OnSnapshot(now, m.Snapshot)
	case *HeartbeatReceived:
		h.core.OnHeartbeat(now, m.SentAt, m.EchoSentAt, m.From)
		h.out.ReportPeerLoad(m.From.Instance, m.Load)
	case *TargetUp:
		h.core.OnTargetUp(now)
	case *AppendDone:
		h.onAppendDone(now, m)
	case *ProbeRequested:
		h.core.OnProbeRequest(now, m.From, m.ID, m.Peer)
	case *ProbeAnswered:
		h.core.OnProbeAnswer(now, m.ID, m.Reached)
	case *SuspicionReceived:
		h.onSuspicion(now, m)
	case *PeerLeaving:
		h.log.Emit(event.PeerLeaving, "peer", m.From)
		h.core.OnGoodbye(now, m.From)
	case *LoadSampled:
		m.Load.Draining = m.Load.Draining || !h.shutdown.Running()
		h.out.SetOwnLoad(m.Load)
	case *BeginShutdown:
		h.shutdown.OnStop(now)
		h.core.OnLeave(now)
	}
}

func (h *Handler) onSuspicion(now time.Time, m *SuspicionReceived) {
	if m.Refuted {
		h.core.OnRefutation(now, m.Peer)
		return
	}
	h.core.OnSuspicion(now, m.From, m.Peer, m.Retracted)
}

func (h *Handler) onAppendDone(now time.Time, m *AppendDone) {
	if m.Err != nil {
		h.log.Emit(event.LogUnavailable, "step", "append member record", "error", m.Err)
	}
	h.core.OnAppended(now, m.Record, m.Err == nil)
}

func (h *Handler) performActions() {
	for _, a := range h.core.Actions() {
		h.performAction(a)
	}
	if h.core.HasLeft() {
		h.shutdown.OnLeaveRecorded()
	}
	for _, a := range h.shutdown.Actions() {
		h.runShutdownStep(a)
	}
}

func (h *Handler) runShutdownStep(a drain.Action) {
	if a == drain.Announce {
		// During its shutdown the node excludes its own target like that of a silent
		// peer: it sends no new calls to it.
		h.pendingExclusions[h.core.Self().Instance] = true
		h.offerExclusions()
	}
	h.out.RunShutdownStep(a)
}

func (h *Handler) performAction(a membership.Action) {
	switch a.Kind {
	case membership.AppendRecord:
		h.append(a.Record)
	case membership.SetAvoided:
		h.pendingExclusions[a.Peer.Instance] = a.Avoided
		h.log.Emit(event.PeerAvoided, "peer", a.Peer.Instance, "avoided", a.Avoided)
		h.offerExclusions()
	case membership.RequestProbe:
		h.out.Send(a.To, wire.KindProbe, &wire.Probe{Id: a.ProbeID, Peer: wire.FromNodeID(a.Peer.NodeID), Address: a.Peer.PeerAddress})
	case membership.AnswerProbe:
		h.out.Send(a.To, wire.KindProbe, &wire.Probe{Id: a.ProbeID, Answer: true, Reached: a.Reached})
	case membership.ProbePeer:
		h.out.ProbePeer(a.To, a.ProbeID, a.Peer)
	case membership.ReportSuspect:
		h.log.Emit(event.PeerSuspect, "peer", a.Peer.Instance)
		h.out.Broadcast(wire.KindSuspicion, &wire.Suspicion{Peer: wire.FromNodeID(a.Peer.NodeID)})
	case membership.RetractReport:
		h.out.Broadcast(wire.KindSuspicion, &wire.Suspicion{Peer: wire.FromNodeID(a.Peer.NodeID), Lifted: true})
	case membership.RefuteReport:
		h.out.SendRefutation(a.To, &wire.Suspicion{Peer: wire.FromNodeID(a.Peer.NodeID), Refuted: true})
	case membership.ChangeIncarnation:
		h.log.Emit(event.WronglyRemoved, "incarnation", a.Peer.Incarnation)
		h.out.ChangeIncarnation(a.Peer)
	case membership.UpdateContact:
		h.contactUntil = a.ContactUntil
		h.out.UpdateContact(a.ContactUntil)
	}
}

func (h *Handler) append(r *model.MemberRecord) {
	if r.Reporter != "" {
		h.log.Emit(event.PeerRemoved, "peer", r.Member.Instance)
	}
	h.out.Append(r)
}

// offerExclusions offers the pending changes to the routing duty.
func (h *Handler) offerExclusions() {
	for i, excluded := range h.pendingExclusions {
		if h.out.SetExcluded(i, excluded) {
			delete(h.pendingExclusions, i)
		}
	}
}
