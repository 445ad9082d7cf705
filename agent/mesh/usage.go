package mesh

import (
	"github.com/cespare/xxhash/v2"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/transport/frame"
)

// A node reports its usage of the customers' rates to all other nodes several times
// a second. Peers in its own availability zone get the usage with the reports. For
// each other zone, the node sends it to one peer, which forwards it to the nodes
// there. This reduces the expensive traffic between zones.

func (h *peersHandler) onOwnUsage(list []model.CustomerUsage) {
	for _, u := range list {
		h.usage[u.Customer] = u
		h.unsentUsage[u.Customer] = true
	}
}

func (h *peersHandler) allUsage() []model.CustomerUsage {
	out := make([]model.CustomerUsage, 0, len(h.usage))
	for _, u := range h.usage {
		out = append(out, u)
	}
	return out
}

// inOwnZone reports whether a link's peer is in the node's own availability
// zone.
func (h *peersHandler) inOwnZone(l *link) bool { return l.peer.Zone == h.node.settings.Zone }

// sendToOtherZones sends changed usage to one peer of each other availability
// zone. The peer is chosen by rendezvous hashing, so that the peers of a zone
// share the forwarding for different nodes.
func (h *peersHandler) sendToOtherZones(changed []model.CustomerUsage) {
	if len(changed) == 0 {
		return
	}
	for _, l := range h.otherZoneLinks() {
		l.send(frame.Usage{Node: h.node.id, Customers: changed})
	}
}

// otherZoneLinks returns the link to the chosen peer of each other availability zone.
func (h *peersHandler) otherZoneLinks() map[model.Zone]*link {
	chosen := make(map[model.Zone]*link)
	for l := range h.incoming {
		if best := chosen[l.peer.Zone]; !h.inOwnZone(l) && (best == nil || h.rendezvousHash(l) < h.rendezvousHash(best)) {
			chosen[l.peer.Zone] = l
		}
	}
	return chosen
}

// sendRollout sends the node's state of an order in the same way as usage: to the peers of
// its own zone, and to one of each other zone, which forwards it there.
func (h *peersHandler) sendRollout(m frame.Rollout) {
	h.forwardInZone(m)
	for _, l := range h.otherZoneLinks() {
		l.send(m)
	}
}

// rendezvousHash returns a hash of this node and a peer. The peer with the lowest
// hash in its zone is chosen, so that different nodes choose different peers.
func (h *peersHandler) rendezvousHash(l *link) uint64 {
	return xxhash.Sum64String(string(h.node.id.Instance) + " " + string(l.peer.Node.Instance))
}

// forwardInZone sends a message, which may be from another availability zone, to the peers
// in this one.
func (h *peersHandler) forwardInZone(m frame.Message) {
	for l := range h.incoming {
		if h.inOwnZone(l) {
			l.send(m)
		}
	}
}
