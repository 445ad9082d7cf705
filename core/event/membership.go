package event

import "github.com/hashicorp/go-hclog"

// Events of the membership duty.
var (
	PeerAvoided = define(500, "peer_avoided", hclog.Info,
		"This node stopped sending new calls to a silent or leaving peer, or resumed.", "Check the peer if it repeats.")
	PeerSuspect = define(501, "peer_suspect", hclog.Warn,
		"Neither this node nor the peers that it asked can reach a node.", "Check the node and its network.")
	PeerRemoved = define(502, "peer_removed", hclog.Warn,
		"This node is about to remove a node that several availability zones cannot reach.", "Replace the instance.")
	WronglyRemoved = define(503, "wrongly_removed", hclog.Warn,
		"Other nodes removed this node from the members; it joins again with a new incarnation.", "Check for a network partition or a long pause of the process.")
	PeerLeaving = define(504, "peer_leaving", hclog.Info,
		"A peer announced that it is shutting down.", "None.")
)
