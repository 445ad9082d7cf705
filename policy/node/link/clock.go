package link

import "time"

const (
	// clockSamples is the number of recent round trips from which the shortest is
	// used, since queueing delays can only make a round trip longer.
	clockSamples = 16
	// maxDriftPerSecond is the maximum divergence of two quartz clocks per second, 100
	// parts per million: each of them may deviate by half of that.
	maxDriftPerSecond = 100 * time.Microsecond
)

// ClockOffset is the estimated offset of a peer's monotonic clock, that is, the peer's
// clock minus this node's clock. The true offset differs from Value by at most Bound.
type ClockOffset struct {
	Value time.Duration
	Bound time.Duration
}

// Transit returns the transit time of a message that the peer sent at sent on its clock
// and that arrived at received on this node's clock: the estimate, and the longest time
// that the error bound allows. Neither is negative.
func (o ClockOffset) Transit(sent, received time.Duration) (estimate, longest time.Duration) {
	estimate = received - (sent - o.Value)
	return max(estimate, 0), max(estimate+o.Bound, 0)
}

// offsetEstimator estimates the offset of a peer's clock from the round trips of
// heartbeats.
type offsetEstimator struct {
	samples [clockSamples]clockSample
	count   int
}

type clockSample struct {
	at     time.Duration // on this node's clock
	rtt    time.Duration
	offset time.Duration
}

// observe adds a round trip. sent and received are on this node's clock and peerSent is
// on the peer's clock; held is the time between the peer's receipt and its answer. If
// held or the round trip time is negative, the round trip is ignored: the times in the
// peer's heartbeat are wrong, or the clocks diverged while the heartbeat was held.
func (c *offsetEstimator) observe(sent, received, peerSent, held time.Duration) {
	rtt := received - sent - held
	if held < 0 || rtt < 0 {
		return
	}
	offset := peerSent - (received - rtt/2)
	c.samples[c.count%clockSamples] = clockSample{at: received, rtt: rtt, offset: offset}
	c.count++
}

// offset returns the estimate at the time now on this node's clock, and false if there
// has been no round trip yet.
func (c *offsetEstimator) offset(now time.Duration) (ClockOffset, bool) {
	n := min(c.count, clockSamples)
	if n == 0 {
		return ClockOffset{}, false
	}
	best := c.samples[0]
	for _, s := range c.samples[1:n] {
		if s.rtt < best.rtt {
			best = s
		}
	}
	drift := time.Duration(float64(maxDriftPerSecond) * (now - best.at).Seconds())
	return ClockOffset{Value: best.offset, Bound: best.rtt/2 + drift}, true
}
