package routing

import (
	"sync"
	"time"

	"github.com/oleanderworks/oleanderworks/charts"
	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// reportLife is the age at which a load report says nothing any more.
	// Heartbeats bring one each second.
	reportLife = 2 * time.Second
	// maxLosses is the number of calls lost in a row after which a target is
	// avoided.
	maxLosses = 3
	// Bounds of the time for which a target is avoided.
	minAvoid = 100 * time.Millisecond
	maxAvoid = 5 * time.Second
)

// Events of the outlier chart, in the chart's order.
const (
	outlierSucceeded chart.EventID = iota
	outlierLost
	outlierUnreachable
	outlierElapsed
)

// stateAvoided is the place of the state avoided in the outlier chart.
const stateAvoided chart.StateID = 1

// target is the entry node's view of one target.
type target struct {
	table    *table
	member   model.Member
	slots    int // of the service's configuration
	floor    int // calls that a target in cold start bears
	sent     int // attempts of this node in progress
	report   model.Load
	reported time.Time
	suspect  bool

	now        time.Time
	state      chart.StateID // of the outlier chart
	losses     int           // calls lost in a row
	avoidFor   time.Duration
	avoidUntil time.Time
}

// outlierMachine compiles the chart once. It holds no state of a target.
var outlierMachine = sync.OnceValue(newOutlierMachine)

func newOutlierMachine() *chart.Machine[*target] {
	return chart.MustCompile(charts.MustRead("outlier"), chart.Binding[*target]{
		States: []string{"usable", "avoided", "trial"},
		Events: []string{"succeeded", "lost", "unreachable", "elapsed"},
		Guards: map[string]func(*target) bool{
			"lost_several": func(t *target) bool { return t.losses+1 >= maxLosses },
		},
		Actions: map[string]func(*target){
			"count_loss":   func(t *target) { t.losses++ },
			"clear_losses": func(t *target) { t.losses, t.avoidFor = 0, 0 },
			"avoid":        (*target).avoid,
		},
	})
}

// avoid keeps calls away for a short time that grows with each repetition.
// The jitter keeps entry nodes from returning together.
func (t *target) avoid() {
	t.losses = 0
	t.avoidFor = min(max(2*t.avoidFor, minAvoid), maxAvoid)
	jitter := time.Duration(t.table.rng.Int64N(int64(t.avoidFor) / 2))
	t.avoidUntil = t.now.Add(t.avoidFor + jitter)
}

func (t *target) step(now time.Time, e chart.EventID) {
	t.now = now
	t.state = t.table.machine.Step(t, t.state, e)
}

func (t *target) fresh(now time.Time) bool {
	return !t.reported.IsZero() && now.Sub(t.reported) < reportLife
}

// limit returns the calls that the target takes at once, as far as known. A
// target without a fresh report may be in cold start.
func (t *target) limit(now time.Time) int {
	if t.fresh(now) {
		return max(t.report.Limit, 1)
	}
	return max(t.floor, 1)
}

// ratio estimates how full the target is. Of its calls in flight, the report
// knows those of other entry nodes, and sent those since the report.
func (t *target) ratio(now time.Time) float64 {
	busy := t.sent
	if t.fresh(now) {
		busy = max(busy, t.report.InFlight) + t.report.Queued
	}
	return float64(busy) / float64(t.limit(now))
}

// excluded reports whether the target takes no calls at all.
func (t *target) excluded(now time.Time) bool {
	return t.suspect || (t.fresh(now) && t.report.Draining)
}

func (t *target) avoided(now time.Time) bool {
	if t.state == stateAvoided && !now.Before(t.avoidUntil) {
		t.step(now, outlierElapsed)
	}
	return t.state == stateAvoided
}

// observe takes the outcome of an attempt.
func (t *target) observe(now time.Time, a *model.Answer) {
	t.sent = max(t.sent-1, 0)
	if a.Load.Limit > 0 {
		t.report, t.reported = a.Load, now
	}
	switch {
	case a.Run == model.Completed:
		t.step(now, outlierSucceeded)
	case a.Reason == model.ReasonPeerUnreachable:
		t.step(now, outlierUnreachable)
	case a.TargetLost && a.Reason == model.ReasonTargetFailed, a.Reason == model.ReasonAnswerCut:
		t.step(now, outlierLost)
	}
}
