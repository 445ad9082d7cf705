package quarantine

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/oleanderworks/oleanderworks/charts"
	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/model"
)

// Events of the crash_mark chart, in the chart's order.
const (
	eventTargetLost chart.EventID = iota
	eventCompleted
	eventExpired
)

// stateQuarantined is the index of the state quarantined in the chart's order.
const stateQuarantined chart.StateID = 2

// markedRequest is what is known about one request that was in flight when a
// target was lost.
type markedRequest struct {
	core            *Core
	state           chart.StateID
	fingerprint     uint64
	lostTargets     []model.Instance // lost while it ran
	ranAsOnlyMarked bool             // at one of them as the only marked call
	newestLoss      time.Time        // of the losses
	currentMark     Mark             // the loss that is being handled
}

// crashMarkMachine compiles the chart once. The machine holds no state of a
// request.
var crashMarkMachine = sync.OnceValue(func() *chart.Machine[*markedRequest] {
	return chart.MustCompile(charts.MustRead("crash_mark"), chart.Binding[*markedRequest]{
		States:  []string{"unmarked", "marked", "quarantined", "lifted"},
		Events:  []string{"target_lost", "completed", "expired"},
		Guards:  map[string]func(*markedRequest) bool{"cause_confirmed": (*markedRequest).causeConfirmed},
		Actions: map[string]func(*markedRequest){"add_target": (*markedRequest).addTarget},
	})
})

func (r *markedRequest) step(e chart.EventID) {
	m := r.core.machine
	r.state = m.Step(r, r.state, e)
	if m.Final(r.state) {
		delete(r.core.markedRequests, r.fingerprint)
	}
}

// causeConfirmed reports whether, with the current mark, at least two targets
// were lost while the request ran, at one of them as the only marked call.
func (r *markedRequest) causeConfirmed() bool {
	targets := len(r.lostTargets)
	if !slices.Contains(r.lostTargets, r.currentMark.Target) {
		targets++
	}
	return targets >= 2 && (r.ranAsOnlyMarked || r.currentMark.OnlyMarkedCall)
}

func (r *markedRequest) addTarget() {
	if !slices.Contains(r.lostTargets, r.currentMark.Target) {
		r.lostTargets = append(r.lostTargets, r.currentMark.Target)
	}
	r.ranAsOnlyMarked = r.ranAsOnlyMarked || r.currentMark.OnlyMarkedCall
	if r.currentMark.At.After(r.newestLoss) {
		r.newestLoss = r.currentMark.At
	}
}

func (r *markedRequest) targetNames() string {
	names := make([]string, len(r.lostTargets))
	for i, t := range r.lostTargets {
		names[i] = string(t)
	}
	return strings.Join(names, ", ")
}
