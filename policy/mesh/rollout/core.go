// Package rollout decides how the operator's orders to move the traffic of a service to
// targets of another version are carried out: which targets the calls of a node may go to,
// whether the version is bad, when all nodes move to it, and who writes the status. All
// nodes decide the same from the counts that they send each other. It has no clock, network
// or log of its own.
package rollout

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// tickInterval is the time between two looks at an order that has not ended.
	tickInterval = 50 * time.Millisecond
	// maxHistory is the number of earlier orders of a service that are known, so that a
	// restored log does not bring one back.
	maxHistory = 4
)

// Bounds are the operators' bounds on what a bad version may do.
type Bounds struct {
	ExposeShare float64       // share of the requests between an order and its deadline that a bad version may get
	ExposeSlack int           // requests that it may get beyond that
	Rollback    time.Duration // from its 50th bad response to the end of its requests
	Outer       time.Duration // by which an unstable log may extend Rollback
}

// DefaultBounds are the bounds if the settings state none.
var DefaultBounds = Bounds{ExposeShare: 0.1, ExposeSlack: 50, Rollback: 5 * time.Second, Outer: 5 * time.Second}

// Change is a change of an order's phase, for logs.
type Change struct {
	Order    model.RolloutOrder
	From, To model.RolloutPhase
	Age      time.Duration // of the order
	Detail   string        // why the version is bad; empty otherwise
	All, New uint64        // known responses since the order: all, and those of the ordered version
}

// Core holds the orders of one node. It is not safe for concurrent use: the duty that owns
// it calls all methods from its thread.
type Core struct {
	self     model.NodeID
	bounds   Bounds
	rng      *rand.Rand
	machine  *chart.Machine[*order]
	recorder *chart.Machine[*order]
	services map[model.Service]*service
	byPeer   map[model.Instance]model.Service
	peers    []model.Instance // other nodes, by the log
	era      uint64           // newest known era of the log
	loaded   bool             // the orders have been read once

	logConfirmedAt time.Time // when the log last answered; zero if that is not tracked

	reports []model.RolloutReport
	tasks   []Task
	changes []Change
}

// New returns a core without orders.
func New(self model.NodeID, bounds Bounds, rng *rand.Rand) *Core {
	return &Core{
		self: self, bounds: bounds, rng: rng,
		machine: newLifecycle(), recorder: newRecorder(),
		services: make(map[model.Service]*service), byPeer: make(map[model.Instance]model.Service),
	}
}

// windows returns how many windows make up the recent counts. They span less than half of the
// time in which a bad version must be found and stopped.
func (c *Core) windows() int {
	return min(max(int(c.bounds.Rollback/2/windowInterval), minWindows), maxWindows)
}

func (c *Core) service(name model.Service) *service {
	s := c.services[name]
	if s == nil {
		s = &service{core: c, name: name, census: newCensus(), former: make(map[string]bool), share: newShareCounter(c.rng)}
		c.services[name] = s
	}
	return s
}

// OnReport handles a node's report on itself and its target.
func (c *Core) OnReport(now time.Time, r *model.NodeReport) {
	if before, known := c.byPeer[r.Node.Instance]; known && before != r.Service {
		delete(c.service(before).census.targets, r.Node.Instance)
		c.service(before).outdated = true
	}
	c.byPeer[r.Node.Instance] = r.Service
	s := c.service(r.Service)
	if s.census.update(now, r) {
		s.census.prune()
		s.outdated = true
	}
}

// OnLinkLost handles the end of the link to a target's node.
func (c *Core) OnLinkLost(peer model.Instance) {
	name, known := c.byPeer[peer]
	if !known {
		return
	}
	s := c.services[name]
	if t := s.census.targets[peer]; t != nil && t.serving {
		t.serving = false
		s.outdated = true
	}
}

// SetPeers sets the other nodes of the fleet.
func (c *Core) SetPeers(peers []model.Instance) {
	c.peers = peers
	for peer, name := range c.byPeer {
		s := c.services[name]
		if t := s.census.targets[peer]; peer == c.self.Instance || slices.Contains(peers, peer) || t != nil && t.serving {
			continue
		}
		delete(c.byPeer, peer)
		delete(s.census.targets, peer)
		s.census.prune()
		s.outdated = true
	}
}

// SetLogConfirmedAt sets when the log last answered this node or a peer.
func (c *Core) SetLogConfirmedAt(t time.Time) { c.logConfirmedAt = t }

// OnOrders handles the complete list of the orders in the operator's documents up to a
// position in the log.
func (c *Core) OnOrders(now time.Time, orders []model.RolloutOrder, end model.LogPosition) {
	present := make(map[model.Service]bool)
	for _, o := range orders {
		present[o.Service] = true
		c.onOrder(now, o, !c.loaded)
	}
	c.loaded = true
	for name, s := range c.services {
		// An order that the log lacks since a restore stays in force, and one after the
		// position is known from a peer.
		if o := s.order; o != nil && !present[name] && o.Position.Era == end.Era && o.Position.Before(end) {
			s.end()
		}
	}
	if end.Era > c.era && c.era > 0 {
		c.onRestored(now)
	}
	c.era = max(c.era, end.Era)
}

// onOrder takes an order. atStart tells that the node has just started, so that the order
// may be in any state.
func (c *Core) onOrder(now time.Time, o model.RolloutOrder, atStart bool) *order {
	s := c.service(o.Service)
	switch {
	case s.order != nil && s.order.SameAs(o):
		if s.order.Position.Before(o.Position) {
			s.order.Position = o.Position
		}
		return s.order
	case s.order != nil && o.Position.Before(s.order.Position), s.isEarlier(o):
		return nil
	}
	next := newOrder(s, o, now)
	if previous := s.order; previous != nil {
		next.repeats = previous.Version == o.Version && previous.ended()
		next.proven = !previous.ended() && previous.Version != o.Version && s.census.serves(o.Version) && !s.former[o.Version]
		s.end()
	}
	next.proven = next.proven || s.servesAlone(now, o.Version)
	s.begin(next)
	if atStart {
		c.tasks = append(c.tasks, Task{Order: o, Read: true})
		return next
	}
	next.step(now, eventUnsettled)
	return next
}

func (c *Core) onRestored(now time.Time) {
	for _, s := range c.services {
		if s.order != nil {
			s.order.recorded = false
			s.order.stepRecorder(now, eventCanceled)
			s.order.step(now, eventRestored)
		}
	}
}

// Tick runs what is due and returns the time of the next tick, or zero if no order is in
// progress and no version is fresh.
func (c *Core) Tick(now time.Time) time.Time {
	var next time.Time
	for _, s := range c.services {
		if s.tick(now) {
			next = now.Add(tickInterval)
		}
	}
	return next
}

// TakeReports returns and clears the reports for the peers.
func (c *Core) TakeReports() []model.RolloutReport {
	reports := c.reports
	c.reports = nil
	return reports
}

// AllReports returns the complete state of all orders, for a peer that may lack it.
func (c *Core) AllReports(now time.Time) []model.RolloutReport {
	var out []model.RolloutReport
	for _, s := range c.services {
		if s.order != nil {
			out = append(out, s.order.newReport(now, s.order.statistics.list()))
		}
	}
	return out
}

// TakeTasks returns and clears the tasks for the thread that reads and writes status
// records. Each must be answered with OnStatusRead or OnStatusAppended.
func (c *Core) TakeTasks() []Task {
	tasks := c.tasks
	c.tasks = nil
	return tasks
}

// TakeChanges returns and clears the changes of the orders' phases.
func (c *Core) TakeChanges() []Change {
	changes := c.changes
	c.changes = nil
	return changes
}

// Phases returns the phase of each service's order.
func (c *Core) Phases() map[model.Service]model.RolloutPhase {
	out := make(map[model.Service]model.RolloutPhase)
	for name, s := range c.services {
		if s.order != nil {
			out[name] = s.order.phase()
		}
	}
	return out
}
