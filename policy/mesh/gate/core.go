// Package gate implements admission control for one target: it decides whether and
// when a call runs there. All calls to a target pass through its node, a sidecar, so
// that the node can enforce the target's concurrency limit, limit the call rate while
// the target is cold, that is, warming up after a start, and stop sending calls when
// the target leaves.
//
// It is used by the nodes of package agent/mesh, where the concurrency limit is
// derived from the slots that the target announces: the number of requests that it
// can run concurrently. Package admission does the same for the nodes of package
// agent.
package gate

import (
	"math"
	"time"

	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/core/timers"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/mesh/poison"
)

const (
	// slotFraction is the fraction of the target's slots that calls may use
	// concurrently. The rest is left because probes and new connections briefly occupy
	// a slot, and because targets slow down when almost all slots are in use.
	slotFraction = 0.95
	// defaultLimit is the concurrency limit of a target that has passed a probe but
	// has not announced its number of slots yet.
	defaultLimit = 8
	// expiryMargin is how long before its deadline a waiting call expires. It is
	// refused at the next scan, usually early enough for the refusal to reach the
	// caller's node in time.
	expiryMargin = 15 * time.Millisecond
	// expiryScanInterval is the time between two scans of the queue for expired calls.
	// A waiting call is refused at most this long after it has come within
	// expiryMargin of its deadline.
	expiryScanInterval = 20 * time.Millisecond
	// maxWaitFraction limits the expected wait of an external call, that is, a call
	// that was not made by a target, to this fraction of the time until its SLO
	// deadline. After a longer wait it would probably be answered late, so it is refused
	// immediately and its caller is asked to retry later. Long calls wait longer.
	maxWaitFraction = 0.5
	// coldBurstSeconds is the burst size of a cold target's token bucket, in seconds
	// of its cold rate. The burst is at least one call.
	coldBurstSeconds = 0.25
	// coldRateFactor is the multiple of its configured rate at which a cold target
	// gets calls. The operators' requirement is at most 1.5 times the rate plus a few
	// calls in any second. With the burst, one second allows up to 1.6 times the rate,
	// or 1.35 times the rate and one call if the rate is below 4 requests per second.
	coldRateFactor = 1.35
	// defaultColdRate is the rate of a cold target, in requests per second, until its
	// service is configured.
	defaultColdRate = 10
)

// Decision tells the node what to do with a call. Exactly one of Run, Cancel and
// Answer is set.
type Decision struct {
	ID     model.CallID
	Run    *model.Call    // send it to the target
	Target model.Instance // id of the target that may run the call
	Waited time.Duration  // with Run: for a slot
	Cancel bool           // cancel the running call
	Answer *model.Answer  // refusal for the caller's node
}

// Core holds the state of one target and the calls at its node. It is not safe for
// concurrent use: the duty that owns it calls all methods from its thread.
type Core struct {
	service model.Service
	zone    model.Zone

	callMachine    *chart.Machine[*trackedCall]
	targetMachine  *chart.Machine[*target]
	byID           map[model.CallID]*trackedCall
	queue          queue
	epoch          time.Time // arrival of the first call, from which urgency counts
	nextExpiryScan time.Time
	running        int
	nested         nestedLoad
	windows        map[int]*window // by priority
	runTimes       runTimes
	target         target
	crashes        poison.Recorder
	failures       failureRate
	pressure       pressure

	decisions []Decision
	reportDue bool
}

// New returns a core for a target of the service in the availability zone.
func New(service model.Service, zone model.Zone) *Core {
	c := &Core{
		service:       service,
		zone:          zone,
		byID:          make(map[model.CallID]*trackedCall),
		windows:       make(map[int]*window),
		nested:        nestedLoad{byPriority: make(map[int]*nestedPeak)},
		runTimes:      newRunTimes(),
		callMachine:   newCallMachine(),
		targetMachine: newTargetMachine(),
	}
	c.target = target{core: c, state: c.targetMachine.Initial(), coldRate: defaultColdRate, probes: timers.New[probe]()}
	return c
}

// Decisions returns and clears the decisions made since the last call. The slice is
// valid until the next method call.
func (c *Core) Decisions() []Decision {
	decisions := c.decisions
	c.decisions = c.decisions[:0]
	return decisions
}

// TakeReportDue reports whether the state of the target has changed since the last
// call, so that a report to the peers is due immediately.
func (c *Core) TakeReportDue() bool {
	due := c.reportDue
	c.reportDue = false
	return due
}

// OnCall handles a call that another node, or this one, sends to the target.
func (c *Core) OnCall(now time.Time, call *model.Call) {
	if c.byID[call.ID] != nil {
		// A duplicate id is a bug of the sender; the first call is kept.
		return
	}
	tc := &trackedCall{core: c, now: now, state: c.callMachine.Initial(), call: call, arrived: now}
	c.byID[call.ID] = tc
	tc.urgency = c.urgencyOf(tc)
	if call.Nested {
		c.pressure.onArrival(now)
	}
	tc.step(now, eventAdmissionRequested)
	c.admitWaiting(now)
}

// OnCanceled handles the cancellation of a call whose answer nobody waits for: the caller
// has disconnected, the deadline has passed at the caller's node, or the link to that
// node has closed.
func (c *Core) OnCanceled(now time.Time, id model.CallID) {
	if tc := c.byID[id]; tc != nil {
		tc.step(now, eventCanceled)
	}
}

// OnFinished handles the end of a call that ran: it frees the call's slot and updates
// the target's concurrency windows, run time, failure rate, crash reports and state.
// status is the HTTP status of the target's answer, or 0 if there was none.
func (c *Core) OnFinished(now time.Time, id model.CallID, outcome model.RunOutcome, status int) {
	tc := c.byID[id]
	if tc == nil {
		return
	}
	tc.step(now, eventFinished)
	if !tc.call.Nested {
		c.adjustWindows(now, tc, classifyRun(now, tc, outcome, status))
	} else {
		c.nested.onEnded(now, tc.call.Priority)
	}
	if outcome == model.OutcomeAnswered {
		c.runTimes.add(now, tc, now.Sub(tc.started))
	}
	c.recordRunResult(now, tc, outcome, status)
	if outcome == model.OutcomeTargetFull && tc.call.Nested {
		c.pressure.onTurnedAway(now)
	}
	switch outcome {
	case model.OutcomeAnswered:
		c.crashes.OnCompleted(tc.call)
	case model.OutcomeConnectionBroken:
		if c.crashes.OnConnectionBroken(now, tc.started, tc.call) {
			c.reportDue = true
		}
	}
	c.target.onRunEnded(now, outcome)
	c.admitWaiting(now)
}

// Tick runs the timers that are due and returns the time of the next one, or zero if
// there is none.
func (c *Core) Tick(now time.Time) time.Time {
	c.target.tick(now)
	c.admitWaiting(now)
	if c.queue.length == 0 {
		return c.target.probes.NextDue()
	}
	if !now.Before(c.nextExpiryScan) {
		c.expireWaiting(now)
		c.nextExpiryScan = now.Add(expiryScanInterval)
	}
	return timers.Earlier(c.nextExpiryScan, c.target.probes.NextDue())
}

// expireWaiting refuses the waiting calls that are within expiryMargin of their
// deadline.
func (c *Core) expireWaiting(now time.Time) {
	for _, tc := range c.queue.all() {
		if !now.Before(tc.call.Deadline.Add(-expiryMargin)) {
			tc.step(now, eventExpired)
		}
	}
}

// admitWaiting runs waiting calls while the target has capacity.
func (c *Core) admitWaiting(now time.Time) {
	for c.queue.length > 0 && c.hasCapacity(now) {
		tc := c.nextWaiting(now)
		if tc == nil {
			return
		}
		if !now.Before(tc.call.Deadline.Add(-expiryMargin)) {
			tc.step(now, eventExpired)
			continue
		}
		tc.step(now, eventSlotFree)
	}
}

// nextWaiting returns the waiting call to run next, or nil if none may run. An external call
// that has waited for a large part of its time goes first if hardly any external calls run,
// so that nested calls do not exclude them.
func (c *Core) nextWaiting(now time.Time) *trackedCall {
	mayRun := func(priority int) bool { return c.mayRunExternal(now, priority) }
	if float64(c.running-c.nested.running) < c.minExternalSlots() {
		overdue := func(tc *trackedCall) bool {
			return now.Sub(tc.arrived) >= time.Duration(maxWaitFraction*float64(tc.objective()))
		}
		if tc := c.queue.nextExternal(mayRun, overdue); tc != nil {
			return tc
		}
	}
	return c.queue.next(mayRun)
}

// refuseWaiting refuses every waiting call, so that its entry node can send it to
// another target.
func (c *Core) refuseWaiting(now time.Time) {
	for _, tc := range c.queue.all() {
		tc.step(now, eventTargetUnavailable)
	}
}

// hasCapacity reports whether the target can take another call now: it is below its
// concurrency limit and, while cold, within its rate.
func (c *Core) hasCapacity(now time.Time) bool {
	return c.running < c.limit() && c.target.coldRateAllows(now)
}

// limit returns the target's concurrency limit.
func (c *Core) limit() int {
	if c.target.slots <= 0 {
		return defaultLimit
	}
	return max(int(math.Floor(slotFraction*float64(c.target.slots))), 1)
}

// Load returns the target's load, which is sent with the answers to calls.
func (c *Core) Load() model.Load {
	return model.Load{InFlight: c.running, Queued: c.queue.length, Limit: c.limit()}
}

// FillReport sets the target's fields of the report to the peers. Crash reports are
// moved into r and are not reported again.
func (c *Core) FillReport(now time.Time, r *model.NodeReport) {
	r.Target, r.Version = c.target.id, c.target.version
	r.Service = c.service
	r.Zone = c.zone
	r.State = c.target.reportedState()
	r.Cold = c.target.cold(now)
	r.ColdRate = c.target.coldRate
	r.Limit = c.limit()
	r.Running, r.Nested = c.running, c.nested.running
	r.Queued = c.queue.length
	r.Crashes = c.crashes.TakeReports()
	r.FailureRate = c.failures.fraction(now, c.countStuck(now))
	r.ShedFraction, r.QueueDelay = c.pressure.shedFraction(now), c.pressure.queueDelay(now)
	if c.runTimes.all.recent(now) {
		r.MeanRunTime = c.runTimes.all.mean
	}
}

// Idle reports whether no call waits or runs.
func (c *Core) Idle() bool { return len(c.byID) == 0 }

// State returns the name of the target's state in its chart.
func (c *Core) State() string { return c.targetMachine.StateName(c.target.state) }
