package admission

import "time"

const (
	// optimisticStartInterval is the time between two calls that start
	// although the mean service time predicts that they end after their
	// deadline. Without them the node would not notice that the target has
	// become faster.
	optimisticStartInterval = 200 * time.Millisecond
	// stallTimeoutBase is added to twice the mean service time to get the
	// time without a byte after which a connection to the target counts as
	// stalled.
	stallTimeoutBase = 3 * time.Second
)

// mayStart reports whether a queued call may start: it ends before its deadline
// if it takes the mean time of its class. The work of a call that ends later is
// wasted at the target and useless to the caller. Once in each
// optimisticStartInterval another call may start too, as long as its deadline
// has not passed; mayStart records the time.
func (s *serviceTimes) mayStart(now time.Time, e *execution) bool {
	if !now.Add(s.class(e.classRank).meanElapsed).After(e.call.Deadline) {
		return true
	}
	if now.Sub(s.lastOptimisticStart) < optimisticStartInterval {
		return false
	}
	s.lastOptimisticStart = now
	return now.Before(e.call.Deadline)
}

// stallTimeout returns the time without a byte after which the connection of
// a call is closed, if later calls are answered meanwhile. A call with a
// distant deadline may legitimately be slower than others, so it gets at least
// half of its remaining time.
func (s *serviceTimes) stallTimeout(e *execution) time.Duration {
	return max(2*s.class(e.classRank).meanElapsed+stallTimeoutBase, e.call.Deadline.Sub(e.now)/2)
}
