// Package duty runs one responsibility of a node on its own OS thread. A
// duty is the only owner of its state and receives work through one ring.
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
	// batchSize bounds how many messages run before timers are looked at.
	batchSize = 256
	// maxIdle bounds the time between two ticks, so that a pause of the
	// process is noticed within it.
	maxIdle = 500 * time.Millisecond
	// PauseThreshold is the gap between two ticks above which the process
	// counts as having been paused.
	PauseThreshold = 2 * time.Second
)

// Handler is the logic of a duty. All methods run on the duty's thread.
type Handler[T any] interface {
	// Handle processes a batch of messages in their order of arrival.
	Handle(now time.Time, batch []T)
	// Tick runs timers that are due and returns the time of the next one.
	// A zero time asks for no particular time.
	Tick(now time.Time) (next time.Time)
}

// PauseObserver is implemented by handlers that must distrust their state
// after the process was paused.
type PauseObserver interface {
	// Paused is called before any further message when the gap between two
	// ticks exceeded PauseThreshold.
	Paused(now time.Time, gap time.Duration)
}

// Duty binds a handler to a ring and a thread.
type Duty[T any] struct {
	name    string
	ring    *ring.Ring[T]
	handler Handler[T]
	now     func() time.Time
	last    time.Time // time of the latest tick or batch; thread only

	batches atomic.Int64
	pauses  atomic.Int64
}

// New returns a duty that is not yet running. The ring's capacity is the
// bound on waiting messages.
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

// Start runs the duty under t until t is dying. Messages that wait at that
// time are still handled, so that each request gets its answer.
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
	d.last = d.now()

	for {
		now := d.now()
		d.observePause(now)
		next := d.handler.Tick(now)

		timer.Reset(idleFor(now, next))
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
			dying = nil
		default:
		}
	}
}

func (d *Duty[T]) handleBatch(batch []T) {
	now := d.now()
	d.observePause(now)
	d.handler.Handle(now, batch)
	d.batches.Add(1)
	clear(batch)
}

func (d *Duty[T]) observePause(now time.Time) {
	gap := now.Sub(d.last)
	d.last = now
	if gap <= PauseThreshold {
		return
	}
	d.pauses.Add(1)
	if p, ok := d.handler.(PauseObserver); ok {
		p.Paused(now, gap)
	}
}

func idleFor(now, next time.Time) time.Duration {
	if next.IsZero() {
		return maxIdle
	}
	return min(max(next.Sub(now), 0), maxIdle)
}
