// Package chain implements admission control for whole call chains. A request may need
// services behind the one that it is sent to, because targets make nested calls. If such a
// service cannot take all calls, requests fail halfway and the work done for them is wasted.
// The node of the caller therefore learns what the requests of each route need at each
// service behind the first, and refuses, before any work begins, the fraction of them that
// the service cannot take.
//
// The load that it answers: sustained overload of a service that many routes reach through
// nested calls. Nested calls themselves are never refused here. The package is used by the
// nodes of package agent/mesh.
package chain

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/model"
)

// ServiceLoad is the load of a service, as reported by the nodes of its targets.
type ServiceLoad struct {
	Targets      int           // serving targets with a recent report; 0 if nothing is known
	Running      int           // calls
	Nested       int           // running calls that are nested in others
	Limit        int           // calls that the targets can run concurrently
	ShedFraction float64       // fraction of recent nested calls that were turned away, 0 to 1
	QueueDelay   time.Duration // mean wait of recent nested calls for a slot
}

// utilization returns the fraction of the slots in use.
func (l ServiceLoad) utilization() float64 { return float64(l.Running) / float64(max(l.Limit, 1)) }

// nestedUtilization returns the fraction of the slots that nested calls use. Others fill
// the rest but do not keep nested calls from it for long.
func (l ServiceLoad) nestedUtilization() float64 { return float64(l.Nested) / float64(max(l.Limit, 1)) }

// LoadFunc returns the load of a service.
type LoadFunc func(now time.Time, s model.Service) ServiceLoad

// Request is a request that its caller's node is about to begin.
type Request struct {
	Route    string
	Priority int // 0 is the highest
	Customer model.Customer
}

// Refusal says why a request must not be begun now.
type Refusal struct {
	Service    model.Service // the service that cannot take its calls
	Detail     string
	RetryAfter time.Duration
}

// Change reports that the limit for a service has entered another state of its chart.
type Change struct {
	Service  model.Service
	From, To string
	Fraction float64 // of the requests that are begun, 0 to 1
	Load     ServiceLoad
}

// Core decides which requests are begun. It is not safe for concurrent use.
type Core struct {
	rng      *rand.Rand
	load     LoadFunc
	machine  *chart.Machine[*limit]
	profiles map[string]*profile // by route
	limits   map[model.Service]*limit
	changes  []Change
}

// New returns a core that asks load for the load of a service.
func New(load LoadFunc, rng *rand.Rand) *Core {
	return &Core{
		rng:      rng,
		load:     load,
		machine:  newMachine(),
		profiles: make(map[string]*profile),
		limits:   make(map[model.Service]*limit),
	}
}

// Admit decides whether a request is begun. It returns nil if it is. A request that only some
// of the services on its path can take keeps its credit there: the admissions of two limits
// need not coincide, and a customer would otherwise get only their product or nothing.
func (c *Core) Admit(now time.Time, r Request) *Refusal {
	p := c.profiles[r.Route]
	if p == nil {
		return nil
	}
	var refusing *limit
	var admitting []*limit
	for i := range p.services {
		need := &p.services[i]
		l := c.limitFor(now, need.service)
		l.update(now)
		switch {
		case l.offer(now, r, need.slotTime):
			admitting = append(admitting, l)
		case refusing == nil:
			refusing = l
		}
	}
	if refusing == nil {
		return nil
	}
	for _, l := range admitting {
		l.refund(r)
	}
	return refusing.refusal(now)
}

// OnCompleted learns from a request that ended successfully. first is the service that it
// was sent to; work is what it used there and behind it.
func (c *Core) OnCompleted(route string, first model.Service, work []model.ServiceWork) {
	if len(work) < 2 && c.profiles[route] == nil {
		return // the route has no nested calls
	}
	p := c.profiles[route]
	if p == nil {
		p = &profile{}
		c.profiles[route] = p
	}
	p.learn(first, work)
}

// Retain removes the profiles of routes that are no longer configured, and the limits that
// no profile needs.
func (c *Core) Retain(configured func(route string) bool) {
	needed := make(map[model.Service]bool)
	for route, p := range c.profiles {
		if !configured(route) {
			delete(c.profiles, route)
			continue
		}
		for _, need := range p.services {
			needed[need.service] = true
		}
	}
	for service := range c.limits {
		if !needed[service] {
			delete(c.limits, service)
		}
	}
}

// TakeChanges returns and clears the changes of state since the last call.
func (c *Core) TakeChanges() []Change {
	changes := c.changes
	c.changes = nil
	return changes
}

// Limit is the limit in force for a service.
type Limit struct {
	Service  model.Service
	State    string
	Fraction float64 // of the requests that are begun, 0 to 1
	Load     ServiceLoad
}

// Limits returns the limits of all services that requests reach through nested calls,
// sorted by service.
func (c *Core) Limits() []Limit {
	out := make([]Limit, 0, len(c.limits))
	for _, l := range c.limits {
		out = append(out, Limit{Service: l.service, State: c.machine.StateName(l.state), Fraction: l.fraction, Load: l.load})
	}
	slices.SortFunc(out, func(a, b Limit) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

func (c *Core) limitFor(now time.Time, s model.Service) *limit {
	l := c.limits[s]
	if l == nil {
		l = &limit{core: c, service: s, state: c.machine.Initial(), fraction: 1, causing: 1, updatedAt: now}
		c.limits[s] = l
	}
	return l
}

func (l *limit) describe() string {
	return fmt.Sprintf("service %s: %.2f of the requests are begun, %.2f of its calls were turned away, wait %v, %d of %d slots in use",
		l.service, l.fraction, l.load.ShedFraction, l.load.QueueDelay, l.load.Running, l.load.Limit)
}
