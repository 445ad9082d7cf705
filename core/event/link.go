package event

import "github.com/hashicorp/go-hclog"

// Events of the links duty.
var (
	LinkOpened = define(700, "link_up", hclog.Info,
		"This node established a connection to a peer.", "None.")
	LinkClosed = define(701, "link_closed", hclog.Info,
		"A connection to or from a peer was closed.", "None, unless it repeats.")
	DialFailed = define(702, "dial_failed", hclog.Warn,
		"The connection to a peer could not be established.", "Check the peer's address and whether its node runs.")
	LinkSilent = define(704, "link_silent", hclog.Warn,
		"No data arrived on a connection to a peer for 3 s; the connection is replaced.", "Check for network devices between the nodes that drop connections.")
	PeerRefused = define(705, "peer_refused", hclog.Warn,
		"A connection from a peer was refused: it did not prove its identity or has the identity of another node.", "Check the certificates of both nodes, or find out who connects.")
	PayloadUnknown = define(703, "payload_unknown", hclog.Warn,
		"A message between duties of two nodes could not be encoded or decoded, or has an unknown kind.", "Check that the peers run the same version.")
)
