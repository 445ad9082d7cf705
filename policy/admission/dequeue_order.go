package admission

import "time"

const (
	// sojournInterval is the time over which the minimum sojourn time is taken. A
	// burst that is served within it leaves no standing queue.
	sojournInterval = 100 * time.Millisecond
	// standingQueueThreshold is the minimum sojourn time above which the queue counts
	// as standing. It is below typical service times, so that queueing stays a
	// small part of a call's latency.
	standingQueueThreshold = 5 * time.Millisecond
	// minStandingQueueWait is the least time after which a call is shed from a
	// standing queue. In newest-first order it has no chance to start, and while
	// it waits it may hold its parent's slot at another target. A class with
	// queued calls of which none has started for this time counts as starved.
	minStandingQueueWait = 100 * time.Millisecond
)

// dequeueOrder switches between oldest first (FIFO) and newest first (LIFO).
//
// In a standing queue the oldest calls have used up most of the time until
// their deadlines: served first, each of them ends late and its work is wasted.
// The newest calls can still meet their deadlines. While there is no standing
// queue, calls are served in order of arrival.
type dequeueOrder struct {
	intervalEnd        time.Time     // zero before the first observation
	minSojourn         time.Duration // minimum in the current interval
	previousMinSojourn time.Duration // minimum in the previous interval
	newestFirst        bool
}

// observe records the sojourn time of the call that would start next in FIFO
// order, each time a call is taken and at each scan of the queue. It reports
// whether the newest call is to be taken. The same call is observed also in
// newest-first order: the short sojourns of the newest calls would otherwise
// end that order at once.
func (o *dequeueOrder) observe(now time.Time, sojourn time.Duration) bool {
	switch {
	case o.intervalEnd.IsZero():
		o.intervalEnd, o.minSojourn = now.Add(sojournInterval), sojourn
	case !now.Before(o.intervalEnd):
		o.previousMinSojourn = o.minSojourn
		o.newestFirst = o.minSojourn > standingQueueThreshold
		o.intervalEnd, o.minSojourn = now.Add(sojournInterval), sojourn
	default:
		o.minSojourn = min(o.minSojourn, sojourn)
	}
	return o.newestFirst
}

// reset returns to oldest first once the queue is empty.
func (o *dequeueOrder) reset() { *o = dequeueOrder{} }
