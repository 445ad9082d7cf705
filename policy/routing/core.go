// Package routing decides, at the entry node, whether a request is accepted,
// which target gets it and whether it is sent again.
package routing

import (
	"math/rand/v2"
	"time"

	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/model"
)

// DefaultTimeout applies to routes and callers that set none.
const DefaultTimeout = 10 * time.Second

// Decision is what the entry node does next for a call. Exactly one of
// Answer and Call is set.
type Decision struct {
	CallID model.CallID
	Answer *model.Answer // the caller's answer
	Call   *model.Call   // an attempt to send to Target
	Target model.Member
}

// Core holds the calls of one entry node. All methods run on one thread.
type Core struct {
	self     model.Member
	snapshot *model.Snapshot
	rng      *rand.Rand
	machine  *chart.Machine[*record]
	calls    map[model.CallID]*record
	loads    map[model.Instance]*targetLoad
	contact  contact
	avoided  map[model.Instance]bool // silent or leaving; gets no new calls
	out      []Decision
}

// New returns a core that knows no configuration yet.
func New(self model.Member, rng *rand.Rand) *Core {
	c := &Core{
		self:  self,
		rng:   rng,
		calls: make(map[model.CallID]*record),
		loads: make(map[model.Instance]*targetLoad),

		avoided: make(map[model.Instance]bool),
	}
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

// OnSuspect tells whether a target's node is silent or leaving.
func (c *Core) OnSuspect(i model.Instance, avoided bool) {
	delete(c.avoided, i)
	if avoided {
		c.avoided[i] = true
	}
}

// OnContact tells until when the node has contact.
func (c *Core) OnContact(until time.Time) { c.contact = contact{known: true, until: until} }

// OnRequest starts a call.
func (c *Core) OnRequest(now time.Time, req *model.Request) {
	r := &record{core: c, now: now, state: c.machine.Initial(), request: req}
	c.calls[req.ID] = r
	call, refusal := c.classify(now, req)
	if refusal != nil {
		r.answer = refusal
		r.step(eventRejected)
		return
	}
	r.call = call
	r.target, refusal = c.choose(call, r.tried)
	if refusal != nil {
		r.answer = refusal
		r.step(eventRejected)
		return
	}
	r.step(eventAdmitted)
}

// OnOutcome takes the result of an attempt.
func (c *Core) OnOutcome(now time.Time, a *model.Answer) {
	r := c.calls[a.ID]
	if r == nil {
		return
	}
	r.now = now
	r.answer = a
	c.observe(r.target.Instance, a)
	switch {
	case !a.Refused():
		r.step(eventAnswered)
	case a.Run == model.NotRun:
		r.step(eventNotRun)
	default:
		r.step(eventFailed)
	}
}

// OnCanceled ends a call whose caller has gone.
func (c *Core) OnCanceled(now time.Time, id model.CallID) {
	if r := c.calls[id]; r != nil {
		r.now = now
		r.answer = model.Failure(id, model.ReasonCanceled, "the caller has gone")
		r.step(eventCanceled)
	}
}

// Has reports whether the call is in progress.
func (c *Core) Has(id model.CallID) bool { return c.calls[id] != nil }

// Len returns the number of calls in progress.
func (c *Core) Len() int { return len(c.calls) }
