package link

import "time"

const (
	// clockSamples is the number of latest round trips of which the shortest is
	// used: queueing can only make a round trip longer.
	clockSamples = 16
	// maxDriftPerSecond is how far two quartz clocks may diverge in a second: 100
	// parts per million, so that each of them may be off by half of that.
	maxDriftPerSecond = 100 * time.Microsecond
)

// ClockOffset is the difference between a peer's monotonic clock and this node's,
// the peer's clock minus this node's. The true difference is within Bound of Value.
type ClockOffset struct {
	Value time.Duration
	Bound time.Duration
}

// Transit returns the transit time of a message that the peer sent at sent, on its
// clock, and that arrived at received, on this node's clock: the estimate and the
// longest time that the error bound allows. Both are at least zero.
func (o ClockOffset) Transit(sent, received time.Duration) (estimate, longest time.Duration) {
	estimate = received - (sent - o.Value)
	return max(estimate, 0), max(estimate+o.Bound, 0)
}

// offsetEstimator estimates the offset of one peer's clock from round trips of heartbeats.
type offsetEstimator struct {
	samples [clockSamples]clockSample
	count   int
}

type clockSample struct {
	at     time.Duration // on this node's clock
	rtt    time.Duration
	offset time.Duration
}

// observe adds one round trip. sent and received are on this node's clock and
// peerSent is on the peer's; held is the time between the peer's receipt and its
// answer. A negative round trip is a fault of the peer and is ignored.
func (c *offsetEstimator) observe(sent, received, peerSent, held time.Duration) {
	rtt := received - sent - held
	if held < 0 || rtt < 0 {
		return
	}
	offset := peerSent - (received - rtt/2)
	c.samples[c.count%clockSamples] = clockSample{at: received, rtt: rtt, offset: offset}
	c.count++
}

// offset returns the estimate at now on this node's clock, and false if there was no
// round trip yet.
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
