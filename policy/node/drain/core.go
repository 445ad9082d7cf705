// Package drain controls the graceful shutdown of a node of package agent. The node
// announces that it leaves, then drains, that is, refuses new calls while running ones
// finish, and stops. The nodes of package agent/mesh do not use it.
package drain

import (
	"time"

	"github.com/oleanderworks/oleanderworks/charts"
	"github.com/oleanderworks/oleanderworks/core/chart"
)

const (
	// announceTime is how long calls are still served after the announcement; it is
	// limited to half of the drain time. The goodbye message reaches the peers within
	// milliseconds; the rest of the time is for callers, who get "Connection: close" in
	// their answers.
	announceTime = time.Second
	// leaveTimeout bounds the wait until the leave record is in the log. If the record
	// is lost, the peers know from the goodbye message that the node has left.
	leaveTimeout = 3 * time.Second
	// idleTime is how long the node must have had no calls before it stops, so that
	// requests that were already sent get a refusal and not a broken connection.
	idleTime = 250 * time.Millisecond
)

// Events of the state chart shutdown, in the chart's order.
const (
	eventStop chart.EventID = iota
	eventAnnounceTimeElapsed
	eventIdle
	eventDrainTimeElapsed
)

// Action is a step of the shutdown.
type Action uint8

// Steps of the shutdown, in their order.
const (
	Announce  Action = iota // send the goodbye message to the peers and ask callers to close their connections
	RefuseNew               // refuse new calls as not run and stop accepting connections
	Close                   // stop the node
)

// Core holds the shutdown state of one node. It is not safe for concurrent use.
type Core struct {
	machine       *chart.Machine[*Core]
	state         chart.StateID
	now           time.Time
	drainTime     time.Duration
	startedAt     time.Time
	lastBusyAt    time.Time // when a call was last seen in progress
	leaveRecorded bool
	actions       []Action
}

// New returns the core of a running node. drainTime bounds the duration of a shutdown,
// including the announcement.
func New(drainTime time.Duration) *Core {
	c := &Core{drainTime: drainTime}
	c.machine = chart.MustCompile(charts.MustRead("shutdown"), chart.Binding[*Core]{
		States: []string{"running", "announcing", "draining", "stopped"},
		Events: []string{"stop", "announce_time_elapsed", "idle", "drain_time_elapsed"},
		Guards: map[string]func(*Core) bool{"leave_wait_done": (*Core).leaveWaitDone},
		Actions: map[string]func(*Core){
			"announce":   (*Core).announce,
			"refuse_new": (*Core).refuseNew,
			"close":      func(c *Core) { c.actions = append(c.actions, Close) },
		},
	})
	return c
}

// Actions returns and clears the steps decided since the last call.
func (c *Core) Actions() []Action {
	actions := c.actions
	c.actions = nil
	return actions
}

// Running reports whether no shutdown has started.
func (c *Core) Running() bool { return c.state == c.machine.Initial() }

// OnStop starts the shutdown.
func (c *Core) OnStop(now time.Time) { c.step(now, eventStop) }

// OnLeaveRecorded handles the confirmation that the leave record is in the log.
func (c *Core) OnLeaveRecorded() { c.leaveRecorded = true }

// Tick runs the timers that are due. inFlight is the number of calls in progress at
// the node.
func (c *Core) Tick(now time.Time, inFlight int) {
	if c.Running() {
		return
	}
	elapsed := now.Sub(c.startedAt)
	if elapsed >= min(announceTime, c.drainTime/2) {
		c.step(now, eventAnnounceTimeElapsed)
	}
	if inFlight > 0 {
		c.lastBusyAt = now
	}
	if now.Sub(c.lastBusyAt) >= idleTime {
		c.step(now, eventIdle)
	}
	if elapsed >= c.drainTime {
		c.step(now, eventDrainTimeElapsed)
	}
}

func (c *Core) step(now time.Time, e chart.EventID) {
	c.now = now
	c.state = c.machine.Step(c, c.state, e)
}

func (c *Core) announce() {
	c.startedAt = c.now
	c.lastBusyAt = c.now
	c.actions = append(c.actions, Announce)
}

// refuseNew also restarts the idle time, so that requests already sent to an idle node
// get a refusal and not a broken connection.
func (c *Core) refuseNew() {
	c.lastBusyAt = c.now
	c.actions = append(c.actions, RefuseNew)
}

// leaveWaitDone reports whether the leave record is in the log or leaveTimeout has
// passed.
func (c *Core) leaveWaitDone() bool { return c.leaveRecorded || c.now.Sub(c.startedAt) >= leaveTimeout }
