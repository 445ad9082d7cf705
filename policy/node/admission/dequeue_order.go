package admission

import "time"

const (
	// sojournInterval is the time over which the minimum sojourn time is taken. A
	// burst that is served within it does not count as a standing queue.
	sojournInterval = 100 * time.Millisecond
	// standingQueueThreshold is the minimum sojourn time above which the queue
	// counts as standing. It is below typical service times, so that queueing
	// stays a small part of a call's latency.
	standingQueueThreshold = 5 * time.Millisecond
	// minStandingQueueWait is the least time after which a call is shed from a
	// standing queue. In newest-first order such a call has no chance to start,
	// and if it is a sub-call, it holds its parent's slot at another target. A
	// class counts as starved if calls of it are queued and none has started for
	// this time.
	minStandingQueueWait = 100 * time.Millisecond
)

// dequeueOrder switches between oldest first (FIFO) and newest first (LIFO).
//
// In a standing queue the oldest calls have used up most of the time to their
// deadlines. In FIFO order each of them would end too late, and the target's work
// would be wasted, while the newest calls can still meet their deadlines. Without
// a standing queue, calls are served in order of arrival.
type dequeueOrder struct {
	intervalEnd        time.Time     // zero before the first observation
	minSojourn         time.Duration // minimum in the current interval
	previousMinSojourn time.Duration // minimum in the previous interval
	newestFirst        bool
}

// observe records the sojourn time of the call that would start next in FIFO
// order, at each dequeue and each scan of the queue. It reports whether the
// newest call is to be dequeued. In newest-first order, too, sojourn must be that
// of the next call in FIFO order: the short sojourn times of the newest calls
// would switch back to FIFO at once.
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

// reset discards all sojourn times and returns to FIFO order. It is called when
// the queue has become empty.
func (o *dequeueOrder) reset() { *o = dequeueOrder{} }
