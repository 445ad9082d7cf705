package admission

import "time"

const (
	// orderInterval is the time over which the minimum sojourn time is taken. A
	// burst that is served within it leaves no standing queue.
	orderInterval = 100 * time.Millisecond
	// standingSojourn is the minimum sojourn time above which the queue counts
	// as standing. It is below typical service times, so that queueing stays a
	// small part of a call's latency.
	standingSojourn = 5 * time.Millisecond
	// minStandingWait is the least time after which a call is shed from a
	// standing queue. In newest-first order it has no chance to start, and while
	// it waits it may hold its parent's slot at another target. A class with
	// queued calls of which none has started for this time counts as starved.
	minStandingWait = 100 * time.Millisecond
)

// dequeueOrder switches between oldest first (FIFO) and newest first (LIFO).
//
// In a standing queue the oldest calls have used up most of the time until
// their deadlines: served first, each of them ends late and its work is wasted.
// The newest calls can still meet their deadlines. While there is no standing
// queue, calls are served in order of arrival.
type dequeueOrder struct {
	intervalEnd      time.Time     // zero before the first observation
	shortestSojourn  time.Duration // minimum in the current interval
	previousShortest time.Duration // minimum in the previous interval
	newestFirst      bool
}

// observe records the sojourn time of the call that would start next in FIFO
// order, each time a call is taken and at each scan of the queue. It reports
// whether the newest call is to be taken. The same call is observed also in
// newest-first order: the short sojourns of the newest calls would otherwise
// end that order at once.
func (o *dequeueOrder) observe(now time.Time, sojourn time.Duration) bool {
	switch {
	case o.intervalEnd.IsZero():
		o.intervalEnd, o.shortestSojourn = now.Add(orderInterval), sojourn
	case !now.Before(o.intervalEnd):
		o.previousShortest = o.shortestSojourn
		o.newestFirst = o.shortestSojourn > standingSojourn
		o.intervalEnd, o.shortestSojourn = now.Add(orderInterval), sojourn
	default:
		o.shortestSojourn = min(o.shortestSojourn, sojourn)
	}
	return o.newestFirst
}

// reset returns to oldest first once the queue is empty.
func (o *dequeueOrder) reset() { *o = dequeueOrder{} }
