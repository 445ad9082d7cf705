package dispatch

import (
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/model/graph"
)

const (
	// retryRatio is the part of a service's requests that this node may send
	// again. Operators accept 0.2 over the whole fleet, with some fifty requests
	// more; the rest is kept for the calls of repeated requests, which count as
	// repeats at the services that they reach and cannot be held back.
	retryRatio = 0.15
	// retryDepth bounds the retries that a node has saved up, and the debt from
	// repeated requests' calls, in requests.
	retryDepth = 2
	retryDebt  = 20
)

// budget bounds the retries to one service.
type budget struct{ tokens float64 }

func (c *Core) budget(s model.Service) *budget {
	b := c.budgets[s]
	if b == nil {
		b = &budget{tokens: 1}
		c.budgets[s] = b
	}
	return b
}

// onFirst counts the first send of a request. One that is made for a repeated
// request is itself a repeat.
func (b *budget) onFirst(repeat bool) {
	b.tokens = min(b.tokens+retryRatio, retryDepth)
	if repeat {
		b.take()
	}
}

func (b *budget) has() bool { return b.tokens >= 1 }
func (b *budget) take()     { b.tokens = max(b.tokens-1, -retryDebt) }

// split divides the requests of a route among its parts in proportion to
// their weights: each part's credit grows by its weight, and the part with the
// most credit pays for the request.
type split struct{ credit []float64 }

func (c *Core) part(r *graph.Route) model.Service {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	s := c.splits[r.Name]
	if s == nil {
		s = c.newSplit(r)
		c.splits[r.Name] = s
	}
	var total float64
	best := 0
	for i, p := range r.Split {
		total += p.Weight
		s.credit[i] += p.Weight
		if s.credit[i] > s.credit[best] {
			best = i
		}
	}
	s.credit[best] -= total
	return r.Split[best].Service
}

// newSplit starts at a random point, so that the first requests of all nodes
// do not go to the same part.
func (c *Core) newSplit(r *graph.Route) *split {
	s := &split{credit: make([]float64, len(r.Split))}
	for i, p := range r.Split {
		s.credit[i] = c.rng.Float64() * p.Weight
	}
	return s
}
