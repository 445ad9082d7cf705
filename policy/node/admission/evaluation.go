package admission

import "time"

const (
	// rampSteps is the greatest number of steps from the cold floor to the
	// configured slots. Small steps keep the limit just below what a warming
	// target can handle. The limit follows the time, so a longer window raises it
	// by more.
	rampSteps = 40
	// minColdSamples is the least number of samples in a window of a target that
	// is neither warm nor in trial, so that a single fast answer does not raise the
	// limit.
	minColdSamples = 4
	// rampDownFactor lowers the limit of a ramping target after a bad window.
	rampDownFactor = 0.7
)

// rampStepTime returns the least time between two steps of the ramp.
func (c *Core) rampStepTime() time.Duration { return c.config.RampTime.Std() / rampSteps }

// windowDue reports whether the window holds enough samples to be evaluated.
//
// A target that has just started answers its first calls fast, since it has no
// queue yet. Its limit grows only after half as many calls as the limit allows
// have ended and the time of a ramp step has passed.
func (c *Core) windowDue(now time.Time) bool {
	w := &c.target.window
	open := now.Sub(w.start)
	switch c.target.state {
	case stateWarm:
		return w.samples >= minWarmSamples && open >= minWarmWindow
	case stateTrial:
		return w.samples >= 1
	case stateChecking:
		return w.samples >= minColdSamples
	default:
		return w.samples >= max(minColdSamples, c.currentLimit()/2) && open >= c.rampStepTime()
	}
}

// countsInWindow reports whether an ended call counts in the window. Unless the
// target is warm, only calls that started in the window count, since earlier
// ones ran under another limit.
func (c *Core) countsInWindow(e *execution) bool {
	w := &c.target.window
	if c.target.state == stateWarm {
		return true
	}
	return !e.started.Before(w.start)
}

// observe records the outcome of a call. inFlight is the number of calls that
// were running when it ended, including itself.
func (c *Core) observe(now time.Time, e *execution, o Outcome, inFlight int) {
	if c.target.observeOutcome(now, o, inFlight) {
		return
	}
	switch o.Result {
	case ResultOK:
		c.observeServiceTime(now, e, o, inFlight)
	case ResultOverloaded:
		c.addSample(now, e, 0, 0, true, inFlight)
	case ResultTimeout:
		c.observeTimeout(now, e, o, inFlight)
	}
}

// observeTimeout records a call that was not answered in time. The time until the
// timeout counts as its elapsed time, or, while there is no baseline to compare
// with, the call counts as overloaded. If less than twice the mean elapsed time
// has passed, the deadline was short and the timeout says nothing about the
// target.
func (c *Core) observeTimeout(now time.Time, e *execution, o Outcome, inFlight int) {
	elapsed := now.Sub(e.started)
	class := c.serviceTimes.class(e.classRank)
	if elapsed < 2*class.meanElapsed {
		return
	}
	if class.baseline(now) > 0 {
		c.observeServiceTime(now, e, o, inFlight)
		return
	}
	class.meanElapsed = ewma(class.meanElapsed, elapsed)
	c.addSample(now, e, 0, 0, true, inFlight)
}

// observeServiceTime records the service time of a call, without the time in
// which it waited for its sub-calls.
func (c *Core) observeServiceTime(now time.Time, e *execution, o Outcome, inFlight int) {
	elapsed := now.Sub(e.started)
	serviceTime := max(elapsed-o.SubCallWait, 0)
	baseline := c.serviceTimes.observe(now, e.classRank, serviceTime, elapsed-serviceTime)
	c.addSample(now, e, serviceTime, baseline, false, inFlight)
}

func (c *Core) addSample(now time.Time, e *execution, serviceTime, baseline time.Duration, overloaded bool, inFlight int) {
	if !c.countsInWindow(e) {
		return
	}
	c.target.window.add(serviceTime, baseline, overloaded, inFlight)
	if c.windowDue(now) {
		c.evaluateWindow(now)
	}
}

// evaluateWindow sends the target chart the event for the result of the window,
// and begins a new window.
func (c *Core) evaluateWindow(now time.Time) {
	w := c.target.window
	event := targetEventGoodWindow
	switch {
	case c.target.state == stateChecking:
		event = c.evaluateCheckingState(&w)
	case w.overloadRatio() > maxOverloadRatio:
		event = targetEventBadWindow
	case c.limit.decreaseHadNoEffect(&w):
		event = targetEventDependencySlow
	case w.serviceTimeRatio() >= jumpRatio:
		event = targetEventServiceTimeJumped
	case w.serviceTimeRatio() > toleratedRatio:
		event = targetEventBadWindow
	}
	c.target.evaluatedWindow = w
	c.target.step(now, event)
	c.target.window.reset(now)
}

// evaluateCheckingState distinguishes a cold target, which is fast again at the
// cold floor, from one that waits for a dependency that it does not call through
// its node, such as a database, and is as slow as before.
func (c *Core) evaluateCheckingState(w *window) targetEventID {
	switch {
	case w.overloadRatio() > maxOverloadRatio:
		return targetEventBadWindow
	case w.serviceTimeRatio() > toleratedRatio:
		return targetEventDependencySlow
	default:
		return targetEventGoodWindow
	}
}
