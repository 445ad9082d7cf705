package gate

import (
	"math"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// failureDecayTime is the time constant of the failure rate's exponential decay.
	// It is long enough for a typical target to finish some dozens of calls, and
	// shorter than most failures of targets, which last several seconds.
	failureDecayTime = 2 * time.Second
	// failurePrior is a number of successful calls that is added to those counted, so
	// that a single failure at an idle target has little effect.
	failurePrior = 4
	// A running call is stuck, and counts as failed until it ends, when it has run
	// longer than stuckRunTimeFactor times the mean run time and longer than
	// stuckSLOFraction of the time from its arrival to its SLO deadline.
	stuckRunTimeFactor = 6
	stuckSLOFraction   = 0.4
)

// failureRate estimates the fraction of calls that fail at the target. Probes do not
// detect such failures: a target may fail some or all requests while its health check
// succeeds.
type failureRate struct {
	ended, failed float64 // counts with exponential decay
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

// fraction returns the estimated fraction of calls that fail. Stuck calls count as
// failed, and failurePrior successful calls are added.
func (f *failureRate) fraction(now time.Time, stuck int) float64 {
	f.decay(now)
	return (f.failed + float64(stuck)) / (f.ended + float64(stuck) + failurePrior)
}

// recordRunResult adds a finished run to the failure rate.
func (c *Core) recordRunResult(now time.Time, tc *trackedCall, outcome model.RunOutcome, status int) {
	if outcome == model.OutcomeOtherTarget || outcome == model.OutcomeCanceled && !c.isStuck(now, tc) {
		return // does not indicate a failure of the target
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

// isStuck reports whether a call that was sent to the target is stuck, or was when it
// ended.
func (c *Core) isStuck(now time.Time, tc *trackedCall) bool {
	minElapsed := time.Duration(stuckSLOFraction * float64(tc.call.SLODeadline.Sub(tc.arrived)))
	return now.Sub(tc.started) > max(stuckRunTimeFactor*c.runTimes.all.mean, minElapsed)
}
