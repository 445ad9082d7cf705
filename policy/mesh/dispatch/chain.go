package dispatch

import (
	"time"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/mesh/chain"
)

// ChainChanges returns and clears the changes of the limits on requests whose nested calls
// need a service that is short of room.
func (c *Core) ChainChanges() []chain.Change { return c.chain.TakeChanges() }

// ChainLimits returns the limits in force.
func (c *Core) ChainLimits() []chain.Limit { return c.chain.Limits() }

// serviceLoad returns the load of a service by the reports of its targets that are not
// stale and that an order to move the service does not keep from its calls. Fractions and
// delays are weighted by the calls that a target runs.
func (c *Core) serviceLoad(now time.Time, s model.Service) chain.ServiceLoad {
	var load chain.ServiceLoad
	var weight, shed, delay float64
	for _, t := range c.targets.byService[s] {
		if !t.linkUp || t.state != model.TargetServing || c.zonesOut[t.zone] || now.Sub(t.reportedAt) > staleReportAge {
			continue
		}
		if c.rollouts != nil && !c.rollouts.Carries(now, s, t.peer) {
			continue // its slots are not there for the service's calls
		}
		load.Targets++
		load.Running += t.running
		load.Nested += t.nested
		load.Limit += t.limit
		w := float64(t.nested + 1)
		weight += w
		shed += w * t.shedFraction
		delay += w * t.queueDelay.Seconds()
	}
	if weight > 0 {
		load.ShedFraction = shed / weight
		load.QueueDelay = time.Duration(delay / weight * float64(time.Second))
	}
	return load
}

// refuseOverloaded returns the refusal of a request if a service that its nested calls need
// cannot take them, and nil otherwise. Nested calls are not refused, since work was done for
// their parents.
func (r *request) refuseOverloaded() *model.Answer {
	if r.call.Nested {
		return nil
	}
	refusal := r.core.chain.Admit(r.now, chain.Request{Route: r.route.Name, Priority: r.call.Priority, Customer: r.call.OnBehalfOf})
	if refusal == nil {
		return nil
	}
	a := model.NewRefusal(r.id, model.ReasonOverload, refusal.Detail)
	a.RetryAfter = refusal.RetryAfter
	return a
}

// learnChain learns from a request that ended successfully what its route needs.
func (r *request) learnChain(a *model.Answer) {
	if r.call != nil && !r.call.Nested && !a.FromNode() && !serviceFailed(a) {
		r.core.chain.OnCompleted(r.route.Name, r.call.Service, r.work)
	}
}
