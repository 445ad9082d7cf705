package model

// Reason is the machine-readable cause of a refusal or failure. Its values
// are part of the API for callers.
type Reason string

// Reasons. Nodes run by the subcommand node send them to callers in the header
// Oleander-Reason.
const (
	ReasonNone             Reason = ""
	ReasonBadRequest       Reason = "bad_request"       // the request is invalid, or its call chain is too long
	ReasonTooLarge         Reason = "too_large"         // a body exceeds its limit, or the answer exceeds the memory for bodies
	ReasonNoRoute          Reason = "no_route"          // no route matches the request
	ReasonKeyMissing       Reason = "key_missing"       // the route needs a key and none was sent
	ReasonKeyUnknown       Reason = "key_unknown"       // no customer has the key, or it is withdrawn
	ReasonNoCustomer       Reason = "no_customer"       // the route needs a customer, and the calling request has none
	ReasonParentEnded      Reason = "parent_ended"      // the call in which this one is nested has ended
	ReasonNoContact        Reason = "no_contact"        // the node has no configuration or no contact with its peers
	ReasonNodeBusy         Reason = "node_busy"         // a limit of a node is reached, such as the capacity of a ring or the memory for bodies, or the node shuts down
	ReasonRateLimited      Reason = "rate_limited"      // the customer's rate, or its retries, are used up
	ReasonRateUnavailable  Reason = "rate_unavailable"  // no grantor gave tokens, so the rate cannot be checked
	ReasonStaleToken       Reason = "stale_token"       // the call's rate token expired on the way
	ReasonClaimUnavailable Reason = "claim_unavailable" // the claim on the request id was not granted or is not valid
	ReasonInProgress       Reason = "in_progress"       // an earlier request with this id is in progress or its answer was lost
	ReasonIDTooOld         Reason = "id_too_old"        // the record of this id may have been dropped
	ReasonNoTarget         Reason = "no_target"         // no target can serve the call
	ReasonShed             Reason = "shed"              // no room at the target or in its node's queue, or the target declined to run the call
	ReasonOverload         Reason = "overload"          // a service that the request's nested calls need cannot take them; nothing was begun
	ReasonDeadline         Reason = "deadline"          // the deadline has passed or would be missed, or the caller's mesh node stopped before the answer arrived
	ReasonCanceled         Reason = "canceled"          // the caller disconnected
	ReasonZoneOut          Reason = "zone_out"          // the target's availability zone is out of service
	ReasonTargetOut        Reason = "target_out"        // the target is out of service
	ReasonTargetLeaving    Reason = "target_leaving"    // the target or its node shuts down
	ReasonQuarantined      Reason = "quarantined"       // targets crashed while the request ran
	ReasonPeerUnreachable  Reason = "peer_unreachable"  // the target's node cannot be reached
	ReasonTargetFailed     Reason = "target_failed"     // the target does not answer or refuses connections
	ReasonInternal         Reason = "internal"          // an unexpected error in a node; the request may have run
	ReasonAnswerCut        Reason = "answer_cut"        // the call was sent at least in part, but the target's answer was lost, cut, not its own or (in a mesh) too large
)

// RunState says whether a request ran at a target.
type RunState uint8

// Run states. NotRun is reported only when it is certain that no target ran
// the request, Completed when the target gave its whole answer.
const (
	RunUnknown RunState = iota
	NotRun
	Completed
)

// String returns the form used in the header Oleander-Run.
func (r RunState) String() string {
	switch r {
	case NotRun:
		return "not-run"
	case Completed:
		return "completed"
	default:
		return "unknown"
	}
}
