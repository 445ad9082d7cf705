package mesh

import (
	"github.com/cespare/xxhash/v2"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/transport/frame"
)

// Use of the customers' rates is told to every node several times a second.
// Peers in the own availability zone get it with the reports. Of each other
// zone one peer gets it and passes it on there, so that it crosses between two
// zones once and not once for each node.

func (h *peersDuty) onUsage(list []model.CustomerUsage) {
	for _, u := range list {
		h.usage[u.Customer] = u
		h.unsent[u.Customer] = true
	}
}

func (h *peersDuty) allUsage() []model.CustomerUsage {
	out := make([]model.CustomerUsage, 0, len(h.usage))
	for _, u := range h.usage {
		out = append(out, u)
	}
	return out
}

// near reports whether a peer is in the node's own availability zone.
func (h *peersDuty) near(l *link) bool { return l.peer.Zone == h.node.settings.Zone }

// sendAbroad tells one peer of each other availability zone. Which one depends
// on both nodes, so that the peers of a zone share the work.
func (h *peersDuty) sendAbroad(news []model.CustomerUsage) {
	if len(news) == 0 {
		return
	}
	chosen := make(map[model.Zone]*link)
	for l := range h.origins {
		if best := chosen[l.peer.Zone]; !h.near(l) && (best == nil || h.weight(l) < h.weight(best)) {
			chosen[l.peer.Zone] = l
		}
	}
	for _, l := range chosen {
		l.send(frame.Usage{Node: h.node.id, List: news})
	}
}

// weight orders the peers of a zone, for each node in another way.
func (h *peersDuty) weight(l *link) uint64 {
	return xxhash.Sum64String(string(h.node.id.Instance) + " " + string(l.peer.Node.Instance))
}

// passOn gives the peers in this availability zone what came from another one.
func (h *peersDuty) passOn(u frame.Usage) {
	for l := range h.origins {
		if h.near(l) {
			l.send(u)
		}
	}
}
