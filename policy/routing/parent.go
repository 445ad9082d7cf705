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
}

// OnParent registers a call that is handed to the target. id is the opaque
// value by which its sub-calls name it.
func (c *Core) OnParent(id string, running *model.Call) {
	c.parents[id] = &parent{call: running, budget: running.RetryBudget}
}

// OnParentEnded removes a call that has ended and returns how many retries
// its sub-calls used. What a sub-call in progress still holds counts as used.
// When the caller has gone, these sub-calls are cancelled.
func (c *Core) OnParentEnded(now time.Time, id string, canceled bool) (used int) {
	p := c.parents[id]
	if p == nil {
		return 0
	}
	delete(c.parents, id)
	used = p.call.RetryBudget - p.budget
	if canceled {
		for child := range p.children {
			c.OnCanceled(now, child)
		}
	}
	return used
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
	p.children[r.id] = r
}

// leave takes back what the sub-call did not use.
func (p *parent) leave(r *call) {
	p.budget += r.budget
	delete(p.children, r.id)
}

// inherit takes what a sub-call has from its parent, so that a target can
// neither forge nor lose it.
func (r *call) inherit(p *parent, a *model.Call) *model.Answer {
	if p.call.Depth+1 > maxDepth {
		return model.Refusal(r.id, model.ReasonBadRequest, "the call chain is longer than 32 calls")
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
