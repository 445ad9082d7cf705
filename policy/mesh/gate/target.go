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
	stateUnconfirmed
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
	eventOtherTarget
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
	// askTimeout is how long a node that starts waits for a peer to say whether its target
	// leaves. It is the delay of a first probe that fails.
	askTimeout = probeRetryInterval
	// maxMissedAnnouncements is the number of announcement intervals that a serving
	// target may be silent before it is probed.
	maxMissedAnnouncements = 3
)

// probe is the only item of the timer queue, since at most one probe is scheduled.
type probe struct{}

// target is the state of this node's target, as known to the node.
type target struct {
	core              *Core
	state             chart.StateID
	now               time.Time // time of the current step
	mustRefuseWaiting bool      // set by an action: refuse the waiting calls after the step
	zoneOut           bool      // the availability zone is out of service

	id           model.Instance
	announced    bool           // the id was announced with this node's service
	shownID      model.Instance // id at the address whose service is not known or another one; "" if none
	departedID   model.Instance // id that leaves, by a report of this node before it started; "" if none
	askedUntil   time.Time      // a peer may say until then that the target leaves; zero if probing has not started
	peerAnswered bool           // a peer has said whether the target leaves
	left         bool           // the target has announced that it leaves
	replacedID   model.Instance // id before the one that a probe has shown; "" if none
	startedAtMs  int64          // 0 if announcements give no start
	sequence     uint64
	slots        int
	version      string

	coldUntil      time.Time
	coldRate       float64 // requests per second; 0 for no limit
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
		States: []string{"unknown", "serving", "leaving", "lost", "unconfirmed", "out", "stopping"},
		Events: []string{"announced", "announced_leaving", "new_incarnation", "deregistered", "probe_passed", "probe_failed",
			"other_target", "target_unreachable", "zone_out", "zone_restored", "stop"},
		Guards: map[string]func(*target) bool{"zone_out": func(t *target) bool { return t.zoneOut }},
		Actions: map[string]func(*target){
			"refuse_waiting": func(t *target) { t.mustRefuseWaiting = true },
			"probe_now":      func(t *target) { t.probes.Set(probe{}, t.now) },
			"probe_later":    func(t *target) { t.probes.Set(probe{}, t.now.Add(probeRetryInterval)) },
			"probe_again":    func(t *target) { t.probes.Set(probe{}, t.now.Add(minProbeInterval)) },
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
		if t.left {
			return model.TargetLeaving // peers tell it to the next incarnation of this node
		}
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
	case stateUnconfirmed:
		return model.ReasonNoTarget, "the target at the address has not announced that it is of this service"
	default:
		return model.ReasonNoTarget, "the target's node has not heard of it yet"
	}
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
	if !t.identify(r.Target) {
		t.shownID = r.Target
		t.step(now, eventOtherTarget)
		return
	}
	t.setCold(now, r.ColdLeft)
	if t.id != "" && t.id == t.departedID {
		t.leave(now, eventDeregistered)
		return
	}
	if t.awaitsPeers(now) {
		t.probes.Set(probe{}, t.askedUntil)
		return
	}
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

// StartProbing schedules the first probe of the target, and lets peers say for askTimeout
// that it leaves.
func (c *Core) StartProbing(now time.Time) {
	c.target.probes.Set(probe{}, now)
	c.target.askedUntil = now.Add(askTimeout)
}

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
// second; 0 means that its service has no such limit.
func (c *Core) SetColdRate(coldRate float64) { c.target.coldRate = max(coldRate, 0) }

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
// allows another call. A target that is warm, or whose service has no rate for cold ones, has
// no rate limit.
func (t *target) coldRateAllows(now time.Time) bool {
	if !t.cold(now) || t.coldRate == 0 {
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
