// Package budget bounds the bytes of requests and answers that a node holds.
package budget

import (
	"context"
	"expvar"
	"sync/atomic"

	"github.com/pkg/errors"
)

// DefaultBytes is the bound unless settings give another one.
const DefaultBytes = 256 << 20

// ErrExceeded reports that the node already holds as many bytes as it may.
var ErrExceeded = errors.New("the node holds too many bytes of requests and answers")

// errReleased reports a Take after Release.
var errReleased = errors.New("the call has ended")

// released is the value of Lease.held after Release.
const released = -1

// Bytes is the budget of one node. It is safe for use by several threads.
type Bytes struct {
	limit    int64
	held     atomic.Int64
	exceeded atomic.Int64
}

// NewBytes returns a budget of limit bytes; DefaultBytes when limit is 0.
func NewBytes(limit int64) *Bytes {
	if limit == 0 {
		limit = DefaultBytes
	}
	return &Bytes{limit: limit}
}

// HasRoom reports whether another call may start. The upper half is left to
// the answers of running calls, whose sizes are not known before.
func (b *Bytes) HasRoom() bool { return b.held.Load() < b.limit/2 }

// Held returns the bytes in use.
func (b *Bytes) Held() int64 { return b.held.Load() }

// Var returns an expvar with the bound, the bytes in use and the number of
// bodies that exceeded it.
func (b *Bytes) Var() expvar.Var {
	return expvar.Func(func() any {
		return map[string]int64{"limit": b.limit, "held": b.held.Load(), "exceeded": b.exceeded.Load()}
	})
}

// Lease is the share of one call. A nil Lease takes nothing.
type Reservation struct {
	budget *Bytes
	held   atomic.Int64
}

// Lease returns an empty share. The caller releases it.
func (b *Bytes) NewReservation() *Reservation {
	if b == nil {
		return nil
	}
	return &Reservation{budget: b}
}

// Take adds n bytes to the share, or returns ErrExceeded and adds none. It
// fails after Release.
func (l *Reservation) Acquire(n int) error {
	if l == nil {
		return nil
	}
	if l.budget.held.Add(int64(n)) > l.budget.limit {
		l.budget.held.Add(-int64(n))
		l.budget.exceeded.Add(1)
		return ErrExceeded
	}
	for {
		held := l.held.Load()
		if held == released {
			l.budget.held.Add(-int64(n))
			return errReleased
		}
		if l.held.CompareAndSwap(held, held+int64(n)) {
			return nil
		}
	}
}

// Release gives the share back. A Take that comes later fails: the goroutine
// of an abandoned call may still be reading.
func (l *Reservation) Release() {
	if l == nil {
		return
	}
	if held := l.held.Swap(released); held != released {
		l.budget.held.Add(-held)
	}
}

type contextKey struct{}

// With returns a context that carries the share of a call.
func NewContext(ctx context.Context, l *Reservation) context.Context {
	return context.WithValue(ctx, contextKey{}, l)
}

// From returns the share that ctx carries, or nil.
func FromContext(ctx context.Context) *Reservation {
	l, _ := ctx.Value(contextKey{}).(*Reservation)
	return l
}
