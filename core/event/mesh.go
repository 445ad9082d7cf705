package event

import "github.com/hashicorp/go-hclog"

// Events of the nodes in package agent/mesh, which the subcommand mesh runs.
var (
	MeshStarted = define(1000, "mesh_started", hclog.Info,
		"The node accepts connections on its addresses.", "None.")
	MeshStopping = define(1001, "mesh_stopping", hclog.Info,
		"The node was told to stop; it reports that it is not ready, so that callers switch to other nodes.", "None.")
	MeshStopped = define(1002, "mesh_stopped", hclog.Info,
		"The node has shut down.", "If the field requests is not 0, find out why these requests took longer than the grace period.")
	MeshServeFailed = define(1003, "mesh_serve_failed", hclog.Error,
		"A listener failed.", "Check the address and the limit on file descriptors.")
	MeshReloaded = define(1004, "mesh_reloaded", hclog.Info,
		"The settings file was checked; the field error says what is invalid. A running node keeps its settings.", "If the field error is set, correct the file before the next start.")

	MeshSent = define(1010, "mesh_sent", hclog.Info,
		"The node chose a target for a request and sent the call to the target's node.", "None.")
	MeshResent = defineWithHigherRateLimit(1011, "mesh_sent_again", hclog.Info,
		"A call was sent again, to another target.", "The field after gives the reason why the previous attempt ended.")
	MeshCallCanceled = define(1012, "mesh_recalled", hclog.Info,
		"The caller disconnected or its time limit passed; the target's node was told to cancel the call.", "None.")
	MeshAnswered = define(1013, "mesh_answered", hclog.Info,
		"A target's answer was returned to the caller.", "None.")
	MeshRefused = defineWithHigherRateLimit(1014, "mesh_refused", hclog.Info,
		"A refusal or failure was returned to the caller.", "See the fields reason, run and detail. If documents_age exceeds a few seconds, the configuration may be out of date: check events 1033 and 1037.")

	MeshCallStarted = define(1020, "mesh_run", hclog.Info,
		"The node sent a call to its target.", "None.")
	MeshRunFailed = defineWithHigherRateLimit(1021, "mesh_run_failed", hclog.Info,
		"A call at the target ended without an answer.", "See the fields reason and detail.")
	MeshGateRefused = defineWithHigherRateLimit(1022, "mesh_gate_refused", hclog.Info,
		"The target's node refused a call; the call did not run.", "See the fields reason, queued and limit.")
	MeshTargetChanged = define(1023, "mesh_target_changed", hclog.Warn,
		"The target's state, as seen by its node, has changed.", "If the target is lost, check its own logs.")
	MeshProbed = define(1024, "mesh_probed", hclog.Info,
		"The node probed the health of its target.", "None.")
	MeshAnnouncementRejected = define(1025, "mesh_announcement_rejected", hclog.Warn,
		"A target's announcement or deregistration was rejected.", "See the field detail; an announcement that arrives after its target has stopped is harmless.")
	MeshCrashed = defineWithHigherRateLimit(1026, "mesh_crashed", hclog.Warn,
		"The target crashed while it ran a request, or a request suspected of causing crashes completed (crashes is 0).",
		"Check the target's own log; a request that is sent again after three crashes is refused.")
	MeshCrashesLearned = define(1027, "mesh_crashes_learned", hclog.Info,
		"A peer told the node of requests that crash targets, or that such a request completed, when the link between them opened. The fields suspected_before and suspected count the requests that the node suspects.",
		"None. Event 1026 in the logs of the other nodes names the requests by their fingerprints.")
	MeshRefusedRecorded = define(1028, "mesh_refused_recorded", hclog.Info,
		"The node wrote to the store's log that a request is refused because it crashes targets, or, if refused is false, that it no longer is. The field error is set if the log did not take it; the write is tried again.",
		"If the field error is set, check the store.")

	MeshConfigured = define(1030, "mesh_configured", hclog.Info,
		"A version of the configuration has taken effect on the node.", "None.")
	MeshZonesOut = define(1031, "mesh_zones_out", hclog.Warn,
		"The set of availability zones that are out of service has changed.", "None if an operator made the change.")
	MeshRecordRejected = define(1032, "mesh_record_rejected", hclog.Warn,
		"A record of the store's log was rejected; the previous state remains in effect.", "See the field detail.")
	MeshLogLost = define(1033, "mesh_log_lost", hclog.Warn,
		"The store does not answer; the known state remains in effect, and peers forward the records that they read.", "Check the store.")
	MeshLogRegained = define(1034, "mesh_log_regained", hclog.Info,
		"The store answers again.", "None.")
	MeshAnnounced = define(1035, "mesh_announced", hclog.Info,
		"The node wrote its address to the store's log.", "None.")
	MeshAnnounceFailed = define(1036, "mesh_announce_failed", hclog.Warn,
		"The node's address could not be written to the store's log; the node will try again.", "Check the store.")
	MeshLogCheckFailed = define(1037, "mesh_log_check_failed", hclog.Info,
		"A check whether the store's log has newer documents failed; the node checks again.", "If documents_age exceeds a few seconds, check the store.")
	MeshReadsRestarted = define(1038, "mesh_reads_restarted", hclog.Info,
		"The store answers again after failed checks; the reads that wait for records were sent again, since the store may have lost them.", "None.")

	MeshLogRestored = define(1039, "mesh_log_restored", hclog.Warn,
		"The store's log was restored from a backup and began a new era. The documents in the field retained stay in force although the log lacks them.",
		"Write again what was written since the backup.")

	MeshRolloutChanged = define(1060, "mesh_rollout_changed", hclog.Warn,
		"The phase of an order to move a service to another version has changed on the node. If from and to are equal, the field detail says what else has happened.",
		"If the new phase is stopped, see the field detail for how the version is worse; see docs/operators/rollout.md.")
	MeshRolloutRecorded = define(1061, "mesh_rollout_recorded", hclog.Info,
		"The node read the state of an order from the store's log, or wrote it there. The field error is set if the log did not answer or had a newer record; the node or another one tries again.",
		"If errors go on, check the store.")

	MeshLinkOpened = define(1040, "mesh_link_opened", hclog.Info,
		"A link to another node was established.", "None.")
	MeshLinkClosed = define(1041, "mesh_link_closed", hclog.Warn,
		"A link to another node was closed.", "If it repeats, check the network between the two nodes.")
	MeshDialFailed = define(1042, "mesh_dial_failed", hclog.Info,
		"A connection to or from a peer could not be established; the node retries its own connection attempts.", "None if the peer is down.")
	MeshConfigWarning = define(1043, "mesh_config_warning", hclog.Warn,
		"A version of the configuration has a part that this build does not know; the node handles it as the field detail says.",
		"Update the nodes.")
	MeshPanicked = define(1044, "mesh_panicked", hclog.Error,
		"An unexpected error inside the program ended the handling of one message. A request that the message carried has failed; other requests go on.",
		"Report a bug and attach the line, which has the stack trace.")
	MeshChainLimitChanged = define(1045, "mesh_chain_limit_changed", hclog.Info,
		"The limit on requests whose nested calls need a service behind the first one has entered another state. fraction is the part of the requests that is begun; shed, queue_delay, nested and limit are the load of the service that decides it.",
		"See docs/operators/chain-admission.md.")
	MeshZoneShareChanged = define(1046, "mesh_zone_share_changed", hclog.Info,
		"The share of the calls to a service that leaves the availability zone of this node has changed by 0.1 or more, or calls no longer leave. The fields own and others are utilizations of the service's targets in each zone, with the ages of the reports.",
		"If the reason is own_zone_full for long, add targets of the service in this availability zone.")
)
