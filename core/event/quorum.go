package event

import "github.com/hashicorp/go-hclog"

// Events of the quorum duty.
var (
	GroupProposed = define(400, "group_proposed", hclog.Info,
		"This node appended a composition of a quorum group.", "None, unless it repeats.")
	GroupComposed = define(401, "group_composed", hclog.Info,
		"A quorum group has a new composition.", "None, unless it repeats.")
	GroupUnsealed = define(402, "group_unsealed", hclog.Error,
		"A majority of a quorum group is lost; its next composition starts 16 minutes later.",
		"Bring the lost members back to the network, if they still run. Until then its non-idempotent requests are refused.")
	LeaseOpened = define(403, "lease_opened", hclog.Info,
		"This node has become grantor of a group.", "None, unless it repeats.")
	LeaseClosed = define(404, "lease_closed", hclog.Info,
		"This node is no longer grantor of a group.", "None, unless it repeats.")
	VotesRetired = define(405, "votes_retired", hclog.Warn,
		"The process was paused; it gave up its votes, leases and buckets and votes under a new incarnation.",
		"Look for CPU starvation or a suspended machine.")
	QuorumMessageMalformed = define(406, "quorum_message_malformed", hclog.Warn,
		"A message of a peer does not decode or speaks for another instance; it was dropped.",
		"Check that the peers run the same version.")
	QuorumBusy = define(407, "quorum_busy", hclog.Warn,
		"The quorum ring is full; a peer's message was dropped, which counts as no vote.",
		"Look at the ring's metrics; add groups if it repeats.")
	QuorumUnsent = define(408, "quorum_unsent", hclog.Debug,
		"A message could not be sent, since there is no link to the peer.", "None; it is repeated.")
	ClaimRefused = define(410, "claim_refused", hclog.Info,
		"A claim was not granted.", "See the outcome in docs/operators/at-most-once.md.")
)
