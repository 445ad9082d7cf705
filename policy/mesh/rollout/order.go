package rollout

import (
	"time"

	"github.com/oleanderworks/oleanderworks/charts"
	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/model"
)

// Events of the state chart rollout, in the chart's order.
const (
	eventUnsettled chart.EventID = iota
	eventBad
	eventMoveDue
	eventCompleteDue
	eventFoundComplete
	eventFoundRolledBack
	eventRestored
	eventReplaced
)

const (
	// checkTimeout is how long a node that starts waits for the state of an order from its
	// peers or the log. Then the order begins anew.
	checkTimeout = 3 * time.Second
	// checkInterval is the time after which such a node reads the log again if it could not.
	checkInterval = 500 * time.Millisecond
	// rateTime is the time after an order in which its service's requests are counted before
	// their rate is used.
	rateTime = time.Second
	// maxLogAge is the time since the log's last answer for which a node may begin to move.
	// Without the log no status could end the move.
	maxLogAge = 2 * time.Second
	// minMoveCapacity is the part of the old targets' capacity that the new ones must have
	// to get all calls.
	minMoveCapacity = 0.5
)

// order is an order of a service as this node knows it.
type order struct {
	model.RolloutOrder
	service    *service
	state      chart.StateID
	now        time.Time // time of the current step
	createdAt  time.Time // when this node learned of the order
	checkDueAt time.Time // when to read the log again; zero unless a read has failed
	startedAt  time.Time // when the first node that this one knows of has seen the order
	statistics statistics
	verdict    string // why the version is bad; empty if it is not known to be
	proven     bool   // the version served before the order that this one superseded
	repeats    bool   // an earlier order had the same version, so that a final status may be that order's
	movedAt    time.Time
	endedAt    time.Time
	peers      map[model.Instance]peerState
	expected   float64 // requests between the order and its deadline; 0 if not known yet
	isolated   bool    // less than half of the peers have been heard of lately

	recorder recorderState
	recorded bool // the log has had a status of this order

	reportDue    bool
	lastReportAt time.Time
}

func newOrder(s *service, o model.RolloutOrder, now time.Time) *order {
	return &order{
		RolloutOrder: o, service: s, state: s.core.machine.Initial(), now: now, createdAt: now, startedAt: now,
		statistics: newStatistics(s.core.windows()), peers: make(map[model.Instance]peerState),
		recorder: recorderState{state: s.core.recorder.Initial()},
	}
}

func newLifecycle() *chart.Machine[*order] {
	return chart.MustCompile(charts.MustRead("rollout"), chart.Binding[*order]{
		States: []string{"checking", "canary", "moving", "stopped", "complete", "rolled_back", "superseded"},
		Events: []string{"unsettled", "bad", "move_due", "complete_due", "found_complete", "found_rolled_back", "restored", "replaced"},
		Guards: map[string]func(*order) bool{"may_move": (*order).mayMove},
		Actions: map[string]func(*order){
			"begin":          func(o *order) { o.service.share = newShareCounter(o.service.core.rng) },
			"record_running": (*order).recordRunning,
			"begin_move":     func(o *order) { o.movedAt = o.now },
			"record_final":   (*order).recordFinal,
			"adopt_final":    (*order).adoptFinal,
			"report":         func(o *order) { o.reportDue = true },
		},
	})
}

// phase is the chart's state; the two have the same order.
func (o *order) phase() model.RolloutPhase { return model.RolloutPhase(o.state) }

// ended reports whether the order has a final state.
func (o *order) ended() bool { return o.phase() >= model.RolloutComplete }

// released reports whether the order, which is complete, does not restrict the choice of
// targets any more.
func (o *order) released(now time.Time) bool {
	return o.phase() == model.RolloutComplete && now.Sub(o.endedAt) >= completeGuardTime
}

func (o *order) step(now time.Time, e chart.EventID) {
	from := o.phase()
	o.now = now
	o.state = o.service.core.machine.Step(o, o.state, e)
	if o.phase() == from {
		return
	}
	o.service.outdated = true
	o.noteChange(now, from, o.verdict)
}

// noteChange notes a change of the phase for the log. If the phase has not changed, detail
// says what else has happened.
func (o *order) noteChange(now time.Time, from model.RolloutPhase, detail string) {
	all, onNew := o.statistics.total.requests()
	o.service.core.changes = append(o.service.core.changes, Change{
		Order: o.RolloutOrder, From: from, To: o.phase(), Age: now.Sub(o.startedAt), Detail: detail, All: all, New: onNew,
	})
}

func (o *order) adoptFinal() {
	o.endedAt, o.recorded = o.now, true
	o.stepRecorder(o.now, eventCanceled)
}

// recordRunning writes the status running unless the log is known to have it.
func (o *order) recordRunning() {
	if !o.recorded {
		o.record(model.RolloutStateRunning)
	}
}

// recordFinal writes the final status that belongs to the phase to which the order goes.
func (o *order) recordFinal() {
	if p := o.phase(); p == model.RolloutComplete || p == model.RolloutMoving && o.verdict == "" {
		o.record(model.RolloutStateComplete)
		return
	}
	o.record(model.RolloutStateRolledBack)
}

// classify returns the class of a version if the order decides it.
func (o *order) classify(now time.Time, version string) (class, bool) {
	is := version == o.Version
	switch o.phase() {
	case model.RolloutChecking, model.RolloutStopped, model.RolloutRolledBack:
		return classBanned, is
	case model.RolloutCanary, model.RolloutMoving:
		return classNew, is
	case model.RolloutComplete:
		if is {
			return classNew, !o.released(now)
		}
		return classBanned, !o.released(now) && o.service.census.serves(o.Version)
	}
	return classBase, false
}

// moved reports whether all calls go to the version. That is also so when the old targets
// are gone late in the period: the order is complete, and this node has not heard of it.
func (o *order) moved(now time.Time) bool {
	switch o.phase() {
	case model.RolloutMoving:
		return !o.isolated || !o.service.baseUp
	case model.RolloutComplete:
		return !o.released(now)
	case model.RolloutCanary:
		age := now.Sub(o.startedAt)
		return !o.service.baseUp && (o.proven || age >= o.Period/2 || !o.service.hasBase && age >= discoveryTime)
	}
	return false
}

// mayMove is the guard of the move: the log answers, and the new targets can take the calls.
func (o *order) mayMove() bool {
	c := o.service.core
	if !c.logConfirmedAt.IsZero() && o.now.Sub(c.logConfirmedAt) > maxLogAge {
		return false
	}
	s := o.service
	isNew := func(t *targetInfo) bool { return t.version == o.Version }
	count, limit := s.census.capacity(isNew)
	_, baseLimit := s.census.capacity(func(t *targetInfo) bool { return s.classOf(o.now, t) == classBase })
	return count > 0 && float64(limit) >= minMoveCapacity*float64(baseLimit)
}

// tick runs what is due and reports whether it must be called again soon.
func (o *order) tick(now time.Time) bool {
	o.now = now
	if isolated := o.checkIsolated(now); isolated != o.isolated {
		o.isolated, o.service.outdated = isolated, true
	}
	o.tickCheck(now)
	if p := o.phase(); p == model.RolloutCanary || p == model.RolloutMoving {
		o.statistics.saveWindow(now)
		if now.Sub(o.startedAt) >= rateTime {
			o.expected = o.statistics.rate(now) * o.Period.Seconds()
		}
		o.judge(now)
	}
	switch o.phase() {
	case model.RolloutCanary:
		o.checkMove(now)
	case model.RolloutMoving:
		if o.completeDue(now) {
			o.step(now, eventCompleteDue)
		}
	}
	o.tickRecorder(now)
	o.sendReport(now)
	return !o.ended() || o.recorder.busy(o.service.core)
}

// tickCheck reads the log again, or begins the order anew, if its state is not known.
func (o *order) tickCheck(now time.Time) {
	switch {
	case o.phase() != model.RolloutChecking:
	case now.Sub(o.createdAt) >= checkTimeout:
		o.step(now, eventUnsettled)
	case !o.checkDueAt.IsZero() && !now.Before(o.checkDueAt):
		o.checkDueAt = time.Time{}
		o.addTask(Task{Read: true})
	}
}

// judge compares the versions by all counts and by the recent ones.
func (o *order) judge(now time.Time) {
	verdict := judge(o.statistics.total, clearlyWorse.since(now.Sub(o.startedAt)))
	if verdict == "" {
		verdict = judge(o.statistics.recent(), recentlyWorse)
	}
	o.onVerdict(now, verdict)
}

func (o *order) onVerdict(now time.Time, verdict string) {
	if verdict != "" {
		o.verdict = verdict
		o.step(now, eventBad)
	}
}

// checkMove begins the move when it is due, unless the version is suspected to be bad.
func (o *order) checkMove(now time.Time) {
	if !o.moveDue(now) {
		return
	}
	verdict := judge(o.statistics.total, probablyWorse.since(now.Sub(o.startedAt)))
	if verdict == "" {
		verdict = judge(o.statistics.recent(), probablyWorseLately)
	}
	if verdict != "" {
		o.onVerdict(now, verdict+" (at the time of the move)")
		return
	}
	o.service.refresh(now)
	o.step(now, eventMoveDue)
}
