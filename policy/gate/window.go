package gate

import "time"

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

// mayRunFresh reports whether a fresh call of a priority may run now.
func (c *Core) mayRunFresh(priority int) bool {
	w := c.window(priority)
	return float64(w.running) < max(w.size, minWindow)
}

// onEnd learns from the end of a fresh call.
func (w *window) onEnd(limit int, good bool) {
	used := float64(w.running) >= windowUse*w.size
	w.running--
	switch {
	case !good:
		w.size = max(w.size-windowCut, windowFloor*float64(limit), minWindow)
	case used:
		w.size = min(w.size+1/w.size, float64(limit))
	}
}

// serverError is the least status with which a target reports that it failed.
const serverError = 500

// isGood reports whether a call ended in time and well. A broken connection is
// no sign of load.
func isGood(now time.Time, l *call, e End, status int) bool {
	if now.After(l.call.Objective) {
		return false
	}
	return e != EndAnswered || status < serverError
}
