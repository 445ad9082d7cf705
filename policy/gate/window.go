package gate

import (
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// windowCut is how far a window shrinks for each call that ends late or
	// fails. A window grows by one for each full round of good ends, so that it
	// settles where a few calls in a hundred end late.
	windowCut = 0.5
	// windowFloor is the least window, as a part of the slots: calls that end
	// late still earn some credit, and may be late through no fault of this
	// target's load.
	windowFloor = 0.1
	minWindow   = 2
	// windowUse is the part of a window that must be in use for it to grow.
	windowUse = 0.8
)

// window bounds the fresh calls of one priority that run at once. The target's
// slots bound what it bears itself; the window finds what the services behind
// it bear. Without it all slots fill with calls that wait for a saturated
// service and end late, and the work done for them is lost.
type window struct {
	size    float64
	running int
}

func (c *Core) window(priority int) *window {
	w := c.windows[priority]
	if w == nil {
		w = &window{size: float64(c.limit())}
		c.windows[priority] = w
	}
	return w
}

// resizeWindows keeps the windows in proportion when the target states other
// slots, or its slots for the first time after a start of the node.
func (c *Core) resizeWindows(before int) {
	for _, w := range c.windows {
		w.size = min(w.size*float64(c.limit())/float64(before), float64(c.limit()))
	}
}

// mayRunFresh reports whether a fresh call of a priority may run now.
func (c *Core) mayRunFresh(priority int) bool {
	w := c.window(priority)
	return float64(w.running) < max(w.size, minWindow)
}

// endFresh learns from the end of a fresh call. One that ends late shrinks the
// window of the worst priority that can shrink.
func (c *Core) endFresh(priority int, v verdict) {
	limit := float64(c.limit())
	w := c.window(priority)
	used := float64(w.running) >= windowUse*w.size
	w.running--
	switch {
	case v == verdictLate:
		w = c.shrinkable(priority)
		w.size = max(w.size-windowCut, windowFloor*limit, minWindow)
	case v == verdictGood && used:
		w.size = min(w.size+1/w.size, limit)
	}
}

// shrinkable returns the window of the worst priority, down to the given one,
// that is in use and above its floor.
func (c *Core) shrinkable(priority int) *window {
	worst := priority
	for p, w := range c.windows {
		if p > worst && w.running > 0 && w.size > max(windowFloor*float64(c.limit()), minWindow) {
			worst = p
		}
	}
	return c.windows[worst]
}

// lateEnd is the part of the time from its arrival to its objective after which
// a run counts as late. The wait for a slot does not count: it is this gate's
// own, and a window that shrinks makes it longer. A failure that comes earlier
// is no sign of load: the target or one behind it has broken off.
const lateEnd = 0.9

// serverError is the least status with which a target reports that it failed.
const serverError = 500

// verdict tells what the end of a fresh call says about the load.
type verdict uint8

const (
	verdictNone verdict = iota
	verdictGood
	verdictLate
)

func judge(now time.Time, l *call, e model.RunOutcome, status int) verdict {
	limit := time.Duration(lateEnd * float64(l.call.SLODeadline.Sub(l.arrived)))
	switch {
	case now.Sub(l.started) > limit:
		return verdictLate
	case e == model.OutcomeAnswered && status < serverError:
		return verdictGood
	default:
		return verdictNone
	}
}
