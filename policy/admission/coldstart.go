package admission

import "time"

const (
	// rampSteps is the number of steps from the floor to the slots. Small
	// steps keep the limit close below what a warming target bears.
	rampSteps = 40
	// coldSamples is the fewest good answers that lift the limit of a cold or
	// ramping target, so that one lucky fast answer does not.
	coldSamples = 4
	// stepDownFactor lowers the limit of a ramping target after a bad window.
	stepDownFactor = 0.7
)

// stepTime is the time of one step of the ramp.
func (c *Core) stepTime() time.Duration { return c.config.RampTime.Std() / rampSteps }

// windowDue reports whether the window holds enough to judge the target.
//
// A target that has just started answers its first calls from an empty queue
// and so looks fast. Its limit grows only after each slot has been used once
// and the step's time is over.
func (c *Core) windowDue(now time.Time) bool {
	w := &c.target.window
	open := now.Sub(w.opened)
	switch c.target.state {
	case stateWarm:
		return w.samples >= warmSamples && open >= warmWindow
	case stateTrial:
		return w.samples >= 1
	case stateChecking:
		return w.samples >= coldSamples
	default:
		return w.samples >= max(coldSamples, c.slots()/2) && open >= c.stepTime()
	}
}

// fresh reports whether an ended call counts in the window. Except at a warm
// target only calls count that started in the window: older ones ran at
// another limit.
func (c *Core) fresh(e *execution) bool {
	w := &c.target.window
	if c.target.state == stateWarm {
		return true
	}
	return !e.started.Before(w.opened)
}

// observe learns from the end of a call. inFlight is the number of calls that
// ran until then.
func (c *Core) observe(now time.Time, e *execution, o Outcome, inFlight int) {
	if c.target.onEnd(now, o, inFlight) {
		return
	}
	switch o.Result {
	case ResultOK:
		c.observeGood(now, e, o, inFlight)
	case ResultOverloaded:
		c.addSample(now, e, 0, 0, true, inFlight)
	case ResultTimeout:
		c.observeLate(now, e, o, inFlight)
	}
}

// observeLate books a call without an answer in time as one that took until
// then, or as a failure while there is nothing to compare with. A deadline
// that was short of the usual time says nothing about the target.
func (c *Core) observeLate(now time.Time, e *execution, o Outcome, inFlight int) {
	elapsed := now.Sub(e.started)
	class := c.latency.class(e.rank)
	if elapsed < 2*class.usual {
		return
	}
	if class.baseline(now) > 0 {
		c.observeGood(now, e, o, inFlight)
		return
	}
	class.usual = moved(class.usual, elapsed)
	c.addSample(now, e, 0, 0, true, inFlight)
}

// observeGood books the time of a call.
func (c *Core) observeGood(now time.Time, e *execution, o Outcome, inFlight int) {
	elapsed := now.Sub(e.started)
	own := max(elapsed-o.SubCallWait, 0)
	base := c.latency.observe(now, e.rank, own, elapsed-own)
	c.addSample(now, e, own, base, false, inFlight)
}

func (c *Core) addSample(now time.Time, e *execution, elapsed, usual time.Duration, overload bool, inFlight int) {
	if !c.fresh(e) {
		return
	}
	c.target.window.add(elapsed, usual, overload, inFlight)
	if c.windowDue(now) {
		c.judge(now)
	}
}

// judge closes the window and tells the target's chart what it showed.
func (c *Core) judge(now time.Time) {
	w := c.target.window
	event := eventGoodWindow
	switch {
	case c.target.state == stateChecking:
		event = c.judgeChecked(&w)
	case w.errorShare() > errorLimit:
		event = eventBadWindow
	case c.limit.cutDidNotHelp(&w):
		event = eventSlowElsewhere
	case w.ratio() >= jumpRatio:
		event = eventJumped
	case w.ratio() > tolerance:
		event = eventBadWindow
	}
	c.target.judged = w
	c.target.step(now, event)
	c.target.window.reset(now)
}

// judgeChecked tells a cold target, which is fast again at its floor, from
// one that waits for another service and is as slow as before.
func (c *Core) judgeChecked(w *window) eventID {
	switch {
	case w.errorShare() > errorLimit:
		return eventBadWindow
	case w.ratio() > tolerance:
		return eventSlowElsewhere
	default:
		return eventGoodWindow
	}
}
