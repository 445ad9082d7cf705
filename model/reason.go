package model

// Reason is the machine-readable cause of a refusal or failure. Its values
// are part of the callers' interface.
type Reason string

// Reasons, as callers see them in the header Oleander-Reason.
const (
	ReasonNone            Reason = ""
	ReasonBadRequest      Reason = "bad_request"
	ReasonTooLarge        Reason = "too_large"
	ReasonNoRoute         Reason = "no_route"
	ReasonKeyMissing      Reason = "key_missing"
	ReasonKeyUnknown      Reason = "key_unknown"
	ReasonNoCustomer      Reason = "no_customer"
	ReasonParentEnded     Reason = "parent_ended"
	ReasonNoContact       Reason = "no_contact"
	ReasonNodeBusy        Reason = "node_busy"
	ReasonRateLimited     Reason = "rate_limited"
	ReasonRateUnavailable Reason = "rate_unavailable"
	ReasonStaleToken      Reason = "stale_token"
	ReasonClaimDenied     Reason = "claim_unavailable"
	ReasonInProgress      Reason = "in_progress"
	ReasonIDTooOld        Reason = "id_too_old"
	ReasonNoTarget        Reason = "no_target"
	ReasonShed            Reason = "shed"
	ReasonDeadline        Reason = "deadline"
	ReasonCanceled        Reason = "canceled"
	ReasonZoneOut         Reason = "zone_out"
	ReasonTargetOut       Reason = "target_out"
	ReasonTargetLeaving   Reason = "target_leaving"
	ReasonQuarantined     Reason = "quarantined"
	ReasonPeerUnreachable Reason = "peer_unreachable"
	ReasonTargetFailed    Reason = "target_failed"
	ReasonAnswerCut       Reason = "answer_cut"
)

// Run tells whether a request ran at a target.
type Run uint8

// Values of Run. NotRun is said only when no target was handed the request.
const (
	RunUnknown Run = iota
	NotRun
	Completed
)

// String returns the form used in the header Oleander-Run.
func (r Run) String() string {
	switch r {
	case NotRun:
		return "not-run"
	case Completed:
		return "completed"
	default:
		return "unknown"
	}
}
