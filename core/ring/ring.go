// Package ring provides the bounded queue through which duty threads exchange
// messages, and the reply that a request message carries.
//
// A ring has a fixed capacity, so that no queue grows without bound. When it is
// full, the sender is told: it refuses the request with run state not-run, or drops
// the message. Stats.Refused counts the messages for which Offer returns false and
// those for which Put returns because its context ended, but not those for which Put
// returns ErrClosed.
package ring

import (
	"context"
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// ErrClosed is returned by Put if the ring is closed, and by Take if the ring is closed
// and empty.
var ErrClosed = errors.New("ring is closed")

// Ring is a bounded multi-producer, single-consumer queue of typed messages.
// The consumer blocks without spinning and receives messages in batches.
type Ring[T any] struct {
	name string

	capacity int

	mu     sync.Mutex
	slots  []T // grows up to capacity
	head   int
	length int
	closed bool

	// Both channels buffer one wake-up. One is enough for the consumer, since a Take
	// that leaves messages in the ring signals notEmpty again. notFull wakes one
	// waiting producer for each Take, even if that freed several slots.
	notEmpty chan struct{}
	notFull  chan struct{}

	accepted atomic.Int64 // published as offered; does not include refused
	refused  atomic.Int64
	peak     atomic.Int64
}

// Stats is a snapshot of a ring's counters. The unit is messages. Offered counts the
// messages that the ring accepted; those in Refused are not included.
type Stats struct {
	Length   int   `json:"length"`
	Capacity int   `json:"capacity"`
	Peak     int64 `json:"peak"`
	Offered  int64 `json:"offered"`
	Refused  int64 `json:"refused"`
}

// initialSlots is the number of slots that a new ring allocates. It is small to save
// memory: most rings stay nearly empty, and a node has one ring for each of its links.
const initialSlots = 16 // messages

// New returns an empty ring with the given capacity in messages. It panics if the
// capacity is not positive, which is a programming error since capacities are constants.
func New[T any](name string, capacity int) *Ring[T] {
	if capacity <= 0 {
		panic("ring " + name + ": capacity must be positive")
	}
	return &Ring[T]{
		name:     name,
		capacity: capacity,
		slots:    make([]T, min(capacity, initialSlots)),
		notEmpty: make(chan struct{}, 1),
		notFull:  make(chan struct{}, 1),
	}
}

// Name returns the ring's name, which appears in its errors.
func (r *Ring[T]) Name() string { return r.name }

// Offer appends v without blocking. It returns false if the ring is full or
// closed; the sender must then refuse the request with run state not-run, or may
// drop a message whose loss does no harm.
func (r *Ring[T]) Offer(v T) bool {
	ok, _ := r.push(v)
	if !ok {
		r.refused.Add(1)
	}
	return ok
}

// Put appends v and blocks while the ring is full. It returns ErrClosed if the ring
// is closed, and the context's error if ctx ends first. Close wakes only one waiting
// Put; each other one waits until a Take wakes it or ctx ends. A duty must not use
// Put on another duty's ring: two duties with full rings would deadlock. The exception
// is a duty that never waits for the sender, directly or through other duties, as in
// agent/mesh, where the gate duty puts answers into the entry duty's ring.
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
		case <-r.notFull:
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

	r.accepted.Add(1)
	if length > r.peak.Load() {
		r.peak.Store(length)
	}
	notify(r.notEmpty)
	return true, false
}

// grow doubles the number of slots, up to the capacity. The caller holds the lock.
func (r *Ring[T]) grow() {
	slots := make([]T, min(2*len(r.slots), r.capacity))
	n := copy(slots, r.slots[r.head:])
	copy(slots[n:], r.slots[:r.head])
	r.slots, r.head = slots, 0
}

// Take moves up to len(dst) messages into dst and returns their number. It blocks
// until a message arrives. It returns (0, nil) if a timer fires on wake or dying is
// closed first, and (0, ErrClosed) if the ring is closed and empty.
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
		case <-r.notEmpty:
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
		notify(r.notFull)
	}
	if more {
		notify(r.notEmpty)
	}
	return n, closed
}

// Close makes the ring refuse further messages. The messages in it can still be
// taken.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	notify(r.notEmpty)
	notify(r.notFull)
}

// Len returns the number of messages in the ring.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.length
}

// Stats returns the ring's current length and counters.
func (r *Ring[T]) Stats() Stats {
	return Stats{
		Length:   r.Len(),
		Capacity: r.capacity,
		Peak:     r.peak.Load(),
		Offered:  r.accepted.Load(),
		Refused:  r.refused.Load(),
	}
}

// Var returns an expvar variable that reports Stats.
func (r *Ring[T]) Var() expvar.Var {
	return expvar.Func(func() any { return r.Stats() })
}

// notify sends a wake-up unless one is pending already.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
