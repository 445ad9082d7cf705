// Package drain decides the steps of a graceful shutdown.
package drain

import (
	"time"

	"github.com/oleanderworks/oleanderworks/charts"
	"github.com/oleanderworks/oleanderworks/core/chart"
)

const (
	// announceTime is how long calls are still served after the announcement.
	// Goodbye reaches the peers within milliseconds; the rest lets callers
	// see "Connection: close" on their connections.
	announceTime = time.Second
	// leaveTime bounds the wait for the log. A leave that is lost is made
	// good by the peers, which were told goodbye.
	leaveTime = 3 * time.Second
	// quietTime is how long no call may be in progress before the node
	// closes: requests that were on their way get their refusal.
	quietTime = 250 * time.Millisecond
)

// Events of the shutdown chart, in the chart's order.
const (
	eventStop chart.EventID = iota
	eventAnnounceOver
	eventIdle
	eventDrainOver
)

// Action is a step of the shutdown.
type Action uint8

// Steps of the shutdown, in their order.
const (
	Announce  Action = iota // say goodbye to the peers and leave in the log
	RefuseNew               // refuse new calls as not run, stop accepting connections
	Close                   // end the node
)

// Core holds the shutdown of one node. All methods run on one thread.
type Core struct {
	machine   *chart.Machine[*Core]
	state     chart.StateID
	now       time.Time
	drainTime time.Duration
	stopAt    time.Time
	busyAt    time.Time // when a call was last seen in progress
	left      bool
	out       []Action
}

// New returns the core of a running node whose running calls get drainTime to
// end.
func New(drainTime time.Duration) *Core {
	c := &Core{drainTime: drainTime}
	c.machine = chart.MustCompile(charts.MustRead("shutdown"), chart.Binding[*Core]{
		States: []string{"running", "announcing", "draining", "stopped"},
		Events: []string{"stop", "announce_over", "idle", "drain_over"},
		Guards: map[string]func(*Core) bool{"leave_settled": (*Core).leaveSettled},
		Actions: map[string]func(*Core){
			"announce":   (*Core).announce,
			"refuse_new": (*Core).refuseNew,
			"close":      func(c *Core) { c.out = append(c.out, Close) },
		},
	})
	return c
}

// Actions returns the steps since the last call.
func (c *Core) Actions() []Action {
	out := c.out
	c.out = nil
	return out
}

// Running reports whether no shutdown was begun.
func (c *Core) Running() bool { return c.state == c.machine.Initial() }

// OnStop begins the shutdown.
func (c *Core) OnStop(now time.Time) { c.step(now, eventStop) }

// OnLeaveRecorded reports that the log holds the leave.
func (c *Core) OnLeaveRecorded() { c.left = true }

// Tick runs timers. inFlight is the number of calls in progress on the node.
func (c *Core) Tick(now time.Time, inFlight int) {
	if c.Running() {
		return
	}
	since := now.Sub(c.stopAt)
	if since >= min(announceTime, c.drainTime/2) {
		c.step(now, eventAnnounceOver)
	}
	if inFlight > 0 {
		c.busyAt = now
	}
	if now.Sub(c.busyAt) >= quietTime {
		c.step(now, eventIdle)
	}
	if since >= c.drainTime {
		c.step(now, eventDrainOver)
	}
}

func (c *Core) step(now time.Time, e chart.EventID) {
	c.now = now
	c.state = c.machine.Step(c, c.state, e)
}

func (c *Core) announce() {
	c.stopAt = c.now
	c.busyAt = c.now
	c.out = append(c.out, Announce)
}

// refuseNew starts the quiet time anew: requests that are on their way to an
// idle node get their refusal, too.
func (c *Core) refuseNew() {
	c.busyAt = c.now
	c.out = append(c.out, RefuseNew)
}

func (c *Core) leaveSettled() bool { return c.left || c.now.Sub(c.stopAt) >= leaveTime }
