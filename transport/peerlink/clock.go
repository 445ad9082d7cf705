package peerlink

import (
	"sync/atomic"
	"time"

	"github.com/oleanderworks/oleanderworks/transport/wire"
)

// clock converts the send times of a peer's calls into times on the way.
type clock struct {
	start     time.Time // zero of this node's monotonic clock
	helloSent atomic.Int64
	offset    atomic.Pointer[offset]
}

// offset is the peer's clock minus this node's, true within bound.
type offset struct{ value, bound time.Duration }

func (c *clock) setOffset(value, bound time.Duration) { c.offset.Store(&offset{value, bound}) }

// greeted notes when this node was about to answer the peer's hello.
func (c *clock) setHelloSent(now time.Time) { c.helloSent.Store(int64(now.Sub(c.start))) }

// sent returns a time on this node's monotonic clock.
func (c *clock) sinceStart(now time.Time) time.Duration { return now.Sub(c.start) }

// arrival is called when the head of a call was read. While the offset is not
// known, the only bound on the time on the way is that the peer sends calls
// after it has read this node's hello: nothing is taken from the deadline
// then, and the whole time since the hello from the life of the token.
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
