package gate

import (
	"math"
	"time"
)

const (
	// nestedPeakDecayTime is the time constant with which the peak of running nested
	// calls falls towards their present number. Long calls, which run for about a second,
	// must not take the slots between two peaks.
	nestedPeakDecayTime = 500 * time.Millisecond
	// minExternalFraction of the limit, and at least one slot, is open to external
	// calls however many nested calls run or wait, so that they are served at all.
	minExternalFraction = 0.02
)

// nestedLoad is the load by nested calls of each priority.
type nestedLoad struct {
	running    int
	byPriority map[int]*nestedPeak
}

// nestedPeak counts the running nested calls of a priority and their decaying peak.
type nestedPeak struct {
	running   int
	peak      float64
	decayedAt time.Time
}

func (p *nestedPeak) decay(now time.Time) {
	if elapsed := now.Sub(p.decayedAt); elapsed > 0 {
		p.peak += (p.peak - float64(p.running)) * math.Expm1(-elapsed.Seconds()/nestedPeakDecayTime.Seconds())
		p.decayedAt = now
	}
}

func (l *nestedLoad) onStarted(now time.Time, priority int) {
	p := l.byPriority[priority]
	if p == nil {
		p = new(nestedPeak)
		l.byPriority[priority] = p
	}
	p.decay(now)
	p.running++
	p.peak = max(p.peak, float64(p.running))
	l.running++
}

func (l *nestedLoad) onEnded(now time.Time, priority int) {
	p := l.byPriority[priority]
	p.decay(now)
	p.running--
	l.running--
}

// upTo returns the number of running nested calls of the given and higher priorities, and
// the number of slots that they needed recently.
func (l *nestedLoad) upTo(now time.Time, priority int) (running int, recent float64) {
	for p, peak := range l.byPriority {
		if p <= priority {
			peak.decay(now)
			running += peak.running
			recent += peak.peak
		}
	}
	return running, recent
}

// NestedSlots returns the number of slots that nested calls needed recently, for metrics.
func (c *Core) NestedSlots(now time.Time) float64 {
	_, recent := c.nested.upTo(now, math.MaxInt)
	return recent
}

// minExternalSlots returns the number of slots that are open to external calls however
// many nested calls run or wait.
func (c *Core) minExternalSlots() float64 {
	return max(minExternalFraction*float64(c.limit()), 1)
}

// slotsForLong returns the number of slots that nested calls of the given and higher
// priorities did not need recently, and how many of them are taken.
func (c *Core) slotsForLong(now time.Time, priority int) (slots float64, taken int) {
	running, recent := c.nested.upTo(now, priority)
	return max(float64(c.limit())-math.Round(recent), c.minExternalSlots()), c.running - running
}
