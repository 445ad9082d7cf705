package dispatch

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/model/graph"
)

// paymentPath is the path of requests that are not idempotent, go to the first service and
// call the third one twice.
const paymentPath = "/payments/x"

// chainFleet simulates the requests of a deployment whose services call each other in a
// chain: each run at one makes a call to the next. Each node has a target of one service.
type chainFleet struct {
	t        *testing.T
	rng      *rand.Rand
	services []model.Service
	cores    []*Core
	indexOf  map[model.Instance]int
	failures []float64 // fraction of the runs at each service that end with status 500
	rejects  []float64 // fraction of the calls that the targets of each service reject although they are not full
	requests map[model.Service]int
	repeats  map[model.Service]int // arrivals beyond the first, and those of calls that a repeated run makes
	nextID   model.CallID

	config  *graph.Config
	reports []*model.NodeReport
	now     time.Time
	byStep  map[model.Service]map[int]*stepCounts // by the number of the ruleStep
}

// stepCounts counts what one service gets in one ruleStep.
type stepCounts struct{ requests, repeats int }

// ruleStep is the distance of the windows of 10 s for which the operators' rule is checked.
const ruleStep = 500 * time.Millisecond

func (f *chainFleet) count(s model.Service) *stepCounts {
	if f.byStep[s] == nil {
		f.byStep[s] = make(map[int]*stepCounts)
	}
	step := int(f.now.Sub(start) / ruleStep)
	if f.byStep[s][step] == nil {
		f.byStep[s][step] = new(stepCounts)
	}
	return f.byStep[s][step]
}

func newChainFleet(t *testing.T, seed uint64, nodes int, failures ...float64) *chainFleet {
	f := &chainFleet{
		t: t, rng: rand.New(rand.NewPCG(seed, 2)), indexOf: make(map[model.Instance]int), failures: failures,
		rejects: make([]float64, len(failures)), requests: make(map[model.Service]int), repeats: make(map[model.Service]int),
		now: start, byStep: make(map[model.Service]map[int]*stepCounts),
	}
	var routes []*graph.Route
	var services []*graph.Service
	for i := range failures {
		name := model.Service(fmt.Sprint("s", i))
		f.services = append(f.services, name)
		services = append(services, &graph.Service{Name: name})
		routes = append(routes, &graph.Route{
			Name: string(name), Host: "h", Prefix: "/" + string(name) + "/", Idempotent: true, Open: true, Timeout: time.Minute,
			LatencyObjective: time.Minute, MaxAttempts: 2, Split: []graph.WeightedService{{Service: name, Weight: 1}},
		})
	}
	payments := *routes[0]
	payments.Name, payments.Prefix, payments.Idempotent = "payments", "/payments/", false
	routes = append(routes, &payments)
	config, err := graph.New(1, graph.Limits{}, routes, services, nil)
	assert.NilError(t, err)
	f.config = config
	for n := range nodes {
		instance := model.Instance(fmt.Sprintf("10.0.%d.%d:7000", n/200, n%200+1))
		f.indexOf[instance] = n
		f.reports = append(f.reports, &model.NodeReport{NodeInfo: model.NodeInfo{
			Node: model.NodeID{Instance: instance, Incarnation: 1}, Service: f.services[n%len(f.services)], Zone: "z", State: model.TargetServing, Limit: 1000,
		}})
	}
	f.cores = make([]*Core, nodes)
	for n := range nodes {
		f.restart(n, seed)
	}
	return f
}

// restart replaces a node by one without memory.
func (f *chainFleet) restart(n int, seed uint64) {
	r := f.reports[n]
	c := New(r.Node.Instance, "z", r.Service, rand.New(rand.NewPCG(seed, uint64(n))))
	c.OnConfig(f.now, f.config, nil)
	f.cores[n] = c
	f.report(c)
}

// report lets a node know the targets' present state.
func (f *chainFleet) report(c *Core) {
	for _, r := range f.reports {
		c.OnReport(f.now, r)
	}
}

// serve sends a request at a node and returns whether it was answered with success.
func (f *chainFleet) serve(node, depth int, parent string) bool {
	return f.serveAt(node, depth, parent, "/"+string(f.services[depth])+"/x")
}

func (f *chainFleet) serveAt(node, depth int, parent, path string) bool {
	f.nextID++
	id := f.nextID
	core, service := f.cores[node], f.services[depth]
	f.requests[service]++
	f.count(service).requests++
	core.OnRequest(f.now, &model.Request{
		ID: id, AttemptID: fmt.Sprintf("%s.%d", parent, id), Parent: parent, Host: "h", Path: path, Method: http.MethodGet,
	})
	for {
		var next Decision
		for _, d := range core.Decisions() {
			if d.ID == id {
				next = d
			}
		}
		if next.Answer != nil {
			return next.Answer.Status == http.StatusOK
		}
		// A refusal by the target before this attempt was an arrival, too.
		if next.Call.IsRetry || next.Call.Attempt > 0 {
			f.repeats[service]++
			f.count(service).repeats++
		}
		if f.rng.Float64() < f.rejects[depth] {
			refusal := model.NewRefusal(id, model.ReasonShed, "the target rejects")
			refusal.Status = http.StatusServiceUnavailable
			core.OnAnswer(f.now, next.Peer, refusal)
			continue
		}
		status, nestedFailed := f.run(f.indexOf[next.Peer], depth, next.Call)
		core.OnAnswer(f.now, next.Peer, &model.Answer{ID: id, Run: model.Completed, Status: status, NestedFailed: nestedFailed})
	}
}

// run runs a call at a node's target and returns the answer's status, and whether a nested
// call has failed.
func (f *chainFleet) run(node, depth int, call *model.Call) (status int, nestedFailed bool) {
	core := f.cores[node]
	parent := &Parent{Call: call}
	core.OnParentStarted(parent)
	defer core.OnParentEnded(call)
	next, calls := depth+1, 1
	if call.Path == paymentPath {
		next, calls = 2, 2
	}
	for range calls {
		if next < len(f.services) && !f.serve(node, next, call.AttemptID) {
			return http.StatusInternalServerError, parent.NestedFailed.Load()
		}
	}
	if f.rng.Float64() < f.failures[depth] {
		return http.StatusInternalServerError, parent.NestedFailed.Load()
	}
	return http.StatusOK, false
}

// Guards against repeats that exceed the operators' limit at a service because the calls of
// repeated requests are repeats there as well, and because each node has a budget of its
// own. The limit for any 10 s is a fifth of the requests and a number that grows with the
// deployment.
func TestRepeatsStayWithinBudgetOfFleet(t *testing.T) {
	for _, deployment := range []struct {
		nodes, requests, slack int
	}{{17, 1200, 48}, {84, 3000, 113}, {195, 2000, 213}} {
		for name, failures := range map[string][]float64{
			"all":    {0.3, 0.3, 0.3, 0.3},
			"last":   {0, 0, 0, 0.5},
			"first":  {0.5, 0, 0, 0},
			"middle": {0, 0.3, 0.3, 0},
		} {
			f := newChainFleet(t, 0, deployment.nodes, failures...)
			for i := range deployment.requests {
				f.serve(f.rng.IntN(deployment.nodes), 0, "")
				if i%4 == 0 {
					f.serveAt(f.rng.IntN(deployment.nodes), 0, "", paymentPath)
				}
			}
			for _, s := range f.services {
				limit := f.requests[s]/5 + deployment.slack
				assert.Check(t, f.repeats[s] <= limit, "%d nodes, failures of %s, %s: %d repeats for %d requests, limit %d",
					deployment.nodes, name, s, f.repeats[s], f.requests[s], limit)
			}
		}
	}
}

// play serves rate requests a second for a period at the nodes that chooseNode returns, and
// calls onStep before each 100 ms.
func (f *chainFleet) play(period time.Duration, rate float64, chooseNode func() int, onStep func()) {
	const step = 100 * time.Millisecond
	due := 0.0
	for i := range int(period / step) {
		onStep()
		if i%10 == 0 {
			for _, c := range f.cores {
				f.report(c)
			}
		}
		for due += rate * step.Seconds(); due >= 1; due-- {
			f.serve(chooseNode(), 0, "")
		}
		f.now = f.now.Add(step)
	}
}

// checkRule checks the operators' rule for each window of 10 s: a fifth of the requests, of
// which the largest number of the window, the one before and the one half a window before
// counts, and the slack. It returns the largest ratio of repeats to requests.
func (f *chainFleet) checkRule(t *testing.T, name string, slack int) float64 {
	t.Helper()
	const window = int(10 * time.Second / ruleStep)
	worst := 0.0
	for _, s := range f.services {
		sum := func(from int) (total stepCounts) {
			for step := from; step < from+window; step++ {
				if c := f.byStep[s][step]; c != nil {
					total.requests += c.requests
					total.repeats += c.repeats
				}
			}
			return total
		}
		for from := range int(f.now.Sub(start) / ruleStep) {
			requests := max(sum(from).requests, sum(from-window).requests, sum(from-window/2).requests)
			repeats := sum(from).repeats
			worst = max(worst, float64(repeats)/float64(max(requests, 1)))
			assert.Check(t, repeats <= requests/5+slack, "%s, %s, from step %d: %d repeats for %d requests", name, s, from, repeats, requests)
		}
	}
	return worst
}

// Guards against a sum of the nodes' budgets that exceeds the operators' rule in some 10 s:
// when requests move between nodes, nodes restart, the runs of several services fail, or the
// targets of a service reject calls although they are not full.
func TestRepeatsStayWithinRuleInAnyWindow(t *testing.T) {
	const nodes, rate, slack = 40, 300.0, 50
	anyNode := func(f *chainFleet) func() int { return func() int { return f.rng.IntN(nodes) } }
	for _, c := range []struct {
		name       string
		failures   []float64
		chooseNode func(f *chainFleet) func() int
		onStep     func(f *chainFleet)
	}{
		{"requests move every 5 s", []float64{0.5, 0, 0, 0}, func(f *chainFleet) func() int {
			return func() int { return f.rng.IntN(nodes/2) + nodes/2*(int(f.now.Sub(start)/(5*time.Second))%2) }
		}, nil},
		{"requests move every 10 s", []float64{0.2, 0.2, 0.2, 0.2}, func(f *chainFleet) func() int {
			return func() int { return f.rng.IntN(nodes/2) + nodes/2*(int(f.now.Sub(start)/(10*time.Second))%2) }
		}, nil},
		{"nodes restart", []float64{0.3, 0.3, 0.3, 0.3}, anyNode, func(f *chainFleet) {
			if step := int(f.now.Sub(start) / (100 * time.Millisecond)); step%100 == 0 {
				for n := range nodes {
					f.restart(n, uint64(step))
				}
			} else {
				f.restart(step%nodes, uint64(step))
			}
		}},
		{"all fail", []float64{0.3, 0.3, 0.3, 0.3}, anyNode, nil},
		{"targets reject", make([]float64, 4), anyNode, func(f *chainFleet) {
			since := f.now.Sub(start)
			f.rejects[3] = 0
			if since >= 5*time.Second && since < 13500*time.Millisecond {
				f.rejects[3] = 0.55
			}
		}},
		{"last fails with demand that falls", []float64{0, 0, 0, 0.5}, anyNode, nil},
	} {
		f := newChainFleet(t, 3, nodes, c.failures...)
		onStep := func() {
			if c.onStep != nil {
				c.onStep(f)
			}
		}
		f.play(15*time.Second, rate, c.chooseNode(f), onStep)
		f.play(15*time.Second, rate/3, c.chooseNode(f), onStep)
		t.Logf("%s: at most %.3f repeats for each request", c.name, f.checkRule(t, c.name, slack))
	}
}

// Guards against more retries than the rule allows when each of many nodes has few requests:
// the least budgets of the nodes add up.
func TestRepeatsStayWithinRuleWithFewRequests(t *testing.T) {
	const nodes, slack = 88, 118
	for _, rate := range []float64{5, 18, 26, 44} {
		f := newChainFleet(t, 3, nodes, 0, 0, 0, 0)
		next := 0
		inTurn := func() int { next++; return next % nodes }
		f.play(time.Minute, rate, inTurn, func() {})
		f.failures[0] = 1
		f.play(10*time.Second, rate, inTurn, func() {})
		t.Logf("%.0f requests/s: at most %.3f repeats for each request", rate, f.checkRule(t, "few requests", slack))
	}
}
