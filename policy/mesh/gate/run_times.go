package gate

import (
	"math"
	"time"
)

const (
	// runTimeWeight is the weight of a new sample in a mean run time, which is an
	// exponentially weighted moving average.
	runTimeWeight = 0.05
	// initialRunTime is the mean run time that is assumed until a call is answered.
	initialRunTime = 50 * time.Millisecond
	// runTimeMaxAge is the age of the latest sample from which the mean run time is no
	// longer reported. A slow target gets no calls, and without new samples it would
	// be considered slow forever.
	runTimeMaxAge = 3 * time.Second
	// longRunRatio is the ratio of the mean run times of external and nested calls from
	// which the external calls are long: a slot that one of them takes is missing for
	// several nested calls.
	longRunRatio = 4
	// nestedPeakDecayTime is the time constant with which the peak of running nested
	// calls falls towards their present number. Long calls, which run for about a second,
	// must not take the slots between two peaks.
	nestedPeakDecayTime = 500 * time.Millisecond
	// minExternalFraction of the limit, and at least one slot, is open to external
	// calls however many nested calls run or wait, so that they are served at all.
	minExternalFraction = 0.02
)

// meanTime is a mean run time.
type meanTime struct {
	mean      time.Duration
	sampledAt time.Time // zero if there is no sample
}

func (m *meanTime) add(now time.Time, sample time.Duration) {
	if m.sampledAt.IsZero() {
		m.mean = sample
	}
	m.sampledAt = now
	m.mean += time.Duration(runTimeWeight * float64(sample-m.mean))
}

// recent reports whether there is a sample that is not older than runTimeMaxAge.
func (m *meanTime) recent(now time.Time) bool {
	return !m.sampledAt.IsZero() && now.Sub(m.sampledAt) < runTimeMaxAge
}

// runTimes holds the mean run times of all calls, and of each kind: the calls that targets
// make differ from those of callers, which differ by priority.
type runTimes struct {
	all      meanTime
	nested   meanTime
	external map[int]*meanTime // by priority
}

func newRunTimes() runTimes {
	return runTimes{all: meanTime{mean: initialRunTime}, external: make(map[int]*meanTime)}
}

// add adds the run time of a call that was answered.
func (r *runTimes) add(now time.Time, tc *trackedCall, sample time.Duration) {
	r.all.add(now, sample)
	if tc.call.Nested {
		r.nested.add(now, sample)
		return
	}
	m := r.external[tc.call.Priority]
	if m == nil {
		m = new(meanTime)
		r.external[tc.call.Priority] = m
	}
	m.add(now, sample)
}

// of returns the mean run time of a kind of call, or that of all calls if there is no
// sample of the kind.
func (r *runTimes) of(nested bool, priority int) time.Duration {
	m := &r.nested
	if !nested {
		m = r.external[priority]
	}
	if m == nil || m.sampledAt.IsZero() {
		return r.all.mean
	}
	return m.mean
}

// long reports whether external calls of a priority run several times as long as nested
// calls, which must have run recently.
func (r *runTimes) long(now time.Time, priority int) bool {
	m := r.external[priority]
	return m != nil && r.nested.recent(now) && m.mean >= longRunRatio*r.nested.mean
}

// nestedPeak counts the running nested calls and their decaying peak.
type nestedPeak struct {
	running   int
	peak      float64
	decayedAt time.Time
}

// recent returns the number of slots that nested calls needed recently.
func (p *nestedPeak) recent(now time.Time) float64 {
	if elapsed := now.Sub(p.decayedAt); elapsed > 0 {
		p.peak -= (p.peak - float64(p.running)) * -math.Expm1(-elapsed.Seconds()/nestedPeakDecayTime.Seconds())
		p.decayedAt = now
	}
	return p.peak
}

func (p *nestedPeak) onStarted(now time.Time) {
	p.recent(now)
	p.running++
	p.peak = max(p.peak, float64(p.running))
}

func (p *nestedPeak) onEnded(now time.Time) {
	p.recent(now)
	p.running--
}

// minExternalSlots returns the number of slots that are open to external calls however
// many nested calls run or wait.
func (c *Core) minExternalSlots() float64 {
	return max(minExternalFraction*float64(c.limit()), 1)
}

// slotsForLong returns the number of slots that nested calls did not need recently.
func (c *Core) slotsForLong(now time.Time) float64 {
	return max(float64(c.limit())-math.Round(c.nested.recent(now)), c.minExternalSlots())
}

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
	if c.target.cold(now) {
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
// calls leave, and that its window allows.
func (c *Core) waitOfExternal(now time.Time, tc *trackedCall) (ahead float64, wait time.Duration) {
	priority := tc.call.Priority
	slots := max(float64(c.limit()-c.nested.running), c.minExternalSlots())
	if c.runTimes.long(now, priority) {
		slots = c.slotsForLong(now)
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
