package dispatch

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/model/graph"
	"github.com/oleanderworks/oleanderworks/policy/mesh/poison"
)

const (
	service = model.Service("registry")
	local1  = model.Instance("10.0.0.2:7000")
	local2  = model.Instance("10.0.0.3:7000")
	remote  = model.Instance("10.1.0.2:7000")
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

// newCore returns a core with three targets, two of them in its own availability zone.
func newCore(t *testing.T) *Core {
	t.Helper()
	c := New("10.0.0.1:7000", "north", "tally", rand.New(rand.NewPCG(1, 1)))
	c.OnConfig(start, config(t, 1, nil), nil)
	for _, peer := range []model.Instance{local1, local2} {
		c.OnReport(start, report(peer, "north", model.TargetServing))
	}
	c.OnReport(start, report(remote, "south", model.TargetServing))
	// The retry budget is full, as after earlier first attempts.
	c.budgetFor(service).tokens = maxRetryTokens
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

func onlyDecision(t *testing.T, c *Core) Decision {
	t.Helper()
	d := c.Decisions()
	assert.Equal(t, len(d), 1)
	return d[0]
}

func notRunAnswer(id model.CallID, reason model.Reason) *model.Answer {
	return model.NewRefusal(id, reason, "test")
}

func completedAnswer(id model.CallID) *model.Answer {
	return &model.Answer{ID: id, Run: model.Completed, Status: http.StatusOK}
}

// Guards against answering requests with 404 or 401 at a node without a configuration:
// other nodes would serve them.
func TestNoConfiguration(t *testing.T) {
	c := New("10.0.0.1:7000", "north", "tally", rand.New(rand.NewPCG(1, 1)))
	c.OnRequest(start, newRequest("/tags/1"))
	a := onlyDecision(t, c).Answer
	assert.Equal(t, a.Reason, model.ReasonNoContact)
	assert.Equal(t, a.Run, model.NotRun)
}

// Guards against refusing a request for good by a configuration that may be out of date.
func TestOutdatedConfigRefusesForNow(t *testing.T) {
	c := newCore(t)
	unknownKey := newRequest("/tags/1")
	unknownKey.Key = "key-x"
	for _, r := range []*model.Request{unknownKey, newRequest("/none/1")} {
		c.SetConfirmedAt(start)
		c.OnRequest(start.Add(time.Second), r)
		reason := onlyDecision(t, c).Answer.Reason
		assert.Assert(t, reason == model.ReasonKeyUnknown || reason == model.ReasonNoRoute, "%s", reason)
		c.OnRequest(start.Add(2100*time.Millisecond), r)
		a := onlyDecision(t, c).Answer
		assert.Equal(t, a.Reason, model.ReasonNoContact)
		assert.Equal(t, a.Run, model.NotRun)
		assert.Assert(t, a.RetryAfter > 0)
	}
	c.OnRequest(start.Add(2100*time.Millisecond), newRequest("/tags/1"))
	assert.Assert(t, onlyDecision(t, c).Call != nil)
}

// Guards against accepting requests without a valid key, and against requiring a key on
// an open route.
func TestKeys(t *testing.T) {
	c := newCore(t)
	for key, want := range map[string]model.Reason{"": model.ReasonKeyMissing, "key-x": model.ReasonKeyUnknown} {
		r := newRequest("/tags/1")
		r.Key, r.HasKey = key, key != ""
		c.OnRequest(start, r)
		assert.Equal(t, onlyDecision(t, c).Answer.Reason, want)
	}
	r := newRequest("/open/1")
	r.Key, r.HasKey = "", false
	c.OnRequest(start, r)
	assert.Assert(t, onlyDecision(t, c).Call != nil)
	r = newRequest("/tags/1")
	c.OnRequest(start, r)
	assert.Equal(t, onlyDecision(t, c).Call.Customer, model.Customer("herders"))
}

// Guards against matching a request to a route of another host.
func TestUnknownRoute(t *testing.T) {
	c := newCore(t)
	r := newRequest("/tags/1")
	r.Host = "other.example"
	c.OnRequest(start, r)
	assert.Equal(t, onlyDecision(t, c).Answer.Reason, model.ReasonNoRoute)
}

// Guards against expensive traffic to another availability zone while targets in the
// node's own zone can answer in time.
func TestOwnZoneFirst(t *testing.T) {
	c := newCore(t)
	slow := report(local1, "north", model.TargetServing)
	slow.MeanRunTime = 120 * time.Millisecond
	c.OnReport(start, slow)
	c.OnReport(start, report(local2, "north", model.TargetLost))
	for range 50 {
		c.OnRequest(start, newRequest("/tags/1"))
		assert.Equal(t, onlyDecision(t, c).Peer, local1)
	}
}

// Guards against sending calls to targets that are leaving, have no link or are in an
// availability zone that is out of service.
func TestExcludedTargets(t *testing.T) {
	c := newCore(t)
	c.OnReport(start, report(local1, "north", model.TargetLeaving))
	c.OnLinkLost(start, local2)
	c.OnConfig(start, nil, []model.Zone{"south"})
	c.OnRequest(start, newRequest("/tags/1"))
	assert.Equal(t, onlyDecision(t, c).Answer.Reason, model.ReasonNoTarget)
}

// Guards against never trying a target again that was slow, and against never choosing
// a new target.
func TestTargetWithoutRunTimeIsTried(t *testing.T) {
	c := newCore(t)
	added := report(local2, "north", model.TargetServing)
	added.MeanRunTime = 0
	c.OnReport(start, added)
	seen := make(map[model.Instance]int)
	for range 50 {
		c.OnRequest(start, newRequest("/tags/1"))
		seen[onlyDecision(t, c).Peer]++
	}
	assert.Assert(t, seen[local2] > 10, "%v", seen)
}

// Guards against retrying a non-idempotent request that may have run.
func TestNonIdempotentIsNotRetried(t *testing.T) {
	c := newCore(t)
	r := newRequest("/marks/1")
	c.OnRequest(start, r)
	d := onlyDecision(t, c)
	c.OnAnswer(start, d.Peer, model.NewFailure(r.ID, model.ReasonAnswerCut, "test"))
	a := onlyDecision(t, c).Answer
	assert.Equal(t, a.Run, model.RunUnknown)
	assert.Equal(t, c.Len(), 0)
}

// Guards against answering "not run" although an earlier attempt may have run.
func TestNotRunOnlyIfNoAttemptMayHaveRun(t *testing.T) {
	c := newCore(t)
	r := newRequest("/tags/1")
	c.OnRequest(start, r)
	first := onlyDecision(t, c)
	c.OnAnswer(start, first.Peer, model.NewFailure(r.ID, model.ReasonAnswerCut, "test"))
	second := onlyDecision(t, c)
	assert.Assert(t, second.Call != nil && second.Peer != first.Peer)
	c.OnAnswer(start, second.Peer, notRunAnswer(r.ID, model.ReasonShed))
	for {
		d := onlyDecision(t, c)
		if d.Answer != nil {
			assert.Equal(t, d.Answer.Run, model.RunUnknown)
			return
		}
		c.OnAnswer(start, d.Peer, notRunAnswer(r.ID, model.ReasonShed))
	}
}

// Guards against a request reaching more targets than its route allows, and against
// counting an attempt that a target's node refused, which does not reach a target.
func TestMaxAttempts(t *testing.T) {
	c := newCore(t)
	r := newRequest("/tags/1")
	c.OnRequest(start, r)
	c.OnAnswer(start, onlyDecision(t, c).Peer, notRunAnswer(r.ID, model.ReasonTargetLeaving))
	for sent := 1; ; sent++ {
		d := onlyDecision(t, c)
		if d.Answer != nil {
			assert.Equal(t, sent, 3) // the refused attempt and the route's MaxAttempts of 2
			return
		}
		c.OnAnswer(start, d.Peer, model.NewFailure(r.ID, model.ReasonAnswerCut, "test"))
	}
}

// Guards against a retry storm: retries must not exceed a fraction of the first
// attempts.
func TestRetryBudget(t *testing.T) {
	c := newCore(t)
	const requests = 2000
	retries := 0
	for range requests {
		r := newRequest("/tags/1")
		c.OnRequest(start, r)
		d := onlyDecision(t, c)
		for d.Answer == nil {
			if d.Call.Attempt > 0 {
				retries++
			}
			c.OnAnswer(start, d.Peer, model.NewFailure(r.ID, model.ReasonAnswerCut, "test"))
			d = onlyDecision(t, c)
		}
	}
	assert.Assert(t, float64(retries) <= retryRatio*requests+maxRetryTokens, "%d retries of %d requests", retries, requests)
}

// Guards against not answering a caller at its deadline, and against not canceling the
// call when its caller has been answered or has disconnected.
func TestExpiryAndCancel(t *testing.T) {
	c := newCore(t)
	r := newRequest("/tags/1")
	c.OnRequest(start, r)
	sent := onlyDecision(t, c)
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
	assert.Assert(t, onlyDecision(t, c).Cancel)
	assert.Equal(t, c.Len(), 0)
}

// Guards against leaving requests unanswered after the link to their target's node
// broke.
func TestLinkLost(t *testing.T) {
	c := newCore(t)
	r := newRequest("/marks/1")
	c.OnRequest(start, r)
	c.OnLinkLost(start, onlyDecision(t, c).Peer)
	a := onlyDecision(t, c).Answer
	assert.Equal(t, a.Run, model.RunUnknown)
	assert.Equal(t, a.Reason, model.ReasonPeerUnreachable)
}

// Guards against accepting a late answer to an earlier attempt as the answer to the
// current one.
func TestLateAnswerOfEarlierAttempt(t *testing.T) {
	c := newCore(t)
	r := newRequest("/tags/1")
	c.OnRequest(start, r)
	first := onlyDecision(t, c)
	c.OnAnswer(start, first.Peer, notRunAnswer(r.ID, model.ReasonTargetLeaving))
	second := onlyDecision(t, c)
	c.OnAnswer(start, first.Peer, completedAnswer(r.ID))
	assert.Equal(t, len(c.Decisions()), 0)
	c.OnAnswer(start, second.Peer, completedAnswer(r.ID))
	assert.Equal(t, onlyDecision(t, c).Answer.Status, http.StatusOK)
}

// Guards against accepting a customer's requests beyond its rate.
func TestRateIsEnforced(t *testing.T) {
	c := newCore(t)
	limited := 0
	for range 50 {
		r := newRequest("/tags/1")
		r.Key = "key-e"
		c.OnRequest(start, r)
		if a := onlyDecision(t, c).Answer; a != nil {
			assert.Equal(t, a.Reason, model.ReasonRateLimited)
			assert.Assert(t, a.RetryAfter > 0)
			limited++
		}
	}
	assert.Assert(t, limited >= 40, "%d", limited)
}

// Guards against not charging retries to their customer's rate.
func TestRetriesAreChargedToTheRate(t *testing.T) {
	c := newCore(t)
	c.rates.SetLimit(start, "export", 300, 300)
	now := start.Add(time.Second)
	r := newRequest("/tags/1")
	r.Key = "key-e"
	c.OnRequest(now, r)
	first := onlyDecision(t, c)
	before := c.rates.UsageToReport(now)[0].Admitted
	c.OnAnswer(now, first.Peer, model.NewFailure(r.ID, model.ReasonAnswerCut, "test"))
	assert.Assert(t, onlyDecision(t, c).Call != nil)
	assert.Equal(t, c.rates.UsageToReport(now.Add(time.Second))[0].Admitted, before+1)
}

// Guards against a traffic split that deviates from its weights.
func TestSplitFollowsWeights(t *testing.T) {
	c := newCore(t)
	c.OnConfig(start, config(t, 2, func(r *graph.Route) {
		r.Split = []graph.WeightedService{{Service: service, Weight: 90}, {Service: "other", Weight: 10}}
	}), nil)
	counts := make(map[model.Service]int)
	for range 1000 {
		counts[c.pickService(c.config.MatchRoute("registry.example", "/tags/1"))]++
	}
	assert.Assert(t, counts["other"] >= 98 && counts["other"] <= 102, "%v", counts)
}

// Guards against not passing the parent's priority and customer on to nested calls, and
// against not counting calls nested in a retried request as retries.
func TestNestedCalls(t *testing.T) {
	c := newCore(t)
	parent := &model.Call{ID: 1, AttemptID: "p1", Priority: 3, OnBehalfOf: "herders", IsRetry: true}
	c.OnParentStarted(&Parent{Call: parent})
	r := newRequest("/open/1")
	r.Key, r.HasKey, r.Parent = "", false, "p1"
	c.OnRequest(start, r)
	call := onlyDecision(t, c).Call
	assert.Assert(t, call.Nested && call.IsRetry)
	assert.Equal(t, call.Priority, 3)
	assert.Equal(t, call.OnBehalfOf, model.Customer("herders"))
	assert.Equal(t, call.Customer, model.Customer(""), "a nested call must not name a customer to the target")
	c.OnParentEnded(parent)
	assert.Equal(t, len(c.parents), 0)
}

// Guards against ignoring the route's priority if the customer has a priority.
func TestRoutePriorityWithinCustomerPriority(t *testing.T) {
	c := newCore(t)
	priority := func(route, key string) int {
		r := newRequest(route)
		r.Key = key
		c.OnRequest(start, r)
		return onlyDecision(t, c).Call.Priority
	}
	lookup := priority("/tags/1", "key-h")
	c.OnConfig(start, config(t, 2, func(r *graph.Route) { r.Priority = 0 }), nil)
	assert.Assert(t, priority("/tags/1", "key-h") < lookup)
}

// Guards against a request, or the retry of one, that is sent while the node stops and that
// the node has to cut.
func TestStoppingNodeSendsOnlyWhatCanEnd(t *testing.T) {
	c := newCore(t) // its targets need 50 ms
	c.OnStopping(start.Add(time.Second))
	c.OnRequest(start.Add(500*time.Millisecond), newRequest("/tags/x"))
	d := onlyDecision(t, c)
	assert.Assert(t, d.Call != nil)
	late := start.Add(900 * time.Millisecond)
	c.OnAnswer(late, d.Peer, model.NewFailure(d.ID, model.ReasonAnswerCut, ""))
	assert.Equal(t, onlyDecision(t, c).Answer.Reason, model.ReasonAnswerCut)
	c.OnRequest(late, newRequest("/marks/x"))
	refused := onlyDecision(t, c).Answer
	assert.Equal(t, refused.Reason, model.ReasonNodeBusy)
	assert.Equal(t, refused.Run, model.NotRun)
}

// Guards against closing the connections of callers without an answer when their node
// stops.
func TestFailAll(t *testing.T) {
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

// Guards against sending a request to further targets although each target that ran it
// has crashed.
func TestQuarantinedRequestIsRefused(t *testing.T) {
	c := newCore(t)
	c.OnRequest(start, newRequest("/tags/bad"))
	call := onlyDecision(t, c).Call
	for i := range 3 {
		r := report(remote, "south", model.TargetServing)
		r.Crashes = []model.CrashReport{{Fingerprint: poison.Fingerprint(call), Count: i + 1}}
		c.OnReport(start, r)
	}
	c.OnRequest(start, newRequest("/tags/bad"))
	a := onlyDecision(t, c).Answer
	assert.Equal(t, a.Reason, model.ReasonQuarantined)
	assert.Assert(t, strings.Contains(a.Detail, fmt.Sprint(poison.Fingerprint(call))), a.Detail)
	assert.Equal(t, a.Run, model.NotRun)
	c.OnRequest(start, newRequest("/tags/good"))
	assert.Assert(t, onlyDecision(t, c).Call != nil)
}

// Guards against not counting a probable crash in an earlier attempt of the same request
// that the target's node has not yet reported.
func TestAttemptWithBrokenConnectionCountsAsCrash(t *testing.T) {
	c := newCore(t)
	c.OnRequest(start, newRequest("/tags/bad"))
	first := onlyDecision(t, c)
	c.OnAnswer(start, first.Peer, model.NewFailure(first.ID, model.ReasonAnswerCut, "test"))
	assert.Equal(t, onlyDecision(t, c).Call.CrashCount, 1)
}

// Guards against sending more calls to a target that fails them quickly and therefore
// has a short run time.
func TestFailingTargetIsAvoided(t *testing.T) {
	c := newCore(t)
	bad := report(local1, "north", model.TargetServing)
	bad.FailureRate, bad.MeanRunTime = 0.4, time.Millisecond
	c.OnReport(start, bad)
	for range 20 {
		c.OnRequest(start, newRequest("/tags/1"))
		assert.Equal(t, onlyDecision(t, c).Peer, local2)
	}
}

// Guards against a penalty for a failure rate that all targets of a service have in
// common, since its cause is not in the targets.
func TestCommonFailureRateIsIgnored(t *testing.T) {
	c := newCore(t)
	for _, peer := range []model.Instance{local1, local2} {
		r := report(peer, "north", model.TargetServing)
		r.FailureRate = 0.5
		c.OnReport(start, r)
	}
	r := report(remote, "south", model.TargetServing)
	r.FailureRate = 0.5
	c.OnReport(start, r)
	c.OnRequest(start, newRequest("/tags/1"))
	assert.Assert(t, onlyDecision(t, c).Peer != remote)
}

// Guards against a chain of services in which each level repeats what a level below cannot
// serve: the last one would get the repeats of all. A call that could not reach its service
// is no reason, since another node may reach it.
func TestRequestIsNotRepeatedAfterNestedFailure(t *testing.T) {
	for _, c := range []struct {
		nested *model.Answer
		want   bool
	}{
		{&model.Answer{Status: http.StatusOK, Run: model.Completed}, false},
		{&model.Answer{Status: http.StatusInternalServerError, Run: model.Completed}, true},
		{model.NewRefusal(0, model.ReasonShed, ""), true},
		{model.NewRefusal(0, model.ReasonPeerUnreachable, ""), false},
	} {
		core := newCore(t)
		core.budgetFor(service).tokens = 0 // the nested call is not repeated either
		parent := &Parent{Call: &model.Call{AttemptID: "p"}}
		core.OnParentStarted(parent)
		nested := newRequest("/marks/x")
		nested.Parent = "p"
		core.OnRequest(start, nested)
		for d := onlyDecision(t, core); d.Answer == nil; d = onlyDecision(t, core) {
			answer := *c.nested
			answer.ID = d.ID
			core.OnAnswer(start, d.Peer, &answer)
		}
		assert.Equal(t, parent.NestedFailed.Load(), c.want, "%+v", c.nested)
	}
	core := newCore(t)
	core.OnRequest(start, newRequest("/tags/x"))
	d := onlyDecision(t, core)
	core.OnAnswer(start, d.Peer, &model.Answer{ID: d.ID, Status: http.StatusInternalServerError, Run: model.Completed, NestedFailed: true})
	assert.Equal(t, onlyDecision(t, core).Answer.Status, http.StatusInternalServerError)
}
