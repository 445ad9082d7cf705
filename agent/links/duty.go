// Package links runs the link policy on its own thread and publishes the
// table of open sessions.
package links

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"github.com/oleanderworks/oleanderworks/core/duty"
	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/core/ring"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/link"
	"github.com/oleanderworks/oleanderworks/transport/peerlink"
	"github.com/oleanderworks/oleanderworks/transport/wire"
)

// ringCapacity bounds the waiting messages; a dropped one is asked again at
// the next tick.
const ringCapacity = 1024

// Message is what the links duty takes: *SnapshotChanged, *Dialed, *Accepted,
// *Closed, *Heartbeat or *OwnLoad.
type Message interface{ linksMessage() }

// SnapshotChanged carries a new configuration.
type SnapshotChanged struct{ Snapshot *model.Snapshot }

// Dialed reports the end of a dial. Session is nil when it failed.
type Dialed struct {
	Peer    model.Member
	Session *peerlink.Session
	Err     error
}

// Accepted reports a session that a peer opened.
type Accepted struct{ Session *peerlink.Session }

// Closed reports the end of a session.
type Closed struct{ Session *peerlink.Session }

// Heartbeat carries a heartbeat that arrived on a session.
type Heartbeat struct {
	Session *peerlink.Session
	Frame   *wire.Heartbeat
}

// OwnLoad is what the node tells its peers in heartbeats.
type OwnLoad struct{ Load model.Load }

func (*SnapshotChanged) linksMessage() {}
func (*Dialed) linksMessage()          {}
func (*Accepted) linksMessage()        {}
func (*Closed) linksMessage()          {}
func (*Heartbeat) linksMessage()       {}
func (*OwnLoad) linksMessage()         {}

// Table is an immutable view of the open sessions.
type Table map[model.Instance]*peerlink.Session

// HeartbeatHandler takes a heartbeat that a peer sent at the time at, on this node's
// clock, in answer to the own one that was sent at echoed; zero for none. It
// runs on the duty's thread and must not block.
type HeartbeatHandler func(from model.Member, at, echoed time.Time, load model.Load)

// Handler is the logic of the links duty.
type Handler struct {
	ctx      context.Context
	self     model.Member
	core     *link.Core
	endpoint *peerlink.Endpoint
	log      *event.Log
	inbox    *ring.Ring[Message]
	heard    HeartbeatHandler
	report   OwnLoad
	lastID   link.SessionID
	ids      map[*peerlink.Session]link.SessionID
	byID     map[link.SessionID]*peerlink.Session
	sessions Table // in use for new calls
	inbound  Table // opened by peers

	sessionsView atomic.Pointer[Table]
	inboundView  atomic.Pointer[Table]
}

// New returns the duty and its handler. Dials end when ctx ends.
func New(ctx context.Context, self model.Member, core *link.Core, endpoint *peerlink.Endpoint, heard HeartbeatHandler, log *event.Log) (*duty.Duty[Message], *Handler) {
	h := &Handler{ctx: ctx, self: self, core: core, endpoint: endpoint, heard: heard, log: log,
		ids: make(map[*peerlink.Session]link.SessionID), byID: make(map[link.SessionID]*peerlink.Session),
		sessions: make(Table), inbound: make(Table)}
	h.publish()
	d := duty.New[Message]("links", ringCapacity, h)
	h.inbox = d.Ring()
	return d, h
}

// Session returns the open session to an instance, or nil. It is safe for use
// by several threads.
func (h *Handler) Session(i model.Instance) *peerlink.Session { return (*h.sessionsView.Load())[i] }

// Inbound returns the open session that an instance opened, or nil. It is
// safe for use by several threads.
func (h *Handler) Inbound(i model.Instance) *peerlink.Session { return (*h.inboundView.Load())[i] }

// Sessions returns the sessions in use for new calls and those that peers
// opened. It is safe for use by several threads.
func (h *Handler) Sessions() (out, in Table) { return *h.sessionsView.Load(), *h.inboundView.Load() }

// Accept takes a session that a peer opened. It is safe for use by several
// threads.
func (h *Handler) Accept(s *peerlink.Session) {
	_ = h.inbox.Put(h.ctx, &Accepted{Session: s})
}

// Handle implements duty.Handler.
func (h *Handler) Handle(now time.Time, batch []Message) {
	for _, m := range batch {
		h.handle(now, m)
	}
	h.act()
}

// Tick implements duty.Handler.
func (h *Handler) Tick(now time.Time) time.Time {
	for s, id := range h.ids {
		h.core.OnProgress(now, id, s.Received(), s.Calls())
	}
	next := h.core.Tick(now)
	h.act()
	return next
}

// Paused implements duty.PauseObserver.
func (h *Handler) Paused(now time.Time, _ time.Duration) { h.core.OnPaused(now) }

func (h *Handler) handle(now time.Time, m Message) {
	switch m := m.(type) {
	case *SnapshotChanged:
		h.core.SetPeers(now, h.wanted(m.Snapshot))
	case *Dialed:
		h.onDialed(now, m)
	case *Accepted:
		h.onAccepted(now, m.Session)
	case *Closed:
		h.onClosed(now, m.Session)
	case *Heartbeat:
		h.onHeartbeat(now, m)
	case *OwnLoad:
		h.report = *m
	}
}

func (h *Handler) add(s *peerlink.Session) link.SessionID {
	h.lastID++
	h.ids[s] = h.lastID
	h.byID[h.lastID] = s
	go h.watch(s)
	return h.lastID
}

func (h *Handler) onAccepted(now time.Time, s *peerlink.Session) {
	h.core.OnAccepted(now, h.add(s))
	h.inbound[s.Peer().Instance] = s
	h.publish()
}

func (h *Handler) onClosed(now time.Time, s *peerlink.Session) {
	peer := s.Peer()
	h.log.Emit(event.LinkClosed, "peer", peer.Instance)
	if h.inbound[peer.Instance] == s {
		delete(h.inbound, peer.Instance)
	}
	if h.sessions[peer.Instance] == s {
		delete(h.sessions, peer.Instance)
	}
	id := h.ids[s]
	delete(h.ids, s)
	delete(h.byID, id)
	h.core.OnClosed(now, id)
	h.publish()
}

func (h *Handler) onDialed(now time.Time, m *Dialed) {
	if m.Err != nil {
		h.log.Emit(event.DialFailed, "peer", m.Peer.Instance, "error", m.Err)
		h.core.OnDialFailed(now, m.Peer.Instance)
		return
	}
	h.log.Emit(event.LinkUp, "peer", m.Peer.Instance, "address", m.Peer.PeerAddress)
	h.core.OnConnected(now, m.Peer.Instance, h.add(m.Session))
}

func (h *Handler) onHeartbeat(now time.Time, m *Heartbeat) {
	id, f := h.ids[m.Session], m.Frame
	h.core.OnHeartbeat(now, id, link.Heartbeat{
		Sent:     micros(f.GetSentUs()),
		EchoSent: micros(f.GetEchoSentUs()),
		EchoHeld: micros(f.GetEchoHeldUs()),
	})
	at := now
	if o, ok := h.core.Offset(now, id); ok {
		m.Session.SetOffset(o.Value, o.Bound)
		// A heartbeat that waited, here or on the way, tells of an earlier
		// time than its arrival.
		_, worst := o.Transit(micros(f.GetSentUs()), now.Sub(h.endpoint.Start))
		at = now.Add(-worst)
	}
	var echoed time.Time
	if f.GetEchoSentUs() != 0 {
		echoed = h.endpoint.Start.Add(micros(f.GetEchoSentUs()))
	}
	h.heard(m.Session.Peer(), at, echoed, wire.ToLoad(f.GetLoad()))
}

// wanted lists the members of the snapshot besides this node, and the members
// of quorum groups that serve other services.
func (h *Handler) wanted(s *model.Snapshot) []model.Member {
	var out []model.Member
	known := map[model.Instance]bool{h.self.Instance: true}
	add := func(members []model.Member) {
		for _, m := range members {
			if !known[m.Instance] {
				known[m.Instance] = true
				out = append(out, m)
			}
		}
	}
	for _, members := range s.Members {
		add(members)
	}
	for _, epochs := range s.Groups {
		add(epochs[len(epochs)-1].Members)
	}
	return out
}

func (h *Handler) act() {
	for _, a := range h.core.Actions() {
		h.do(a)
	}
}

func (h *Handler) do(a link.Action) {
	s := h.byID[a.Session]
	switch a.Kind {
	case link.Dial:
		go h.dial(a.Peer)
	case link.UseSession:
		h.use(a.Peer.Instance, s)
	case link.CloseSession:
		if s != nil {
			go s.Close() // waits for the session's goroutines
		}
	case link.SendHeartbeat:
		if s != nil {
			s.Send(h.heartbeat(a.Heartbeat))
		}
	case link.ReportSilent:
		if s != nil {
			h.log.Emit(event.LinkSilent, "peer", s.Peer().Instance)
		}
	}
}

// use makes s the session for new calls to an instance; nil for none.
func (h *Handler) use(i model.Instance, s *peerlink.Session) {
	if s == nil {
		delete(h.sessions, i)
	} else {
		h.sessions[i] = s
	}
	h.publish()
}

func (h *Handler) heartbeat(b link.Heartbeat) *wire.ControlFrame {
	return &wire.ControlFrame{Kind: &wire.ControlFrame_Heartbeat{Heartbeat: &wire.Heartbeat{
		SentUs:     b.Sent.Microseconds(),
		EchoSentUs: b.EchoSent.Microseconds(),
		EchoHeldUs: b.EchoHeld.Microseconds(),
		Load:       wire.FromLoad(h.report.Load),
	}}}
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

func (h *Handler) dial(peer model.Member) {
	s, err := h.endpoint.Dial(h.ctx, peer)
	_ = h.inbox.Put(h.ctx, &Dialed{Peer: peer, Session: s, Err: err})
}

// watch reports the end of a session. It closes the session when the node
// ends.
func (h *Handler) watch(s *peerlink.Session) {
	select {
	case <-s.Done():
	case <-h.ctx.Done():
		s.Close()
	}
	_ = h.inbox.Put(h.ctx, &Closed{Session: s})
}

// publish makes the current tables visible to other threads.
func (h *Handler) publish() {
	sessions, inbound := maps.Clone(h.sessions), maps.Clone(h.inbound)
	h.sessionsView.Store(&sessions)
	h.inboundView.Store(&inbound)
}
