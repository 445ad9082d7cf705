package routing

import (
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// minRetryAfter is the least time after which a caller is asked to try
	// again.
	minRetryAfter = 100 * time.Millisecond
	// maxPressure bounds the growth of the jitter under pressure.
	maxPressure = 10
)

// pauses holds, for each reason that may not apply to a later request, the
// usual time until then.
var pauses = map[model.Reason]time.Duration{
	model.ReasonNoContact:        2 * time.Second,
	model.ReasonNodeBusy:         500 * time.Millisecond,
	model.ReasonRateLimited:      200 * time.Millisecond,
	model.ReasonRateUnavailable:  time.Second,
	model.ReasonStaleToken:       minRetryAfter,
	model.ReasonClaimUnavailable: time.Second,
	model.ReasonInProgress:       time.Second,
	model.ReasonNoTarget:         time.Second,
	model.ReasonShed:             500 * time.Millisecond,
	model.ReasonDeadline:         500 * time.Millisecond,
	model.ReasonZoneOut:          time.Second,
	model.ReasonTargetOut:        time.Second,
	model.ReasonTargetLeaving:    minRetryAfter,
	model.ReasonPeerUnreachable:  500 * time.Millisecond,
	model.ReasonTargetFailed:     500 * time.Millisecond,
	model.ReasonAnswerCut:        500 * time.Millisecond,
}

// MayRetryLater reports whether a later request may succeed where one was
// refused for the reason.
func MayRetryLater(reason model.Reason) bool { return pauses[reason] > 0 }

// addRetryAfter sets the time after which the caller may try again. The
// jitter keeps callers that were refused together from returning together;
// it grows with the number of calls of the customer that wait.
func (c *Core) addRetryAfter(r *call, a *model.Answer) {
	pause := pauses[a.Reason]
	if pause == 0 {
		return
	}
	a.RetryAfter = RetryAfter(max(a.RetryAfter, pause), c.pressure(r), c.rng.Float64())
}

// RetryAfter returns a pause with jitter. pressure is 0 without load and
// grows with it; random is in [0, 1).
func RetryAfter(pause time.Duration, pressure, random float64) time.Duration {
	spread := 0.5 + min(pressure, maxPressure)
	return pause + time.Duration(random*spread*float64(pause))
}

// pressure returns the fuller of the customer's waiting calls, in parts of
// 100, and the load of the target that refused.
func (c *Core) pressure(r *call) float64 {
	if r.call == nil {
		return 0
	}
	var p float64
	if a := c.accounts[r.call.Customer]; a != nil {
		p = float64(a.parked.len()) / 100
	}
	if r.target != nil {
		p = max(p, r.target.ratio(r.now)-1)
	}
	return p
}
