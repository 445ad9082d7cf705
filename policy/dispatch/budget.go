package dispatch

import (
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/model/graph"
)

const (
	// retryRatio is the number of retries that each first attempt to a service
	// adds to this node's retry budget. Operators accept 0.2 over the whole fleet
	// and some fifty requests more. The rest of the 0.2 is left for calls nested in
	// retried requests, which count as retries at the services that they reach
	// and cannot be prevented.
	retryRatio = 0.15
	// maxRetryTokens bounds the retries that a node saves up for a service, and
	// maxRetryDebt the debt from calls nested in retried requests.
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

// onFirstAttempt counts the first attempt of a request. If the request is nested in
// a retried one, it is itself a retry.
func (b *retryBudget) onFirstAttempt(isRetry bool) {
	b.tokens = min(b.tokens+retryRatio, maxRetryTokens)
	if isRetry {
		b.spend()
	}
}

func (b *retryBudget) available() bool { return b.tokens >= 1 }
func (b *retryBudget) spend()          { b.tokens = max(b.tokens-1, -maxRetryDebt) }

// splitter divides the requests of a route among its services by smooth weighted
// round robin: each request adds to every service's credit its weight, goes to
// the service with the most credit and costs it the sum of the weights.
type splitter struct{ credit []float64 }

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

// newSplitter starts with random credits, so that the first requests of all nodes
// do not go to the same service.
func (c *Core) newSplitter(r *graph.Route) *splitter {
	s := &splitter{credit: make([]float64, len(r.Split))}
	for i, ws := range r.Split {
		s.credit[i] = c.rng.Float64() * ws.Weight
	}
	return s
}
