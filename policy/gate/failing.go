package gate

import (
	"math"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// failureTime is the averaging time of the share of calls that fail: some
	// dozens of calls at a usual target, and short against the seconds for which
	// a target fails.
	failureTime = 2 * time.Second
	// failurePrior is the number of good ends that are assumed besides those
	// seen, so that one failure at an idle target says little.
	failurePrior = 4
	// A running call counts as failed for now when it has taken stuckRuns times
	// the mean run time and stuckPart of the time to its objective.
	stuckRuns = 6
	stuckPart = 0.4
)

// failures estimates which share of the calls fails at the target. Its health
// check may say otherwise: a target may fail some requests, or all, while it
// calls itself healthy.
type failures struct {
	ended, failed float64 // decayed counts
	at            time.Time
}

func (f *failures) decay(now time.Time) {
	if elapsed := now.Sub(f.at); elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / failureTime.Seconds())
		f.ended *= factor
		f.failed *= factor
		f.at = now
	}
}

func (f *failures) onEnd(now time.Time, failed bool) {
	f.decay(now)
	f.ended++
	if failed {
		f.failed++
	}
}

// share returns the part of the calls that fails, with stuck ones.
func (f *failures) share(now time.Time, stuck int) float64 {
	f.decay(now)
	return (f.failed + float64(stuck)) / (f.ended + float64(stuck) + failurePrior)
}

// countEnd enters the end of a run.
func (c *Core) countEnd(now time.Time, l *call, e model.RunOutcome, status int) {
	if e == model.OutcomeOtherTarget || e == model.OutcomeCanceled && !c.late(now, l) {
		return // says nothing of the target
	}
	c.failing.onEnd(now, e != model.OutcomeAnswered || status >= serverError)
}

// stuck returns the number of running calls that take far longer than usual.
func (c *Core) stuck(now time.Time) int {
	n := 0
	for _, l := range c.byID {
		if !l.started.IsZero() && c.late(now, l) {
			n++
		}
	}
	return n
}

// late reports whether a call that was handed to the target takes far longer
// than usual.
func (c *Core) late(now time.Time, l *call) bool {
	usual := time.Duration(stuckPart * float64(l.call.SLODeadline.Sub(l.arrived)))
	return now.Sub(l.started) > max(stuckRuns*c.runTime, usual)
}
