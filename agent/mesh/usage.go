package mesh

import (
	"github.com/cespare/xxhash/v2"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/transport/frame"
)

// A node reports the usage of the customers' rates to every other node several
// times a second. Peers in its own availability zone get the usage with the
// reports. In each other zone one peer gets it and forwards it to the nodes
// there, so that it is sent once between two zones and not once for each node.

func (h *peersDuty) onOwnUsage(list []model.CustomerUsage) {
	for _, u := range list {
		h.usage[u.Customer] = u
		h.unsentUsage[u.Customer] = true
	}
}

func (h *peersDuty) allUsage() []model.CustomerUsage {
	out := make([]model.CustomerUsage, 0, len(h.usage))
	for _, u := range h.usage {
		out = append(out, u)
	}
	return out
}

// inOwnZone reports whether a link's peer is in the node's own availability
// zone.
func (h *peersDuty) inOwnZone(l *link) bool { return l.peer.Zone == h.node.settings.Zone }

// sendToOtherZones sends changed usage to one peer of each other availability
// zone. The peer is chosen by rendezvous hashing, so that the peers of a zone
// share the forwarding for different nodes.
func (h *peersDuty) sendToOtherZones(changed []model.CustomerUsage) {
	if len(changed) == 0 {
		return
	}
	chosen := make(map[model.Zone]*link)
	for l := range h.incoming {
		if best := chosen[l.peer.Zone]; !h.inOwnZone(l) && (best == nil || h.rendezvousHash(l) < h.rendezvousHash(best)) {
			chosen[l.peer.Zone] = l
		}
	}
	for _, l := range chosen {
		l.send(frame.Usage{Node: h.node.id, Customers: changed})
	}
}

// rendezvousHash returns the hash of this node and a peer. The peer with the lowest
// hash in its zone is chosen, so that different nodes choose different peers.
func (h *peersDuty) rendezvousHash(l *link) uint64 {
	return xxhash.Sum64String(string(h.node.id.Instance) + " " + string(l.peer.Node.Instance))
}

// forwardInZone forwards usage from another availability zone to the peers in
// this one.
func (h *peersDuty) forwardInZone(u frame.Usage) {
	for l := range h.incoming {
		if h.inOwnZone(l) {
			l.send(u)
		}
	}
}
