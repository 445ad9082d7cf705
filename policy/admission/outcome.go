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
	ResultGood     Result = iota // the target gave a whole answer
	ResultOverload               // the target answered that it is overloaded
	ResultLate                   // no whole answer by the deadline
	ResultReset                  // the connection broke after the handoff
	ResultRefused                // the target took no connection
	ResultNeutral                // says nothing about the target, such as a cancelled call
)

// Outcome is the end of a call that was handed over.
type Outcome struct {
	CallID model.CallID
	Result Result
	Start  string // the target's start marker; empty when it sends none
	// Waited is the time in which the call waited for its sub-calls. It is no
	// work of the target and says nothing about its load.
	Waited time.Duration
}

// OutcomeOf reads the outcome from an answer. An answer with another error
// status is good: it comes from the application, and one customer's failing
// requests must not lower the limit of all.
func OutcomeOf(a *model.Answer, start string) Outcome {
	return Outcome{CallID: a.ID, Result: resultOf(a), Start: start}
}

func resultOf(a *model.Answer) Result {
	switch {
	case a.TargetLost && a.Run == model.NotRun:
		return ResultRefused
	case a.TargetLost:
		return ResultReset
	case a.Reason == model.ReasonDeadline:
		return ResultLate
	case a.Refused():
		return ResultNeutral
	case a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests:
		return ResultOverload
	default:
		return ResultGood
	}
}
