package routing

import (
	"sync"
	"time"

	"github.com/oleanderworks/oleanderworks/charts"
	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// reportTTL is the age from which a load report is ignored. Heartbeats carry a
	// report each second.
	reportTTL = 2 * time.Second
	// maxConsecutiveLosses is the number of consecutive lost calls, each with a
	// lost target or a cut answer, after which a target is avoided.
	maxConsecutiveLosses = 3
	// Bounds of the time for which a target is avoided, without jitter.
	minAvoidTime = 100 * time.Millisecond
	maxAvoidTime = 5 * time.Second
)

// Events of the outlier chart, in the chart's order.
const (
	outlierEventSucceeded chart.EventID = iota
	outlierEventCallLost
	outlierEventUnreachable
	outlierEventAvoidTimeExpired
)

// outlierStateAvoided is the index of the state avoided in the order of the
// outlier chart.
const outlierStateAvoided chart.StateID = 1

// target is the entry node's view of one target. These conditions determine
// whether it gets calls:
//   - out of service (set by the operator): it is in no pool and gets none.
//   - excluded: it gets none, since the membership duty excluded it (its node is
//     silent or leaving) or its node reported that it accepts no new calls.
//   - eligible for a call: it is not excluded and has not been tried for the call.
//   - avoided (outlier chart): it gets calls only while all eligible targets are
//     avoided.
//   - usable or on probation (outlier chart): it gets calls.
type target struct {
	table                *targetTable
	member               model.Member
	slots                int // from the service's configuration
	coldFloor            int // calls at once that the target can handle in cold start
	ownInFlight          int // attempts of this node that are in progress
	report               model.Load
	reportedAt           time.Time
	excludedByMembership bool

	now               time.Time
	state             chart.StateID // of the outlier chart
	consecutiveLosses int
	avoidTime         time.Duration
	avoidUntil        time.Time
}

// outlierMachine compiles the chart once. All targets share it, since it holds
// no state of a target.
var outlierMachine = sync.OnceValue(newOutlierMachine)

func newOutlierMachine() *chart.Machine[*target] {
	return chart.MustCompile(charts.MustRead("outlier"), chart.Binding[*target]{
		States: []string{"usable", "avoided", "probation"},
		Events: []string{"succeeded", "call_lost", "unreachable", "avoid_time_expired"},
		Guards: map[string]func(*target) bool{
			"loss_limit_reached": func(t *target) bool { return t.consecutiveLosses+1 >= maxConsecutiveLosses },
		},
		Actions: map[string]func(*target){
			"count_loss":   func(t *target) { t.consecutiveLosses++ },
			"clear_losses": func(t *target) { t.consecutiveLosses, t.avoidTime = 0, 0 },
			"avoid":        (*target).avoid,
		},
	})
}

// avoid sets the time until which the target is avoided. The time doubles, up to
// maxAvoidTime, each time that the target is avoided again without a success in
// between. The jitter keeps entry nodes from using the target again at the same
// time.
func (t *target) avoid() {
	t.consecutiveLosses = 0
	t.avoidTime = min(max(2*t.avoidTime, minAvoidTime), maxAvoidTime)
	jitter := time.Duration(t.table.rng.Int64N(int64(t.avoidTime) / 2))
	t.avoidUntil = t.now.Add(t.avoidTime + jitter)
}

func (t *target) step(now time.Time, e chart.EventID) {
	t.now = now
	t.state = t.table.machine.Step(t, t.state, e)
}

func (t *target) hasFreshReport(now time.Time) bool {
	return !t.reportedAt.IsZero() && now.Sub(t.reportedAt) < reportTTL
}

// limit returns how many calls the target runs at once. Without a fresh report
// it is the cold floor, since the target may be in cold start.
func (t *target) limit(now time.Time) int {
	if t.hasFreshReport(now) {
		return max(t.report.Limit, 1)
	}
	return max(t.coldFloor, 1)
}

// utilization estimates the ratio of the target's load to its limit. The report
// includes the calls of other entry nodes. ownInFlight includes the attempts that
// this node has sent since the report.
func (t *target) utilization(now time.Time) float64 {
	busy := t.ownInFlight
	if t.hasFreshReport(now) {
		busy = max(busy, t.report.InFlight) + t.report.Queued
	}
	return float64(busy) / float64(t.limit(now))
}

// excluded reports whether the target gets no calls at all.
func (t *target) excluded(now time.Time) bool {
	return t.excludedByMembership || (t.hasFreshReport(now) && t.report.Draining)
}

// avoided reports whether the target is avoided. It first sends the event
// avoid_time_expired if the time has passed.
func (t *target) avoided(now time.Time) bool {
	if t.state == outlierStateAvoided && !now.Before(t.avoidUntil) {
		t.step(now, outlierEventAvoidTimeExpired)
	}
	return t.state == outlierStateAvoided
}

// observe records the outcome of an attempt.
func (t *target) observe(now time.Time, a *model.Answer) {
	t.ownInFlight = max(t.ownInFlight-1, 0)
	if a.Load.Limit > 0 {
		t.report, t.reportedAt = a.Load, now
	}
	switch {
	case a.Run == model.Completed:
		t.step(now, outlierEventSucceeded)
	case a.Reason == model.ReasonPeerUnreachable:
		t.step(now, outlierEventUnreachable)
	case a.TargetLost && a.Reason == model.ReasonTargetFailed, a.Reason == model.ReasonAnswerCut:
		t.step(now, outlierEventCallLost)
	}
}
