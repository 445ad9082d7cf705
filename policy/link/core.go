// Package link decides when a node dials its peers and which connection to a
// peer is in use.
package link

import (
	"math/rand/v2"
	"time"

	"github.com/oleanderworks/oleanderworks/charts"
	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/model"
)

const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// Events of the peer_link chart, in the chart's order.
const (
	eventDialDue chart.EventID = iota
	eventConnected
	eventDialFailed
	eventClosed
	eventUnwanted
)

// Action is what the node does for a link. Exactly one field besides Peer is
// set.
type Action struct {
	Peer  model.Member
	Dial  bool
	Close bool
}

// Core holds the links of one node. All methods run on one thread.
type Core struct {
	rng     *rand.Rand
	machine *chart.Machine[*peer]
	peers   map[model.NodeID]*peer
	out     []Action
}

// peer is the link to one node.
type peer struct {
	core    *Core
	now     time.Time
	state   chart.StateID
	member  model.Member
	dialAt  time.Time
	backoff time.Duration
}

// New returns a core without links.
func New(rng *rand.Rand) *Core {
	return &Core{rng: rng, machine: newMachine(), peers: make(map[model.NodeID]*peer)}
}

func newMachine() *chart.Machine[*peer] {
	return chart.MustCompile(charts.MustRead("peer_link"), chart.Binding[*peer]{
		States: []string{"waiting", "connecting", "up", "gone"},
		Events: []string{"dial_due", "connected", "dial_failed", "closed", "unwanted"},
		Actions: map[string]func(*peer){
			"dial":          func(p *peer) { p.emit(Action{Dial: true}) },
			"reset_backoff": func(p *peer) { p.backoff = minBackoff },
			"grow_backoff":  (*peer).growBackoff,
			"close_session": func(p *peer) { p.emit(Action{Close: true}) },
		},
	})
}

// Actions returns the actions since the last call.
func (c *Core) Actions() []Action {
	out := c.out
	c.out = nil
	return out
}

// OnWanted sets the peers to which the node keeps links.
func (c *Core) OnWanted(now time.Time, members []model.Member) {
	wanted := make(map[model.NodeID]bool, len(members))
	for _, m := range members {
		wanted[m.NodeID] = true
		if c.peers[m.NodeID] == nil {
			c.peers[m.NodeID] = &peer{core: c, member: m, dialAt: now, backoff: minBackoff}
		}
	}
	for id, p := range c.peers {
		if !wanted[id] {
			c.step(now, p, eventUnwanted)
		}
	}
}

// OnConnected reports a finished dial.
func (c *Core) OnConnected(now time.Time, id model.NodeID) { c.event(now, id, eventConnected) }

// OnDialFailed reports a dial that did not succeed.
func (c *Core) OnDialFailed(now time.Time, id model.NodeID) { c.event(now, id, eventDialFailed) }

// OnClosed reports the end of a connection.
func (c *Core) OnClosed(now time.Time, id model.NodeID) { c.event(now, id, eventClosed) }

// Tick dials the peers that are due and returns the time of the next dial.
func (c *Core) Tick(now time.Time) time.Time {
	var next time.Time
	for _, p := range c.peers {
		if !p.dialAt.After(now) {
			c.step(now, p, eventDialDue)
			continue
		}
		if next.IsZero() || p.dialAt.Before(next) {
			next = p.dialAt
		}
	}
	return next
}

func (c *Core) event(now time.Time, id model.NodeID, e chart.EventID) {
	if p := c.peers[id]; p != nil {
		c.step(now, p, e)
	}
}

func (c *Core) step(now time.Time, p *peer, e chart.EventID) {
	p.now = now
	p.state = c.machine.Step(p, p.state, e)
	if c.machine.Final(p.state) {
		delete(c.peers, p.member.NodeID)
	}
}

func (p *peer) emit(a Action) {
	a.Peer = p.member
	p.core.out = append(p.core.out, a)
}

// growBackoff paces reconnects; the jitter keeps nodes that lost the same
// peer from dialling it at the same time.
func (p *peer) growBackoff() {
	jitter := time.Duration(p.core.rng.Int64N(int64(p.backoff)))
	p.dialAt = p.now.Add(p.backoff/2 + jitter)
	p.backoff = min(2*p.backoff, maxBackoff)
}
