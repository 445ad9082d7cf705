package admission

import "time"

const (
	// optimisticStartInterval is the least time between two calls that start
	// although they are expected to end after their deadline. Without such calls
	// the node would not notice that the target has become faster.
	optimisticStartInterval = 200 * time.Millisecond
	// stallTimeoutBase is added to twice the mean elapsed time of a class. The
	// sum is the least time without a byte after which a connection to the target
	// counts as stalled.
	stallTimeoutBase = 3 * time.Second
)

// mayStart reports whether a queued call may start: it must be expected to end
// before its deadline, by the mean elapsed time of its class, since otherwise the
// target's work is wasted. Once in each optimisticStartInterval, any call whose
// deadline has not passed may start; mayStart records when.
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
// a call is closed if later calls are answered meanwhile. It is at least half of
// the time to the call's deadline, since a call with a distant deadline may be
// slower than others.
func (s *serviceTimes) stallTimeout(e *execution) time.Duration {
	return max(2*s.class(e.classRank).meanElapsed+stallTimeoutBase, e.call.Deadline.Sub(e.now)/2)
}
