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
	"github.com/oleanderworks/oleanderworks/policy/poison"
)

const (
	service = model.Service("registry")
	near    = model.Instance("10.0.0.2:7000")
	nearToo = model.Instance("10.0.0.3:7000")
	far     = model.Instance("10.1.0.2:7000")
)

var start = time.Unix(1000, 0)

func config(t *testing.T, version uint64, change func(*graph.Route)) *graph.Config {
	t.Helper()
	lookup := &graph.Route{
		Name: "lookup", Host: "registry.example", Prefix: "/tags/", Idempotent: true, Timeout: time.Second,
		LatencyObjective: 400 * time.Millisecond, Priority: 2, MaxAttempts: 2, Split: []graph.WeightedService{{Service: service, Weight: 1}},
	}
	if change != nil {
		change(lookup)
	}
	marking := *lookup
	marking.Name, marking.Prefix, marking.Idempotent = "marking", "/marks/", false
	open := *lookup
	open.Name, open.Prefix, open.Open, open.Priority = "open", "/open/", true, 1
	c, err := graph.New(version, graph.Limits{}, []*graph.Route{lookup, &marking, &open},
		[]*graph.Service{{Name: service}, {Name: "other"}},
		[]*graph.Customer{
			{Name: "herders", Keys: []string{"key-h"}, Priority: 1, HasPriority: true},
			{Name: "export", Keys: []string{"key-e"}, Rate: 2, Burst: 2},
		})
	assert.NilError(t, err)
	return c
}

// newCore returns a core with three targets, of which two are in its own
// availability zone.
func newCore(t *testing.T) *Core {
	t.Helper()
	c := New("10.0.0.1:7000", "north", "tally", rand.New(rand.NewPCG(1, 1)))
	c.OnConfig(start, config(t, 1, nil), nil)
	for _, peer := range []model.Instance{near, nearToo} {
		c.OnReport(start, report(peer, "north", model.TargetServing))
	}
	c.OnReport(start, report(far, "south", model.TargetServing))
	// Retries are saved up by first sends.
	c.budget(service).tokens = retryDepth
	return c
}

func report(peer model.Instance, zone model.Zone, state model.TargetState) *model.NodeReport {
	return &model.NodeReport{NodeInfo: model.NodeInfo{
		Node: model.NodeID{Instance: peer, Incarnation: 1}, Service: service, Zone: zone, State: state, Limit: 100,
	}, MeanRunTime: 50 * time.Millisecond}
}

var nextID model.CallID

func newRequest(path string) *model.Request {
	nextID++
	return &model.Request{
		ID: nextID, AttemptID: fmt.Sprintf("a%d", nextID), Host: "registry.example", Path: path, Method: http.MethodGet,
		Key: "key-h", HasKey: true, Timeout: 5 * time.Second,
	}
}

func one(t *testing.T, c *Core) Decision {
	t.Helper()
	d := c.Decisions()
	assert.Equal(t, len(d), 1)
	return d[0]
}

func notRun(id model.CallID, reason model.Reason) *model.Answer {
	return model.NewRefusal(id, reason, "test")
}

func good(id model.CallID) *model.Answer {
	return &model.Answer{ID: id, Run: model.Completed, Status: http.StatusOK}
}

// Guards against a node without a configuration that answers 404 or 401 for
// what other nodes serve.
func TestNoConfiguration(t *testing.T) {
	c := New("10.0.0.1:7000", "north", "tally", rand.New(rand.NewPCG(1, 1)))
	c.OnRequest(start, newRequest("/tags/1"))
	a := one(t, c).Answer
	assert.Equal(t, a.Reason, model.ReasonNoContact)
	assert.Equal(t, a.Run, model.NotRun)
}

// Guards against requests that pass without their customer's key.
func TestKeys(t *testing.T) {
	c := newCore(t)
	for key, want := range map[string]model.Reason{"": model.ReasonKeyMissing, "key-x": model.ReasonKeyUnknown} {
		r := newRequest("/tags/1")
		r.Key, r.HasKey = key, key != ""
		c.OnRequest(start, r)
		assert.Equal(t, one(t, c).Answer.Reason, want)
	}
	r := newRequest("/open/1")
	r.Key, r.HasKey = "", false
	c.OnRequest(start, r)
	assert.Assert(t, one(t, c).Call != nil)
	r = newRequest("/tags/1")
	c.OnRequest(start, r)
	assert.Equal(t, one(t, c).Call.Customer, model.Customer("herders"))
}

// Guards against a request that goes to a worse route than the one with the
// longest prefix, or to a route of another host.
func TestUnknownRoute(t *testing.T) {
	c := newCore(t)
	r := newRequest("/tags/1")
	r.Host = "other.example"
	c.OnRequest(start, r)
	assert.Equal(t, one(t, c).Answer.Reason, model.ReasonNoRoute)
}

// Guards against dear bytes between availability zones while the own one serves
// in time.
func TestOwnZoneFirst(t *testing.T) {
	c := newCore(t)
	slow := report(near, "north", model.TargetServing)
	slow.MeanRunTime = 120 * time.Millisecond
	c.OnReport(start, slow)
	c.OnReport(start, report(nearToo, "north", model.TargetLost))
	for range 50 {
		c.OnRequest(start, newRequest("/tags/1"))
		assert.Equal(t, one(t, c).Peer, near)
	}
}

// Guards against calls to targets that leave, are lost, have no link or are in
// an availability zone that is out of service.
func TestExcludedTargets(t *testing.T) {
	c := newCore(t)
	c.OnReport(start, report(near, "north", model.TargetLeaving))
	c.OnLinkLost(start, nearToo)
	c.OnConfig(start, nil, []model.Zone{"south"})
	c.OnRequest(start, newRequest("/tags/1"))
	assert.Equal(t, one(t, c).Answer.Reason, model.ReasonNoTarget)
}

// Guards against a target that was slow and is never tried again, and against
// an added target that nobody chooses.
func TestTargetWithoutRunTimeIsTried(t *testing.T) {
	c := newCore(t)
	added := report(nearToo, "north", model.TargetServing)
	added.MeanRunTime = 0
	c.OnReport(start, added)
	seen := make(map[model.Instance]int)
	for range 50 {
		c.OnRequest(start, newRequest("/tags/1"))
		seen[one(t, c).Peer]++
	}
	assert.Assert(t, seen[nearToo] > 10, "%v", seen)
}

// Guards against a request that must not be repeated and is sent again after
// it may have run.
func TestOnceOnly(t *testing.T) {
	c := newCore(t)
	r := newRequest("/marks/1")
	c.OnRequest(start, r)
	d := one(t, c)
	c.OnAnswer(start, d.Peer, model.NewFailure(r.ID, model.ReasonAnswerCut, "test"))
	a := one(t, c).Answer
	assert.Equal(t, a.Run, model.RunUnknown)
	assert.Equal(t, c.Len(), 0)
}

// Guards against a refusal that says "not run" after an earlier attempt may
// have run.
func TestNotRunIsTrue(t *testing.T) {
	c := newCore(t)
	r := newRequest("/tags/1")
	c.OnRequest(start, r)
	first := one(t, c)
	c.OnAnswer(start, first.Peer, model.NewFailure(r.ID, model.ReasonAnswerCut, "test"))
	second := one(t, c)
	assert.Assert(t, second.Call != nil && second.Peer != first.Peer)
	c.OnAnswer(start, second.Peer, notRun(r.ID, model.ReasonShed))
	for {
		d := one(t, c)
		if d.Answer != nil {
			assert.Equal(t, d.Answer.Run, model.RunUnknown)
			return
		}
		c.OnAnswer(start, d.Peer, notRun(r.ID, model.ReasonShed))
	}
}

// Guards against a request that reaches more targets than its route allows. A
// refusal by a target's node reaches no target.
func TestAttempts(t *testing.T) {
	c := newCore(t)
	r := newRequest("/tags/1")
	c.OnRequest(start, r)
	c.OnAnswer(start, one(t, c).Peer, notRun(r.ID, model.ReasonTargetLeaving))
	for sent := 1; ; sent++ {
		d := one(t, c)
		if d.Answer != nil {
			assert.Equal(t, sent, 3)
			return
		}
		c.OnAnswer(start, d.Peer, model.NewFailure(r.ID, model.ReasonAnswerCut, "test"))
	}
}

// Guards against a storm of retries: they are a part of the first sends, and
// the calls of repeated requests count as well.
func TestRetryBudget(t *testing.T) {
	c := newCore(t)
	const requests = 2000
	retries := 0
	for range requests {
		r := newRequest("/tags/1")
		c.OnRequest(start, r)
		d := one(t, c)
		for d.Answer == nil {
			if d.Call.Attempt > 0 {
				retries++
			}
			c.OnAnswer(start, d.Peer, model.NewFailure(r.ID, model.ReasonAnswerCut, "test"))
			d = one(t, c)
		}
	}
	assert.Assert(t, float64(retries) <= retryRatio*requests+retryDepth, "%d retries of %d requests", retries, requests)
}

// Guards against a caller that gets no answer at its route's time limit, and
// against a target that works on for a caller that has gone.
func TestExpiryAndCancel(t *testing.T) {
	c := newCore(t)
	r := newRequest("/tags/1")
	c.OnRequest(start, r)
	sent := one(t, c)
	c.Tick(start.Add(time.Second))
	decisions := c.Decisions()
	assert.Equal(t, len(decisions), 2)
	assert.Assert(t, decisions[0].Cancel && decisions[0].Peer == sent.Peer)
	assert.Equal(t, decisions[1].Answer.Reason, model.ReasonDeadline)
	assert.Equal(t, decisions[1].Answer.Run, model.RunUnknown)

	r = newRequest("/tags/1")
	c.OnRequest(start, r)
	c.Decisions()
	c.OnCanceled(start, r.ID)
	assert.Assert(t, one(t, c).Cancel)
	assert.Equal(t, c.Len(), 0)
}

// Guards against a lost link that leaves its calls without an answer.
func TestPeerLost(t *testing.T) {
	c := newCore(t)
	r := newRequest("/marks/1")
	c.OnRequest(start, r)
	c.OnLinkLost(start, one(t, c).Peer)
	a := one(t, c).Answer
	assert.Equal(t, a.Run, model.RunUnknown)
	assert.Equal(t, a.Reason, model.ReasonPeerUnreachable)
}

// Guards against an answer of an earlier attempt that is taken for that of the
// current one.
func TestAnswerOfAnotherPeer(t *testing.T) {
	c := newCore(t)
	r := newRequest("/tags/1")
	c.OnRequest(start, r)
	first := one(t, c)
	c.OnAnswer(start, first.Peer, notRun(r.ID, model.ReasonTargetLeaving))
	second := one(t, c)
	c.OnAnswer(start, first.Peer, good(r.ID))
	assert.Equal(t, len(c.Decisions()), 0)
	c.OnAnswer(start, second.Peer, good(r.ID))
	assert.Equal(t, one(t, c).Answer.Status, http.StatusOK)
}

// Guards against a customer beyond its rate, and one whose refused requests
// count against it.
func TestRates(t *testing.T) {
	c := newCore(t)
	limited := 0
	for range 50 {
		r := newRequest("/tags/1")
		r.Key = "key-e"
		c.OnRequest(start, r)
		if a := one(t, c).Answer; a != nil {
			assert.Equal(t, a.Reason, model.ReasonRateLimited)
			assert.Assert(t, a.RetryAfter > 0)
			limited++
		}
	}
	assert.Assert(t, limited >= 40, "%d", limited)
}

// Guards against repeats that run beyond their customer's rate.
func TestRepeatsCountInTheRate(t *testing.T) {
	c := newCore(t)
	c.rates.SetLimit(start, "export", 300, 300)
	now := start.Add(time.Second)
	r := newRequest("/tags/1")
	r.Key = "key-e"
	c.OnRequest(now, r)
	first := one(t, c)
	before := c.rates.Report(now)[0].Admitted
	c.OnAnswer(now, first.Peer, model.NewFailure(r.ID, model.ReasonAnswerCut, "test"))
	assert.Assert(t, one(t, c).Call != nil)
	assert.Equal(t, c.rates.Report(now.Add(time.Second))[0].Admitted, before+1)
}

// Guards against the parts of a split that do not follow their weights, and
// against a repeat that goes to another part.
func TestSplit(t *testing.T) {
	c := newCore(t)
	c.OnConfig(start, config(t, 2, func(r *graph.Route) {
		r.Split = []graph.WeightedService{{Service: service, Weight: 90}, {Service: "other", Weight: 10}}
	}), nil)
	counts := make(map[model.Service]int)
	for range 1000 {
		counts[c.part(c.config.MatchRoute("registry.example", "/tags/1"))]++
	}
	assert.Assert(t, counts["other"] >= 98 && counts["other"] <= 102, "%v", counts)
}

// Guards against calls of a target that compete with fresh requests of a worse
// priority than their parent's, and against repeats that are not counted.
func TestCallsOfTargets(t *testing.T) {
	c := newCore(t)
	parent := &model.Call{ID: 1, AttemptID: "p1", Priority: 3, OnBehalfOf: "herders", IsRetry: true}
	c.OnParentStarted(parent)
	r := newRequest("/open/1")
	r.Key, r.HasKey, r.Parent = "", false, "p1"
	c.OnRequest(start, r)
	call := one(t, c).Call
	assert.Assert(t, call.Nested && call.IsRetry)
	assert.Equal(t, call.Priority, 3)
	assert.Equal(t, call.OnBehalfOf, model.Customer("herders"))
	assert.Equal(t, call.Customer, model.Customer(""), "the target must not be told a customer")
	c.OnParentEnded(parent)
	assert.Equal(t, len(c.parents), 0)
}

// Guards against a customer's priority that hides the route's.
func TestPriorities(t *testing.T) {
	c := newCore(t)
	priority := func(route, key string) int {
		r := newRequest(route)
		r.Key = key
		c.OnRequest(start, r)
		return one(t, c).Call.Priority
	}
	lookup := priority("/tags/1", "key-h")
	c.OnConfig(start, config(t, 2, func(r *graph.Route) { r.Priority = 0 }), nil)
	assert.Assert(t, priority("/tags/1", "key-h") < lookup)
}

// Guards against callers whose connections close without an answer when their
// node ends.
func TestGiveUp(t *testing.T) {
	c := newCore(t)
	for range 3 {
		c.OnRequest(start, newRequest("/marks/1"))
	}
	c.Decisions()
	c.FailAll(start)
	answers := 0
	for _, d := range c.Decisions() {
		if d.Answer != nil {
			assert.Equal(t, d.Answer.Run, model.RunUnknown)
			answers++
		}
	}
	assert.Equal(t, answers, 3)
	assert.Equal(t, c.Len(), 0)
}

// Guards against a request that is sent to one target after the other although
// each of them crashed.
func TestPoisonIsRefused(t *testing.T) {
	c := newCore(t)
	c.OnRequest(start, newRequest("/tags/bad"))
	call := one(t, c).Call
	for i := range 3 {
		r := report(far, "south", model.TargetServing)
		r.Crashes = []model.CrashReport{{Fingerprint: poison.Fingerprint(call), Count: i + 1}}
		c.OnReport(start, r)
	}
	c.OnRequest(start, newRequest("/tags/bad"))
	a := one(t, c).Answer
	assert.Equal(t, a.Reason, model.ReasonQuarantined)
	assert.Equal(t, a.Run, model.NotRun)
	c.OnRequest(start, newRequest("/tags/good"))
	assert.Assert(t, one(t, c).Call != nil)
}

// Guards against a second attempt of one request that hides the first crash,
// which its target's node has not confirmed yet.
func TestOwnAttemptsCountAsCrashes(t *testing.T) {
	c := newCore(t)
	c.OnRequest(start, newRequest("/tags/bad"))
	first := one(t, c)
	c.OnAnswer(start, first.Peer, model.NewFailure(first.ID, model.ReasonAnswerCut, "test"))
	assert.Equal(t, one(t, c).Call.CrashCount, 1)
}

// Guards against a target that fails its calls at once and attracts the more of
// them the faster it fails.
func TestFailingTargetIsAvoided(t *testing.T) {
	c := newCore(t)
	bad := report(near, "north", model.TargetServing)
	bad.FailureRate, bad.MeanRunTime = 0.4, time.Millisecond
	c.OnReport(start, bad)
	for range 20 {
		c.OnRequest(start, newRequest("/tags/1"))
		assert.Equal(t, one(t, c).Peer, nearToo)
	}
}

// Guards against penalties for failures whose cause lies behind the service.
func TestCommonFailuresCostNothing(t *testing.T) {
	c := newCore(t)
	for _, peer := range []model.Instance{near, nearToo} {
		r := report(peer, "north", model.TargetServing)
		r.FailureRate = 0.5
		c.OnReport(start, r)
	}
	r := report(far, "south", model.TargetServing)
	r.FailureRate = 0.5
	c.OnReport(start, r)
	c.OnRequest(start, newRequest("/tags/1"))
	assert.Assert(t, one(t, c).Peer != far)
}
