// Package admission decides, at the target's node, whether and when a call
// runs at the target. All calls to a target pass through its node.
package admission

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/core/invariant"
	"github.com/oleanderworks/oleanderworks/core/timers"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/record"
)

// queueScanInterval bounds how long a call stays queued after its deadline. A
// scan visits each queued call, so it does not run for each message.
const queueScanInterval = 20 * time.Millisecond

// Decision is what the target's node does next for a call. Exactly one of
// Run, Cancel and Answer is set.
type Decision struct {
	CallID          model.CallID
	Run             bool      // hand the call to the target before HandoffDeadline
	HandoffDeadline time.Time // the call must not be handed over later
	// StallTimeout is the time without a byte after which the connection to
	// the target is closed, if later calls are answered meanwhile.
	StallTimeout time.Duration
	Cancel       bool          // cancel the call at the target
	Answer       *model.Answer // refusal
}

// Core holds the calls of one target. It is not safe for concurrent use.
type Core struct {
	self         model.Member
	rng          *rand.Rand
	check        *invariant.Checker
	quarantine   Quarantine
	handoffs     *record.HandoffHistory
	incarnations []model.NodeID // incarnations of this process; only claims that name one of them are valid
	announced    bool           // a snapshot has contained an incarnation of this process

	snapshot *model.Snapshot
	config   *model.ServiceConfig // of the target's service; nil when unknown

	machine        *chart.Machine[*execution]
	executions     map[model.CallID]*execution
	freeExecutions []*execution // ended executions, reused to save allocations
	queue          queue
	running        int

	contact       contact
	target        target
	limit         limit
	serviceTimes  serviceTimes
	demand        demand
	nextQueueScan time.Time

	decisions []Decision
	signals   []Signal
}

// New returns a core without a configuration. It refuses calls until
// OnSnapshot.
func New(self model.Member, o Options) *Core {
	c := &Core{
		self:         self,
		rng:          o.Rand,
		check:        o.Check,
		quarantine:   o.Quarantine,
		handoffs:     record.NewHandoffHistory(record.MaxHandoffs),
		incarnations: []model.NodeID{self.NodeID},
		executions:   make(map[model.CallID]*execution),
	}
	c.machine = newExecutionMachine()
	c.target = newTarget(c)
	c.limit.core = c
	c.queue.setClasses(nil)
	return c
}

// Decisions returns the decisions made since the last call. The slice is
// valid until the next method call.
func (c *Core) Decisions() []Decision {
	out := c.decisions
	c.decisions = c.decisions[:0]
	return out
}

// Signals returns the requests for connection attempts, the end of a drain and
// the changes of the target's state since the last call. The slice is valid
// until the next method call.
func (c *Core) Signals() []Signal {
	signals := c.signals
	c.signals = c.signals[:0]
	return signals
}

// OnSnapshot applies a new configuration and checks the queued calls against
// it. A cold target begins a new ramp, since the cold floor and the slots may
// have changed.
func (c *Core) OnSnapshot(now time.Time, s *model.Snapshot) {
	c.snapshot = s
	c.recordIncarnations(s)
	c.config = s.Services[c.self.Service]
	if c.queue.classesDiffer(s.Fleet.Classes) {
		c.reorderQueue(s.Fleet.Classes)
	}
	if c.target.state == stateCold {
		c.target.now = now
		c.target.resetLimitAndRamp()
	}
	c.target.setOutOfService(now, c.outOfService())
	c.recheckQueued(now)
	c.startQueued(now)
}

// OnNewIncarnation sets the incarnation under which the node joins the fleet
// again. Claims that name an earlier incarnation of this process stay valid.
func (c *Core) OnNewIncarnation(self model.Member) { c.self = self }

// OnContact sets the time until which the node has contact; see contact.
func (c *Core) OnContact(until time.Time) { c.contact = contact{known: true, until: until} }

// OnArrival handles a call that an entry node sent.
func (c *Core) OnArrival(now time.Time, call *model.Call) {
	c.demand.onArrival(now)
	refusal := c.checkArrival(now, call)
	if refusal == nil && c.executions[call.ID] != nil {
		refusal = model.NewRefusal(call.ID, model.ReasonInProgress, "the call is at the target's node already")
	}
	if refusal == nil {
		refusal = c.checkClaim(now, call)
	}
	if refusal != nil {
		c.refuse(now, refusal)
		return
	}
	if c.running < c.currentLimit() && c.queue.length > 0 {
		c.startQueued(now)
	}
	e := c.newExecution(now, call)
	c.executions[call.ID] = e
	e.step(now, executionEventAdmit)
}

// OnFinished frees the slot of a call that was to be handed to the target. The
// handoff may have failed.
func (c *Core) OnFinished(now time.Time, o Outcome) {
	e := c.executions[o.CallID]
	if e == nil || !e.runDecided {
		c.check.Assert(false, "admission_finish_matches_run", "call %d finished without having run", o.CallID)
		return
	}
	running := c.running
	if o.Result == ResultConnectionRefused && e.call.Claim != nil {
		c.handoffs.MarkRefused(e.call.Claim) // the target accepted no connection, so the call did not run
	}
	e.step(now, executionEventFinished)
	c.observe(now, e, o, running)
	c.target.checkDrained(now)
	c.startQueued(now)
	c.recycle(e)
}

// OnCanceled refuses a queued call, or cancels a running one, whose caller no
// longer waits: it has disconnected or the deadline has passed.
func (c *Core) OnCanceled(now time.Time, id model.CallID) {
	e := c.executions[id]
	if e == nil {
		return
	}
	e.step(now, executionEventCanceled)
	c.target.checkDrained(now)
}

// Tick runs due timers. It returns the time of the next one, or the zero time if
// there is none.
func (c *Core) Tick(now time.Time) time.Time {
	c.target.tick(now)
	if !now.Before(c.nextQueueScan) {
		c.scanQueue(now)
		c.checkInvariants()
		c.nextQueueScan = now.Add(queueScanInterval)
	}
	c.startQueued(now)
	var next time.Time
	if c.queue.length > 0 {
		next = c.nextQueueScan
	}
	return timers.Earlier(next, c.target.timerDue)
}

// Load returns the load report for entry nodes.
func (c *Core) Load() model.Load {
	return model.Load{
		InFlight: c.running,
		Queued:   c.queue.length,
		Limit:    c.currentLimit(),
		Sojourn:  c.queue.sojourn(),
		Draining: c.target.acceptsNoNewCalls(),
	}
}

// State returns the name of the target's state in the target chart.
func (c *Core) State() string { return c.target.machine.StateName(c.target.state) }

// MaxConnections returns the number of connections that the target accepts, or
// 0 when there is no configuration yet.
func (c *Core) MaxConnections() int {
	if c.config == nil {
		return 0
	}
	return c.config.Connections
}

// startQueued starts queued calls on free slots. It checks the policy again,
// since the token or deadline of a queued call may have expired, contact may have
// been lost, or its request may have been quarantined. After a change of the
// configuration, recheckQueued has checked the queued calls before.
func (c *Core) startQueued(now time.Time) {
	for c.running < c.currentLimit() && c.queue.length > 0 {
		e := c.queue.next(now, c.reservedSlots())
		switch refusal := c.checkPolicy(now, e.call); {
		case refusal != nil:
			e.refusal = refusal
			e.step(now, executionEventRefused)
		case !c.serviceTimes.mayStart(now, e):
			e.step(now, executionEventDeadlineUnreachable)
		default:
			c.queue.chargeDeficit(now, e)
			e.step(now, executionEventSlotFree)
		}
	}
	c.target.checkDrained(now)
}

// scanQueue refuses queued calls whose deadline has passed or that have waited
// too long in a standing queue.
func (c *Core) scanQueue(now time.Time) {
	for _, e := range c.queue.all() {
		switch {
		case !now.Before(e.call.Deadline):
			e.step(now, executionEventDeadlineUnreachable)
		case c.waitedTooLong(now, e):
			e.step(now, executionEventShed)
		}
	}
	c.target.checkDrained(now)
}

// waitedTooLong reports whether a call in a standing queue is to be shed. That
// is so if more calls are queued than may run, and the call has waited for
// longer than minStandingQueueWait and than the target needs to process a full
// queue: in newest-first order, newer calls start before it. A sub-call is also
// shed if its class is starved, since it holds its parent's slot at another
// target. waitedTooLong also records the sojourn time of the customer's queue,
// once for each of its queued calls.
func (c *Core) waitedTooLong(now time.Time, e *execution) bool {
	customer := e.list.customer
	if !customer.order.observe(now, now.Sub(customer.nextInFIFO().arrived)) {
		return false
	}
	if c.queue.classes[e.classRank].starved(now) && e.call.Depth > 0 {
		return true
	}
	if c.queue.length <= c.currentLimit() {
		return false
	}
	mean := c.serviceTimes.class(e.classRank).meanElapsed
	return now.Sub(e.arrived) > max(minStandingQueueWait, mean*time.Duration(c.queueLimit())/time.Duration(max(c.currentLimit(), 1)))
}

// recheckQueued refuses queued calls that the policy no longer allows.
func (c *Core) recheckQueued(now time.Time) {
	for _, e := range c.queue.all() {
		if e.refusal = c.checkPolicy(now, e.call); e.refusal != nil {
			e.step(now, executionEventRefused)
		}
	}
}

// refuseQueued refuses all queued calls, so that entry nodes can send them to
// other targets at once.
func (c *Core) refuseQueued(now time.Time, reason model.Reason, detail string) {
	for _, e := range c.queue.all() {
		e.refusal = model.NewRefusal(e.call.ID, reason, detail)
		e.step(now, executionEventRefused)
	}
}

// reorderQueue requeues the queued calls by a new shedding order of the classes.
func (c *Core) reorderQueue(classes []model.Class) {
	queued := c.queue.all()
	for _, e := range queued {
		c.queue.remove(e)
	}
	c.queue.setClasses(slices.Clone(classes))
	for _, e := range queued {
		e.classRank = c.classRank(e.call)
		c.queue.add(e, c.weight(e.call.Customer))
	}
}

func (c *Core) refuse(now time.Time, a *model.Answer) {
	if a.Reason == model.ReasonShed {
		a.RetryAfter = c.demand.retryAfter(now, c.rng)
	}
	c.decisions = append(c.decisions, Decision{CallID: a.ID, Answer: a})
}

// currentLimit returns how many calls may run now: the adaptive limit, capped
// at the configured slots.
func (c *Core) currentLimit() int {
	if c.config == nil {
		return 0
	}
	return min(c.limit.roundedDown(), c.config.Slots)
}

func (c *Core) classRank(call *model.Call) int {
	return min(c.snapshot.SheddingRank(call.Class), len(c.queue.classes)-1)
}

// weight returns a customer's weight in the deficit round robin, 1 if none is
// configured. All calls without a customer count as those of one customer.
func (c *Core) weight(customer model.Customer) float64 {
	config := c.snapshot.Customers[customer]
	if config == nil || config.Weight <= 0 {
		return 1
	}
	return config.Weight
}
