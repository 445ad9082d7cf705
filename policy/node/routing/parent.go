package routing

import (
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

// maxDepth bounds the depth of a call chain. Real chains are up to 8 calls deep, so
// a chain that exceeds maxDepth is assumed to be a loop.
const maxDepth = 32

// parent is a call that runs at this node's target and may make sub-calls.
type parent struct {
	call        *model.Call
	retryBudget int // part of the call's retry budget that no sub-call holds
	children    map[model.CallID]*callState

	subCallWaitStart time.Time     // when the number of sub-calls in progress last became nonzero
	subCallWait      time.Duration // total of earlier periods with at least one sub-call in progress
}

// SubCallUsage sums up the sub-calls of a call that has ended at the target.
type SubCallUsage struct {
	RetriesUsed int           // retries that its sub-calls used
	SubCallWait time.Duration // time with at least one sub-call in progress, which does not count as service time
}

// OnParentStarted registers a call that is handed to the target. Its sub-calls
// refer to it by the opaque value id.
func (c *Core) OnParentStarted(id string, call *model.Call) {
	c.parents[id] = &parent{call: call, retryBudget: call.RetryBudget}
}

// OnParentEnded removes a call that has ended at the target. Retry budget that
// is still held by sub-calls in progress counts as used. If the call was
// canceled, so are these sub-calls.
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

// addChild adds a sub-call and gives it the remaining retry budget of its parent.
// Of parallel sub-calls, the first gets it and the others get none.
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

// removeChild removes a sub-call and returns its unused retry budget to its parent.
func (p *parent) removeChild(r *callState) {
	p.retryBudget += r.retryBudget
	delete(p.children, r.id)
	if len(p.children) == 0 {
		p.subCallWait += r.now.Sub(p.subCallWaitStart)
	}
}

// inheritFromParent adds a sub-call to its parent and copies its inherited
// properties from this node's own record of the parent, so that a target can
// neither forge nor omit them. A non-idempotent sub-call that has its parent's
// request id gets one of its own. It returns a refusal if the chain is too deep.
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
