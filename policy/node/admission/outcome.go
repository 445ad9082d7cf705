package admission

import (
	"net/http"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

// Result is how a call that was handed to the target ended.
type Result uint8

// Values of Result.
const (
	ResultOK                Result = iota // the target gave a complete answer
	ResultOverloaded                      // the target answered that it is overloaded
	ResultTimeout                         // no complete answer by the deadline
	ResultConnectionReset                 // the connection broke after the handoff
	ResultConnectionRefused               // the target accepted no connection
	ResultIgnored                         // the outcome does not depend on the target, such as that of a canceled call
)

// Outcome describes the end of a call that was handed to the target.
type Outcome struct {
	CallID      model.CallID
	Result      Result
	StartMarker string // sent by the target; changes when it restarts; empty when it sends none
	// SubCallWait is the time in which the call waited for its sub-calls. It
	// says nothing about the load of the target.
	SubCallWait time.Duration
}

// OutcomeOf derives the outcome from an answer. Error statuses other than 429
// and 503 count as ResultOK: they come from the application, and failing requests
// of one customer must not lower the limit for all.
func OutcomeOf(a *model.Answer, startMarker string) Outcome {
	return Outcome{CallID: a.ID, Result: resultOf(a), StartMarker: startMarker}
}

func resultOf(a *model.Answer) Result {
	switch {
	case a.TargetLost && a.Run == model.NotRun:
		return ResultConnectionRefused
	case a.TargetLost:
		return ResultConnectionReset
	case a.Reason == model.ReasonDeadline:
		return ResultTimeout
	case a.FromNode():
		return ResultIgnored
	case a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests:
		return ResultOverloaded
	default:
		return ResultOK
	}
}
