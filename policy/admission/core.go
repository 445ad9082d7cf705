// Package admission decides, at the target's node, whether and when a call
// runs at the target. The node is the only way in to its target.
package admission

import (
	"time"

	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/model"
)

// queueFactor is the room for waiting calls as a multiple of the slots.
const queueFactor = 4

// Decision is what the target's node does next for a call. Exactly one of
// its fields besides CallID is set.
type Decision struct {
	CallID model.CallID
	Run    bool          // hand the call to the target
	Cancel bool          // cancel the call at the target
	Answer *model.Answer // refusal
}

// Core holds the calls of one target. All methods run on one thread.
type Core struct {
	self       model.Member
	snapshot   *model.Snapshot
	machine    *chart.Machine[*execution]
	executions map[model.CallID]*execution
	queue      []*execution
	running    int
	out        []Decision
	contact    contact
}

// New returns a core that knows no configuration yet.
func New(self model.Member) *Core {
	c := &Core{self: self, executions: make(map[model.CallID]*execution)}
	c.machine = newMachine()
	return c
}

// Decisions returns the decisions made since the last call.
func (c *Core) Decisions() []Decision {
	out := c.out
	c.out = nil
	return out
}

// OnSnapshot takes a new configuration into use.
func (c *Core) OnSnapshot(s *model.Snapshot) { c.snapshot = s }

// OnContact tells until when the node has contact.
func (c *Core) OnContact(until time.Time) { c.contact = contact{known: true, until: until} }

// OnArrival takes a call that an entry node sent.
func (c *Core) OnArrival(now time.Time, call *model.Call) {
	if refusal := c.fence(now, call); refusal != nil {
		c.out = append(c.out, Decision{CallID: call.ID, Answer: refusal})
		return
	}
	e := &execution{core: c, state: c.machine.Initial(), call: call}
	c.executions[call.ID] = e
	e.step(eventAdmit)
}

// OnFinished frees the slot of a call that the target has answered or lost.
func (c *Core) OnFinished(now time.Time, id model.CallID) {
	if e := c.executions[id]; e != nil {
		e.step(eventFinished)
	}
	c.startWaiting(now)
}

// OnCanceled drops a waiting call, or cancels a running one, whose caller has
// gone.
func (c *Core) OnCanceled(_ time.Time, id model.CallID) {
	if e := c.executions[id]; e != nil {
		e.step(eventCanceled)
	}
}

// Tick drops calls whose deadline has passed and returns the time of the
// next one.
func (c *Core) Tick(now time.Time) time.Time {
	c.startWaiting(now)
	var next time.Time
	for _, e := range append([]*execution(nil), c.queue...) {
		if !now.Before(e.call.Deadline) {
			e.step(eventExpired)
			continue
		}
		if next.IsZero() || e.call.Deadline.Before(next) {
			next = e.call.Deadline
		}
	}
	return next
}

// Load returns the load report for entry nodes.
func (c *Core) Load() model.Load {
	return model.Load{InFlight: c.running, Queued: len(c.queue), Limit: c.slots()}
}

// startWaiting hands free slots to waiting calls.
func (c *Core) startWaiting(now time.Time) {
	for c.running < c.slots() && len(c.queue) > 0 {
		e := c.queue[0]
		if !now.Before(e.call.Deadline) {
			e.step(eventExpired)
			continue
		}
		e.step(eventSlotFree)
	}
}

func (c *Core) slots() int {
	service := c.service()
	if service == nil {
		return 0
	}
	return service.Slots
}

func (c *Core) service() *model.ServiceConfig {
	if c.snapshot == nil {
		return nil
	}
	return c.snapshot.Services[c.self.Service]
}
