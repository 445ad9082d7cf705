package gate

import "time"

// drainRate returns the number of running calls that end in a second.
func (c *Core) drainRate() float64 {
	rate := float64(c.nested.running) / c.runTimes.of(true, 0).Seconds()
	for priority, w := range c.windows {
		rate += float64(w.running) / c.runTimes.of(false, priority).Seconds()
	}
	return rate
}

// expectedWait estimates how long a call waits for a slot.
func (c *Core) expectedWait(now time.Time, tc *trackedCall) time.Duration {
	var ahead float64 // calls, including this one
	var wait time.Duration
	if tc.call.Nested {
		ahead, wait = c.waitOfNested(now, tc)
	} else {
		ahead, wait = c.waitOfExternal(now, tc)
	}
	if c.target.cold(now) && c.target.coldRate > 0 {
		wait = max(wait, time.Duration(ahead/c.target.coldRate*float64(time.Second)))
	}
	return wait
}

// waitOfNested estimates the wait of a nested call: it gets the slots of all calls that end,
// after the calls that go before it.
func (c *Core) waitOfNested(now time.Time, tc *trackedCall) (ahead float64, wait time.Duration) {
	ahead = float64(c.queue.countBeforeNested(tc, func(priority int) bool { return c.mayRunExternal(now, priority) }) + 1)
	rate := c.drainRate()
	if c.running < c.limit() { // nothing but the cold rate makes it wait
		rate = max(rate, float64(c.limit())/c.runTimes.of(true, 0).Seconds())
	}
	return ahead, time.Duration(ahead / rate * float64(time.Second))
}

// waitOfExternal estimates the wait of an external call: it gets only the slots that nested
// calls of its own and higher priorities leave, and that its window allows.
func (c *Core) waitOfExternal(now time.Time, tc *trackedCall) (ahead float64, wait time.Duration) {
	priority := tc.call.Priority
	nested, _ := c.nested.upTo(now, priority)
	slots := max(float64(c.limit()-nested), c.minExternalSlots())
	if c.runTimes.long(now, priority) {
		slots, _ = c.slotsForLong(now, priority)
	}
	slots = min(slots, max(c.windowFor(priority).size, minWindow))
	ahead, work := 1.0, c.runTimes.of(false, priority)
	for _, level := range c.queue.levels {
		if level.priority <= priority {
			ahead += float64(level.nested.length + level.external.length)
			work += time.Duration(level.nested.length) * c.runTimes.of(true, 0)
			work += time.Duration(level.external.length) * c.runTimes.of(false, level.priority)
		}
	}
	return ahead, time.Duration(float64(work) / slots)
}
