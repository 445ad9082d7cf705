package admission

import "time"

const (
	// trialPause is the time between two calls that run although the usual
	// service time says that they end too late. Without them the node would
	// not notice that the target has become faster.
	trialPause = 200 * time.Millisecond
	// silenceBase is the time without a byte, besides twice the usual one,
	// after which a connection to the target counts as silent.
	silenceBase = 3 * time.Second
)

// feasible reports whether a call can end before its deadline when it takes
// the usual time. Work that ends late is lost to both sides.
func (l *latency) feasible(now time.Time, e *execution) bool {
	if !now.Add(l.class(e.rank).usual).After(e.call.Deadline) {
		return true
	}
	if now.Sub(l.lastTrial) < trialPause {
		return false
	}
	l.lastTrial = now
	return now.Before(e.call.Deadline)
}

// silence returns the time without a byte after which the connection of a
// call is given up, if later calls are answered meanwhile. A call that was
// given a long time may rightly be slow beside fast ones, so it gets at least
// half of it.
func (l *latency) silence(e *execution) time.Duration {
	return max(2*l.class(e.rank).usual+silenceBase, e.call.Deadline.Sub(e.now)/2)
}
