// Package gate controls admission at the node beside a target: it decides
// whether and when a call runs there. All calls to a target pass through its
// node, so that the node can enforce the target's limit of concurrent calls and
// its rate while cold, and send it no calls once it leaves.
//
// It serves the nodes of package agent/mesh, where a limit of concurrent calls
// follows from the slots that the target announces: the number of requests that
// it can run at once. Package admission has the same task in the nodes of package
// agent.
package gate

import (
	"math"
	"time"

	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/core/timers"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/poison"
)

const (
	// slotFraction is the fraction of the target's slots that calls may use at once.
	// Probes and new connections hold a slot for a moment, and targets slow down
	// when nearly full.
	slotFraction = 0.95
	// defaultLimit is the limit of a target that has passed a probe and has not
	// announced its number of slots yet.
	defaultLimit = 8
	// expiryMargin is how long before its deadline a waiting call is refused,
	// so that the refusal reaches the caller's node in time.
	expiryMargin = 15 * time.Millisecond
	// expiryScanInterval is the time between two searches of the queue for
	// expired calls. A waiting call is refused at most this long after it has come
	// within expiryMargin of its deadline.
	expiryScanInterval = 20 * time.Millisecond
	// maxWaitFraction is the fraction of the time left until its SLO deadline for
	// which an external call, one that no target made, may wait. After a longer
	// wait it would be answered late, so the caller is told at once to retry
	// later.
	maxWaitFraction = 0.5
	// runTimeWeight is the weight of a new sample in the mean run time.
	runTimeWeight = 0.05
	// initialRunTime is the assumed run time before any call was answered.
	initialRunTime = 50 * time.Millisecond
	// runTimeMaxAge is the age from which the mean run time is no longer
	// reported: a target that was slow gets no calls, and would look slow for
	// ever.
	runTimeMaxAge = 3 * time.Second
	// coldBurstSeconds is the burst that a cold target gets at once, in seconds
	// of its cold rate.
	coldBurstSeconds = 0.25
	// coldRateFactor is the multiple of its configured rate that a cold target
	// gets. Operators accept 1.5 times the rate and a few calls more in any
	// second. With the burst, one second allows up to 1.6 times the rate.
	coldRateFactor = 1.35
	// defaultColdRate is the rate of a cold target, in requests a second, until
	// its service is configured.
	defaultColdRate = 10
)

// Decision is the node's next step for a call. Exactly one of Run, Cancel and
// Answer is set.
type Decision struct {
	ID     model.CallID
	Run    *model.Call
	Target model.Instance // incarnation that may run the call
	Cancel bool
	Answer *model.Answer
}

// Core holds the state of one target and the calls at its node. All methods run
// on one thread.
type Core struct {
	service model.Service
	zone    model.Zone

	callMachine      *chart.Machine[*trackedCall]
	targetMachine    *chart.Machine[*target]
	byID             map[model.CallID]*trackedCall
	queue            queue
	nextExpiryScan   time.Time
	running          int
	windows          map[int]*window // by priority
	meanRunTime      time.Duration
	runTimeSampledAt time.Time // time of the last sample of meanRunTime
	target           target
	crashes          poison.Recorder
	failures         failureRate

	decisions []Decision
	reportDue bool
}

// New returns a core for the target of a service.
func New(service model.Service, zone model.Zone) *Core {
	c := &Core{
		service:       service,
		zone:          zone,
		byID:          make(map[model.CallID]*trackedCall),
		windows:       make(map[int]*window),
		meanRunTime:   initialRunTime,
		callMachine:   newCallMachine(),
		targetMachine: newTargetMachine(),
	}
	c.target = target{core: c, state: c.targetMachine.Initial(), coldRate: defaultColdRate, probes: timers.New[probe]()}
	return c
}

// Decisions returns the decisions made since the last call. The slice is valid
// until the next call of a method.
func (c *Core) Decisions() []Decision {
	decisions := c.decisions
	c.decisions = c.decisions[:0]
	return decisions
}

// TakeReportDue reports whether the state of the target has changed since the last
// call, so that a report to the peers is due at once.
func (c *Core) TakeReportDue() bool {
	due := c.reportDue
	c.reportDue = false
	return due
}

// OnCall handles a call that another node, or this one, sends to the target.
func (c *Core) OnCall(now time.Time, call *model.Call) {
	if c.byID[call.ID] != nil {
		// A sender repeats an id only through a fault; the first call stays.
		return
	}
	tc := &trackedCall{core: c, now: now, state: c.callMachine.Initial(), call: call, arrived: now}
	c.byID[call.ID] = tc
	tc.step(now, eventAdmissionRequested)
	c.admitWaiting(now)
}

// OnCanceled handles the cancellation of a call whose caller has gone.
func (c *Core) OnCanceled(now time.Time, id model.CallID) {
	if tc := c.byID[id]; tc != nil {
		tc.step(now, eventCanceled)
	}
}

// OnFinished handles the end of a call that ran: it frees the call's slot and
// updates what is known of the target. status is the HTTP status of the target's
// answer, 0 without one.
func (c *Core) OnFinished(now time.Time, id model.CallID, outcome model.RunOutcome, status int) {
	tc := c.byID[id]
	if tc == nil {
		return
	}
	tc.step(now, eventFinished)
	if !tc.call.Nested {
		c.adjustWindows(tc.call.Priority, classifyRun(now, tc, outcome, status))
	}
	if outcome == model.OutcomeAnswered {
		sample := now.Sub(tc.started)
		if c.runTimeSampledAt.IsZero() {
			c.meanRunTime = sample
		}
		c.runTimeSampledAt = now
		c.meanRunTime += time.Duration(runTimeWeight * float64(sample-c.meanRunTime))
	}
	c.recordRunResult(now, tc, outcome, status)
	switch outcome {
	case model.OutcomeAnswered:
		c.crashes.OnCompleted(tc.call)
	case model.OutcomeConnectionBroken:
		c.crashes.OnConnectionBroken(now, tc.call)
	}
	c.target.onRunEnded(now, outcome)
	c.admitWaiting(now)
}

// Tick runs the timers that are due and returns the time of the next one, zero
// for none.
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

func (c *Core) expireWaiting(now time.Time) {
	for _, tc := range c.queue.all() {
		if !now.Before(tc.call.Deadline.Add(-expiryMargin)) {
			tc.step(now, eventExpired)
		}
	}
}

// admitWaiting gives free slots to waiting calls.
func (c *Core) admitWaiting(now time.Time) {
	for c.queue.length > 0 && c.hasCapacity(now) {
		tc := c.queue.next(c.mayRunExternal)
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

// refuseWaiting refuses every waiting call, so that it can be sent to another
// target.
func (c *Core) refuseWaiting(now time.Time) {
	for _, tc := range c.queue.all() {
		tc.step(now, eventTargetUnavailable)
	}
}

// hasCapacity reports whether the target may get another call now: a slot is free
// and, if the target is cold, its rate allows the call.
func (c *Core) hasCapacity(now time.Time) bool {
	return c.running < c.limit() && c.target.coldRateAllows(now)
}

// limit returns how many calls may run at the target at once.
func (c *Core) limit() int {
	if c.target.slots <= 0 {
		return defaultLimit
	}
	return max(int(math.Floor(slotFraction*float64(c.target.slots))), 1)
}

// expectedWait estimates how long a call waits for a slot.
func (c *Core) expectedWait(now time.Time, tc *trackedCall) time.Duration {
	ahead := float64(c.queue.countAhead(tc.call.Priority) + 1)
	slots := float64(c.limit())
	if !tc.call.Nested {
		slots = min(slots, max(c.windowFor(tc.call.Priority).size, minWindow))
	}
	wait := ahead * float64(c.meanRunTime) / slots
	if c.target.cold(now) {
		wait = max(wait, ahead/c.target.coldRate*float64(time.Second))
	}
	return time.Duration(wait)
}

// Load returns the load that is sent with the answers to calls.
func (c *Core) Load() model.Load {
	return model.Load{InFlight: c.running, Queued: c.queue.length, Limit: c.limit()}
}

// FillReport fills in the target's part of the report to the peers. The crash reports
// are moved into r, so that the next call does not return them again.
func (c *Core) FillReport(now time.Time, r *model.NodeReport) {
	r.Target = c.target.id
	r.Service = c.service
	r.Zone = c.zone
	r.State = c.target.reportedState()
	r.Cold = c.target.cold(now)
	r.ColdRate = c.target.coldRate
	r.Limit = c.limit()
	r.Running = c.running
	r.Queued = c.queue.length
	r.Crashes = c.crashes.TakeReports()
	r.FailureRate = c.failures.fraction(now, c.countStuck(now))
	if now.Sub(c.runTimeSampledAt) < runTimeMaxAge {
		r.MeanRunTime = c.meanRunTime
	}
}

// Idle reports whether no call waits or runs.
func (c *Core) Idle() bool { return len(c.byID) == 0 }

// State returns the name of the target's state in its chart.
func (c *Core) State() string { return c.targetMachine.StateName(c.target.state) }
