package caller

import (
	"net/http"

	"github.com/oleanderworks/oleanderworks/model"
)

// statusClientClosedRequest is the common non-standard status for a caller that
// has closed its connection, and hence does not receive it.
const statusClientClosedRequest = 499

// statusByReason holds the HTTP status of every reason. docs/callers.md has the
// same table.
var statusByReason = map[model.Reason]int{
	model.ReasonBadRequest:       http.StatusBadRequest,
	model.ReasonTooLarge:         http.StatusRequestEntityTooLarge,
	model.ReasonNoRoute:          http.StatusNotFound,
	model.ReasonKeyMissing:       http.StatusUnauthorized,
	model.ReasonKeyUnknown:       http.StatusUnauthorized,
	model.ReasonNoCustomer:       http.StatusUnauthorized,
	model.ReasonParentEnded:      http.StatusConflict,
	model.ReasonInProgress:       http.StatusConflict,
	model.ReasonIDTooOld:         http.StatusConflict,
	model.ReasonRateLimited:      http.StatusTooManyRequests,
	model.ReasonQuarantined:      http.StatusUnprocessableEntity,
	model.ReasonCanceled:         statusClientClosedRequest,
	model.ReasonTargetFailed:     http.StatusBadGateway,
	model.ReasonAnswerCut:        http.StatusBadGateway,
	model.ReasonInternal:         http.StatusBadGateway,
	model.ReasonDeadline:         http.StatusGatewayTimeout,
	model.ReasonNoContact:        http.StatusServiceUnavailable,
	model.ReasonNodeBusy:         http.StatusServiceUnavailable,
	model.ReasonRateUnavailable:  http.StatusServiceUnavailable,
	model.ReasonStaleToken:       http.StatusServiceUnavailable,
	model.ReasonClaimUnavailable: http.StatusServiceUnavailable,
	model.ReasonNoTarget:         http.StatusServiceUnavailable,
	model.ReasonShed:             http.StatusServiceUnavailable,
	model.ReasonOverload:         http.StatusServiceUnavailable,
	model.ReasonZoneOut:          http.StatusServiceUnavailable,
	model.ReasonTargetOut:        http.StatusServiceUnavailable,
	model.ReasonTargetLeaving:    http.StatusServiceUnavailable,
	model.ReasonPeerUnreachable:  http.StatusServiceUnavailable,
}

// statusOf returns the HTTP status of a refusal or failure.
func statusOf(r model.Reason) int {
	if status, ok := statusByReason[r]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}
