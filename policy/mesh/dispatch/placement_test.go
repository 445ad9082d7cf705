package dispatch

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
)

// unevenSpeeds are the speeds of the targets of two simulated services.
var unevenSpeeds = [][]float64{{0.7, 0.7, 1.6}, {0.5, 1, 1, 1.5}}

// newFleetSim returns a simulation of 80 nodes and 20 targets in four availability zones.
func newFleetSim(utilization float64, speeds []float64, choose choice) *fleetSim {
	return &fleetSim{
		zoneSizes: []int{5, 5, 5, 5}, speeds: speeds, utilization: utilization,
		nested: true, objective: 300 * time.Millisecond, length: 5 * time.Second, choose: choose,
	}
}

// leastCost chooses the target with the lowest cost of all, with a jitter of 10%.
func leastCost(s *targetSet, now time.Time, call *model.Call) *target {
	s.groupTargets(now, call, nil, nil)
	var best *target
	bestCost := math.Inf(1)
	for _, group := range s.groups {
		for _, c := range group {
			if cost := (c.cost()-c.penalty)*(1+0.1*s.rng.Float64()) + c.penalty; cost < bestCost {
				best, bestCost = c.target, cost
			}
		}
	}
	return best
}

// random chooses any target of the node's availability zone.
func random(s *targetSet, now time.Time, call *model.Call) *target {
	s.groupTargets(now, call, nil, nil)
	return s.groups[nearGroup][s.rng.IntN(len(s.groups[nearGroup]))].target
}

func drawn(s *targetSet, now time.Time, call *model.Call) *target {
	return s.choose(now, call, nil, nil)
}

// Guards against nodes that choose the same target because they have the same reports: the
// busiest target of a service got 1.4 to 3 times the mean, in relation to what it could
// bear.
func TestBusiestTargetIsNearMean(t *testing.T) {
	for i, utilization := range []float64{0.6, 0.75, 0.85, 0.95} {
		for _, speeds := range unevenSpeeds {
			r := newFleetSim(utilization, speeds, drawn).run(uint64(100 + i))
			assert.Check(t, r.busiest < 1.25, "utilization %.2f, speeds %v: %v", utilization, speeds, r)
		}
	}
}

// Guards against a spread over slower targets while the faster ones have room.
func TestFastTargetsArePreferredInCalm(t *testing.T) {
	for i, utilization := range []float64{0.2, 0.4} {
		for _, speeds := range unevenSpeeds {
			r := newFleetSim(utilization, speeds, drawn).run(uint64(110 + i))
			fastest := newFleetSim(utilization, speeds, leastCost).run(uint64(110 + i))
			assert.Check(t, r.meanTime < fastest.meanTime*21/20, "utilization %.2f, speeds %v: %v, with the least cost %v", utilization, speeds, r, fastest)
			assert.Check(t, r.left == 0)
		}
	}
}

// Guards against a queue at targets that slow down for a moment, which all nodes still know
// as fast.
func TestSlowedTargetsGetFewerCalls(t *testing.T) {
	for i, speeds := range unevenSpeeds {
		run := func(choose choice) simResult {
			f := newFleetSim(0.85, speeds, choose)
			f.slowPart = 0.15
			return f.run(uint64(120 + i))
		}
		r, least, any := run(drawn), run(leastCost), run(random)
		t.Logf("drawn %v\nleast cost %v\nrandom %v", r, least, any)
		assert.Check(t, r.p99Wait < least.p99Wait/2 && r.p99Wait < any.p99Wait/2)
	}
}
