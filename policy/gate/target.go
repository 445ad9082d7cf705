package gate

import (
	"time"

	"github.com/oleanderworks/oleanderworks/charts"
	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/core/timers"
	"github.com/oleanderworks/oleanderworks/model"
)

// States of the target chart, in the chart's order.
const (
	stateUnknown chart.StateID = iota
	stateServing
	stateLeaving
	stateLost
	stateOut
	stateStopping
)

// Events of the target chart, in the chart's order.
const (
	eventAnnounced chart.EventID = iota
	eventAnnouncedLeaving
	eventRenewed
	eventDeregistered
	eventProbeGood
	eventProbeBad
	eventRefused
	eventTakenOut
	eventReturned
	eventStop
)

const (
	// probePause separates the probes of a target that does not answer.
	probePause = 250 * time.Millisecond
	// probeSpacing is the least time between two probes of a target that
	// serves, since a probe takes a slot.
	probeSpacing = time.Second
	// overdueBeats is how many announcements a serving target may miss before
	// it is probed.
	overdueBeats = 3
)

// Announcement is what a target says of itself.
type Announcement struct {
	ID          model.Instance
	Service     model.Service
	Address     string
	StartedAtMs int64 // start of the incarnation, Unix time in ms; 0 if not stated
	Sequence    uint64
	Leaving     bool
	Slots       int
	ColdLeft    time.Duration // how long the target stays cold
	Interval    time.Duration // usual time between two announcements
}

// probe is the item of the timer queue; there is one probe at a time.
type probe struct{}

// target is what the node believes of the target beside it.
type target struct {
	core  *Core
	state chart.StateID
	now   time.Time // of the current step
	shut  bool      // the waiting calls are to be refused after the step

	id       model.Instance
	born     int64
	sequence uint64
	slots    int

	coldUntil  time.Time
	coldRate   float64 // requests a second
	coldTokens float64
	coldAt     time.Time

	probes    *timers.Queue[probe]
	probing   bool
	probeWant bool
	probedAt  time.Time
	heardAt   time.Time
	interval  time.Duration
}

func newTargetMachine() *chart.Machine[*target] {
	return chart.MustCompile(charts.MustRead("gate_target"), chart.Binding[*target]{
		States: []string{"unknown", "serving", "leaving", "lost", "out", "stopping"},
		Events: []string{"announced", "announced_leaving", "renewed", "deregistered", "probe_good", "probe_bad",
			"refused", "taken_out", "returned", "stop"},
		Guards: map[string]func(*target) bool{},
		Actions: map[string]func(*target){
			"close_waiting": func(t *target) { t.shut = true },
			"probe_soon":    func(t *target) { t.probes.Set(probe{}, t.now) },
			"probe_later":   func(t *target) { t.probes.Set(probe{}, t.now.Add(probePause)) },
			"report":        func(t *target) { t.core.changed = true },
			"mark_crash":    func(t *target) { t.core.crashes.OnTargetLost(t.now) },
		},
	})
}

func (t *target) step(now time.Time, e chart.EventID) {
	t.now = now
	t.state = t.core.targets.Step(t, t.state, e)
	if t.shut {
		t.shut = false
		t.core.shutWaiting(now) // the refusals state the new state
	}
}

func (t *target) open() bool { return t.state == stateServing }

func (t *target) public() model.TargetState {
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

// OnAnnouncement handles an announcement of the target and reports whether it is valid: it names
// this node's service and is not older than what is known.
func (c *Core) OnAnnouncement(now time.Time, a Announcement) bool {
	t := &c.target
	if a.ID == "" || a.Service != c.service || a.Slots <= 0 {
		return false
	}
	if a.StartedAtMs < t.born {
		return false // a late word of an incarnation that has ended
	}
	renewed := t.id != "" && (a.StartedAtMs > t.born && t.born != 0 || a.ID != t.id)
	if !renewed && a.ID == t.id && a.StartedAtMs == t.born && a.Sequence <= t.sequence {
		return true // known already
	}
	t.heardAt, t.interval = now, a.Interval
	before := c.limit()
	t.id, t.born, t.sequence, t.slots = a.ID, a.StartedAtMs, a.Sequence, a.Slots
	c.resizeWindows(before)
	t.setCold(now, a.ColdLeft)
	switch {
	case a.Leaving:
		t.step(now, eventAnnouncedLeaving)
	case renewed:
		t.step(now, eventRenewed)
	default:
		t.step(now, eventAnnounced)
	}
	c.admitWaiting(now)
	return true
}

// OnDeregistered handles the deregistration of a target. One that does not name the
// known incarnation changes nothing.
func (c *Core) OnDeregistered(now time.Time, id model.Instance, born int64) {
	t := &c.target
	if (t.id != "" && id != t.id) || (born != 0 && born < t.born) {
		return
	}
	t.id = id
	t.born = max(t.born, born)
	t.step(now, eventDeregistered)
}

// OnProbeResult handles the result of a probe that ProbeDue requested.
func (c *Core) OnProbeResult(now time.Time, r model.Health) {
	t := &c.target
	t.probing = false
	if !r.OK {
		t.step(now, eventProbeBad)
		return
	}
	t.heardAt = now
	if r.Target != "" && r.Target != t.id {
		if t.id != "" {
			t.born++ // later than any announcement of the incarnation before
		}
		t.id, t.sequence = r.Target, 0
	}
	t.setCold(now, r.ColdLeft)
	t.step(now, eventProbeGood)
	c.admitWaiting(now)
}

// ProbeDue reports whether the target has to be probed now, and resets the request.
func (c *Core) ProbeDue() bool {
	want := c.target.probeWant
	c.target.probeWant = false
	return want
}

// StartProbing schedules the first probe of the target.
func (c *Core) StartProbing(now time.Time) { c.target.probes.Set(probe{}, now) }

// SetZoneOut takes the target's availability zone out of service, or back.
func (c *Core) SetZoneOut(now time.Time, out bool) {
	switch {
	case out:
		c.target.step(now, eventTakenOut)
	default:
		c.target.step(now, eventReturned)
	}
}

// SetColdRate sets the rate of requests a second that a cold target of the service bears.
func (c *Core) SetColdRate(coldRate float64) {
	if coldRate > 0 {
		c.target.coldRate = coldRate
	}
}

// Stop begins the shutdown: new and waiting calls go elsewhere.
func (c *Core) Stop(now time.Time) { c.target.step(now, eventStop) }

// onEnd looks for signs of a loss in the end of a call.
func (t *target) onEnd(now time.Time, e model.RunOutcome) {
	switch e {
	case model.OutcomeConnectionRefused:
		t.step(now, eventRefused)
	case model.OutcomeOtherTarget:
		t.step(now, eventRefused)
	case model.OutcomeConnectionBroken:
		t.probes.Set(probe{}, later(now, t.probedAt.Add(probeSpacing)))
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (t *target) tick(now time.Time) {
	if t.open() && t.interval > 0 && t.probes.Len() == 0 && now.Sub(t.heardAt) > overdueBeats*t.interval {
		t.heardAt = now
		t.probes.Set(probe{}, now)
	}
	if _, due := t.probes.PopDue(now); due && !t.probing && t.state != stateLeaving && t.state != stateOut {
		t.probing, t.probeWant, t.probedAt = true, true, now
	}
}

func (t *target) setCold(now time.Time, left time.Duration) {
	if left <= 0 {
		t.coldUntil = time.Time{}
		return
	}
	if !t.cold(now) {
		t.coldTokens, t.coldAt = 1, now
	}
	t.coldUntil = now.Add(left)
}

func (t *target) cold(now time.Time) bool { return now.Before(t.coldUntil) }

// coldAllows reports whether a cold target bears another call now.
func (t *target) coldAllows(now time.Time) bool {
	if !t.cold(now) {
		return true
	}
	t.coldTokens = min(t.coldTokens+now.Sub(t.coldAt).Seconds()*coldPart*t.coldRate, max(coldDepth*t.coldRate, 1))
	t.coldAt = now
	return t.coldTokens >= 1
}

func (t *target) countCold(now time.Time) {
	if t.cold(now) {
		t.coldTokens--
	}
}
