package link

import "time"

const (
	// clockSamples is the number of round trips among which the shortest is
	// used: queueing only ever makes a round trip longer.
	clockSamples = 16
	// driftPerSecond is how much two clocks may diverge. Quartz clocks stay
	// within 100 parts per million.
	driftPerSecond = 100 * time.Microsecond
)

// Offset is the difference between a peer's monotonic clock and this node's,
// peer minus own. The true value lies within Bound of Value.
type Offset struct {
	Value time.Duration
	Bound time.Duration
}

// Transit returns the time on the way of a message that the peer sent at
// sent, on its clock, and that arrived at received, on this node's clock.
// worst adds the error bound; it is at least zero.
func (o Offset) Transit(sent, received time.Duration) (best, worst time.Duration) {
	best = received - (sent - o.Value)
	return max(best, 0), max(best+o.Bound, 0)
}

// clock estimates the offset to one peer from the round trips of heartbeats.
type clock struct {
	samples [clockSamples]clockSample
	count   int
}

type clockSample struct {
	at     time.Duration // own clock
	rtt    time.Duration
	offset time.Duration
}

// observe takes one round trip: sent and received on the own clock, peerSent
// on the peer's clock, held the time between the peer's receipt and its
// answer. A negative round trip is a fault of the peer and is ignored.
func (c *clock) observe(sent, received, peerSent, held time.Duration) {
	rtt := received - sent - held
	if held < 0 || rtt < 0 {
		return
	}
	offset := peerSent - (received - rtt/2)
	c.samples[c.count%clockSamples] = clockSample{at: received, rtt: rtt, offset: offset}
	c.count++
}

// offset returns the estimate at now on the own clock, and false when there
// was no round trip yet.
func (c *clock) offset(now time.Duration) (Offset, bool) {
	n := min(c.count, clockSamples)
	if n == 0 {
		return Offset{}, false
	}
	best := c.samples[0]
	for _, s := range c.samples[1:n] {
		if s.rtt < best.rtt {
			best = s
		}
	}
	drift := time.Duration(float64(driftPerSecond) * (now - best.at).Seconds())
	return Offset{Value: best.offset, Bound: best.rtt/2 + drift}, true
}
