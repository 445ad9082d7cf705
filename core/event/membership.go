package event

import "github.com/hashicorp/go-hclog"

// Events of the membership duty.
var (
	PeerAvoided = define(500, "peer_avoided", hclog.Info,
		"A silent or leaving peer gets no new calls from this node, or gets them again.", "Look at the peer if it repeats.")
	PeerSuspect = define(501, "peer_suspect", hclog.Warn,
		"Neither this node nor the peers it asked reach a node.", "Look at the node and its network.")
	PeerRemoved = define(502, "peer_removed", hclog.Warn,
		"This node removes a node that several availability zones cannot reach.", "Replace the instance.")
	WronglyRemoved = define(503, "wrongly_removed", hclog.Warn,
		"Others removed this node from the members; it joins again with a new incarnation.", "Look for a network split or a long pause.")
	PeerLeaving = define(504, "peer_leaving", hclog.Info,
		"A peer announced that it shuts down.", "None.")
)
