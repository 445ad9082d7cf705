package gate

import (
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// windowDecrease is by how many calls a window shrinks for each call that ends
	// late. A window grows by one after as many timely answers as its size, so that
	// it settles where about 2 / size of the calls end late: a few in a hundred in
	// a large window.
	windowDecrease = 0.5
	// minWindowFraction is the smallest window, as a fraction of the limit: a
	// late answer still has some value, and calls may be late for other reasons
	// than this target's load.
	minWindowFraction = 0.1
	// minWindow is the smallest window, in calls, whatever the limit.
	minWindow = 2
	// windowUsedFraction is the fraction of a window that must be in use for it
	// to grow.
	windowUsedFraction = 0.8
)

// window limits how many external calls of one priority run at once. The
// target's slots reflect its own capacity; the window adapts to the capacity of
// the services that it calls. Without it all slots fill with calls that wait for
// a saturated service and end late, and the work done for them is lost.
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

// resizeWindows scales the windows when an announced number of slots differs from
// the one known so far, or from the one assumed before the first announcement.
func (c *Core) resizeWindows(oldLimit int) {
	for _, w := range c.windows {
		w.size = min(w.size*float64(c.limit())/float64(oldLimit), float64(c.limit()))
	}
}

// mayRunExternal reports whether an external call of a priority may run now.
func (c *Core) mayRunExternal(priority int) bool {
	w := c.windowFor(priority)
	return float64(w.running) < max(w.size, minWindow)
}

// adjustWindows adapts the windows to the end of an external call. One that ends
// late shrinks the window of the lowest priority that can shrink.
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

// windowToShrink returns the window of the lowest priority that is in use and
// above the minimum, or else that of the given priority.
func (c *Core) windowToShrink(priority int) *window {
	lowest := priority
	for p, w := range c.windows {
		if p > lowest && w.running > 0 && w.size > max(minWindowFraction*float64(c.limit()), minWindow) {
			lowest = p
		}
	}
	return c.windows[lowest]
}

// lateFraction is the fraction of the time from the call's arrival to its
// SLO deadline after which a run counts as late. The wait for a slot does not
// count: this package causes it, and a smaller window makes it longer. A failure
// that comes earlier is no sign of load: the target, or a service that it calls,
// failed the call.
const lateFraction = 0.9

// minFailureStatus is the lowest HTTP status that counts as a failure of the target, for
// the windows and for the failure rate.
const minFailureStatus = 500

// loadSignal tells what the end of an external call says about the load.
type loadSignal uint8

const (
	signalNone   loadSignal = iota // no information
	signalTimely                   // in time and successful
	signalLate
)

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
