// Package follower implements the follower duty, which runs on its own thread. It
// gets the configuration from the log service or from peers and passes snapshots of
// it to the other duties.
package follower

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/oleanderworks/oleanderworks/agent/appender"
	"github.com/oleanderworks/oleanderworks/core/duty"
	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/core/invariant"
	"github.com/oleanderworks/oleanderworks/core/ring"
	"github.com/oleanderworks/oleanderworks/logservice"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/configlog"
	"github.com/oleanderworks/oleanderworks/transport/wire"
)

const (
	// ringCapacity bounds the queued messages. Readers of the log wait for room.
	ringCapacity = 1024
	// maxUnsent bounds the records kept while the appender's ring is full.
	maxUnsent = 1024
)

// Peers sends payloads to the peers with open links.
type Peers interface {
	Connected() []model.Instance
	Send(to model.Instance, kind uint32, m proto.Message) bool
}

// Config holds the duty's parameters and its connections to the other duties.
type Config struct {
	Context           context.Context // cancels the reads of the log
	LogService        logservice.Log
	Self              model.Member
	Streams           []string // streams of the log service to follow
	Rand              *rand.Rand
	Checker           *invariant.Checker // may be nil
	Log               *event.Log
	Peers             Peers
	Append            func(*appender.Append) bool // reports whether the appender's ring had room
	StatusSubscribers []StatusSubscriber
	// SnapshotSubscribers get each new snapshot. A subscriber that has no room is
	// offered the newest snapshot at each tick until it accepts it.
	SnapshotSubscribers []SnapshotSubscriber
}

// Handler handles the messages of the follower duty.
type Handler struct {
	config    Config
	log       *event.Log
	core      *configlog.Core
	inbox     *ring.Ring[Message]
	readers   map[string]*ring.Ring[*configlog.ReadLog] // by stream
	snapshots publisher[model.Snapshot]
	statuses  publisher[LogStatus]
	unsent    []*appender.Append
	view      atomic.Pointer[View]
}

// New returns the duty and its handler.
func New(c Config) (*duty.Duty[Message], *Handler) {
	h := &Handler{
		config:    c,
		log:       c.Log,
		core:      configlog.New(c.Self, c.Streams, c.Rand, c.Checker),
		readers:   make(map[string]*ring.Ring[*configlog.ReadLog]),
		snapshots: newPublisher[model.Snapshot](c.SnapshotSubscribers),
		statuses:  newPublisher[LogStatus](c.StatusSubscribers),
	}
	h.view.Store(&View{})
	d := duty.New[Message]("follower", ringCapacity, h)
	h.inbox = d.Ring()
	return d, h
}

// View returns the latest view. It is safe for concurrent use.
func (h *Handler) View() *View { return h.view.Load() }

// Handle implements duty.Handler.
func (h *Handler) Handle(now time.Time, batch []Message) {
	h.core.SetPeers(h.config.Peers.Connected())
	for _, m := range batch {
		h.handle(now, m)
	}
	h.core.Tick(now)
	h.performActions(now)
	h.publish()
}

// Tick implements duty.Handler.
func (h *Handler) Tick(now time.Time) time.Time {
	h.core.SetPeers(h.config.Peers.Connected())
	next := h.core.Tick(now)
	h.sendUnsent()
	h.performActions(now)
	h.publish()
	h.snapshots.offerPending()
	h.statuses.offerPending()
	return next
}

func (h *Handler) handle(now time.Time, m Message) {
	switch m := m.(type) {
	case *ReadDone:
		if m.Err != nil {
			h.log.Emit(event.LogUnavailable, "step", "read", "stream", m.Read.Stream, "error", m.Err)
			h.core.OnReadFailed(now, m.Read.Stream)
			return
		}
		h.core.OnReadResult(now, m.Read)
	case *PeerRequest:
		h.core.OnRequest(now, m.From, m.Request)
	case *PeerAnswer:
		h.core.OnAnswer(now, m.From, m.Answer)
	case *PeerWithdrawals:
		h.core.OnWithdrawals(now, m.From, m.Withdrawals)
	case *IncarnationChanged:
		h.core.OnNewIncarnation(m.Self)
	case *WithdrawKey:
		done := func(a configlog.Confirmation) { m.Reply.Send(a) }
		if !h.core.OnWithdrawRequest(now, m.Hash, done) {
			m.Reply.Send(configlog.Confirmation{Missing: []model.Region{h.config.Self.Region}})
		}
	}
}

func (h *Handler) performActions(now time.Time) {
	for _, a := range h.core.Actions() {
		switch a := a.(type) {
		case *configlog.ReadLog:
			h.readerRing(a.Stream).Offer(a)
		case *configlog.Send:
			h.send(a)
		case *configlog.Append:
			h.append(now, a)
		case *configlog.Notice:
			h.logNotice(a)
		}
	}
}

// send sends a message to a peer. The message is dropped if the link's queue is full,
// since requests, answers and withdrawals are repeated.
func (h *Handler) send(a *configlog.Send) {
	switch {
	case a.Request != nil:
		h.config.Peers.Send(a.To, wire.KindRecordsRequest, wire.FromRecordsRequest(a.Request))
	case a.Answer != nil:
		h.config.Peers.Send(a.To, wire.KindRecords, wire.FromRecordsAnswer(a.Answer))
	case a.Withdrawals != nil:
		h.config.Peers.Send(a.To, wire.KindWithdrawal, wire.FromWithdrawals(a.Withdrawals))
	}
}

// publish passes a new snapshot and a changed status to the subscribers.
func (h *Handler) publish() {
	s := h.core.Snapshot()
	if s != nil {
		h.snapshots.publish(s)
	}
	old := h.view.Load()
	status := LogStatus{LastLogContact: h.core.LastLogContact(), Positions: h.core.Positions(), Ready: h.core.Ready()}
	if s == nil && status.Ready == old.Ready && slices.Equal(status.Positions, old.Positions) {
		return
	}
	h.view.Store(&View{LogStatus: status, Snapshot: h.snapshots.current})
	h.statuses.publish(&status)
}
