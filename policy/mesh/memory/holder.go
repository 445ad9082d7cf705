package memory

import (
	"time"

	"github.com/oleanderworks/oleanderworks/charts"
	"github.com/oleanderworks/oleanderworks/core/chart"
)

const (
	// rateWindow is the time over which a holder's rate is measured.
	rateWindow = 500 * time.Millisecond
	// maxRateWindow is the longest window that is measured. A longer one began while the
	// account was not short and holders were not sampled.
	maxRateWindow = 4 * rateWindow
	// minBytesPerSecond is the rate below which a holder is closed if others need its room.
	// A caller that sends a body within its deadline is far above it.
	minBytesPerSecond = 16 << 10
	// closeTimeout is how long a holder may take to end after it was told to.
	closeTimeout = time.Second
)

// State is what a holder waits for.
type State uint8

// States of a holder. A holder that runs waits for the node and is never closed.
const (
	StateRunning State = iota
	StateIdle          // waits for the next request
	StateReading       // waits for the caller to send
	StateWriting       // waits for the caller to read
)

// String returns the name used in logs.
func (s State) String() string {
	return [...]string{"running", "idle", "reading", "writing"}[s]
}

// States of the state chart memory_holder, in the chart's order.
const (
	moving chart.StateID = iota
	slow
	leaving
)

// Events of the state chart memory_holder, in the chart's order.
const (
	eventTurned chart.EventID = iota
	eventMeasured
	eventChosen
	eventResumed
	eventOverdue
	eventRemoved
)

// holder is a connection or a call that holds bytes.
type holder struct {
	core       *Core
	id         HolderID
	connection bool
	address    string // of the node, at which the connection came
	held       int64
	life       chart.StateID

	state    State     // what it waits for
	sampled  time.Time // time of the latest sample, and the bytes moved until then
	moved    int64
	markedAt time.Time // begin of the rate window; zero before the first sample
	marked   int64     // bytes moved until then
	rate     float64   // bytes per second in the latest window
	closedAt time.Time // when it was last told to end
}

func newMachine() *chart.Machine[*holder] {
	return chart.MustCompile(charts.MustRead("memory_holder"), chart.Binding[*holder]{
		States: []string{"moving", "slow", "leaving", "gone"},
		Events: []string{"turned", "measured", "chosen", "resumed", "overdue", "removed"},
		Guards: map[string]func(*holder) bool{
			"below_minimum_rate": func(h *holder) bool { return h.state != StateRunning && h.rate < minBytesPerSecond },
		},
		Actions: map[string]func(*holder){
			"begin_window":   func(h *holder) { h.markedAt, h.marked = h.sampled, h.moved },
			"count_out":      (*holder).countOut,
			"close":          (*holder).close,
			"close_by_force": (*holder).closeByForce,
			"count_off":      func(h *holder) { h.core.leaving -= h.held },
			"count_in":       func(h *holder) { h.core.countConnection(h.address, 1) },
		},
	})
}

func (h *holder) step(e chart.EventID) { h.life = h.core.machine.Step(h, h.life, e) }

// sample takes in what the holder waits for and how many bytes it has moved.
func (h *holder) sample(now time.Time, state State, moved int64) {
	h.sampled, h.moved = now, moved
	switch {
	case h.life == leaving:
		if h.state = state; state == StateRunning {
			h.step(eventResumed)
		} else if now.Sub(h.closedAt) >= closeTimeout {
			h.step(eventOverdue)
		}
	case state != h.state || now.Sub(h.markedAt) > maxRateWindow: // also before the first sample
		h.state = state
		h.step(eventTurned)
	case now.Sub(h.markedAt) >= rateWindow:
		h.rate = float64(moved-h.marked) / now.Sub(h.markedAt).Seconds()
		h.step(eventMeasured)
	}
}

// countOut removes the holder from the open connections.
func (h *holder) countOut() {
	if h.connection {
		h.core.countConnection(h.address, -1)
	}
}

func (h *holder) close() {
	h.core.leaving += h.held
	h.closedAt = h.core.now
	h.core.decisions = append(h.core.decisions, h.closeDecision())
}

func (h *holder) closeByForce() {
	h.closedAt = h.sampled
	d := h.closeDecision()
	d.Force = true
	h.core.decisions = append(h.core.decisions, d)
}

func (h *holder) closeDecision() Decision {
	return Decision{Kind: Close, Holder: h.id, Held: h.held, Rate: h.rate, State: h.state}
}

// goesBefore reports whether h is closed before another holder.
func (h *holder) goesBefore(other *holder) bool {
	if h.held != other.held {
		return h.held > other.held
	}
	if h.rate != other.rate {
		return h.rate < other.rate
	}
	return h.id < other.id
}
