package peerlink

import (
	"sync/atomic"
	"time"

	"github.com/oleanderworks/oleanderworks/transport/wire"
)

// clock converts the send times of a peer's calls into times on the way.
type clock struct {
	start  time.Time // zero of this node's monotonic clock
	hello  atomic.Int64
	offset atomic.Pointer[offset]
}

// offset is the peer's clock minus this node's, true within bound.
type offset struct{ value, bound time.Duration }

func (c *clock) set(value, bound time.Duration) { c.offset.Store(&offset{value, bound}) }

// greeted notes when this node was about to answer the peer's hello.
func (c *clock) greeted(now time.Time) { c.hello.Store(int64(now.Sub(c.start))) }

// sent returns a time on this node's monotonic clock.
func (c *clock) sent(now time.Time) time.Duration { return now.Sub(c.start) }

// arrival is called when the head of a call was read. While the offset is not
// known, the only bound on the time on the way is that the peer sends calls
// after it has read this node's hello: nothing is taken from the deadline
// then, and the whole time since the hello from the life of the token.
func (c *clock) arrival(sent time.Duration) (time.Time, wire.Transit) {
	now := time.Now()
	received := c.sent(now)
	o := c.offset.Load()
	if o == nil {
		return now, wire.Transit{Max: received - time.Duration(c.hello.Load())}
	}
	best := received - (sent - o.value)
	return now, wire.Transit{Estimate: max(best, 0), Max: max(best+o.bound, 0)}
}
