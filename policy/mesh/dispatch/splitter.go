package dispatch

import (
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/model/graph"
)

// splitter divides the requests of a route among its services by smooth weighted round
// robin: for each request, every service's credit grows by its weight, the service with
// the most credit gets the request, and its credit is reduced by the sum of the weights.
type splitter struct{ credit []float64 }

// pickService returns the service for the next request of a route.
func (c *Core) pickService(r *graph.Route) model.Service {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	s := c.splitters[r]
	if s == nil {
		s = c.newSplitter(r)
		c.splitters[r] = s
	}
	var total float64
	best := 0
	for i, ws := range r.Split {
		total += ws.Weight
		s.credit[i] += ws.Weight
		if s.credit[i] > s.credit[best] {
			best = i
		}
	}
	s.credit[best] -= total
	return r.Split[best].Service
}

// newSplitter returns a splitter with random credits, so that the first requests at all
// nodes do not go to the same service.
func (c *Core) newSplitter(r *graph.Route) *splitter {
	s := &splitter{credit: make([]float64, len(r.Split))}
	for i, ws := range r.Split {
		s.credit[i] = c.rng.Float64() * ws.Weight
	}
	return s
}
