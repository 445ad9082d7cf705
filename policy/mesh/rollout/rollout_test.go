package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
)

// Guards against a good version that is not complete by the deadline, against requests that
// are refused or sent to targets that stop, and against a move that begins early: the
// requests that it adds count as exposure should the version turn bad.
func TestGoodVersionCompletesBeforeDeadline(t *testing.T) {
	for _, nodes := range []int{1, 5, 40} {
		for _, period := range []time.Duration{12 * time.Second, 30 * time.Second} {
			s := newSimulation(t, nodes, 10, 200/float64(nodes))
			s.period = period
			s.addTargets("v2", 10)
			s.give(s.order("v2", 1))
			s.run(period + time.Second)
			assert.Equal(t, s.finalState(), model.RolloutStateComplete)
			left := s.orderedAt.Add(period).Sub(s.finalAt)
			t.Logf("%d nodes, %v: complete %v before the deadline, %d of %d exposed", nodes, period, left, s.exposed, s.requests)
			assert.Assert(t, left > 0, "complete %v after the deadline", -left)
			assert.Equal(t, s.refused, 0)
			s.assertWithinBounds()
			s.run(15 * time.Second)
			assert.Equal(t, s.refused, 0)
		}
	}
}

// Guards against bad versions of any kind that are not rolled back, or that get more
// requests than the bounds allow.
func TestBadVersionIsRolledBackWithinBounds(t *testing.T) {
	isNew := func(r *model.NodeReport) bool { return r.Version == "v2" }
	kinds := map[string]func(s *simulation, r *model.NodeReport, route string) (bool, float64){
		"at once": func(s *simulation, r *model.NodeReport, _ string) (bool, float64) {
			return isNew(r) && s.rng.Float64() < 0.3, 1
		},
		"later": func(s *simulation, r *model.NodeReport, _ string) (bool, float64) {
			return isNew(r) && s.now.Sub(s.orderedAt) > 7*time.Second && s.rng.Float64() < 0.4, 1
		},
		"just before the move": func(s *simulation, r *model.NodeReport, _ string) (bool, float64) {
			return isNew(r) && s.now.Sub(s.orderedAt) > 11*time.Second && s.rng.Float64() < 0.4, 1
		},
		"one route": func(s *simulation, r *model.NodeReport, route string) (bool, float64) {
			return isNew(r) && route == "file" && s.rng.Float64() < 0.3, 1
		},
		"slow": func(s *simulation, r *model.NodeReport, _ string) (bool, float64) {
			if isNew(r) && s.rng.Float64() < 0.4 {
				return false, 6
			}
			return false, 1
		},
		"under load": func(s *simulation, r *model.NodeReport, _ string) (bool, float64) {
			return isNew(r) && s.inFlight[r.Node.Instance] >= 2 && s.rng.Float64() < 0.6, 1
		},
	}
	for name, failing := range kinds {
		t.Run(name, func(t *testing.T) {
			for _, nodes := range []int{4, 40} {
				s := newSimulation(t, nodes, 30, 900/float64(nodes))
				s.failing = failing
				s.addTargets("v2", 30)
				s.give(s.order("v2", 1))
				s.run(14 * time.Second)
				assert.Equal(t, s.finalState(), model.RolloutStateRolledBack)
				t.Logf("%d nodes: rolled back after %v, %d of %d exposed", nodes, s.finalAt.Sub(s.orderedAt), s.exposed, s.requests)
				s.assertWithinBounds()
				assert.Equal(t, s.refused, 0)
				if name == "under load" {
					assert.Assert(t, s.finalAt.Sub(s.orderedAt) < 10*time.Second, "the canary share did not show it")
				}
			}
		})
	}
}

// Guards against a version that becomes bad after many good responses, which hide it in the
// sum of all.
func TestVersionThatTurnsBadIsFoundByRecentResponses(t *testing.T) {
	s := newSimulation(t, 4, 20, 500)
	s.period = 60 * time.Second
	s.failing = func(s *simulation, r *model.NodeReport, _ string) (bool, float64) {
		return r.Version == "v2" && s.now.Sub(s.orderedAt) > 40*time.Second && s.rng.Float64() < 0.2, 1
	}
	s.addTargets("v2", 20)
	s.give(s.order("v2", 1))
	s.run(58 * time.Second)
	assert.Equal(t, s.finalState(), model.RolloutStateRolledBack)
	s.assertWithinBounds()
}

// Guards against a slack that each of many nodes uses up for itself: with few calls each,
// together they send no more than the share and a few requests.
func TestShareHoldsSummedOverNodesWithFewCalls(t *testing.T) {
	s := newSimulation(t, 150, 10, 0.5)
	s.addTargets("v2", 10)
	s.give(s.order("v2", 1))
	s.run(10 * time.Second)
	t.Logf("%d of %d", s.exposed, s.requests)
	assert.Assert(t, s.exposed <= s.requests/10, "%d of %d requests", s.exposed, s.requests)
}

// Guards against an order that fails with the node whose turn it is: the node is killed,
// paused or cut off when the status is due.
func TestOrderSurvivesLossOfTheWritingNode(t *testing.T) {
	for name, lose := range map[string]func(s *simulation, n *simNode){
		"killed": func(s *simulation, n *simNode) { s.nodes = s.nodes[:len(s.nodes)-1] },
		"paused": func(s *simulation, n *simNode) {
			n.paused = true
			s.after(4*time.Second, func() { n.paused = false })
		},
		"cut off": func(s *simulation, n *simNode) { n.cut = true },
	} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, 5, 10, 40)
			s.addTargets("v2", 10)
			s.give(s.order("v2", 1))
			s.run(11 * time.Second)
			s.moveFirstWriterLast()
			lose(s, s.nodes[len(s.nodes)-1])
			s.run(6 * time.Second)
			assert.Equal(t, s.finalState(), model.RolloutStateComplete)
			assert.Assert(t, s.finalAt.Before(s.orderedAt.Add(s.period)), "complete %v late", s.finalAt.Sub(s.orderedAt.Add(s.period)))
			s.run(2 * time.Second)
			for _, n := range s.nodes {
				if !n.cut {
					assert.Equal(t, n.core.Phases()[simService], model.RolloutComplete)
				}
			}
		})
	}
}

// Guards against nodes that are cut off and go on to send calls to a version that the others
// have found to be bad, also when they have moved to it.
func TestNodesThatAreCutOffStopCallsToTheVersion(t *testing.T) {
	for _, cutIn := range []model.RolloutPhase{model.RolloutCanary, model.RolloutMoving} {
		s := newSimulation(t, 8, 10, 40)
		s.addTargets("v2", 10)
		s.give(s.order("v2", 1))
		s.run(3 * time.Second)
		for s.nodes[0].core.Phases()[simService] != cutIn || s.nodes[1].core.Phases()[simService] != cutIn {
			s.run(simStep)
		}
		for _, n := range s.nodes[:2] {
			n.cut = true
		}
		s.failing = func(s *simulation, r *model.NodeReport, _ string) (bool, float64) {
			return r.Version == "v2" && s.rng.Float64() < 0.5, 1
		}
		s.run(10 * time.Second)
		assert.Equal(t, s.finalState(), model.RolloutStateRolledBack)
		late := s.lastNew.Sub(s.finalAt)
		assert.Assert(t, late < 3*time.Second, "the version got a call %v after it was rolled back", late)
		s.assertWithinBounds()
		assert.Equal(t, s.refused, 0)
		for _, n := range s.nodes {
			n.cut = false
		}
		s.run(2 * time.Second)
		for _, n := range s.nodes {
			assert.Equal(t, n.core.Phases()[simService], model.RolloutRolledBack)
		}
	}
}

// moveFirstWriterLast moves the node that has the first turn to the end of the list.
func (s *simulation) moveFirstWriterLast() {
	first := 0
	seed := string(simService) + " v2"
	for i, n := range s.nodes {
		if hash(seed, n.id) < hash(seed, s.nodes[first].id) {
			first = i
		}
	}
	last := len(s.nodes) - 1
	s.nodes[first], s.nodes[last] = s.nodes[last], s.nodes[first]
}

// Guards against an order that gets calls for a version that a newer order has replaced, and
// against an order back to the old version that leaves callers without targets.
func TestNewestOrderTakesPrecedence(t *testing.T) {
	s := newSimulation(t, 5, 10, 40)
	s.addTargets("v2", 10)
	s.addTargets("v3", 10)
	s.give(s.order("v2", 1))
	s.run(4 * time.Second)
	s.give(s.order("v3", 2))
	s.run(500 * time.Millisecond)
	changed := s.now
	s.run(4 * time.Second)
	s.store.era = 2
	for _, offset := range []int64{1, 2} { // a restore brings the order for v2 back; then the operator writes that for v3 again
		for _, n := range s.nodes {
			n.core.OnOrders(s.now, []model.RolloutOrder{s.order([]string{"", "v2", "v3"}[offset], offset)}, model.LogPosition{Era: 2, Offset: 100})
		}
		s.run(time.Second)
	}
	s.run(7 * time.Second)
	assert.Equal(t, s.finalState(), model.RolloutStateComplete)
	assert.Equal(t, s.finals[0].Version, "v3")
	assert.Assert(t, s.lastNew.Before(changed), "v2 got calls after the order for v3")
	assert.Equal(t, s.refused, 0)

	back := newSimulation(t, 5, 10, 40)
	back.addTargets("v2", 10)
	back.give(back.order("v2", 1))
	back.run(4 * time.Second)
	back.give(back.order("v1", 2))
	back.run(13 * time.Second)
	assert.Equal(t, back.finals[0].Version, "v1")
	assert.Equal(t, back.refused, 0)
}

// Guards against nodes that all restart and carry out an order again that has a final
// status, or that give a rolled back version calls.
func TestStatusDecidesAfterRestartOfAllNodes(t *testing.T) {
	s := newSimulation(t, 4, 10, 40)
	s.failing = func(s *simulation, r *model.NodeReport, _ string) (bool, float64) {
		return r.Version == "v2" && s.rng.Float64() < 0.5, 1
	}
	s.addTargets("v2", 10)
	order := s.order("v2", 1)
	s.give(order)
	s.run(8 * time.Second)
	assert.Equal(t, s.finalState(), model.RolloutStateRolledBack)
	restarted := s.now
	for _, n := range s.nodes {
		s.start(n)
		n.core.OnOrders(s.now, []model.RolloutOrder{order}, s.end())
	}
	s.run(10 * time.Second)
	assert.Equal(t, s.finalState(), model.RolloutStateRolledBack)
	assert.Assert(t, s.lastNew.Before(restarted), "the version got calls after the restart")

	// Without a final status the order begins anew.
	s = newSimulation(t, 4, 10, 40)
	s.addTargets("v2", 10)
	s.give(order)
	s.run(6 * time.Second)
	for _, n := range s.nodes {
		s.start(n)
		n.core.OnOrders(s.now, []model.RolloutOrder{order}, s.end())
	}
	s.run(13 * time.Second)
	assert.Equal(t, s.finalState(), model.RolloutStateComplete)
	assert.Equal(t, s.refused, 0)
}

// Guards against a full share of calls for a version that appears a moment before its order,
// and against a release without an order that is not served as before.
func TestVersionWithoutOrderGetsTheShareAtFirst(t *testing.T) {
	s := newSimulation(t, 4, 10, 100)
	s.give(model.RolloutOrder{}) // counts from now on
	s.events = nil
	s.addTargets("v2", 10)
	s.run(1900 * time.Millisecond)
	assert.Assert(t, s.exposed > 0 && s.exposed <= s.requests/20, "%d of %d requests", s.exposed, s.requests)
	s.run(5 * time.Second)
	assert.Assert(t, s.exposed > s.requests/4, "%d of %d requests", s.exposed, s.requests)
}
