package links

import (
	"google.golang.org/protobuf/proto"

	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/transport/peerlink"
	"github.com/oleanderworks/oleanderworks/transport/wire"
)

// PayloadHandler handles payloads of one kind. It runs on the session's reader
// goroutine, so it must not block: it decodes the payload and offers a message to a
// ring.
type PayloadHandler func(from model.Member, body []byte)

// Dispatcher passes payloads from peers to the duties. Handlers are registered
// before the node starts.
type Dispatcher struct {
	handlers map[uint32]PayloadHandler
	log      *event.Log
}

// NewDispatcher returns a dispatcher without handlers.
func NewDispatcher(log *event.Log) *Dispatcher {
	return &Dispatcher{handlers: make(map[uint32]PayloadHandler), log: log}
}

// Register sets the handler for a kind of payload.
func (d *Dispatcher) Register(kind uint32, h PayloadHandler) { d.handlers[kind] = h }

// Dispatch passes a payload to its handler. An unknown kind is logged and
// dropped, since a newer peer may send it.
func (d *Dispatcher) Dispatch(s *peerlink.Session, p *wire.Payload) {
	h := d.handlers[p.GetKind()]
	if h == nil {
		d.log.Emit(event.PayloadUnknown, "peer", s.Peer().Instance, "kind", p.GetKind())
		return
	}
	h(s.Peer(), p.GetBody())
}

// ControlHandler returns the handler of control frames. It passes heartbeats to the
// links duty and payloads to d, and calls goodbye, which must not block, for a
// goodbye frame.
func (h *Handler) ControlHandler(d *Dispatcher, goodbye func(from model.Instance)) peerlink.ControlHandler {
	return func(s *peerlink.Session, f *wire.ControlFrame) {
		switch k := f.Kind.(type) {
		case *wire.ControlFrame_Heartbeat:
			h.inbox.Offer(&Heartbeat{Session: s, Frame: k.Heartbeat})
		case *wire.ControlFrame_Goodbye:
			goodbye(s.Peer().Instance)
		case *wire.ControlFrame_Payload:
			d.Dispatch(s, k.Payload)
		}
	}
}

// Send queues a payload for a peer, on the session that this node opened or else
// on the one that the peer opened. It returns false and drops the payload if there
// is no session, its queue is full or the payload cannot be encoded. It is safe
// for concurrent use.
func (h *Handler) Send(to model.Instance, kind uint32, m proto.Message) bool {
	s := h.Session(to)
	if s == nil {
		s = h.Inbound(to)
	}
	if s == nil {
		return false
	}
	f, err := wire.NewPayload(kind, m)
	if err != nil {
		h.log.Emit(event.PayloadUnknown, "peer", to, "kind", kind, "error", err)
		return false
	}
	return s.Send(f)
}

// Broadcast sends a payload to all linked peers. It is safe for concurrent use.
func (h *Handler) Broadcast(kind uint32, m proto.Message) {
	out, in := h.Sessions()
	for i := range out {
		h.Send(i, kind, m)
	}
	for i := range in {
		if out[i] == nil {
			h.Send(i, kind, m)
		}
	}
}

// SendGoodbye tells all linked peers that this node is shutting down. It is safe
// for concurrent use.
func (h *Handler) SendGoodbye() {
	out, in := h.Sessions()
	f := &wire.ControlFrame{Kind: &wire.ControlFrame_Goodbye{Goodbye: &wire.Goodbye{}}}
	for _, table := range []Table{out, in} {
		for _, s := range table {
			s.Send(f)
		}
	}
}
