package gate

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
)

// simStep is the resolution of the simulated time.
const simStep = 2 * time.Millisecond

// gateSim simulates a target in virtual time.
type gateSim struct {
	core    *Core
	now     time.Time
	rng     *rand.Rand
	runTime func(*model.Call) time.Duration // of a call that starts now
	ends    map[time.Time][]*trackedCall
}

func newGateSim(t *testing.T, slots int, runTime func(*model.Call) time.Duration) *gateSim {
	c := New(service, "north")
	a := announcement(1)
	a.Slots = slots
	assert.Assert(t, c.OnAnnouncement(start, a))
	return &gateSim{core: c, now: start, rng: rand.New(rand.NewPCG(1, 1)), runTime: runTime, ends: make(map[time.Time][]*trackedCall)}
}

// stream is a kind of call that arrives rate times a second.
type stream struct {
	rate    float64
	newCall func(now time.Time) *model.Call
	due     float64 // calls
}

// run simulates a period. It calls onStep before each step, and onEnd for each call that ends.
func (s *gateSim) run(period time.Duration, streams []*stream, onStep func(), onEnd func(*trackedCall)) {
	for end := s.now.Add(period); s.now.Before(end); s.now = s.now.Add(simStep) {
		onStep()
		for _, tc := range s.ends[s.now] {
			onEnd(tc)
			s.core.OnFinished(s.now, tc.call.ID, model.OutcomeAnswered, 200)
		}
		delete(s.ends, s.now)
		for _, calls := range streams {
			for calls.due += calls.rate * simStep.Seconds(); calls.due >= 1; calls.due-- {
				s.core.OnCall(s.now, calls.newCall(s.now))
			}
		}
		s.core.Tick(s.now)
		for _, d := range s.core.Decisions() {
			if isRun(d) {
				endsAt := s.now.Add(max(s.runTime(d.Run).Round(simStep), simStep))
				s.ends[endsAt] = append(s.ends[endsAt], s.core.byID[d.ID])
			}
		}
	}
}
