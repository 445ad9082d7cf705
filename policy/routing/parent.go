package routing

import (
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

// maxDepth bounds a call chain. Chains of the fleet are up to 8 deep; a chain
// longer than this is a loop.
const maxDepth = 32

// parent is a call that runs at this node's target and may make sub-calls.
type parent struct {
	call     *model.Call
	budget   int // retries that no sub-call holds
	children map[model.CallID]*call

	waitingSince time.Time     // when the first of the running sub-calls began
	waited       time.Duration // with at least one sub-call in progress
}

// SubCallUsage sums up the sub-calls of a call that has ended at the target.
type SubCallUsage struct {
	RetriesUsed int           // by its sub-calls
	SubCallWait time.Duration // with at least one sub-call in progress; no work of the target
}

// OnParentStarted registers a call that is handed to the target. id is the
// opaque value by which its sub-calls name it.
func (c *Core) OnParentStarted(id string, call *model.Call) {
	c.parents[id] = &parent{call: call, budget: call.RetryBudget}
}

// OnParentEnded removes a call that has ended. Of the retry budget, what a
// sub-call in progress still holds counts as used. When the caller has gone,
// these sub-calls are cancelled.
func (c *Core) OnParentEnded(now time.Time, id string, canceled bool) SubCallUsage {
	p := c.parents[id]
	if p == nil {
		return SubCallUsage{}
	}
	delete(c.parents, id)
	ended := SubCallUsage{RetriesUsed: p.call.RetryBudget - p.budget, SubCallWait: p.waited}
	if len(p.children) > 0 {
		ended.SubCallWait += now.Sub(p.waitingSince)
	}
	if canceled {
		for child := range p.children {
			c.OnCanceled(now, child)
		}
	}
	return ended
}

// join gives the sub-call all that is left of its parent's retry budget. Of
// sub-calls in parallel the first gets it and the others get none.
func (p *parent) join(r *call) {
	r.parent = p
	r.budget = p.budget
	p.budget = 0
	if p.children == nil {
		p.children = make(map[model.CallID]*call)
	}
	if len(p.children) == 0 {
		p.waitingSince = r.now
	}
	p.children[r.id] = r
}

// leave takes back what the sub-call did not use.
func (p *parent) leave(r *call) {
	p.budget += r.budget
	delete(p.children, r.id)
	if len(p.children) == 0 {
		p.waited += r.now.Sub(p.waitingSince)
	}
}

// inherit takes what a sub-call has from its parent, so that a target can
// neither forge nor lose it.
func (r *call) inherit(p *parent, a *model.Call) *model.Answer {
	if p.call.Depth+1 > maxDepth {
		return model.NewRefusal(r.id, model.ReasonBadRequest, "the call chain is longer than 32 calls")
	}
	a.Customer = p.call.Customer
	a.KeyHash = p.call.KeyHash
	a.Class = p.call.Class
	a.ClientRetry = p.call.ClientRetry
	a.Depth = p.call.Depth + 1
	if p.call.Deadline.Before(a.Deadline) {
		a.Deadline = p.call.Deadline
	}
	p.join(r)
	if !a.Idempotent && a.RequestID == p.call.RequestID {
		a.RequestID = derivedID(a)
	}
	return nil
}
