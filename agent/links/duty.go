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
)

// ringCapacity bounds the waiting messages; a dropped one is asked again at
// the next tick.
const ringCapacity = 1024

// Message is what the links duty takes: *SnapshotChanged, *Dialed, *Accepted
// or *Closed.
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

func (*SnapshotChanged) linksMessage() {}
func (*Dialed) linksMessage()          {}
func (*Accepted) linksMessage()        {}
func (*Closed) linksMessage()          {}

// Table is an immutable view of the open sessions.
type Table map[model.Instance]*peerlink.Session

// Handler is the logic of the links duty.
type Handler struct {
	ctx      context.Context
	self     model.Member
	core     *link.Core
	endpoint *peerlink.Endpoint
	log      *event.Log
	inbox    *ring.Ring[Message]
	sessions Table // opened by this node
	inbound  Table // opened by peers

	sessionsView atomic.Pointer[Table]
	inboundView  atomic.Pointer[Table]
}

// New returns the duty and its handler. Dials end when ctx ends.
func New(ctx context.Context, self model.Member, core *link.Core, endpoint *peerlink.Endpoint, log *event.Log) (*duty.Duty[Message], *Handler) {
	h := &Handler{ctx: ctx, self: self, core: core, endpoint: endpoint, log: log,
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
	next := h.core.Tick(now)
	h.act()
	return next
}

func (h *Handler) handle(now time.Time, m Message) {
	switch m := m.(type) {
	case *SnapshotChanged:
		h.core.OnWanted(now, h.wanted(m.Snapshot))
	case *Dialed:
		h.onDialed(now, m)
	case *Accepted:
		h.inbound[m.Session.Peer().Instance] = m.Session
		h.publish()
		go h.watch(m.Session)
	case *Closed:
		h.onClosed(now, m.Session)
	}
}

func (h *Handler) onClosed(now time.Time, s *peerlink.Session) {
	peer := s.Peer()
	h.log.Emit(event.LinkClosed, "peer", peer.Instance)
	if h.inbound[peer.Instance] == s {
		delete(h.inbound, peer.Instance)
	}
	if h.sessions[peer.Instance] == s {
		delete(h.sessions, peer.Instance)
		h.core.OnClosed(now, peer.NodeID)
	}
	h.publish()
}

func (h *Handler) onDialed(now time.Time, m *Dialed) {
	if m.Err != nil {
		h.log.Emit(event.DialFailed, "peer", m.Peer.Instance, "error", m.Err)
		h.core.OnDialFailed(now, m.Peer.NodeID)
		return
	}
	h.log.Emit(event.LinkUp, "peer", m.Peer.Instance, "address", m.Peer.PeerAddress)
	h.sessions[m.Peer.Instance] = m.Session
	h.publish()
	h.core.OnConnected(now, m.Peer.NodeID)
	go h.watch(m.Session)
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
		switch {
		case a.Dial:
			go h.dial(a.Peer)
		case a.Close:
			h.close(a.Peer)
		}
	}
}

func (h *Handler) dial(peer model.Member) {
	s, err := h.endpoint.Dial(h.ctx, peer)
	_ = h.inbox.Put(h.ctx, &Dialed{Peer: peer, Session: s, Err: err})
}

func (h *Handler) watch(s *peerlink.Session) {
	<-s.Done()
	_ = h.inbox.Put(h.ctx, &Closed{Session: s})
}

func (h *Handler) close(peer model.Member) {
	if s := h.sessions[peer.Instance]; s != nil {
		s.Close()
	}
}

// publish makes the current tables visible to other threads.
func (h *Handler) publish() {
	sessions, inbound := maps.Clone(h.sessions), maps.Clone(h.inbound)
	h.sessionsView.Store(&sessions)
	h.inboundView.Store(&inbound)
}
