package gate

import (
	"math"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// failureDecayTime is the time constant of the failure rate. A typical target
	// finishes some dozens of calls in it, and it is shorter than most failures of
	// targets, which last for several seconds.
	failureDecayTime = 2 * time.Second
	// failurePrior is the number of successful calls that are assumed in addition
	// to those counted, so that one failure at an idle target weighs little.
	failurePrior = 4
	// A running call is stuck, and counts as failed until it ends, when it has
	// taken longer than stuckRunTimeFactor times the mean run time and longer than
	// stuckSLOFraction of the time from its arrival to its SLO deadline.
	stuckRunTimeFactor = 6
	stuckSLOFraction   = 0.4
)

// failureRate estimates which fraction of the calls fails at the target. Probes
// do not show this: a target may fail some requests, or all of them, while its
// health check succeeds.
type failureRate struct {
	ended, failed float64 // decayed counts
	decayedAt     time.Time
}

func (f *failureRate) decay(now time.Time) {
	if elapsed := now.Sub(f.decayedAt); elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / failureDecayTime.Seconds())
		f.ended *= factor
		f.failed *= factor
		f.decayedAt = now
	}
}

func (f *failureRate) add(now time.Time, failed bool) {
	f.decay(now)
	f.ended++
	if failed {
		f.failed++
	}
}

// fraction returns the fraction of the calls that fail. It counts stuck calls as
// failed and adds failurePrior successful ones.
func (f *failureRate) fraction(now time.Time, stuck int) float64 {
	f.decay(now)
	return (f.failed + float64(stuck)) / (f.ended + float64(stuck) + failurePrior)
}

// recordRunResult counts the end of a run in the failure rate.
func (c *Core) recordRunResult(now time.Time, tc *trackedCall, outcome model.RunOutcome, status int) {
	if outcome == model.OutcomeOtherTarget || outcome == model.OutcomeCanceled && !c.isStuck(now, tc) {
		return // no sign of a failure of the target
	}
	c.failures.add(now, outcome != model.OutcomeAnswered || status >= minFailureStatus)
}

// countStuck returns the number of running calls that are stuck.
func (c *Core) countStuck(now time.Time) int {
	n := 0
	for _, tc := range c.byID {
		if !tc.started.IsZero() && c.isStuck(now, tc) {
			n++
		}
	}
	return n
}

// isStuck reports whether a call that was handed to the target takes, or took,
// far longer than usual.
func (c *Core) isStuck(now time.Time, tc *trackedCall) bool {
	minElapsed := time.Duration(stuckSLOFraction * float64(tc.call.SLODeadline.Sub(tc.arrived)))
	return now.Sub(tc.started) > max(stuckRunTimeFactor*c.meanRunTime, minElapsed)
}
