package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
)

// Guards against a second final state, a lost one, or a move without the log when the log is
// down, slow or loses answers, and against calls that a bad version gets meanwhile.
func TestUnstableLog(t *testing.T) {
	for name, fault := range map[string]func(s *simulation){
		"down":          func(s *simulation) { s.store.down = true },
		"slow":          func(s *simulation) { s.store.delay = time.Second },
		"loses answers": func(s *simulation) { s.store.loseAppends = true },
	} {
		for _, bad := range []bool{false, true} {
			s := newSimulation(t, 6, 10, 60)
			s.addTargets("v2", 10)
			s.give(s.order("v2", 1))
			s.run(2 * time.Second)
			fault(s)
			s.failing = func(s *simulation, r *model.NodeReport, _ string) (bool, float64) {
				return bad && r.Version == "v2" && s.rng.Float64() < 0.4, 1
			}
			s.run(9900 * time.Millisecond)
			for _, n := range s.nodes {
				assert.Assert(t, !s.store.down || n.core.Phases()[simService] != model.RolloutMoving, "%s: moved without the log", name)
			}
			s.run(5 * time.Second)
			s.store.down, s.store.loseAppends, s.store.delay = false, false, simStep
			s.run(6 * time.Second)
			want := model.RolloutStateComplete
			if bad {
				want = model.RolloutStateRolledBack
			}
			assert.Equal(t, s.finalState(), want, name)
			s.assertWithinBounds()
			assert.Equal(t, s.refused, 0, name)
		}
	}
}

// Guards against a final status that a restore of the log loses for good, and against an
// order that is carried out twice because the operator writes it again.
func TestRestoredLogGetsTheFinalStatusAgain(t *testing.T) {
	s := newSimulation(t, 5, 10, 40)
	s.addTargets("v2", 10)
	s.give(s.order("v2", 1))
	s.run(13 * time.Second)
	assert.Equal(t, s.finalState(), model.RolloutStateComplete)
	s.store.status, s.store.end, s.store.era, s.finals = map[model.Service]model.RolloutStatus{}, 0, 2, nil
	for _, n := range s.nodes {
		n.core.OnOrders(s.now, nil, model.LogPosition{Era: 2, Offset: 100})
	}
	s.run(2 * time.Second)
	s.give(s.order("v2", 9))
	s.run(5 * time.Second)
	assert.Equal(t, s.finalState(), model.RolloutStateComplete)
	assert.Equal(t, s.store.status[simService].State, model.RolloutStateComplete)
	assert.Equal(t, s.refused, 0)
}

// Guards against a second final state: an append that finds a newer record counts only after
// the stream was read again, and not if that shows a final state.
func TestAppendThatFindsNewerRecordReadsAgain(t *testing.T) {
	s := newSimulation(t, 1, 4, 0)
	c, order := s.nodes[0].core, s.order("v2", 1)
	c.OnOrders(s.now, []model.RolloutOrder{order}, model.LogPosition{Era: 1, Offset: 100})
	takeTask := func() Task {
		t.Helper()
		c.Tick(s.now)
		tasks := c.TakeTasks()
		assert.Equal(t, len(tasks), 1)
		return tasks[0]
	}
	read := takeTask()
	assert.Assert(t, read.Read)
	c.OnStatusRead(s.now, read, nil, model.LogPosition{Era: 1, Offset: 5}, nil)
	write := takeTask()
	assert.Equal(t, write.Status.State, model.RolloutStateRunning)
	c.OnStatusAppended(s.now, write, true, nil)
	again := takeTask()
	assert.Assert(t, again.Read)
	status := model.RolloutStatus{Service: simService, Version: "v2", State: model.RolloutStateRolledBack}
	c.OnStatusRead(s.now, again, []model.RolloutStatus{status}, model.LogPosition{Era: 1, Offset: 6}, nil)
	assert.Equal(t, c.Phases()[simService], model.RolloutRolledBack)
	assert.Equal(t, len(c.TakeTasks()), 0)
}

// Guards against an order that counts as withdrawn because a peer has told it before the node
// has read so far, and against a node that starts and takes the word of a peer that was cut
// off before it has asked the log.
func TestOrderToldByPeerBeforeTheLog(t *testing.T) {
	s := newSimulation(t, 1, 4, 0)
	c := s.nodes[0].core
	report := model.RolloutReport{Node: model.NodeID{Instance: "p:1", Incarnation: 1}, Order: s.order("v2", 7), Phase: model.RolloutCanary}
	c.OnPeerReport(s.now, report)
	c.OnOrders(s.now, nil, model.LogPosition{Era: 1, Offset: 7})
	assert.Equal(t, c.Phases()[simService], model.RolloutCanary)
	c.OnOrders(s.now, nil, model.LogPosition{Era: 1, Offset: 8})
	assert.Equal(t, len(c.Phases()), 0)

	s.start(s.nodes[0])
	c = s.nodes[0].core
	c.OnPeerReport(s.now, report)
	assert.Equal(t, c.Phases()[simService], model.RolloutChecking)
	c.OnStatusRead(s.now, c.TakeTasks()[0], nil, model.LogPosition{Era: 1}, nil)
	assert.Equal(t, c.Phases()[simService], model.RolloutCanary)
}

// Guards against calls to a version that was rolled back and whose targets still serve when
// the operator writes another order, withdraws this one or replaces it by an invalid one.
func TestRolledBackVersionGetsNoCallsAfterItsOrder(t *testing.T) {
	for name, next := range map[string]func(s *simulation) []model.RolloutOrder{
		"another order": func(s *simulation) []model.RolloutOrder { return []model.RolloutOrder{s.order("v3", 2)} },
		"withdrawn":     func(*simulation) []model.RolloutOrder { return nil },
	} {
		s := newSimulation(t, 1, 4, 0)
		s.addTargets("v2", 4)
		s.give(s.order("v2", 1))
		s.run(time.Second)
		c := s.nodes[0].core
		c.OnPeerReport(s.now, model.RolloutReport{
			Node: model.NodeID{Instance: "p:1", Incarnation: 1}, Order: s.order("v2", 1), Phase: model.RolloutRolledBack,
		})
		assert.Equal(t, c.Phases()[simService], model.RolloutRolledBack)
		c.OnOrders(s.now, next(s), s.end())
		s.run(3 * time.Second)
		for peer, target := range c.services[simService].census.targets {
			for _, filter := range c.Filters(s.now, simService) {
				assert.Assert(t, target.version != "v2" || !filter(peer), name)
			}
			if target.version == "v2" {
				assert.Assert(t, !c.Carries(s.now, simService, peer), name)
			}
		}
	}
}

// Guards against an order that never gets a final status: a node that learns late of it has
// written the status of the order before it, which must not count as that of a later one.
func TestLateStatusOfSupersededOrderIsReplaced(t *testing.T) {
	s := newSimulation(t, 1, 4, 0)
	s.store.down = true
	s.give(s.order("v2", 1))
	s.run(500 * time.Millisecond)
	s.store.down = false
	s.give(s.order("v3", 2))
	s.run(100 * time.Millisecond)
	s.addTargets("v3", 4)
	s.run(5 * time.Second)
	assert.Equal(t, s.store.status[simService], model.RolloutStatus{Service: simService, Version: "v3", State: model.RolloutStateRunning})
	s.append(model.RolloutStatus{Service: simService, Version: "v2", State: model.RolloutStateRunning})
	s.run(10 * time.Second)
	assert.Equal(t, s.finalState(), model.RolloutStateComplete)
	assert.Equal(t, s.store.status[simService].Version, "v3")
}
