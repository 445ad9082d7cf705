package event

import "github.com/hashicorp/go-hclog"

// Events of the links duty.
var (
	LinkUp = define(700, "link_up", hclog.Info,
		"A connection to a peer is open.", "None.")
	LinkClosed = define(701, "link_closed", hclog.Info,
		"A connection to a peer has ended.", "None, unless it repeats.")
	DialFailed = define(702, "dial_failed", hclog.Warn,
		"A peer could not be reached.", "Check the peer's address and its node.")
	LinkSilent = define(704, "link_silent", hclog.Warn,
		"A connection to a peer has delivered no byte for 3 s and is replaced.", "Look for a device between the nodes that loses connections.")
	PeerRefused = define(705, "peer_refused", hclog.Warn,
		"A connection from a peer was refused: no proof of identity, or a foreign one.", "Check the certificates of both nodes, or find who connects.")
	PayloadUnknown = define(703, "payload_unknown", hclog.Warn,
		"A control payload could not be encoded or has an unknown kind.", "Check that the peers run the same version.")
)
