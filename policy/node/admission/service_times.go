package admission

import "time"

const (
	// minBucketSamples is the least number of answers whose mean service time
	// may become the baseline. Means of fewer answers vary so much that their
	// minimum is far below the typical time.
	minBucketSamples = 32
	// The baseline is the minimum over bucketCount buckets of at least
	// bucketDuration each. A slowdown of the target that lasts longer than all
	// buckets becomes the new baseline.
	bucketDuration = time.Second
	bucketCount    = 30
	// ewmaWeight is the weight of one answer in a moving mean.
	ewmaWeight = 0.05
	// adoptedBaselineDuration is how long an adopted baseline is not lowered.
	// Without it, a customer that alternates between light and heavy requests
	// would put the target into the state checking at each change.
	adoptedBaselineDuration = 30 * time.Second
)

// serviceTimes holds the service times by class. Calls of different classes cost
// the target different work, and a change in the mix of classes must not look
// like a slower or faster target. The elapsed time of a call is the time from
// its handoff to its end. The service time is the elapsed time without the time
// in which the call waited for its sub-calls.
//
// The times are kept by rank. After a change of the shedding order, those at a
// rank belong to another class until new answers have replaced them.
type serviceTimes struct {
	byRank              []*classServiceTime
	lastOptimisticStart time.Time
}

// classServiceTime holds the service times of one class.
type classServiceTime struct {
	meanElapsed     time.Duration // moving mean of the elapsed time
	meanServiceTime time.Duration // moving mean of the service time
	bucketSum       time.Duration // sum of the service times in the current bucket
	bucketSamples   int
	bucketStart     time.Time
	bucketMeans     [bucketCount]time.Duration // ring of the latest buckets' means; zero when unused
	nextBucket      int

	adoptedBaseline time.Duration // lower bound of the baseline before adoptedUntil
	adoptedUntil    time.Time
}

func (s *serviceTimes) class(rank int) *classServiceTime {
	for len(s.byRank) <= rank {
		s.byRank = append(s.byRank, new(classServiceTime))
	}
	return s.byRank[rank]
}

// observe records the service time of a call and the time in which it waited for
// its sub-calls. It returns the baseline of the service time, or the service time
// itself if there is no baseline yet.
func (s *serviceTimes) observe(now time.Time, rank int, serviceTime, subCallWait time.Duration) time.Duration {
	c := s.class(rank)
	c.meanElapsed = ewma(c.meanElapsed, serviceTime+subCallWait)
	c.meanServiceTime = ewma(c.meanServiceTime, serviceTime)
	if c.bucketStart.IsZero() {
		c.bucketStart = now
	}
	c.bucketSum += serviceTime
	c.bucketSamples++
	if now.Sub(c.bucketStart) >= bucketDuration && c.bucketSamples >= minBucketSamples {
		c.closeBucket(now)
	}
	if baseline := c.baseline(now); baseline > 0 {
		return baseline
	}
	return serviceTime
}

// ewma returns an exponentially weighted moving average after another value.
// The first value becomes the average.
func ewma(mean, value time.Duration) time.Duration {
	if mean == 0 {
		return value
	}
	return mean + time.Duration(ewmaWeight*float64(value-mean))
}

func (c *classServiceTime) closeBucket(now time.Time) {
	c.bucketMeans[c.nextBucket] = c.bucketSum / time.Duration(c.bucketSamples)
	c.nextBucket = (c.nextBucket + 1) % bucketCount
	c.bucketSum, c.bucketSamples, c.bucketStart = 0, 0, now
}

// baseline returns the least mean service time of the latest buckets, which is
// the service time without overload. It is 0 if there is none yet. Before
// adoptedUntil it is not below the adopted baseline.
func (c *classServiceTime) baseline(now time.Time) time.Duration {
	var lowest time.Duration
	for _, mean := range c.bucketMeans {
		if mean > 0 && (lowest == 0 || mean < lowest) {
			lowest = mean
		}
	}
	if now.Before(c.adoptedUntil) {
		return max(lowest, c.adoptedBaseline)
	}
	return lowest
}

// adoptMeanAsBaseline makes the current moving mean of each class its baseline.
func (s *serviceTimes) adoptMeanAsBaseline(now time.Time) {
	for _, c := range s.byRank {
		*c = classServiceTime{meanElapsed: c.meanElapsed, meanServiceTime: c.meanServiceTime, adoptedBaseline: c.meanServiceTime, adoptedUntil: now.Add(adoptedBaselineDuration)}
	}
}

// reset deletes all measurements, since those of an earlier process of the target
// say nothing about a new one.
func (s *serviceTimes) reset() { s.byRank = nil }
