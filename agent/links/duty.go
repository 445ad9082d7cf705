// Package links implements the links duty, which manages the links between the nodes
// of package agent on its own thread and publishes the tables of open sessions. A
// session is one connection. The link to a peer consists of up to two sessions: the
// one that this node opened, on which it sends calls, and the one that the peer
// opened.
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
	"github.com/oleanderworks/oleanderworks/policy/node/link"
	"github.com/oleanderworks/oleanderworks/transport/peerlink"
	"github.com/oleanderworks/oleanderworks/transport/wire"
)

// ringCapacity bounds the queued messages. If the ring is full, Heartbeat, OwnLoad
// and SnapshotChanged are dropped: the next heartbeat or load replaces a dropped
// one, and the follower offers the snapshot again. The senders of the other messages
// wait for room.
const ringCapacity = 1024

// Message is a message to the links duty: *SnapshotChanged, *Dialed, *Accepted,
// *Closed, *Heartbeat or *OwnLoad.
type Message interface{ linksMessage() }

// SnapshotChanged carries a new configuration.
type SnapshotChanged struct{ Snapshot *model.Snapshot }

// Dialed reports the result of a dial. Session is nil if the dial failed.
type Dialed struct {
	Peer    model.Member
	Session *peerlink.Session
	Err     error
}

// Accepted reports a session that a peer opened.
type Accepted struct{ Session *peerlink.Session }

// Closed reports the end of a session.
type Closed struct{ Session *peerlink.Session }

// Heartbeat carries a heartbeat received on a session.
type Heartbeat struct {
	Session *peerlink.Session
	Frame   *wire.Heartbeat
}

// OwnLoad carries the load of the node's target, which heartbeats report to
// peers.
type OwnLoad struct{ Load model.Load }

func (*SnapshotChanged) linksMessage() {}
func (*Dialed) linksMessage()          {}
func (*Accepted) linksMessage()        {}
func (*Closed) linksMessage()          {}
func (*Heartbeat) linksMessage()       {}
func (*OwnLoad) linksMessage()         {}

// Table holds open sessions by the peer's instance. A table must not be modified
// once it is published.
type Table map[model.Instance]*peerlink.Session

// HeartbeatHandler handles a heartbeat of a peer. sentAt is the earliest time, on
// this node's clock, at which the peer can have sent it; until the offset between
// the clocks is known, it is the time of handling. echoSentAt is when this node
// sent the heartbeat that the peer echoes, zero if it echoes none. The handler
// runs on the duty's thread and must not block.
type HeartbeatHandler func(from model.Member, sentAt, echoSentAt time.Time, load model.Load)

// Handler handles the messages of the links duty.
type Handler struct {
	ctx              context.Context
	self             model.Member
	core             *link.Core
	endpoint         *peerlink.Endpoint
	log              *event.Log
	inbox            *ring.Ring[Message]
	heartbeatHandler HeartbeatHandler
	ownLoad          OwnLoad
	lastID           link.SessionID
	sessionIDs       map[*peerlink.Session]link.SessionID
	sessionsByID     map[link.SessionID]*peerlink.Session
	sessions         Table // in use for new calls
	inbound          Table // opened by peers

	sessionsView atomic.Pointer[Table]
	inboundView  atomic.Pointer[Table]
}

// New returns the duty and its handler. Dials are canceled when ctx ends.
func New(ctx context.Context, self model.Member, core *link.Core, endpoint *peerlink.Endpoint, heartbeatHandler HeartbeatHandler, log *event.Log) (*duty.Duty[Message], *Handler) {
	h := &Handler{ctx: ctx, self: self, core: core, endpoint: endpoint, heartbeatHandler: heartbeatHandler, log: log,
		sessionIDs: make(map[*peerlink.Session]link.SessionID), sessionsByID: make(map[link.SessionID]*peerlink.Session),
		sessions: make(Table), inbound: make(Table)}
	h.publish()
	d := duty.New[Message]("links", ringCapacity, h)
	h.inbox = d.Ring()
	return d, h
}

// Session returns the session in use for new calls to an instance, or nil. It
// is safe for concurrent use.
func (h *Handler) Session(i model.Instance) *peerlink.Session { return (*h.sessionsView.Load())[i] }

// Inbound returns the open session that an instance opened, or nil. It is safe
// for concurrent use.
func (h *Handler) Inbound(i model.Instance) *peerlink.Session { return (*h.inboundView.Load())[i] }

// Sessions returns the sessions in use for new calls, and those that peers
// opened. It is safe for concurrent use.
func (h *Handler) Sessions() (out, in Table) { return *h.sessionsView.Load(), *h.inboundView.Load() }

// Accept passes a session that a peer opened to the duty, and waits for room in its
// ring. It is safe for concurrent use.
func (h *Handler) Accept(s *peerlink.Session) {
	_ = h.inbox.Put(h.ctx, &Accepted{Session: s})
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
	for s, id := range h.sessionIDs {
		h.core.OnTraffic(now, id, s.BytesReceived(), s.CallsInProgress())
	}
	next := h.core.Tick(now)
	h.performActions()
	return next
}

// Paused implements duty.PauseObserver.
func (h *Handler) Paused(now time.Time, _ time.Duration) { h.core.OnPaused(now) }

func (h *Handler) handle(now time.Time, m Message) {
	switch m := m.(type) {
	case *SnapshotChanged:
		h.core.SetPeers(now, h.wantedPeers(m.Snapshot))
	case *Dialed:
		h.onDialed(now, m)
	case *Accepted:
		h.onAccepted(now, m.Session)
	case *Closed:
		h.onClosed(now, m.Session)
	case *Heartbeat:
		h.onHeartbeat(now, m)
	case *OwnLoad:
		h.ownLoad = *m
	}
}

func (h *Handler) addSession(s *peerlink.Session) link.SessionID {
	h.lastID++
	h.sessionIDs[s] = h.lastID
	h.sessionsByID[h.lastID] = s
	go h.watch(s)
	return h.lastID
}

func (h *Handler) onAccepted(now time.Time, s *peerlink.Session) {
	h.core.OnAccepted(now, h.addSession(s))
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
	id := h.sessionIDs[s]
	delete(h.sessionIDs, s)
	delete(h.sessionsByID, id)
	h.core.OnClosed(now, id)
	h.publish()
}

func (h *Handler) onDialed(now time.Time, m *Dialed) {
	if m.Err != nil {
		h.log.Emit(event.DialFailed, "peer", m.Peer.Instance, "error", m.Err)
		h.core.OnDialFailed(now, m.Peer.Instance)
		return
	}
	h.log.Emit(event.LinkOpened, "peer", m.Peer.Instance, "address", m.Peer.PeerAddress)
	h.core.OnConnected(now, m.Peer.Instance, h.addSession(m.Session))
}

func (h *Handler) onHeartbeat(now time.Time, m *Heartbeat) {
	id, f := h.sessionIDs[m.Session], m.Frame
	h.core.OnHeartbeat(now, id, link.Heartbeat{
		Sent:     fromMicroseconds(f.GetSentUs()),
		EchoSent: fromMicroseconds(f.GetEchoSentUs()),
		EchoHeld: fromMicroseconds(f.GetEchoHeldUs()),
	})
	sentAt := now
	if offset, ok := h.core.ClockOffset(now, id); ok {
		m.Session.SetClockOffset(offset.Value, offset.Bound)
		// A heartbeat may be delayed on the network or in this process. It proves
		// that the peer was alive when it sent the heartbeat, not on its receipt.
		_, maxTransit := offset.Transit(fromMicroseconds(f.GetSentUs()), now.Sub(h.endpoint.Start))
		sentAt = now.Add(-maxTransit)
	}
	var echoSentAt time.Time
	if f.GetEchoSentUs() != 0 {
		echoSentAt = h.endpoint.Start.Add(fromMicroseconds(f.GetEchoSentUs()))
	}
	h.heartbeatHandler(m.Session.Peer(), sentAt, echoSentAt, wire.ToLoad(f.GetLoad()))
}

// wantedPeers returns the peers to which the node keeps links: all members in the
// snapshot except this node, and the members of the quorum groups, which may belong
// to services whose members this node does not follow.
func (h *Handler) wantedPeers(s *model.Snapshot) []model.Member {
	var out []model.Member
	seen := map[model.Instance]bool{h.self.Instance: true}
	add := func(members []model.Member) {
		for _, m := range members {
			if !seen[m.Instance] {
				seen[m.Instance] = true
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

func (h *Handler) performActions() {
	for _, a := range h.core.Actions() {
		h.performAction(a)
	}
}

func (h *Handler) performAction(a link.Action) {
	s := h.sessionsByID[a.Session]
	switch a.Kind {
	case link.Dial:
		go h.dial(a.Peer)
	case link.UseSession:
		h.setSession(a.Peer.Instance, s)
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

// setSession makes s the session for new calls to an instance. If s is nil, there is
// none.
func (h *Handler) setSession(i model.Instance, s *peerlink.Session) {
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
		Load:       wire.FromLoad(h.ownLoad.Load),
	}}}
}

func fromMicroseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

func (h *Handler) dial(peer model.Member) {
	s, err := h.endpoint.Dial(h.ctx, peer)
	_ = h.inbox.Put(h.ctx, &Dialed{Peer: peer, Session: s, Err: err})
}

// watch waits until a session ends and reports that to the duty. It closes the
// session when the node stops.
func (h *Handler) watch(s *peerlink.Session) {
	select {
	case <-s.Done():
	case <-h.ctx.Done():
		s.Close()
	}
	_ = h.inbox.Put(h.ctx, &Closed{Session: s})
}

// publish publishes copies of the tables for other threads.
func (h *Handler) publish() {
	sessions, inbound := maps.Clone(h.sessions), maps.Clone(h.inbound)
	h.sessionsView.Store(&sessions)
	h.inboundView.Store(&inbound)
}
