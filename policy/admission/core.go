// Package admission decides, at the target's node, whether and when a call
// runs at the target. The node is the only way in to its target.
package admission

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/core/invariant"
	"github.com/oleanderworks/oleanderworks/core/timers"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/record"
)

// scanInterval bounds how long a waiting call outlives its deadline. A scan
// costs time in proportion to the queue, so it is not run for each message.
const scanInterval = 20 * time.Millisecond

// Decision is what the target's node does next for a call. Exactly one of
// Run, Cancel and Answer is set.
type Decision struct {
	CallID          model.CallID
	Run             bool      // hand the call to the target, at the latest at Until
	HandoffDeadline time.Time // end of the permission to hand the call over
	// Silence is the time without a byte after which the connection to the
	// target is given up, if others progress meanwhile.
	StallTimeout time.Duration
	Cancel       bool          // cancel the call at the target
	Answer       *model.Answer // refusal
}

// Core holds the calls of one target. All methods run on one thread.
type Core struct {
	self       model.Member
	rng        *rand.Rand
	check      *invariant.Checker
	quarantine Quarantine
	seen       *record.HandoffHistory
	lives      []model.NodeID // under which this process announced itself
	announced  bool           // the first of them is known to the fleet

	snapshot *model.Snapshot
	config   *model.ServiceConfig // of the own service; nil when unknown

	machine    *chart.Machine[*execution]
	executions map[model.CallID]*execution
	free       []*execution // ended executions, reused to save allocations
	queue      queue
	running    int

	contact  contact
	target   target
	limit    limit
	latency  latency
	pressure pressure
	nextScan time.Time

	out     []Decision
	signals []Signal
}

// New returns a core that knows no configuration yet.
func New(self model.Member, o Options) *Core {
	c := &Core{
		self:       self,
		rng:        o.Rand,
		check:      o.Check,
		quarantine: o.Quarantine,
		seen:       record.NewHandoffHistory(record.MaxHandoffs),
		lives:      []model.NodeID{self.NodeID},
		executions: make(map[model.CallID]*execution),
	}
	c.machine = newMachine()
	c.target = newTarget(c)
	c.limit.core = c
	c.queue.setClasses(nil)
	return c
}

// Decisions returns the decisions made since the last call. The slice is
// valid until the next method call.
func (c *Core) Decisions() []Decision {
	out := c.out
	c.out = c.out[:0]
	return out
}

// Signals returns what happened to the target since the last call. The slice
// is valid until the next method call.
func (c *Core) Signals() []Signal {
	signals := c.signals
	c.signals = c.signals[:0]
	return signals
}

// OnSnapshot takes a new configuration into use and judges the waiting calls
// by it.
func (c *Core) OnSnapshot(now time.Time, s *model.Snapshot) {
	c.snapshot = s
	c.noteLife(s)
	c.config = s.Services[c.self.Service]
	if c.queue.classesDiffer(s.Fleet.Classes) {
		c.reorderQueue(s.Fleet.Classes)
	}
	if c.target.state == stateCold {
		c.target.now = now
		c.target.toFloor()
	}
	c.target.onSwitch(now, c.isOut())
	c.recheckWaiting(now)
	c.startWaiting(now)
}

// OnNewIncarnation takes the node's new incarnation. Calls with claims that
// name the previous one and were not handed over yet are refused as not run.
func (c *Core) OnNewIncarnation(self model.Member) { c.self = self }

// OnContact tells until when the node has contact.
func (c *Core) OnContact(until time.Time) { c.contact = contact{known: true, until: until} }

// OnArrival takes a call that an entry node sent.
func (c *Core) OnArrival(now time.Time, call *model.Call) {
	c.pressure.onArrival(now)
	refusal := c.fenceArrival(now, call)
	if refusal == nil && c.executions[call.ID] != nil {
		refusal = model.NewRefusal(call.ID, model.ReasonInProgress, "the call is at the target's node already")
	}
	if refusal == nil {
		refusal = c.fenceClaim(now, call)
	}
	if refusal != nil {
		c.refuse(now, refusal)
		return
	}
	if c.running < c.slots() && c.queue.length > 0 {
		c.startWaiting(now)
	}
	e := c.newExecution(now, call)
	c.executions[call.ID] = e
	e.step(now, eventAdmit)
}

// OnFinished frees the slot of a call that was handed over.
func (c *Core) OnFinished(now time.Time, o Outcome) {
	e := c.executions[o.CallID]
	if e == nil || !e.handedOver {
		c.check.Assert(false, "admission_finish_matches_run", "call %d finished without having run", o.CallID)
		return
	}
	running := c.running
	if o.Result == ResultConnectionRefused && e.call.Claim != nil {
		c.seen.MarkRefused(e.call.Claim) // the target took no connection
	}
	e.step(now, eventFinished)
	c.observe(now, e, o, running)
	c.target.onEmptied(now)
	c.startWaiting(now)
	c.recycle(e)
}

// OnCanceled drops a waiting call, or cancels a running one, whose caller has
// gone.
func (c *Core) OnCanceled(now time.Time, id model.CallID) {
	e := c.executions[id]
	if e == nil {
		return
	}
	e.step(now, eventCanceled)
	c.target.onEmptied(now)
}

// Tick runs timers that are due and returns the time of the next one.
func (c *Core) Tick(now time.Time) time.Time {
	c.target.tick(now)
	if !now.Before(c.nextScan) {
		c.scanWaiting(now)
		c.checkInvariants()
		c.nextScan = now.Add(scanInterval)
	}
	c.startWaiting(now)
	var next time.Time
	if c.queue.length > 0 {
		next = c.nextScan
	}
	return timers.Earlier(next, c.target.due)
}

// Load returns the load report for entry nodes.
func (c *Core) Load() model.Load {
	return model.Load{
		InFlight: c.running,
		Queued:   c.queue.length,
		Limit:    c.slots(),
		Sojourn:  c.queue.sojourn(),
		Draining: c.target.leaving(),
	}
}

// State returns the name of the target's state in its chart.
func (c *Core) State() string { return c.target.machine.StateName(c.target.state) }

// MaxConnections returns the number of connections that the target accepts, or 0
// when the configuration does not tell.
func (c *Core) MaxConnections() int {
	if c.config == nil {
		return 0
	}
	return c.config.Connections
}

// startWaiting hands free slots to waiting calls. The fences are checked here
// again, since time has passed in the queue.
func (c *Core) startWaiting(now time.Time) {
	for c.running < c.slots() && c.queue.length > 0 {
		e := c.queue.next(now, c.reserve())
		switch refusal := c.fence(now, e.call); {
		case refusal != nil:
			e.answer = refusal
			e.step(now, eventFenced)
		case !c.latency.feasible(now, e):
			e.step(now, eventExpired)
		default:
			c.queue.charge(now, e)
			e.step(now, eventSlotFree)
		}
	}
	c.target.onEmptied(now)
}

// scanWaiting drops waiting calls that have no chance to start: their deadline
// has passed, or they are old in a standing queue.
func (c *Core) scanWaiting(now time.Time) {
	for _, e := range c.queue.all() {
		switch {
		case !now.Before(e.call.Deadline):
			e.step(now, eventExpired)
		case c.tooOld(now, e):
			e.step(now, eventPushedOut)
		}
	}
	c.target.onEmptied(now)
}

// tooOld reports whether a call stands in a queue that does not get shorter,
// for longer than the whole queue takes to pass the slots: newer calls have
// overtaken it.
func (c *Core) tooOld(now time.Time, e *execution) bool {
	customer := e.list.customer
	if !customer.order.observe(now, now.Sub(customer.oldest().arrived)) {
		return false
	}
	if c.queue.classes[e.rank].starved(now) && e.call.Depth > 0 {
		return true
	}
	if c.queue.length <= c.slots() {
		return false
	}
	usual := c.latency.class(e.rank).usual
	return now.Sub(e.arrived) > max(maxStanding, usual*time.Duration(c.budget())/time.Duration(max(c.slots(), 1)))
}

// recheckWaiting refuses waiting calls that the fences no longer let pass.
func (c *Core) recheckWaiting(now time.Time) {
	for _, e := range c.queue.all() {
		if e.answer = c.fence(now, e.call); e.answer != nil {
			e.step(now, eventFenced)
		}
	}
}

// refuseWaiting refuses every waiting call, so that entry nodes can send them
// elsewhere at once.
func (c *Core) refuseWaiting(now time.Time, reason model.Reason, detail string) {
	for _, e := range c.queue.all() {
		e.answer = model.NewRefusal(e.call.ID, reason, detail)
		e.step(now, eventFenced)
	}
}

// reorderQueue sorts the waiting calls into a new shedding order.
func (c *Core) reorderQueue(classes []model.Class) {
	waiting := c.queue.all()
	for _, e := range waiting {
		c.queue.remove(e)
	}
	c.queue.setClasses(slices.Clone(classes))
	for _, e := range waiting {
		e.rank = c.rank(e.call)
		c.queue.add(e, c.weight(e.call.Customer))
	}
}

func (c *Core) refuse(now time.Time, a *model.Answer) {
	if a.Reason == model.ReasonShed {
		a.RetryAfter = c.pressure.retryAfter(now, c.rng)
	}
	c.out = append(c.out, Decision{CallID: a.ID, Answer: a})
}

// slots returns how many calls may run now: the adaptive limit, and never
// more than the target's slots.
func (c *Core) slots() int {
	if c.config == nil {
		return 0
	}
	return min(c.limit.whole(), c.config.Slots)
}

func (c *Core) rank(call *model.Call) int {
	return min(c.snapshot.SheddingRank(call.Class), len(c.queue.classes)-1)
}

// weight returns a customer's part relative to others. Calls without a
// customer share one part of weight 1.
func (c *Core) weight(customer model.Customer) float64 {
	config := c.snapshot.Customers[customer]
	if config == nil || config.Weight <= 0 {
		return 1
	}
	return config.Weight
}
