package gate

import (
	"math"
	"time"

	"github.com/oleanderworks/oleanderworks/core/timers"
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
	// reopenRate is the relative growth of a window per second while it reopens. From
	// the smallest window to nine tenths of the limit takes 2.2 s, since callers need the
	// service level back within 3 s after the end of an overload.
	reopenRate = 1.0
	// reopenFraction is the fraction of the time from a call's arrival to its SLO deadline
	// within which it must end for its window to reopen. Longer runs show that the services
	// behind are nearly saturated.
	reopenFraction = 0.6
	// reopenLag is the age, in run times, of the window that the calls that ended during a
	// run were started in: they were started one to two run times ago.
	reopenLag = 1.5
	// unloadedFraction is the multiple of the shortest recent run time up to which a run
	// shows no wait at the services behind. shortestRunDoubling is the time in which the
	// shortest run time doubles, so that a change of the work is learned.
	unloadedFraction    = 1.25
	shortestRunDoubling = time.Minute
	// lateEndPause is the number of ends of calls for which a late end stops the
	// reopening: with more than one late end in so many, the window does not reopen.
	// maxReopenPause bounds the pause.
	lateEndPause   = 10
	maxReopenPause = 300 * time.Millisecond
	// settledFraction of the calls that would end in time at the present rate always fit
	// into a window. Late ends come a run time after their cause; without this bound a
	// window shrinks on for that time and then collapses.
	settledFraction = 0.8
)

// window is an adaptive concurrency limit for the external calls of one priority. The
// target's slots reflect its own capacity; the window adapts to the capacity of the
// services that it calls. Without it all slots would fill with calls that wait for a
// saturated service and end late, and the work done for them would be wasted.
//
// A window reopens exponentially while runs end well within their objective, and by one
// call for each window of timely answers while they take longer.
type window struct {
	size      float64
	running   int
	ended     int       // calls that have ended
	reopensAt time.Time // latest reopening, or the end of the pause after a late end

	shortestRun time.Duration // of recent timely calls
	endedAt     time.Time     // latest end of a timely call
}

func (c *Core) windowFor(priority int) *window {
	w := c.windows[priority]
	if w == nil {
		w = &window{size: float64(c.limit())}
		c.windows[priority] = w
	}
	return w
}

// EachWindow calls f with the size of each window, for metrics.
func (c *Core) EachWindow(f func(priority int, size float64)) {
	for priority, w := range c.windows {
		f(priority, w.size)
	}
}

// resizeWindows scales the windows in proportion to a change of the concurrency limit
// from oldLimit.
func (c *Core) resizeWindows(oldLimit int) {
	for _, w := range c.windows {
		w.size = min(w.size*float64(c.limit())/float64(oldLimit), float64(c.limit()))
	}
}

// mayRunExternal reports whether the window of a priority allows another external call
// and, if these calls are long, one of the slots that nested calls did not need recently is
// free. The smallest number of slots is open to them also if nested calls of lower priorities
// run there, which do not wait for the slots that others needed.
func (c *Core) mayRunExternal(now time.Time, priority int) bool {
	external := c.running - c.nested.running
	if float64(external) >= math.Floor(c.minExternalSlots()) && c.runTimes.long(now, priority) {
		if slots, taken := c.slotsForLong(now, priority); float64(taken) >= math.Floor(slots) {
			return false
		}
	}
	w := c.windowFor(priority)
	return float64(w.running) < max(w.size, minWindow)
}

// adjustWindows handles the end of an external call in the windows. A late call shrinks
// the window of the lowest priority that can shrink; a timely one grows its own window
// if that is mostly in use.
func (c *Core) adjustWindows(now time.Time, tc *trackedCall, signal loadSignal) {
	w := c.windowFor(tc.call.Priority)
	run := now.Sub(tc.started)
	used := float64(w.running) >= windowUsedFraction*w.size
	w.running--
	w.ended++
	if signal == signalTimely { // rejections and failures are shorter than any run
		w.observeRun(now, run)
	}
	switch {
	case signal == signalLate:
		c.pauseReopening(now, tc.call.Priority, run)
		lowest := c.windowToShrink(tc.call.Priority)
		floor := c.minWindowSize()
		if lowest == w {
			floor = max(floor, min(w.settledSize(tc, run), w.size))
		}
		lowest.size = max(lowest.size-windowDecrease, floor)
	case signal == signalTimely && used:
		w.grow(now, tc, float64(c.limit()))
	}
}

// minWindowSize returns the smallest size of a window.
func (c *Core) minWindowSize() float64 {
	return max(minWindowFraction*float64(c.limit()), minWindow)
}

// grow grows the window after a timely end: quickly if the call ended well within its
// objective and no late ends are recent, otherwise by one for a whole window of such ends.
func (w *window) grow(now time.Time, tc *trackedCall, limit float64) {
	slow := min(w.size+1/w.size, limit)
	run := now.Sub(tc.started)
	if run > time.Duration(reopenFraction*float64(tc.objective())) {
		w.size = slow
		return
	}
	elapsed := min(now.Sub(w.reopensAt), run)
	if elapsed < 0 {
		w.size = slow
		return
	}
	w.reopensAt = now
	fast := min(w.size*math.Exp(reopenRate*elapsed.Seconds()), w.sustainable(tc, run), limit)
	w.size = max(fast, slow)
}

// sustainable returns the number of concurrent calls that would end in time if calls kept
// ending at the rate at which they ended during a run. While the services behind are
// saturated this rate does not rise with the window, so that the window stops there although
// the runs that it delays end only later. A run that shows no wait at the services behind
// leaves room for the growth since the calls that ended were started: runs that take half of
// their objective could not reopen the window otherwise.
func (w *window) sustainable(tc *trackedCall, run time.Duration) float64 {
	ratio := float64(tc.lateAfter()) / float64(max(run, time.Millisecond))
	if float64(run) <= unloadedFraction*float64(w.shortestRun) {
		ratio = max(ratio, math.Exp(reopenRate*reopenLag*run.Seconds()))
	}
	return float64(w.ended-tc.endedAtStart) * ratio
}

// observeRun updates the shortest recent run time.
func (w *window) observeRun(now time.Time, run time.Duration) {
	forgotten := 1 + float64(now.Sub(w.endedAt))/float64(shortestRunDoubling)
	w.endedAt = now
	if w.shortestRun = time.Duration(float64(w.shortestRun) * forgotten); w.shortestRun == 0 || run < w.shortestRun {
		w.shortestRun = run
	}
}

// pauseReopening pauses the reopening of the windows of the given and lower priorities after
// a late end. Calls of lower priorities must not take what makes higher ones late.
func (c *Core) pauseReopening(now time.Time, priority int, run time.Duration) {
	pause := time.Duration(lateEndPause * float64(run) / max(c.windowFor(priority).size, minWindow))
	for p, w := range c.windows {
		if p >= priority {
			w.reopensAt = timers.Earlier(later(now, w.reopensAt).Add(pause), now.Add(maxReopenPause))
		}
	}
}

// settledSize returns the size below which the late end of a call does not shrink its own
// window: calls of so many, ending at the present rate, would be timely.
func (w *window) settledSize(tc *trackedCall, run time.Duration) float64 {
	return settledFraction * float64(w.ended-tc.endedAtStart) * float64(tc.lateAfter()) / float64(run)
}

// windowToShrink returns the window of the lowest priority below the given one that is
// in use and above the minimum, or else that of the given priority.
func (c *Core) windowToShrink(priority int) *window {
	lowest := priority
	for p, w := range c.windows {
		if p > lowest && w.running > 0 && w.size > c.minWindowSize() {
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

// objective returns the time from the call's arrival to its SLO deadline.
func (tc *trackedCall) objective() time.Duration { return tc.call.SLODeadline.Sub(tc.arrived) }

// lateAfter returns the run time after which the call counts as late.
func (tc *trackedCall) lateAfter() time.Duration {
	return time.Duration(lateFraction * float64(tc.objective()))
}

// classifyRun returns the load signal of an external call that has ended.
func classifyRun(now time.Time, tc *trackedCall, outcome model.RunOutcome, status int) loadSignal {
	switch {
	case now.Sub(tc.started) > tc.lateAfter():
		return signalLate
	case outcome == model.OutcomeAnswered && status < minFailureStatus:
		return signalTimely
	default:
		return signalNone
	}
}
