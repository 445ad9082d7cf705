package admission

import (
	"net/http"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

// Result tells how a call that was handed over has ended.
type Result uint8

// Values of Result.
const (
	ResultOK                Result = iota // the target gave a whole answer
	ResultOverloaded                      // the target answered that it is overloaded
	ResultTimeout                         // no whole answer by the deadline
	ResultConnectionReset                 // the connection broke after the handoff
	ResultConnectionRefused               // the target took no connection
	ResultNoSignal                        // says nothing about the target, such as a cancelled call
)

// Outcome is the end of a call that was handed over.
type Outcome struct {
	CallID      model.CallID
	Result      Result
	StartMarker string // the target's start marker; empty when it sends none
	// Waited is the time in which the call waited for its sub-calls. It is no
	// work of the target and says nothing about its load.
	SubCallWait time.Duration
}

// OutcomeOf reads the outcome from an answer. An answer with another error
// status is good: it comes from the application, and one customer's failing
// requests must not lower the limit of all.
func OutcomeOf(a *model.Answer, start string) Outcome {
	return Outcome{CallID: a.ID, Result: resultOf(a), StartMarker: start}
}

func resultOf(a *model.Answer) Result {
	switch {
	case a.TargetLost && a.Run == model.NotRun:
		return ResultConnectionRefused
	case a.TargetLost:
		return ResultConnectionReset
	case a.Reason == model.ReasonDeadline:
		return ResultTimeout
	case a.FromSystem():
		return ResultNoSignal
	case a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests:
		return ResultOverloaded
	default:
		return ResultOK
	}
}
