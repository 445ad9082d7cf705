// Package ring provides the bounded queue that joins duty threads and the
// one-slot reply that a request message carries.
//
// A ring has a fixed capacity. A full ring is reported to the sender, which
// refuses the work upstream; nothing is queued without bound and nothing is
// dropped without being counted.
package ring

import (
	"context"
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// ErrClosed reports that the ring takes no more messages.
var ErrClosed = errors.New("ring is closed")

// Ring is a bounded multi-producer, single-consumer queue of typed messages.
// The consumer blocks without spinning and takes messages in batches.
type Ring[T any] struct {
	name string

	capacity int

	mu     sync.Mutex
	slots  []T // grows up to capacity
	head   int
	length int
	closed bool

	// filled and drained wake one sleeper each. A capacity of one is enough:
	// a pending wake-up covers every message that arrived before it is taken.
	filled  chan struct{}
	drained chan struct{}

	offered atomic.Int64
	refused atomic.Int64
	peak    atomic.Int64
}

// Stats is a snapshot of a ring's counters, in messages.
type Stats struct {
	Length   int   `json:"length"`
	Capacity int   `json:"capacity"`
	Peak     int64 `json:"peak"`
	Offered  int64 `json:"offered"`
	Refused  int64 `json:"refused"`
}

// firstSlots is the room that a ring has from its start. Most rings stay nearly
// empty, and a node has two for each of its links.
const firstSlots = 16 // messages

// New returns an empty ring with room for capacity messages.
// It panics if capacity is not positive, since capacities are constants.
func New[T any](name string, capacity int) *Ring[T] {
	if capacity <= 0 {
		panic("ring " + name + ": capacity must be positive")
	}
	return &Ring[T]{
		name:     name,
		capacity: capacity,
		slots:    make([]T, min(capacity, firstSlots)),
		filled:   make(chan struct{}, 1),
		drained:  make(chan struct{}, 1),
	}
}

// Name returns the name under which the ring publishes its metrics.
func (r *Ring[T]) Name() string { return r.name }

// Offer appends v and reports whether there was room. It never blocks.
// A false result means that the ring is full or closed: the caller refuses
// the work upstream as not run.
func (r *Ring[T]) Offer(v T) bool {
	ok, _ := r.push(v)
	if !ok {
		r.refused.Add(1)
	}
	return ok
}

// Put appends v, waiting for room. It returns ErrClosed after Close and the
// context's error when ctx ends first. Duties never Put into each other's
// rings: two full rings would then wait for each other.
func (r *Ring[T]) Put(ctx context.Context, v T) error {
	for {
		ok, closed := r.push(v)
		if ok {
			return nil
		}
		if closed {
			return errors.Wrap(ErrClosed, r.name)
		}
		select {
		case <-r.drained:
		case <-ctx.Done():
			r.refused.Add(1)
			return errors.Wrapf(ctx.Err(), "put into ring %s", r.name)
		}
	}
}

func (r *Ring[T]) push(v T) (ok, closed bool) {
	r.mu.Lock()
	if r.closed || r.length == r.capacity {
		closed = r.closed
		r.mu.Unlock()
		return false, closed
	}
	if r.length == len(r.slots) {
		r.grow()
	}
	r.slots[(r.head+r.length)%len(r.slots)] = v
	r.length++
	length := int64(r.length)
	r.mu.Unlock()

	r.offered.Add(1)
	if length > r.peak.Load() {
		r.peak.Store(length)
	}
	signal(r.filled)
	return true, false
}

// grow doubles the slots. The caller holds the lock.
func (r *Ring[T]) grow() {
	slots := make([]T, min(2*len(r.slots), r.capacity))
	n := copy(slots, r.slots[r.head:])
	copy(slots[n:], r.slots[:r.head])
	r.slots, r.head = slots, 0
}

// Take moves up to len(dst) messages into dst and returns their number.
// It blocks until a message arrives, wake fires (0, nil), dying is closed
// (0, nil) or the ring is closed and empty (0, ErrClosed).
func (r *Ring[T]) Take(dst []T, wake <-chan time.Time, dying <-chan struct{}) (int, error) {
	for {
		n, closed := r.pop(dst)
		if n > 0 {
			return n, nil
		}
		if closed {
			return 0, errors.Wrap(ErrClosed, r.name)
		}
		select {
		case <-r.filled:
		case <-wake:
			return 0, nil
		case <-dying:
			return 0, nil
		}
	}
}

func (r *Ring[T]) pop(dst []T) (n int, closed bool) {
	var zero T
	r.mu.Lock()
	for n < len(dst) && r.length > 0 {
		dst[n] = r.slots[r.head]
		r.slots[r.head] = zero
		r.head = (r.head + 1) % len(r.slots)
		r.length--
		n++
	}
	closed = r.closed
	more := r.length > 0
	r.mu.Unlock()

	if n > 0 {
		signal(r.drained)
	}
	if more {
		signal(r.filled)
	}
	return n, closed
}

// Close stops the ring from taking messages. Messages already in it can
// still be taken.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	signal(r.filled)
	signal(r.drained)
}

// Len returns the number of messages waiting.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.length
}

// Stats returns the ring's counters.
func (r *Ring[T]) Stats() Stats {
	return Stats{
		Length:   r.Len(),
		Capacity: r.capacity,
		Peak:     r.peak.Load(),
		Offered:  r.offered.Load(),
		Refused:  r.refused.Load(),
	}
}

// Var returns an expvar that renders Stats.
func (r *Ring[T]) Var() expvar.Var {
	return expvar.Func(func() any { return r.Stats() })
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
