package admission

import "time"

const (
	// minSamples is the number of answers from which a mean service time is
	// taken as a baseline. Means of fewer answers scatter so much that their
	// minimum is far below the usual time.
	minSamples = 32
	// bucketTime and buckets give the time over which the minimum is taken.
	// A change of the target that lasts longer becomes the new baseline.
	bucketTime = time.Second
	buckets    = 30
	// usualWeight is the weight of one answer in the usual service time.
	usualWeight = 0.05
	// adoptTime is how long an adopted baseline is not lowered. Without it, a
	// customer that alternates between light and heavy requests would cause a
	// check of the target at each change.
	adoptTime = 30 * time.Second
)

// latency holds service times for each class. Classes differ in their usual
// work, and a change in the mix of classes is no change of the target.
type latency struct {
	byRank    []*classLatency
	lastTrial time.Time
}

// classLatency holds the service times of one class.
type classLatency struct {
	usual    time.Duration // moving mean, with the time in sub-calls
	recent   time.Duration // moving mean of the target's own time
	sum      time.Duration // of the target's own time in the current bucket
	samples  int
	opened   time.Time
	history  [buckets]time.Duration // means of the last buckets; zero when empty
	position int

	adopted      time.Duration // least baseline until adoptedUntil
	adoptedUntil time.Time
}

func (l *latency) class(rank int) *classLatency {
	for len(l.byRank) <= rank {
		l.byRank = append(l.byRank, new(classLatency))
	}
	return l.byRank[rank]
}

// observe books a service time, of which the target waited some for
// sub-calls. It returns the baseline of its own time, which is the own time
// itself while there is no baseline.
func (l *latency) observe(now time.Time, rank int, own, waited time.Duration) time.Duration {
	c := l.class(rank)
	c.usual = moved(c.usual, own+waited)
	c.recent = moved(c.recent, own)
	if c.opened.IsZero() {
		c.opened = now
	}
	c.sum += own
	c.samples++
	if now.Sub(c.opened) >= bucketTime && c.samples >= minSamples {
		c.closeBucket(now)
	}
	if base := c.baseline(now); base > 0 {
		return base
	}
	return own
}

// moved returns a moving mean after one more value. The first value counts in
// full.
func moved(mean, value time.Duration) time.Duration {
	if mean == 0 {
		return value
	}
	return mean + time.Duration(usualWeight*float64(value-mean))
}

func (c *classLatency) closeBucket(now time.Time) {
	c.history[c.position] = c.sum / time.Duration(c.samples)
	c.position = (c.position + 1) % buckets
	c.sum, c.samples, c.opened = 0, 0, now
}

// baseline is the windowed minimum of the mean service time: what a call
// takes when the target is not loaded beyond what it bears. It is 0 when
// nothing is known.
func (c *classLatency) baseline(now time.Time) time.Duration {
	var lowest time.Duration
	for _, mean := range c.history {
		if mean > 0 && (lowest == 0 || mean < lowest) {
			lowest = mean
		}
	}
	if now.Before(c.adoptedUntil) {
		return max(lowest, c.adopted)
	}
	return lowest
}

// adopt makes the present service times the baseline.
func (l *latency) adopt(now time.Time) {
	for _, c := range l.byRank {
		*c = classLatency{usual: c.usual, recent: c.recent, adopted: c.recent, adoptedUntil: now.Add(adoptTime)}
	}
}

// forget drops what is known, since a restarted target is another one.
func (l *latency) forget() { l.byRank = nil }
