package gate

import (
	"time"

	"github.com/oleanderworks/oleanderworks/charts"
	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/core/timers"
	"github.com/oleanderworks/oleanderworks/model"
)

// States of the state chart gate_target, in the chart's order.
const (
	stateUnknown chart.StateID = iota
	stateServing
	stateLeaving
	stateLost
	stateOut
	stateStopping
)

// Events of the state chart gate_target, in the chart's order.
const (
	eventAnnounced chart.EventID = iota
	eventAnnouncedLeaving
	eventNewIncarnation
	eventDeregistered
	eventProbePassed
	eventProbeFailed
	eventTargetUnreachable
	eventZoneOut
	eventZoneRestored
	eventStop
)

const (
	// probeRetryInterval is the time between two probes of a target that does not
	// answer.
	probeRetryInterval = 250 * time.Millisecond
	// minProbeInterval is the minimum time between two probes of a serving target,
	// since a probe occupies a slot.
	minProbeInterval = time.Second
	// sequenceWindow is how far an announcement's sequence may be behind the latest one
	// for the announcement to count as overtaken.
	sequenceWindow = 10_000
	// maxSlots is the largest number of slots of a target. A call needs a connection, and
	// there are fewer ports than this on the node's side.
	maxSlots = 1 << 16
	// maxStartedAtMs is the latest start of a target, 2200-01-01 as Unix time in ms. It
	// does not depend on the node's clock, which may be wrong. A later start would make
	// all true announcements look as if they came from an earlier incarnation.
	maxStartedAtMs = 7_258_118_400_000
	// maxMissedAnnouncements is the number of announcement intervals that a serving
	// target may be silent before it is probed.
	maxMissedAnnouncements = 3
)

// Announcement is a message in which a target announces its state.
type Announcement struct {
	ID          model.Instance
	Service     model.Service
	Version     string // of the target's software
	Address     string
	StartedAtMs int64 // start of the target, Unix time in ms; 0 if not given
	Sequence    uint64
	Leaving     bool
	Slots       int
	ColdLeft    time.Duration // how long the target stays cold
	Interval    time.Duration // usual time between two announcements; 0 if not given
}

// probe is the only item of the timer queue, since at most one probe is scheduled.
type probe struct{}

// target is the state of this node's target, as known to the node.
type target struct {
	core              *Core
	state             chart.StateID
	now               time.Time // time of the current step
	mustRefuseWaiting bool      // set by an action: refuse the waiting calls after the step
	zoneOut           bool      // the availability zone is out of service

	id          model.Instance
	replacedID  model.Instance // id before the one that a probe has shown; "" if none
	startedAtMs int64          // 0 if announcements give no start
	sequence    uint64
	slots       int
	version     string

	coldUntil      time.Time
	coldRate       float64 // requests per second
	coldTokens     float64
	coldRefilledAt time.Time

	probes           *timers.Queue[probe]
	probing          bool
	probeDue         bool
	probedAt         time.Time
	lastHeardAt      time.Time
	announceInterval time.Duration
}

func newTargetMachine() *chart.Machine[*target] {
	return chart.MustCompile(charts.MustRead("gate_target"), chart.Binding[*target]{
		States: []string{"unknown", "serving", "leaving", "lost", "out", "stopping"},
		Events: []string{"announced", "announced_leaving", "new_incarnation", "deregistered", "probe_passed", "probe_failed",
			"target_unreachable", "zone_out", "zone_restored", "stop"},
		Guards: map[string]func(*target) bool{"zone_out": func(t *target) bool { return t.zoneOut }},
		Actions: map[string]func(*target){
			"refuse_waiting": func(t *target) { t.mustRefuseWaiting = true },
			"probe_now":      func(t *target) { t.probes.Set(probe{}, t.now) },
			"probe_later":    func(t *target) { t.probes.Set(probe{}, t.now.Add(probeRetryInterval)) },
			"report_change":  func(t *target) { t.core.reportDue = true },
			"report_crash":   func(t *target) { t.core.crashes.OnTargetLost(t.now) },
		},
	})
}

func (t *target) step(now time.Time, event chart.EventID) {
	t.now = now
	t.state = t.core.targetMachine.Step(t, t.state, event)
	if t.mustRefuseWaiting {
		t.mustRefuseWaiting = false
		t.core.refuseWaiting(now) // after the step, so that the refusals report the new state
	}
}

func (t *target) available() bool { return t.state == stateServing }

// reportedState returns the state for the report to the peers. The state out is
// reported as unknown: peers read in the operator's documents which availability zones
// are out of service.
func (t *target) reportedState() model.TargetState {
	switch t.state {
	case stateServing:
		return model.TargetServing
	case stateLeaving:
		return model.TargetLeaving
	case stateLost:
		return model.TargetLost
	case stateStopping:
		return model.TargetStopping
	default:
		return model.TargetUnknown
	}
}

// refusal returns the reason and the detail for refusing a call in the target's
// state.
func (t *target) refusal() (model.Reason, string) {
	switch t.state {
	case stateLeaving:
		return model.ReasonTargetLeaving, "the target leaves"
	case stateStopping:
		return model.ReasonTargetLeaving, "the target's node shuts down"
	case stateOut:
		return model.ReasonZoneOut, "the availability zone is out of service"
	case stateLost:
		return model.ReasonTargetFailed, "the target does not answer"
	default:
		return model.ReasonNoTarget, "the target's node has not heard of it yet"
	}
}

// OnAnnouncement handles an announcement of the target and reports whether it is
// valid: it must name an instance, this node's service and from 1 to maxSlots slots, must
// not come from an incarnation before the known one, and its start must be at most
// maxStartedAtMs.
func (c *Core) OnAnnouncement(now time.Time, a Announcement) bool {
	t := &c.target
	if a.ID == "" || a.Service != c.service || a.Slots <= 0 || a.Slots > maxSlots {
		return false
	}
	if a.StartedAtMs < t.startedAtMs || a.StartedAtMs > maxStartedAtMs {
		return false
	}
	if a.StartedAtMs == 0 && a.ID == t.replacedID {
		return false // without a start, only the id tells that the announcement is late
	}
	newIncarnation := t.id != "" && (a.StartedAtMs > t.startedAtMs && t.startedAtMs != 0 || a.ID != t.id)
	if !newIncarnation && a.ID == t.id && a.StartedAtMs == t.startedAtMs && t.overtaken(a.Sequence) {
		return true
	}
	t.lastHeardAt, t.announceInterval = now, a.Interval
	oldLimit := c.limit()
	t.id, t.startedAtMs, t.sequence, t.slots = a.ID, a.StartedAtMs, a.Sequence, a.Slots
	t.version = a.Version
	c.resizeWindows(oldLimit)
	t.setCold(now, a.ColdLeft)
	switch {
	case a.Leaving:
		t.step(now, eventAnnouncedLeaving)
	case newIncarnation:
		t.step(now, eventNewIncarnation)
	default:
		t.step(now, eventAnnounced)
	}
	c.admitWaiting(now)
	return true
}

// overtaken reports whether an announcement of the target is a duplicate, or was sent
// before the latest one. A sequence far behind the latest one is not: the latest one was
// invalid then.
func (t *target) overtaken(sequence uint64) bool {
	return sequence <= t.sequence && t.sequence-sequence < sequenceWindow
}

// OnDeregistered handles the deregistration of a target and reports whether it is valid:
// its start must be at most maxStartedAtMs. It is ignored if it is from an instance other
// than the known one, or from an earlier incarnation.
func (c *Core) OnDeregistered(now time.Time, id model.Instance, startedAtMs int64) bool {
	t := &c.target
	if startedAtMs > maxStartedAtMs {
		return false
	}
	if (t.id != "" && id != t.id) || (startedAtMs != 0 && startedAtMs < t.startedAtMs) {
		return true
	}
	t.id = id
	t.startedAtMs = max(t.startedAtMs, startedAtMs)
	t.step(now, eventDeregistered)
	return true
}

// OnProbeResult handles the result of a probe that TakeProbeDue requested.
func (c *Core) OnProbeResult(now time.Time, r model.Health) {
	t := &c.target
	t.probing = false
	if !r.OK {
		t.step(now, eventProbeFailed)
		return
	}
	t.lastHeardAt = now
	if r.Target != "" && r.Target != t.id {
		t.replacedID = t.id
		if t.startedAtMs > 0 {
			t.startedAtMs++ // rejects late announcements of the previous incarnation
		}
		t.id, t.sequence, t.version = r.Target, 0, ""
	}
	t.setCold(now, r.ColdLeft)
	t.step(now, eventProbePassed)
	c.admitWaiting(now)
}

// TakeProbeDue reports whether the target must be probed now. It returns true once
// for each probe.
func (c *Core) TakeProbeDue() bool {
	due := c.target.probeDue
	c.target.probeDue = false
	return due
}

// StartProbing schedules the first probe of the target.
func (c *Core) StartProbing(now time.Time) { c.target.probes.Set(probe{}, now) }

// SetZoneOut sets whether the target's availability zone is out of service.
func (c *Core) SetZoneOut(now time.Time, out bool) {
	if out == c.target.zoneOut {
		return
	}
	c.target.zoneOut = out
	if out {
		c.target.step(now, eventZoneOut)
	} else {
		c.target.step(now, eventZoneRestored)
	}
}

// SetColdRate sets the rate of calls to the target while it is cold, in requests per
// second. A rate of 0 changes nothing.
func (c *Core) SetColdRate(coldRate float64) {
	if coldRate > 0 {
		c.target.coldRate = coldRate
	}
}

// Stop starts the shutdown: new and waiting calls are refused.
func (c *Core) Stop(now time.Time) { c.target.step(now, eventStop) }

// onRunEnded marks the target as lost if it refused a connection or its address
// belongs to another target, and schedules a probe if a connection broke.
func (t *target) onRunEnded(now time.Time, outcome model.RunOutcome) {
	switch outcome {
	case model.OutcomeConnectionRefused:
		t.step(now, eventTargetUnreachable)
	case model.OutcomeOtherTarget: // another target has the address now
		t.step(now, eventTargetUnreachable)
	case model.OutcomeConnectionBroken:
		t.probes.Set(probe{}, later(now, t.probedAt.Add(minProbeInterval)))
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (t *target) tick(now time.Time) {
	if t.available() && t.announceInterval > 0 && t.probes.Len() == 0 && now.Sub(t.lastHeardAt) > maxMissedAnnouncements*t.announceInterval {
		t.lastHeardAt = now // if the target stays silent, it is probed again after the same time
		t.probes.Set(probe{}, now)
	}
	if _, due := t.probes.PopDue(now); due && !t.probing && t.state != stateLeaving && t.state != stateOut {
		t.probing, t.probeDue, t.probedAt = true, true, now
	}
}

func (t *target) setCold(now time.Time, remaining time.Duration) {
	if remaining <= 0 {
		t.coldUntil = time.Time{}
		return
	}
	if !t.cold(now) {
		t.coldTokens, t.coldRefilledAt = 1, now
	}
	t.coldUntil = now.Add(remaining)
}

func (t *target) cold(now time.Time) bool { return now.Before(t.coldUntil) }

// coldRateAllows refills the token bucket of a cold target and reports whether it
// allows another call. A warm target has no rate limit.
func (t *target) coldRateAllows(now time.Time) bool {
	if !t.cold(now) {
		return true
	}
	t.coldTokens = min(t.coldTokens+now.Sub(t.coldRefilledAt).Seconds()*coldRateFactor*t.coldRate, max(coldBurstSeconds*t.coldRate, 1))
	t.coldRefilledAt = now
	return t.coldTokens >= 1
}

func (t *target) takeColdToken(now time.Time) {
	if t.cold(now) {
		t.coldTokens--
	}
}
