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
	eventLost chart.EventID = iota
	eventCompleted
	eventLapsed
)

// stateQuarantined is the place of the state quarantined in the chart.
const stateQuarantined chart.StateID = 2

// suspicion is what is known of one request that was in flight when a target
// was lost.
type suspicion struct {
	core        *Core
	state       chart.StateID
	fingerprint uint64
	targets     []model.Instance // lost while it ran
	alone       bool             // at one of them as the only marked call
	newest      time.Time        // of the losses
	loss        Mark             // the loss that is being handled
}

// markMachine compiles the chart once. It holds no state of a request.
var markMachine = sync.OnceValue(func() *chart.Machine[*suspicion] {
	return chart.MustCompile(charts.MustRead("crash_mark"), chart.Binding[*suspicion]{
		States:  []string{"unmarked", "marked", "quarantined", "cleared"},
		Events:  []string{"lost", "completed", "lapsed"},
		Guards:  map[string]func(*suspicion) bool{"proven": (*suspicion).proven},
		Actions: map[string]func(*suspicion){"add_target": (*suspicion).addTarget},
	})
})

func (s *suspicion) step(e chart.EventID) {
	m := s.core.machine
	s.state = m.Step(s, s.state, e)
	if m.Final(s.state) {
		delete(s.core.marks, s.fingerprint)
	}
}

// proven reports whether the loss makes two targets, of which the request ran
// at one as the only marked call.
func (s *suspicion) proven() bool {
	known := len(s.targets)
	if !slices.Contains(s.targets, s.loss.Target) {
		known++
	}
	return known >= 2 && (s.alone || s.loss.OnlyMarkedCall)
}

func (s *suspicion) addTarget() {
	if !slices.Contains(s.targets, s.loss.Target) {
		s.targets = append(s.targets, s.loss.Target)
	}
	s.alone = s.alone || s.loss.OnlyMarkedCall
	if s.loss.At.After(s.newest) {
		s.newest = s.loss.At
	}
}

func (s *suspicion) names() string {
	names := make([]string, len(s.targets))
	for i, t := range s.targets {
		names[i] = string(t)
	}
	return strings.Join(names, ", ")
}
