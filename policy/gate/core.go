// Package gate decides, at the node beside a target, whether and when a call
// runs there. The node is the only way to its target, so that slots, the rate
// of a cold target and the end of its service are kept exactly in one place.
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
	// slotPart is the part of the slots that calls use at once. Probes and new
	// connections hold a slot for a moment, and targets slow down when nearly
	// full.
	slotPart = 0.95
	// unknownSlots is the limit of a target that was probed and has not
	// announced its slots yet.
	unknownSlots = 8
	// expiryMargin is how long before its deadline a waiting call is refused,
	// so that the refusal reaches the caller's node in time.
	expiryMargin = 15 * time.Millisecond
	// scanInterval bounds how long a waiting call outlives its deadline.
	scanInterval = 20 * time.Millisecond
	// lateShare is the part of the time until its objective for which a fresh
	// call may wait. One that waits longer would be answered late, and holds a
	// caller that could be told now to come back.
	lateShare = 0.5
	// runTimeWeight is the weight of a new sample in the mean run time.
	runTimeWeight = 0.05
	// firstRunTime is the assumed run time before any call has ended.
	firstRunTime = 50 * time.Millisecond
	// runTimeAge is the age at which the mean run time is not reported any
	// more: a target that was slow and gets nothing would stay slow for ever.
	runTimeAge = 3 * time.Second
	// coldDepth is the part of a second's calls that a cold target gets at once.
	coldDepth = 0.25
	// coldPart is the part of the stated rate that a cold target gets. Operators
	// accept 1.5 times the rate and some calls more in any second.
	coldPart = 1.35
	// defaultColdRate is the rate of a cold target whose service is not
	// configured yet, in requests a second.
	defaultColdRate = 10
)

// Decision is what the node does next for a call. Exactly one of Run, Cancel
// and Answer is set.
type Decision struct {
	ID     model.CallID
	Run    *model.Call
	Target model.Instance // incarnation that may run the call
	Cancel bool
	Answer *model.Answer
}

// Core holds the calls of one target. All methods run on one thread.
type Core struct {
	service model.Service
	zone    model.Zone

	calls   *chart.Machine[*call]
	targets *chart.Machine[*target]
	byID    map[model.CallID]*call
	queue   queue
	scanAt  time.Time
	running int
	windows map[int]*window // by priority
	runTime time.Duration
	ranAt   time.Time // when runTime was last measured
	target  target
	crashes poison.Recorder
	failing failures

	out     []Decision
	changed bool
}

// New returns a core for the target of a service.
func New(service model.Service, zone model.Zone) *Core {
	c := &Core{
		service: service,
		zone:    zone,
		byID:    make(map[model.CallID]*call),
		windows: make(map[int]*window),
		runTime: firstRunTime,
		calls:   newCallMachine(),
		targets: newTargetMachine(),
	}
	c.target = target{core: c, state: c.targets.Initial(), coldRate: defaultColdRate, probes: timers.New[probe]()}
	return c
}

// Decisions returns the decisions made since the last call. The slice is valid
// until the next call of a method.
func (c *Core) Decisions() []Decision {
	out := c.out
	c.out = c.out[:0]
	return out
}

// ReportDue reports whether the state of the target has changed since the last
// call, so that a report to the peers is due at once.
func (c *Core) ReportDue() bool {
	changed := c.changed
	c.changed = false
	return changed
}

// OnCall takes a call that another node, or this one, sends to the target.
func (c *Core) OnCall(now time.Time, m *model.Call) {
	if c.byID[m.ID] != nil {
		// Only a fault of the sender repeats an id; the first one runs.
		return
	}
	l := &call{core: c, now: now, state: c.calls.Initial(), call: m, arrived: now}
	c.byID[m.ID] = l
	l.step(now, eventAdmit)
	c.admitWaiting(now)
}

// OnCanceled ends a call whose caller has gone.
func (c *Core) OnCanceled(now time.Time, id model.CallID) {
	if l := c.byID[id]; l != nil {
		l.step(now, eventCanceled)
	}
}

// OnFinished frees the slot of a call that ran.
// status is that of the target's answer, 0 without one.
func (c *Core) OnFinished(now time.Time, id model.CallID, e model.RunOutcome, status int) {
	l := c.byID[id]
	if l == nil {
		return
	}
	l.step(now, eventFinished)
	if !l.call.Nested {
		c.endFresh(l.call.Priority, judge(now, l, e, status))
	}
	if e == model.OutcomeAnswered {
		sample := now.Sub(l.started)
		if c.ranAt.IsZero() {
			c.runTime = sample
		}
		c.ranAt = now
		c.runTime += time.Duration(runTimeWeight * float64(sample-c.runTime))
	}
	c.countEnd(now, l, e, status)
	switch e {
	case model.OutcomeAnswered:
		c.crashes.OnCompleted(l.call)
	case model.OutcomeConnectionBroken:
		c.crashes.OnConnectionBroken(now, l.call)
	}
	c.target.onEnd(now, e)
	c.admitWaiting(now)
}

// Tick runs timers and returns the time of the next one; zero for none.
func (c *Core) Tick(now time.Time) time.Time {
	c.target.tick(now)
	c.admitWaiting(now)
	if c.queue.length == 0 {
		return c.target.probes.Next()
	}
	if !now.Before(c.scanAt) {
		c.expire(now)
		c.scanAt = now.Add(scanInterval)
	}
	return timers.Earlier(c.scanAt, c.target.probes.Next())
}

func (c *Core) expire(now time.Time) {
	for _, l := range c.queue.all() {
		if !now.Before(l.call.Deadline.Add(-expiryMargin)) {
			l.step(now, eventExpired)
		}
	}
}

// admitWaiting hands free slots to waiting calls.
func (c *Core) admitWaiting(now time.Time) {
	for c.queue.length > 0 && c.slotFree(now) {
		l := c.queue.next(c.mayRunFresh)
		if l == nil {
			return
		}
		if !now.Before(l.call.Deadline.Add(-expiryMargin)) {
			l.step(now, eventExpired)
			continue
		}
		l.step(now, eventSlotFree)
	}
}

// shutWaiting refuses every waiting call, so that it can go elsewhere.
func (c *Core) shutWaiting(now time.Time) {
	for _, l := range c.queue.all() {
		l.step(now, eventShut)
	}
}

func (c *Core) slotFree(now time.Time) bool {
	return c.running < c.limit() && c.target.coldAllows(now)
}

func (c *Core) limit() int {
	if c.target.slots <= 0 {
		return unknownSlots
	}
	return max(int(math.Floor(slotPart*float64(c.target.slots))), 1)
}

// waitAhead estimates how long a call waits for a slot.
func (c *Core) waitAhead(now time.Time, l *call) time.Duration {
	ahead := float64(c.queue.ahead(l.call.Priority) + 1)
	slots := float64(c.limit())
	if !l.call.Nested {
		slots = min(slots, max(c.window(l.call.Priority).size, minWindow))
	}
	wait := ahead * float64(c.runTime) / slots
	if c.target.cold(now) {
		wait = max(wait, ahead/c.target.coldRate*float64(time.Second))
	}
	return time.Duration(wait)
}

// Load returns the load for the answers to calls.
func (c *Core) Load() model.Load {
	return model.Load{InFlight: c.running, Queued: c.queue.length, Limit: c.limit()}
}

// Report fills in what peers have to know of the target.
func (c *Core) Report(now time.Time, r *model.NodeReport) {
	r.Target = c.target.id
	r.Service = c.service
	r.Zone = c.zone
	r.State = c.target.public()
	r.Cold = c.target.cold(now)
	r.ColdRate = c.target.coldRate
	r.Limit = c.limit()
	r.Running = c.running
	r.Queued = c.queue.length
	r.Crashes = c.crashes.TakeReports()
	r.FailureRate = c.failing.share(now, c.stuck(now))
	if now.Sub(c.ranAt) < runTimeAge {
		r.MeanRunTime = c.runTime
	}
}

// Idle reports whether no call waits or runs.
func (c *Core) Idle() bool { return len(c.byID) == 0 }

// State returns the name of the target's state in its chart.
func (c *Core) State() string { return c.targets.StateName(c.target.state) }
