package event

import "github.com/hashicorp/go-hclog"

// Events of the quorum duty.
var (
	GroupProposed = define(400, "group_proposed", hclog.Info,
		"This node proposed a new composition of a quorum group in the log.", "None, unless it repeats.")
	GroupComposed = define(401, "group_composed", hclog.Info,
		"A new composition of a quorum group was read from the log; request ids created at or after the time in the field \"from\" belong to it.", "None, unless it repeats.")
	GroupUnsealed = define(402, "group_unsealed", hclog.Error,
		"A majority of a quorum group is lost and this node proposed its next composition, which grants claims on request ids created at or after the time in the field \"from\", at least 16 minutes after the proposal, and tokens only 45 minutes after that time.",
		"Reconnect the lost members if they still run. Until they answer again, the group grants no claims and tokens before these times; non-idempotent requests, which need a claim, and requests that need a token are refused.")
	LeaseOpened = define(403, "lease_opened", hclog.Info,
		"This node became the grantor of a quorum group.", "None, unless it repeats.")
	LeaseClosed = define(404, "lease_closed", hclog.Info,
		"This node is no longer the grantor of a quorum group.", "None, unless it repeats.")
	VotesRetired = define(405, "votes_retired", hclog.Warn,
		"The process was paused; it discarded its votes, leases and token buckets and continues to vote under a new incarnation.",
		"Check the machine for CPU starvation or suspension.")
	QuorumMessageMalformed = define(406, "quorum_message_malformed", hclog.Warn,
		"A peer's message could not be decoded or claims to come from another instance, or a message of this node could not be encoded; it was dropped.",
		"Check that the peers run the same version.")
	QuorumBusy = define(407, "quorum_busy", hclog.Warn,
		"The quorum ring is full; a peer's message was dropped, which counts as no vote.",
		"Check the ring's metrics; add quorum groups if it repeats.")
	QuorumUnsent = define(408, "quorum_unsent", hclog.Debug,
		"A message could not be queued for the link to a peer.", "None, unless it repeats; not every message is sent again.")
	ClaimRefused = define(410, "claim_refused", hclog.Info,
		"A claim was not granted.", "See the outcome in docs/operators/at-most-once.md.")
)
