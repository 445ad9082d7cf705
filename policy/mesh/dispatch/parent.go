// This file holds the calls that run at the node's own target and may make nested calls.

package dispatch

import (
	"sync"
	"sync/atomic"

	"github.com/oleanderworks/oleanderworks/model"
)

// Parent is a call that runs at the node's own target and may make nested calls.
type Parent struct {
	Call *model.Call
	// NestedFailed is set when a nested call has failed. The thread that waits for the
	// target's answer reads it.
	NestedFailed atomic.Bool

	endedCalls int // nested calls that have ended; only used by the thread that owns the Core

	mu   sync.Mutex
	work []model.ServiceWork // of the nested calls that have ended
}

// AddWork adds the work of a nested call.
func (p *Parent) AddWork(work []model.ServiceWork) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.work = model.AddWork(p.work, work...)
}

// Work returns the work of the nested calls together with own, that of the call itself.
func (p *Parent) Work(own model.ServiceWork) []model.ServiceWork {
	p.mu.Lock()
	defer p.mu.Unlock()
	return model.AddWork([]model.ServiceWork{own}, p.work...)
}

// OnParentStarted registers a call that the node's own target is about to run. Calls
// nested in it get its priority and are queued on behalf of its customer, since refusing
// them would waste the work already done for it. They are charged like other requests, to
// the customer that holds their key, if the route needs a key.
func (c *Core) OnParentStarted(p *Parent) { c.parents[p.Call.AttemptID] = p }

// OnParentEnded removes a call that has ended at the node's own target, and learns from it how
// many nested calls its route makes.
func (c *Core) OnParentEnded(call *model.Call) {
	if p := c.parents[call.AttemptID]; p != nil && p.Call == call {
		delete(c.parents, call.AttemptID)
		c.learnProfile(p)
	}
}
