package model

// Reason is the machine-readable cause of a refusal or failure. Its values
// are part of the API for callers.
type Reason string

// Reasons, as sent to callers in the header Oleander-Reason.
const (
	ReasonNone             Reason = ""
	ReasonBadRequest       Reason = "bad_request"
	ReasonTooLarge         Reason = "too_large"
	ReasonNoRoute          Reason = "no_route"
	ReasonKeyMissing       Reason = "key_missing"
	ReasonKeyUnknown       Reason = "key_unknown"
	ReasonNoCustomer       Reason = "no_customer"
	ReasonParentEnded      Reason = "parent_ended"
	ReasonNoContact        Reason = "no_contact"
	ReasonNodeBusy         Reason = "node_busy"
	ReasonRateLimited      Reason = "rate_limited"
	ReasonRateUnavailable  Reason = "rate_unavailable"
	ReasonStaleToken       Reason = "stale_token"
	ReasonClaimUnavailable Reason = "claim_unavailable"
	ReasonInProgress       Reason = "in_progress"
	ReasonIDTooOld         Reason = "id_too_old"
	ReasonNoTarget         Reason = "no_target"
	ReasonShed             Reason = "shed"
	ReasonDeadline         Reason = "deadline"
	ReasonCanceled         Reason = "canceled"
	ReasonZoneOut          Reason = "zone_out"
	ReasonTargetOut        Reason = "target_out"
	ReasonTargetLeaving    Reason = "target_leaving"
	ReasonQuarantined      Reason = "quarantined"
	ReasonPeerUnreachable  Reason = "peer_unreachable"
	ReasonTargetFailed     Reason = "target_failed"
	ReasonAnswerCut        Reason = "answer_cut"
)

// RunState says whether a request ran at a target.
type RunState uint8

// Run states. NotRun is reported only when it is certain that no target ran
// the request.
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
