package routing

import (
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

// maxDepth bounds the depth of a call chain. Real chains are up to 8 deep, so a
// chain that is longer than maxDepth is taken for a loop.
const maxDepth = 32

// parent is a call that runs at this node's target and may make sub-calls.
type parent struct {
	call        *model.Call
	retryBudget int // retries that no sub-call in progress holds
	children    map[model.CallID]*callState

	subCallWaitStart time.Time     // when the first of the sub-calls in progress began
	subCallWait      time.Duration // total time with at least one sub-call in progress
}

// SubCallUsage sums up the sub-calls of a call that has ended at the target.
type SubCallUsage struct {
	RetriesUsed int           // by its sub-calls
	SubCallWait time.Duration // time with at least one sub-call in progress, in which the target only waited
}

// OnParentStarted registers a call that is handed to the target. id is the
// opaque value by which its sub-calls name it.
func (c *Core) OnParentStarted(id string, call *model.Call) {
	c.parents[id] = &parent{call: call, retryBudget: call.RetryBudget}
}

// OnParentEnded removes a call that has ended at the target. Retry budget that
// a sub-call in progress still holds counts as used. If the caller has gone,
// the sub-calls in progress are canceled.
func (c *Core) OnParentEnded(now time.Time, id string, canceled bool) SubCallUsage {
	p := c.parents[id]
	if p == nil {
		return SubCallUsage{}
	}
	delete(c.parents, id)
	usage := SubCallUsage{RetriesUsed: p.call.RetryBudget - p.retryBudget, SubCallWait: p.subCallWait}
	if len(p.children) > 0 {
		usage.SubCallWait += now.Sub(p.subCallWaitStart)
	}
	if canceled {
		for child := range p.children {
			c.OnCanceled(now, child)
		}
	}
	return usage
}

// addChild gives the sub-call the rest of its parent's retry budget. Of parallel
// sub-calls, the first gets it and the others get none.
func (p *parent) addChild(r *callState) {
	r.parent = p
	r.retryBudget = p.retryBudget
	p.retryBudget = 0
	if p.children == nil {
		p.children = make(map[model.CallID]*callState)
	}
	if len(p.children) == 0 {
		p.subCallWaitStart = r.now
	}
	p.children[r.id] = r
}

// removeChild returns the unused retry budget of a sub-call to its parent.
func (p *parent) removeChild(r *callState) {
	p.retryBudget += r.retryBudget
	delete(p.children, r.id)
	if len(p.children) == 0 {
		p.subCallWait += r.now.Sub(p.subCallWaitStart)
	}
}

// inheritFromParent copies what a sub-call inherits from the entry of its parent
// at this node, so that a target can neither forge nor drop it.
func (r *callState) inheritFromParent(p *parent, call *model.Call) *model.Answer {
	if p.call.Depth+1 > maxDepth {
		return model.NewRefusal(r.id, model.ReasonBadRequest, "the call chain is longer than 32 calls")
	}
	call.Customer = p.call.Customer
	call.KeyHash = p.call.KeyHash
	call.Class = p.call.Class
	call.ClientRetry = p.call.ClientRetry
	call.Depth = p.call.Depth + 1
	if p.call.Deadline.Before(call.Deadline) {
		call.Deadline = p.call.Deadline
	}
	p.addChild(r)
	if !call.Idempotent && call.RequestID == p.call.RequestID {
		call.RequestID = deriveRequestID(call)
	}
	return nil
}
