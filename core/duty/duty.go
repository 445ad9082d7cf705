// Package duty runs the duties of a node, each on a dedicated OS thread. Only a duty's
// own thread accesses its state; it receives all its work through one bounded ring.
package duty

import (
	"expvar"
	"runtime"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/oleanderworks/oleanderworks/core/ring"
)

const (
	// batchSize is the maximum number of messages in a batch. Tick runs before each
	// batch.
	batchSize = 256
	// maxTickWait limits the wait for messages between two ticks, and thereby the
	// time after which a pause of the process is detected once the process resumes.
	maxTickWait = 500 * time.Millisecond
	// PauseThreshold is the gap between the starts of any two successive ticks
	// or batches above which the process is assumed to have been paused. A batch
	// or tick that takes longer counts as a pause too.
	PauseThreshold = 2 * time.Second
)

// Handler is the logic of a duty. All methods run on the duty's thread.
type Handler[T any] interface {
	// Handle processes a batch of messages in their order of arrival.
	Handle(now time.Time, batch []T)
	// Tick runs the timers that are due and returns the due time of the next
	// timer, or the zero time if there is none.
	Tick(now time.Time) (next time.Time)
}

// PauseObserver is implemented by handlers whose state may be invalid after a
// pause of the process.
type PauseObserver interface {
	// Paused is called when the gap between two ticks or batches exceeds
	// PauseThreshold, before any further message is handled.
	Paused(now time.Time, gap time.Duration)
}

// Duty runs a handler on a thread with an inbound ring.
type Duty[T any] struct {
	name       string
	ring       *ring.Ring[T]
	handler    Handler[T]
	now        func() time.Time
	lastActive time.Time // time of the latest tick or batch; used by the duty's thread only

	batches atomic.Int64
	pauses  atomic.Int64
}

// New returns a duty that is not yet running. Its ring has the given capacity in
// messages.
func New[T any](name string, capacity int, h Handler[T]) *Duty[T] {
	return &Duty[T]{
		name:    name,
		ring:    ring.New[T](name, capacity),
		handler: h,
		now:     time.Now,
	}
}

// Ring returns the duty's inbound ring.
func (d *Duty[T]) Ring() *ring.Ring[T] { return d.ring }

// Vars returns the metrics of the duty and its ring.
func (d *Duty[T]) Vars() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("ring", d.ring.Var())
	m.Set("batches", expvar.Func(func() any { return d.batches.Load() }))
	m.Set("pauses", expvar.Func(func() any { return d.pauses.Load() }))
	return m
}

// Start runs the duty as a goroutine of t. When t is dying, the duty handles the
// messages in its ring, so that every request gets an answer, closes the ring and
// returns.
func (d *Duty[T]) Start(t *tomb.Tomb) {
	t.Go(func() error {
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		d.run(t.Dying())
		return nil
	})
}

func (d *Duty[T]) run(dying <-chan struct{}) {
	batch := make([]T, batchSize)
	timer := time.NewTimer(0)
	defer timer.Stop()
	d.lastActive = d.now()

	for {
		now := d.now()
		d.detectPause(now)
		next := d.handler.Tick(now)

		timer.Reset(waitTime(now, next))
		n, err := d.ring.Take(batch, timer.C, dying)
		if err != nil {
			return
		}
		if n > 0 {
			d.handleBatch(batch[:n])
			continue
		}
		select {
		case <-dying:
			d.ring.Close()
			dying = nil // Take returns ErrClosed once the ring is empty
		default:
		}
	}
}

func (d *Duty[T]) handleBatch(batch []T) {
	now := d.now()
	d.detectPause(now)
	d.handler.Handle(now, batch)
	d.batches.Add(1)
	clear(batch)
}

func (d *Duty[T]) detectPause(now time.Time) {
	gap := now.Sub(d.lastActive)
	d.lastActive = now
	if gap <= PauseThreshold {
		return
	}
	d.pauses.Add(1)
	if p, ok := d.handler.(PauseObserver); ok {
		p.Paused(now, gap)
	}
}

func waitTime(now, next time.Time) time.Duration {
	if next.IsZero() {
		return maxTickWait
	}
	return min(max(next.Sub(now), 0), maxTickWait)
}
