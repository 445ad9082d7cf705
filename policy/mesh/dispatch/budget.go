// This file holds the retry budgets of the services and the splitter, which divides
// the requests of a route among services.

package dispatch

import (
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/model/graph"
)

const (
	// retryRatio is the number of retries that each first attempt to a service adds
	// to this node's retry budget. The operators' requirement is at most 0.2 retries
	// per first attempt in the whole fleet, plus some fifty requests. The difference
	// is a margin for calls nested in retried requests, which count as retries at the
	// services that they reach and cannot be prevented.
	retryRatio = 0.15
	// maxRetryTokens is the size of the token bucket of a service's retry budget, and
	// maxRetryDebt bounds how far calls nested in retried requests can overdraw it.
	maxRetryTokens = 2  // retries
	maxRetryDebt   = 20 // retries
)

// retryBudget is a token bucket that limits the retries to one service.
type retryBudget struct{ tokens float64 }

func (c *Core) budgetFor(s model.Service) *retryBudget {
	b := c.budgets[s]
	if b == nil {
		b = &retryBudget{tokens: 1}
		c.budgets[s] = b
	}
	return b
}

// onFirstAttempt adds the first attempt of a request to the budget. A request that is
// nested in a retried one counts as a retry itself.
func (b *retryBudget) onFirstAttempt(isRetry bool) {
	b.tokens = min(b.tokens+retryRatio, maxRetryTokens)
	if isRetry {
		b.spend()
	}
}

func (b *retryBudget) available() bool { return b.tokens >= 1 }
func (b *retryBudget) spend()          { b.tokens = max(b.tokens-1, -maxRetryDebt) }

// splitter divides the requests of a route among its services by smooth weighted round
// robin: for each request, every service's credit grows by its weight, the service with
// the most credit gets the request, and its credit is reduced by the sum of the weights.
type splitter struct{ credit []float64 }

// pickService returns the service for the next request of a route.
func (c *Core) pickService(r *graph.Route) model.Service {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	s := c.splitters[r.Name]
	if s == nil {
		s = c.newSplitter(r)
		c.splitters[r.Name] = s
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
