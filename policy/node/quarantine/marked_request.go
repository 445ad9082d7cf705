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

// stateQuarantined is the state quarantined, by its index in the chart's order.
const stateQuarantined chart.StateID = 2

// markedRequest holds the marks of a request that ran when a target was lost.
type markedRequest struct {
	core              *Core
	state             chart.StateID
	fingerprint       uint64
	lostTargets       []model.Instance // targets lost while the request ran
	wasOnlyMarkedCall bool             // at one of these targets it was the only marked call
	newestLossAt      time.Time        // time of the newest of these losses
	currentMark       Mark             // the mark that is being added
}

// crashMarkMachine compiles the chart once for all requests. The machine itself holds
// no state of a request.
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

// causeConfirmed reports whether, including the current mark, at least two targets
// were lost while the request ran, and at one of them it was the only marked call.
func (r *markedRequest) causeConfirmed() bool {
	targets := len(r.lostTargets)
	if !slices.Contains(r.lostTargets, r.currentMark.Target) {
		targets++
	}
	return targets >= 2 && (r.wasOnlyMarkedCall || r.currentMark.OnlyMarkedCall)
}

func (r *markedRequest) addTarget() {
	if !slices.Contains(r.lostTargets, r.currentMark.Target) {
		r.lostTargets = append(r.lostTargets, r.currentMark.Target)
	}
	r.wasOnlyMarkedCall = r.wasOnlyMarkedCall || r.currentMark.OnlyMarkedCall
	if r.currentMark.At.After(r.newestLossAt) {
		r.newestLossAt = r.currentMark.At
	}
}

func (r *markedRequest) targetNames() string {
	names := make([]string, len(r.lostTargets))
	for i, t := range r.lostTargets {
		names[i] = string(t)
	}
	return strings.Join(names, ", ")
}
