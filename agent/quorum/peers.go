package quorum

import (
	"github.com/oleanderworks/oleanderworks/agent/links"
	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/core/ring"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/quorum"
	"github.com/oleanderworks/oleanderworks/transport/wire"
)

// Register registers the handlers of quorum messages from peers with d. They
// decode a message and offer it to the duty's ring. If the ring is full, the
// message is dropped, which is logged. Senders repeat unanswered requests, and a
// lost answer counts as no vote; releases, completions and token reports are not
// repeated.
func Register(d *links.Dispatcher, inbox *ring.Ring[Message], log *event.Log) {
	for _, kind := range []uint32{wire.KindVote, wire.KindTokens} {
		d.Register(kind, func(from model.Member, body []byte) {
			m, err := wire.DecodeQuorum(kind, body)
			if err != nil {
				log.Emit(event.QuorumMessageMalformed, "peer", from.Instance, "error", err)
				return
			}
			if !inbox.Offer(&PeerMessage{From: from.Instance, Message: m}) {
				log.Emit(event.QuorumBusy, "peer", from.Instance)
			}
		})
	}
}

// PeerSender returns the function with which the duty sends messages to peers.
func PeerSender(h *links.Handler, log *event.Log) func(model.Instance, quorum.Message) bool {
	return func(to model.Instance, m quorum.Message) bool {
		kind, frame, err := wire.EncodeQuorum(m)
		if err != nil {
			log.Emit(event.QuorumMessageMalformed, "peer", to, "error", err)
			return false
		}
		return h.Send(to, kind, frame)
	}
}
