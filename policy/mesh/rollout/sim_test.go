package rollout

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
)

// simulation plays some nodes, the targets of one service and the log in virtual time.
// Reports and results reach the cores by plain function calls.
type simulation struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Time
	nodes   []*simNode
	targets []*model.NodeReport
	store   simStore
	events  []simEvent

	period  time.Duration
	rate    float64 // requests per second at each node
	routes  []string
	failing func(s *simulation, target *model.NodeReport, route string) (failed bool, slowdown float64)

	inFlight             map[model.Instance]int
	requests, exposed    int // since the order, before the deadline
	bad                  int
	fiftiethBad, lastNew time.Time
	orderedAt            time.Time
	refused              int
	finals               []model.RolloutStatus // final states that the log was given
	finalAt              time.Time
}

type simNode struct {
	id     model.Instance
	core   *Core
	cut    bool // neither peers nor the log reach it
	paused bool
}

type simEvent struct {
	at time.Time
	do func()
}

type simStore struct {
	status            map[model.Service]model.RolloutStatus
	end               int64
	era               uint64
	down, loseAppends bool
	delay             time.Duration
}

const (
	simStep    = 10 * time.Millisecond
	simLatency = 2 * simStep
	simService = model.Service("ledger")
)

func newSimulation(t *testing.T, nodes, targets int, rate float64) *simulation {
	s := &simulation{
		t: t, rng: rand.New(rand.NewPCG(7, uint64(nodes))), now: time.Unix(1000, 0), period: 12 * time.Second, rate: rate,
		routes: []string{"browse", "file"}, inFlight: make(map[model.Instance]int),
		store:   simStore{status: make(map[model.Service]model.RolloutStatus), delay: simStep, era: 1},
		failing: func(*simulation, *model.NodeReport, string) (bool, float64) { return false, 1 },
	}
	s.addTargets("v1", targets)
	for i := range nodes {
		s.nodes = append(s.nodes, &simNode{id: model.Instance(fmt.Sprintf("n%d:1", i))})
	}
	for _, n := range s.nodes {
		s.start(n)
		n.core.OnOrders(s.now, nil, s.end())
	}
	s.run(3 * time.Second) // so that no version is fresh
	return s
}

// start starts a node, or starts it again without any state.
func (s *simulation) start(n *simNode) {
	n.core = New(model.NodeID{Instance: n.id, Incarnation: model.Incarnation(s.rng.Uint64())}, DefaultBounds, s.rng)
	var peers []model.Instance
	for _, other := range s.nodes {
		if other != n {
			peers = append(peers, other.id)
		}
	}
	n.core.SetPeers(peers)
	for _, r := range s.targets {
		n.core.OnReport(s.now, r)
	}
}

func (s *simulation) addTargets(version string, count int) {
	for i := range count {
		r := &model.NodeReport{NodeInfo: model.NodeInfo{
			Node: model.NodeID{Instance: model.Instance(fmt.Sprintf("%s-%d:1", version, i))}, Service: simService,
			State: model.TargetServing, Limit: 16, Version: version,
		}}
		s.targets = append(s.targets, r)
		for _, n := range s.nodes {
			n.core.OnReport(s.now, r)
		}
	}
}

func (s *simulation) order(version string, offset int64) model.RolloutOrder {
	return model.RolloutOrder{Service: simService, Version: version, Period: s.period, Position: model.LogPosition{Era: s.store.era, Offset: offset}}
}

// end returns a position after all orders.
func (s *simulation) end() model.LogPosition { return model.LogPosition{Era: s.store.era, Offset: 100} }

// give gives an order to the nodes that can be reached, at slightly different times.
func (s *simulation) give(o model.RolloutOrder) {
	s.orderedAt, s.requests, s.exposed, s.bad = s.now, 0, 0, 0
	for _, n := range s.nodes {
		s.after(time.Duration(s.rng.IntN(10))*simStep, func() {
			if !n.cut {
				n.core.OnOrders(s.now, []model.RolloutOrder{o}, s.end())
			}
		})
	}
}

func (s *simulation) after(d time.Duration, do func()) {
	s.events = append(s.events, simEvent{at: s.now.Add(d), do: do})
}

func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(simStep) {
		var later, due []simEvent
		for _, e := range s.events {
			if e.at.After(s.now) {
				later = append(later, e)
			} else {
				due = append(due, e)
			}
		}
		s.events = later
		for _, e := range due {
			e.do()
		}
		for _, n := range s.nodes {
			if !n.paused {
				s.step(n)
			}
		}
	}
}

func (s *simulation) step(n *simNode) {
	if !s.store.down && !n.cut {
		n.core.SetLogConfirmedAt(s.now)
	}
	n.core.Tick(s.now)
	for _, r := range n.core.TakeReports() {
		for _, other := range s.nodes {
			if other != n && !n.cut && !other.cut {
				s.deliver(other, func() { other.core.OnPeerReport(s.now, r) })
			}
		}
	}
	for _, task := range n.core.TakeTasks() {
		s.perform(n, task)
	}
	n.core.TakeChanges()
	for range s.arrivals() {
		s.request(n)
	}
}

// deliver delivers a message after the latency, or after the pause of a paused node.
func (s *simulation) deliver(n *simNode, do func()) {
	s.after(simLatency, func() {
		if n.paused {
			s.deliver(n, do)
			return
		}
		do()
	})
}

func (s *simulation) arrivals() int {
	expected := s.rate * simStep.Seconds()
	count := int(expected)
	if s.rng.Float64() < expected-float64(count) {
		count++
	}
	return count
}

func (s *simulation) request(n *simNode) {
	var candidates []*model.NodeReport
	filters := n.core.Filters(s.now, simService)
	for i := 0; len(candidates) == 0 && i < max(len(filters), 1); i++ {
		for _, r := range s.targets {
			if r.State == model.TargetServing && (len(filters) == 0 || filters[i](r.Node.Instance)) {
				candidates = append(candidates, r)
			}
		}
	}
	if len(candidates) == 0 {
		s.refused++
		return
	}
	target := candidates[s.rng.IntN(len(candidates))]
	version := n.core.OnSent(s.now, simService, target.Node.Instance)
	isNew := target.Version == "v2"
	if s.now.Before(s.orderedAt.Add(s.period)) {
		s.requests++
		if isNew {
			s.exposed++
		}
	}
	if isNew {
		s.lastNew = s.now
	}
	route := s.routes[s.rng.IntN(len(s.routes))]
	failed, slowdown := s.failing(s, target, route)
	took := time.Duration((0.5 + s.rng.Float64()) * slowdown * float64(60*time.Millisecond))
	s.inFlight[target.Node.Instance]++
	s.after(took, func() {
		s.inFlight[target.Node.Instance]--
		if failed || slowdown > 1 {
			if s.bad++; s.bad == 50 {
				s.fiftiethBad = s.now
			}
		}
		n.core.OnEnded(simService, version)
		n.core.OnResponse(s.now, Response{Service: simService, Version: version, Route: route, Failed: failed, Time: took})
	})
}

var errStoreDown = errors.New("the store is down")

// perform performs a task of a node on the simulated store.
func (s *simulation) perform(n *simNode, task Task) {
	delay := s.store.delay
	s.after(delay, func() {
		if task.Read {
			status, end, err := s.store.status[simService], model.LogPosition{Era: s.store.era, Offset: s.store.end}, error(nil)
			if s.store.down || n.cut {
				err = errStoreDown
			}
			s.deliver(n, func() { n.core.OnStatusRead(s.now, task, []model.RolloutStatus{status}, end, err) })
			return
		}
		err, conflict := error(nil), false
		switch {
		case s.store.down || n.cut:
			err = errStoreDown
		case task.End != model.LogPosition{Era: s.store.era, Offset: s.store.end}:
			conflict = true
		default:
			s.append(task.Status)
			if s.store.loseAppends {
				err = errStoreDown
			}
		}
		s.deliver(n, func() { n.core.OnStatusAppended(s.now, task, conflict, err) })
	})
}

func (s *simulation) append(status model.RolloutStatus) {
	s.store.end++
	s.store.status[status.Service] = status
	if status.State.Final() {
		s.finals = append(s.finals, status)
		s.finalAt = s.now
	}
	if status.State == model.RolloutStateComplete {
		for _, r := range s.targets { // the old targets stop at once
			if r.Version != status.Version {
				stopped := *r
				stopped.State = model.TargetLost
				*r = stopped
			}
		}
	}
}

// finalState returns the only final state that the log was given.
func (s *simulation) finalState() model.RolloutState {
	s.t.Helper()
	assert.Equal(s.t, len(s.finals), 1, "final states: %v", s.finals)
	return s.finals[0].State
}

// assertWithinBounds checks the bounds on what a bad version may do.
func (s *simulation) assertWithinBounds() {
	s.t.Helper()
	allowed := int(DefaultBounds.ExposeShare*float64(s.requests)) + DefaultBounds.ExposeSlack
	assert.Assert(s.t, s.exposed <= allowed, "%d of %d requests reached the version, want at most %d", s.exposed, s.requests, allowed)
	if !s.fiftiethBad.IsZero() {
		late := s.lastNew.Sub(s.fiftiethBad)
		assert.Assert(s.t, late <= DefaultBounds.Rollback, "a request was sent %v after the 50th bad response", late)
	}
}
