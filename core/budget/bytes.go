// Package budget limits the bytes of request and answer bodies that a node holds in
// memory.
package budget

import (
	"context"
	"expvar"
	"sync/atomic"

	"github.com/pkg/errors"
)

// DefaultBytes is the limit if the settings specify none.
const DefaultBytes = 256 << 20

// ErrExceeded is returned when an acquisition would exceed the limit.
var ErrExceeded = errors.New("the node holds too many bytes of requests and answers")

// errReleased is returned by Acquire after Release.
var errReleased = errors.New("the call has ended")

// released marks a released reservation in Reservation.held.
const released = -1

// Bytes is the byte budget of one node. It is safe for concurrent use.
type Bytes struct {
	limit    int64
	held     atomic.Int64
	exceeded atomic.Int64
}

// NewBytes returns a budget of limit bytes, or DefaultBytes if limit is 0.
func NewBytes(limit int64) *Bytes {
	if limit == 0 {
		limit = DefaultBytes
	}
	return &Bytes{limit: limit}
}

// MayStartCall reports whether another call may start. Half of the budget is kept free
// for the answers of running calls, whose sizes are not known in advance.
func (b *Bytes) MayStartCall() bool { return b.held.Load() < b.limit/2 }

// Held returns the number of bytes in use.
func (b *Bytes) Held() int64 { return b.held.Load() }

// Var returns an expvar variable with the limit, the bytes in use and the number
// of acquisitions that failed because of the limit.
func (b *Bytes) Var() expvar.Var {
	return expvar.Func(func() any {
		return map[string]int64{"limit": b.limit, "held": b.held.Load(), "exceeded": b.exceeded.Load()}
	})
}

// Acquire takes n bytes of the budget. If that would exceed the limit, it returns
// ErrExceeded and takes none.
func (b *Bytes) Acquire(n int64) error {
	if b.held.Add(n) > b.limit {
		b.held.Add(-n)
		b.exceeded.Add(1)
		return ErrExceeded
	}
	return nil
}

// Release returns n bytes to the budget.
func (b *Bytes) Release(n int64) { b.held.Add(-n) }

// Source is what a Reservation takes its bytes from: a Bytes, or another account. Acquire
// may wait and returns ErrExceeded if there is no room.
type Source interface {
	Acquire(n int64) error
	Release(n int64)
}

// Reservation is the part of a budget that one call uses. A nil Reservation is valid:
// it accepts any number of bytes and counts none.
type Reservation struct {
	source Source
	held   atomic.Int64
}

// NewReservation returns an empty reservation. The caller must release it.
func (b *Bytes) NewReservation() *Reservation {
	if b == nil {
		return nil
	}
	return NewReservation(b)
}

// NewReservation returns an empty reservation of a source. The caller must release it.
func NewReservation(s Source) *Reservation { return &Reservation{source: s} }

// Acquire adds n bytes to the reservation. If the source has no room, it returns
// ErrExceeded and adds none. It fails after Release.
func (r *Reservation) Acquire(n int) error {
	if r == nil {
		return nil
	}
	if err := r.source.Acquire(int64(n)); err != nil {
		return err
	}
	for {
		held := r.held.Load()
		if held == released {
			r.source.Release(int64(n))
			return errReleased
		}
		if r.held.CompareAndSwap(held, held+int64(n)) {
			return nil
		}
	}
}

// Release returns the bytes to the source. A later Acquire fails: the goroutine of an
// abandoned call may still be reading, and nothing would release what it acquires.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	if held := r.held.Swap(released); held != released {
		r.source.Release(held)
	}
}

type contextKey struct{}

// NewContext returns a context that carries the reservation of a call.
func NewContext(ctx context.Context, r *Reservation) context.Context {
	return context.WithValue(ctx, contextKey{}, r)
}

// FromContext returns the reservation in ctx, or nil.
func FromContext(ctx context.Context) *Reservation {
	r, _ := ctx.Value(contextKey{}).(*Reservation)
	return r
}
