package peerlink

import (
	"sync/atomic"
	"time"

	"github.com/oleanderworks/oleanderworks/transport/wire"
)

// clock converts the send times of a peer's calls into transit times.
type clock struct {
	start     time.Time // zero of this node's monotonic clock
	helloSent atomic.Int64
	offset    atomic.Pointer[offset]
}

// offset is the estimated difference between the peer's clock and this node's,
// with an error of at most bound. It holds a link.ClockOffset of package
// policy/node/link, and arrival computes the same times as link.ClockOffset.Transit.
type offset struct{ value, bound time.Duration }

func (c *clock) setOffset(value, bound time.Duration) { c.offset.Store(&offset{value, bound}) }

// setHelloSent records the time just before this node answers the peer's hello.
// It is called only for sessions that the peer opened.
func (c *clock) setHelloSent(now time.Time) { c.helloSent.Store(int64(now.Sub(c.start))) }

// sinceStart converts a time to this node's monotonic clock.
func (c *clock) sinceStart(now time.Time) time.Duration { return now.Sub(c.start) }

// arrival returns the current time and the transit time of a call's head that was
// just read and that the peer sent at sent on its clock. While the offset is
// unknown, the estimate is 0. The maximum is then the time since this node sent
// its hello, as the peer sends calls only after it has read the hello; in a
// session that this node opened, it is the time since the start of the clock.
func (c *clock) arrival(sent time.Duration) (time.Time, wire.Transit) {
	now := time.Now()
	received := c.sinceStart(now)
	o := c.offset.Load()
	if o == nil {
		return now, wire.Transit{Max: received - time.Duration(c.helloSent.Load())}
	}
	estimate := received - (sent - o.value)
	return now, wire.Transit{Estimate: max(estimate, 0), Max: max(estimate+o.bound, 0)}
}
