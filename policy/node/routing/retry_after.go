package routing

import (
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// minRetryAfter is the least Retry-After of an answer.
	minRetryAfter = 100 * time.Millisecond
	// maxExcessLoad caps the excess load: the jitter is at most (0.5 + maxExcessLoad)
	// times the delay.
	maxExcessLoad = 10
)

// retryDelays holds, by reason, the least Retry-After without jitter: the typical
// time until the condition ends. Conditions whose reason is missing here do not
// end by themselves.
var retryDelays = map[model.Reason]time.Duration{
	model.ReasonNoContact:        2 * time.Second,
	model.ReasonNodeBusy:         500 * time.Millisecond,
	model.ReasonRateLimited:      200 * time.Millisecond,
	model.ReasonRateUnavailable:  time.Second,
	model.ReasonStaleToken:       minRetryAfter,
	model.ReasonClaimUnavailable: time.Second,
	model.ReasonInProgress:       time.Second,
	model.ReasonNoTarget:         time.Second,
	model.ReasonShed:             500 * time.Millisecond,
	model.ReasonOverload:         500 * time.Millisecond,
	model.ReasonDeadline:         500 * time.Millisecond,
	model.ReasonZoneOut:          time.Second,
	model.ReasonTargetOut:        time.Second,
	model.ReasonTargetLeaving:    minRetryAfter,
	model.ReasonPeerUnreachable:  500 * time.Millisecond,
	model.ReasonTargetFailed:     500 * time.Millisecond,
	model.ReasonAnswerCut:        500 * time.Millisecond,
}

// MayRetryLater reports whether a request that was refused for the reason may
// succeed later.
func MayRetryLater(reason model.Reason) bool { return retryDelays[reason] > 0 }

// addRetryAfter sets the time after which the caller may retry. The jitter keeps
// callers that were refused at the same time from retrying at the same time. It
// grows with the excess load.
func (c *Core) addRetryAfter(r *callState, a *model.Answer) {
	delay := retryDelays[a.Reason]
	if delay == 0 {
		return
	}
	a.RetryAfter = RetryAfter(max(a.RetryAfter, delay), c.excessLoad(r), c.rng.Float64())
}

// RetryAfter adds jitter to a delay. excessLoad is 0 without overload and grows
// with it; random is in [0, 1).
func RetryAfter(delay time.Duration, excessLoad, random float64) time.Duration {
	spread := 0.5 + min(excessLoad, maxExcessLoad)
	return delay + time.Duration(random*spread*float64(delay))
}

// excessLoad returns the higher of two measures: the customer's calls that wait
// for tokens, in units of 100 calls, and the utilization above 1 of the call's
// latest target.
func (c *Core) excessLoad(r *callState) float64 {
	if r.call == nil {
		return 0
	}
	var load float64
	if a := c.accounts[r.call.Customer]; a != nil {
		load = float64(a.tokenQueue.len()) / 100
	}
	if r.target != nil {
		load = max(load, r.target.utilization(r.now)-1)
	}
	return load
}
