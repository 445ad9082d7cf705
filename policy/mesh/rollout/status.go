package rollout

import (
	"time"

	"github.com/oleanderworks/oleanderworks/charts"
	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/model"
)

// Events of the state chart rollout_status, in the chart's order.
const (
	eventWanted chart.EventID = iota
	eventTurnDue
	eventLogUnsettled
	eventLogSettled
	eventReadFailed
	eventAppended
	eventConflict
	eventAppendFailed
	eventCanceled
)

const (
	// runningTurn and finalTurn are the time from one node's turn to write a status to the
	// next one's. Reports need some milliseconds, and the final status is urgent.
	runningTurn = 500 * time.Millisecond
	finalTurn   = 150 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the mean delay after a failed attempt.
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// Task is an operation on the log for the thread that reads and writes status records. If
// Read is true the newest records are read, otherwise Status is appended on condition that
// the stream ends at End.
type Task struct {
	Order  model.RolloutOrder
	Read   bool
	Status model.RolloutStatus
	End    model.LogPosition
}

// recorderState is the state of the chart rollout_status of an order.
type recorderState struct {
	state   chart.StateID
	goal    model.RolloutState // to be written
	since   time.Time          // when the goal was set
	warned  bool               // that the log has not taken the goal for long
	dueAt   time.Time          // of the turn or the next attempt; zero if none is due
	backoff time.Duration
	end     model.LogPosition // of the stream, by the latest read
}

func newRecorder() *chart.Machine[*order] {
	return chart.MustCompile(charts.MustRead("rollout_status"), chart.Binding[*order]{
		States: []string{"idle", "waiting", "reading", "appending", "recorded"},
		Events: []string{"wanted", "turn_due", "unsettled", "settled", "read_failed", "appended", "conflict", "append_failed", "canceled"},
		Guards: map[string]func(*order) bool{},
		Actions: map[string]func(*order){
			"schedule_turn":  (*order).scheduleTurn,
			"schedule_retry": (*order).scheduleRetry,
			"cancel_turn":    func(o *order) { o.recorder.dueAt = time.Time{} },
			"read": func(o *order) {
				o.recorder.dueAt = time.Time{}
				o.addTask(Task{Read: true})
			},
			"append": func(o *order) {
				o.addTask(Task{Status: model.RolloutStatus{Service: o.Service, Version: o.Version, State: o.recorder.goal}, End: o.recorder.end})
			},
		},
	})
}

func (o *order) addTask(t Task) {
	t.Order = o.RolloutOrder
	o.service.core.tasks = append(o.service.core.tasks, t)
}

func (o *order) stepRecorder(now time.Time, e chart.EventID) {
	o.now = now
	o.recorder.state = o.service.core.recorder.Step(o, o.recorder.state, e)
	if e == eventCanceled {
		o.recorder.goal = ""
	}
}

// busy reports whether a write is in progress or due.
func (r *recorderState) busy(c *Core) bool {
	name := c.recorder.StateName(r.state)
	return name != "idle" && name != "recorded"
}

// record makes the node write a status in its turn. A write of another status that is in
// progress is given up; it counts only if the log took it.
func (o *order) record(state model.RolloutState) {
	if o.recorder.goal == state {
		return
	}
	o.stepRecorder(o.now, eventCanceled)
	o.recorder.goal, o.recorder.since, o.recorder.warned = state, o.now, false
	o.stepRecorder(o.now, eventWanted)
}

// scheduleTurn gives the node its turn: its place among the nodes by a hash of the order and
// the node, so that no node has a special role.
func (o *order) scheduleTurn() {
	c := o.service.core
	seed := string(o.Service) + " " + o.Version
	own, place := hash(seed, c.self.Instance), 0
	ahead := func(peer model.Instance) {
		if peer != c.self.Instance && hash(seed, peer) < own {
			place++
		}
	}
	heard := 0
	for peer, p := range o.peers {
		if o.now.Sub(p.heardAt) < peerSilence {
			heard++
			ahead(peer)
		}
	}
	if heard == 0 { // the order has just begun
		for _, peer := range c.peers {
			ahead(peer)
		}
	}
	turn := finalTurn
	if !o.recorder.goal.Final() {
		turn = runningTurn
	}
	o.recorder.backoff = minRetryDelay
	o.recorder.dueAt = o.now.Add(time.Duration(place) * turn)
}

func (o *order) scheduleRetry() {
	r := &o.recorder
	r.dueAt = o.now.Add(r.backoff/2 + time.Duration(o.service.core.rng.Float64()*float64(r.backoff)))
	r.backoff = min(2*r.backoff, maxRetryDelay)
}

func (o *order) tickRecorder(now time.Time) {
	if r := &o.recorder; r.goal.Final() && !r.warned && r.busy(o.service.core) && now.Sub(r.since) > o.service.core.bounds.Outer {
		r.warned = true
		o.noteChange(now, o.phase(), "the log has not taken the status "+string(r.goal))
	}
	if due := o.recorder.dueAt; !due.IsZero() && !now.Before(due) {
		o.stepRecorder(now, eventTurnDue)
	}
}

// orderOf returns the order of a task, or nil if another one has taken its place.
func (c *Core) orderOf(t Task) *order {
	s := c.services[t.Order.Service]
	if s == nil || s.order == nil || !s.order.SameAs(t.Order) {
		return nil
	}
	return s.order
}

// OnStatusRead handles the result of a read: the newest status records, and the end of the
// stream before which they were read.
func (c *Core) OnStatusRead(now time.Time, t Task, records []model.RolloutStatus, end model.LogPosition, err error) {
	o := c.orderOf(t)
	if o == nil {
		return
	}
	if err != nil {
		o.checkDueAt = now.Add(checkInterval)
		o.stepRecorder(now, eventReadFailed)
		return
	}
	var status model.RolloutStatus
	for _, r := range records {
		if r.Service == o.Service {
			status = r
		}
	}
	o.recorder.end = end
	o.onStatus(now, status)
}

// onStatus handles the newest status of the order's service.
func (o *order) onStatus(now time.Time, status model.RolloutStatus) {
	own := status.Version == o.Version
	switch {
	case own && status.State.Final() && (!o.repeats || o.recorded):
		o.stepRecorder(now, eventLogSettled)
		o.onFinalStatus(now, status.State)
		return
	case own && status.State == model.RolloutStateRunning:
		o.setRecorded()
		if o.recorder.goal == model.RolloutStateRunning {
			o.stepRecorder(now, eventLogSettled)
			return
		}
	case !own && o.recorded && status.State != "" && !o.service.isLateStatus(status):
		// The log has a status of a newer order, which this node will learn of.
		o.stepRecorder(now, eventLogSettled)
		return
	}
	o.step(now, eventUnsettled) // only a node that has just started did not know
	o.stepRecorder(now, eventLogUnsettled)
}

func (o *order) onFinalStatus(now time.Time, state model.RolloutState) {
	if state == model.RolloutStateComplete {
		o.step(now, eventFoundComplete)
	} else {
		o.step(now, eventFoundRolledBack)
	}
}

func (o *order) setRecorded() {
	o.reportDue = o.reportDue || !o.recorded
	o.recorded = true
}

// OnStatusAppended handles the result of an append. conflict tells that the stream had a
// newer record, or was restored; after another error the append may have taken effect.
func (c *Core) OnStatusAppended(now time.Time, t Task, conflict bool, err error) {
	o := c.orderOf(t)
	if o == nil {
		return
	}
	switch {
	case conflict:
		o.stepRecorder(now, eventConflict)
	case err != nil:
		o.stepRecorder(now, eventAppendFailed)
	default:
		o.setRecorded()
		if t.Status.State == o.recorder.goal {
			o.stepRecorder(now, eventAppended)
		}
		if t.Status.State.Final() {
			o.onFinalStatus(now, t.Status.State)
		}
	}
}
