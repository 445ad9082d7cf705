package dispatch

import (
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/model/graph"
)

// profileWeight is the weight of the latest run in the mean number of nested calls of a
// route's runs. A busy target learns a change within a second.
const profileWeight = 0.05

// callProfiles holds, for each route, the mean number of nested calls that a run of it makes
// at the node's own target. From it follows how much of a run is done when it makes a call.
type callProfiles map[string]float64 // by name of the route

// routeNames returns the names of the routes of a configuration.
func routeNames(config *graph.Config) map[string]bool {
	names := make(map[string]bool, len(config.Routes))
	for _, r := range config.Routes {
		names[r.Name] = true
	}
	return names
}

// retain removes the profiles of routes that are not configured.
func (p callProfiles) retain(configured map[string]bool) {
	for name := range p {
		if !configured[name] {
			delete(p, name)
		}
	}
}

// add adds the number of nested calls of a run that has ended.
func (p callProfiles) add(route string, calls int) {
	mean, known := p[route]
	if !known {
		mean = float64(calls)
	}
	p[route] = mean + profileWeight*(float64(calls)-mean)
}

// learnProfile adds a run that has ended to the profile of its route. A run with a failed
// nested call usually ends before it has made all its calls and is not added.
func (c *Core) learnProfile(p *Parent) {
	if p.NestedFailed.Load() {
		return
	}
	if r := c.routeOf(p.Call); r != nil {
		c.profiles.add(r.Name, p.endedCalls)
	}
}

// progressOf returns the fraction of a parent's nested calls that have ended, or 0 if it is
// unknown how many its route makes.
func (c *Core) progressOf(p *Parent) float64 {
	r := c.routeOf(p.Call)
	if r == nil || c.profiles[r.Name] <= 0 {
		return 0
	}
	return min(float64(p.endedCalls)/c.profiles[r.Name], 1)
}

func (c *Core) routeOf(call *model.Call) *graph.Route {
	if c.config == nil {
		return nil
	}
	return c.config.MatchRoute(call.Host, call.Path)
}
