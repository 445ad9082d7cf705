package gate

import (
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// windowDecrease is the number of calls by which a window shrinks for each call
	// that ends late. A window grows by one after as many timely answers as its size,
	// so that it settles where about 2 / size of the calls end late: a few percent in a
	// large window.
	windowDecrease = 0.5
	// minWindowFraction is the smallest window as a fraction of the concurrency limit.
	// It is not smaller because a late answer still has some value, and because calls
	// may be late for reasons other than this target's load.
	minWindowFraction = 0.1
	// minWindow is the smallest window in calls, independent of the limit.
	minWindow = 2
	// windowUsedFraction is the fraction of a window that must be in use for it
	// to grow.
	windowUsedFraction = 0.8
)

// window is an adaptive concurrency limit for the external calls of one priority. The
// target's slots reflect its own capacity; the window adapts to the capacity of the
// services that it calls. Without it all slots would fill with calls that wait for a
// saturated service and end late, and the work done for them would be wasted.
type window struct {
	size    float64
	running int
}

func (c *Core) windowFor(priority int) *window {
	w := c.windows[priority]
	if w == nil {
		w = &window{size: float64(c.limit())}
		c.windows[priority] = w
	}
	return w
}

// resizeWindows scales the windows in proportion to a change of the concurrency limit
// from oldLimit.
func (c *Core) resizeWindows(oldLimit int) {
	for _, w := range c.windows {
		w.size = min(w.size*float64(c.limit())/float64(oldLimit), float64(c.limit()))
	}
}

// mayRunExternal reports whether the window of a priority allows another external
// call.
func (c *Core) mayRunExternal(priority int) bool {
	w := c.windowFor(priority)
	return float64(w.running) < max(w.size, minWindow)
}

// adjustWindows handles the end of an external call in the windows. A late call shrinks
// the window of the lowest priority that can shrink; a timely one grows its own window
// if that is mostly in use.
func (c *Core) adjustWindows(priority int, signal loadSignal) {
	limit := float64(c.limit())
	w := c.windowFor(priority)
	used := float64(w.running) >= windowUsedFraction*w.size
	w.running--
	switch {
	case signal == signalLate:
		w = c.windowToShrink(priority)
		w.size = max(w.size-windowDecrease, minWindowFraction*limit, minWindow)
	case signal == signalTimely && used:
		w.size = min(w.size+1/w.size, limit)
	}
}

// windowToShrink returns the window of the lowest priority below the given one that is
// in use and above the minimum, or else that of the given priority.
func (c *Core) windowToShrink(priority int) *window {
	lowest := priority
	for p, w := range c.windows {
		if p > lowest && w.running > 0 && w.size > max(minWindowFraction*float64(c.limit()), minWindow) {
			lowest = p
		}
	}
	return c.windows[lowest]
}

// lateFraction is the fraction of the time from a call's arrival to its SLO deadline
// after which a run counts as late. The wait for a slot does not count, since this
// package causes it and a smaller window makes it longer. A failure within this time does
// not indicate load: the target, or a service that it calls, failed the call.
const lateFraction = 0.9

// minFailureStatus is the lowest HTTP status that counts as a failure of the target, for
// both the windows and the failure rate.
const minFailureStatus = 500

// loadSignal is the information about the load that the end of an external call gives.
type loadSignal uint8

const (
	signalNone   loadSignal = iota // no information
	signalTimely                   // successful and in time
	signalLate                     // too late, with any outcome
)

// classifyRun returns the load signal of an external call that has ended.
func classifyRun(now time.Time, tc *trackedCall, outcome model.RunOutcome, status int) loadSignal {
	lateAfter := time.Duration(lateFraction * float64(tc.call.SLODeadline.Sub(tc.arrived)))
	switch {
	case now.Sub(tc.started) > lateAfter:
		return signalLate
	case outcome == model.OutcomeAnswered && status < minFailureStatus:
		return signalTimely
	default:
		return signalNone
	}
}
