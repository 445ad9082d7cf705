package routing

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
)

// chooseMany chooses a target the given number of times and returns how often each
// one was chosen. With endEach, each attempt ends before the next.
func (n *node) chooseMany(times int, endEach bool) map[model.Instance]int {
	counts := make(map[model.Instance]int)
	for range times {
		tg := n.targets.choose(n.now, "tally", nil)
		counts[tg.member.Instance]++
		if !endEach {
			tg.ownInFlight++
		}
	}
	return counts
}

// Guards against calls that are sent to another availability zone without need,
// and against overloading one zone while others are idle.
func TestOwnZoneIsPreferredUnlessMoreUtilized(t *testing.T) {
	n := newNode(t)
	counts := n.chooseMany(1000, true)
	assert.Equal(t, counts["tally-0"], 1000)
	counts = n.chooseMany(400, false)
	assert.Assert(t, counts["tally-0"] <= 120, "%v", counts)
	for _, other := range []model.Instance{"tally-1", "tally-2", "tally-3"} {
		assert.Assert(t, counts[other] >= 80, "%v", counts)
	}
}

// Guards against a target in cold start that gets as many calls as the others.
func TestRampingTargetIsChosenInProportion(t *testing.T) {
	n := newNode(t)
	n.OnExclusion("tally-0", true)
	n.OnLoad(n.now, "tally-1", model.Load{Limit: 10})
	n.OnLoad(n.now, "tally-2", model.Load{Limit: 100})
	n.OnLoad(n.now, "tally-3", model.Load{Limit: 100})
	counts := n.chooseMany(2100, true)
	assert.Assert(t, counts["tally-1"] > 50 && counts["tally-1"] < 200, "%v", counts)
}

// Guards against calls to targets that are out of service or whose nodes are silent or
// draining, and against load reports that are used for too long.
func TestExcludedTargetsGetNoCalls(t *testing.T) {
	n := newNode(t)
	s := testSnapshot("tally")
	s.Zones["lautoka"] = model.AvailabilityConfig{OutOfService: true}
	s.Targets["tally-3"] = model.AvailabilityConfig{OutOfService: true}
	n.OnSnapshot(s)
	n.OnExclusion("tally-0", true)
	n.OnSnapshot(s) // the exclusion must survive a new snapshot
	n.OnLoad(n.now, "tally-1", model.Load{Limit: 100, Draining: true})
	assert.Assert(t, n.targets.choose(n.now, "tally", nil) == nil)
	id := n.begin("/open", nil)
	n.wantAnswer(id, model.ReasonNoTarget, model.NotRun)

	n.now = n.now.Add(reportTTL)
	assert.Equal(t, n.targets.choose(n.now, "tally", nil).member.Instance, model.Instance("tally-1"))
	n.OnExclusion("tally-0", false)
	assert.Equal(t, n.targets.choose(n.now, "tally", nil).member.Instance, model.Instance("tally-0"))
}

// Guards against sending further calls to a target that loses them, against
// avoiding a target forever, and against refusing all calls of a service because
// all its targets are avoided.
func TestOutliersAreAvoidedForAShortTime(t *testing.T) {
	n := newNode(t)
	sameZone := n.targets.targets["tally-0"]
	var last time.Duration
	for round := range 4 {
		for range maxConsecutiveLosses {
			sameZone.observe(n.now, targetLostAnswer(1))
		}
		assert.Equal(t, n.chooseMany(100, true)["tally-0"], 0)
		avoidedFor := sameZone.avoidUntil.Sub(n.now)
		assert.Assert(t, avoidedFor > last && avoidedFor <= 3*maxAvoidTime/2, "round %d: %s", round, avoidedFor)
		last = avoidedFor
		n.now = sameZone.avoidUntil
		assert.Equal(t, n.chooseMany(100, true)["tally-0"], 100)
	}
	sameZone.observe(n.now, completedAnswer(1))
	assert.Equal(t, sameZone.avoidTime, time.Duration(0))

	for _, tg := range n.targets.targets {
		tg.observe(n.now, model.NewRefusal(1, model.ReasonPeerUnreachable, ""))
	}
	assert.Assert(t, n.targets.choose(n.now, "tally", nil) != nil)
}

// BenchmarkDecision measures the routing of one call: determine route and customer,
// take a token, choose a target, handle the outcome.
func BenchmarkDecision(b *testing.B) {
	for _, targets := range []int{4, 50, 500} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			n := newNode(b)
			s := testSnapshot("tally")
			s.Members["tally"] = nil
			for i := range targets {
				id := model.Instance(fmt.Sprintf("tally-%d", i))
				zone := []model.Zone{"suva", "nadi", "lautoka"}[i%3]
				s.Members["tally"] = append(s.Members["tally"],
					model.Member{NodeID: model.NodeID{Instance: id}, Service: "tally", Zone: zone})
			}
			n.OnSnapshot(s)
			n.begin("/a", nil)
			n.grant(1 << 40)
			req := &model.Request{Service: "tally", Method: "GET", Path: "/a", Key: testKey, HasKey: true}
			b.ReportAllocs()
			for b.Loop() {
				req.ID++
				n.OnRequest(n.now, req)
				n.OnOutcome(n.now, completedAnswer(req.ID))
				n.Decisions()
				n.QuorumRequests()
			}
		})
	}
}

// BenchmarkMemoryPerCall measures the memory that the core uses for one call in
// progress without headers and body.
func BenchmarkMemoryPerCall(b *testing.B) {
	const calls = 10_000
	for b.Loop() {
		n := newNode(b)
		n.begin("/a", nil)
		n.grant(1 << 40)
		before := heapAlloc()
		for i := range calls {
			n.OnRequest(n.now, &model.Request{ID: model.CallID(i + 10), Service: "tally", Method: "GET",
				Path: "/a", Key: testKey, HasKey: true})
			n.Decisions()
		}
		b.ReportMetric(float64(heapAlloc()-before)/calls, "bytes/call")
		runtime.KeepAlive(n)
	}
}

func heapAlloc() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
