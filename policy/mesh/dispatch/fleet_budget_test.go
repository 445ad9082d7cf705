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
	requests map[model.Service]int
	repeats  map[model.Service]int // arrivals beyond the first, and those of calls that a repeated run makes
	nextID   model.CallID
}

func newChainFleet(t *testing.T, seed uint64, nodes int, failures ...float64) *chainFleet {
	f := &chainFleet{
		t: t, rng: rand.New(rand.NewPCG(seed, 2)), indexOf: make(map[model.Instance]int), failures: failures,
		requests: make(map[model.Service]int), repeats: make(map[model.Service]int),
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
	var reports []*model.NodeReport
	for n := range nodes {
		instance := model.Instance(fmt.Sprintf("10.0.%d.%d:7000", n/200, n%200+1))
		f.indexOf[instance] = n
		service := f.services[n%len(f.services)]
		f.cores = append(f.cores, New(instance, "z", service, rand.New(rand.NewPCG(seed, uint64(n)))))
		reports = append(reports, &model.NodeReport{NodeInfo: model.NodeInfo{
			Node: model.NodeID{Instance: instance, Incarnation: 1}, Service: service, Zone: "z", State: model.TargetServing, Limit: 1000,
		}})
	}
	for _, c := range f.cores {
		c.OnConfig(start, config, nil)
		for _, r := range reports {
			c.OnReport(start, r)
		}
	}
	return f
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
	core.OnRequest(start, &model.Request{
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
		if next.Call.IsRetry {
			f.repeats[service]++
		}
		status, nestedFailed := f.run(f.indexOf[next.Peer], depth, next.Call)
		core.OnAnswer(start, next.Peer, &model.Answer{ID: id, Run: model.Completed, Status: status, NestedFailed: nestedFailed})
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
