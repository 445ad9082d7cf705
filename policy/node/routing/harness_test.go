package routing

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/core/invariant"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/record"
	"github.com/oleanderworks/oleanderworks/policy/node/tokenlease"
)

const testKey = "key-of-herders"

// TestMain fixes the seed and the number of checks of randomized tests, so that
// their results are reproducible. Command-line flags override both.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "1000")
	os.Exit(m.Run())
}

// node runs the core of one entry node in virtual time and keeps its latest
// decisions and quorum requests.
type node struct {
	*Core
	t              testing.TB
	now            time.Time
	decisions      []Decision
	quorumRequests []QuorumRequest
	grants         uint64
	nextID         model.CallID
}

func testSnapshot(services ...model.Service) *model.Snapshot {
	s := &model.Snapshot{
		Fleet:     model.FleetConfig{RetryBudget: 2},
		Services:  make(map[model.Service]*model.ServiceConfig),
		Customers: map[model.Customer]*model.CustomerConfig{"herders": {Name: "herders", Rate: 100, Burst: 100}},
		Keys:      map[model.KeyHash]*model.KeyConfig{model.HashKey(testKey): {Customer: "herders"}},
		Zones:     make(map[model.Zone]model.AvailabilityConfig),
		Targets:   make(map[model.Instance]model.AvailabilityConfig),
		Members:   make(map[model.Service][]model.Member),
	}
	for _, name := range services {
		s.Services[name] = &model.ServiceConfig{Name: name, Slots: 100, ColdFloor: 100, Routes: []model.Route{
			{Prefix: "/", Class: "lookup", Idempotent: true},
			{Prefix: "/mark", Class: "filing"}, // not idempotent
			{Prefix: "/open", Class: "browse", Idempotent: true, Open: true},
		}}
		for i, zone := range []model.Zone{"suva", "nadi", "lautoka", "nadi"} {
			id := model.Instance(fmt.Sprintf("%s-%d", name, i))
			s.Members[name] = append(s.Members[name], model.Member{NodeID: model.NodeID{Instance: id}, Service: name, Zone: zone})
		}
	}
	return s
}

func newNode(t testing.TB, services ...model.Service) *node {
	check := invariant.New(event.Discard(), func(name, detail string) { t.Errorf("invariant %s: %s", name, detail) })
	self := model.Member{NodeID: model.NodeID{Instance: "entry"}, Zone: "suva"}
	n := &node{Core: New(self, rand.New(rand.NewPCG(1, 2)), check), t: t, now: time.Unix(1_800_000_000, 0)}
	if len(services) == 0 {
		services = []model.Service{"tally"}
	}
	n.OnSnapshot(testSnapshot(services...))
	return n
}

// collect copies the core's decisions and quorum requests.
func (n *node) collect() {
	n.decisions = append(n.decisions[:0:0], n.Decisions()...)
	n.quorumRequests = n.QuorumRequests()
}

func (n *node) begin(path string, change func(*model.Request)) model.CallID {
	n.nextID++
	req := &model.Request{ID: n.nextID, Service: "tally", Method: "GET", Path: path, Key: testKey, HasKey: true}
	if change != nil {
		change(req)
	}
	n.OnRequest(n.now, req)
	n.collect()
	return req.ID
}

func (n *node) grant(count int) {
	n.grants++
	n.OnTokens(n.now, tokenlease.Result{Customer: "herders",
		Grant: tokenlease.Grant{Customer: "herders", ID: n.grants, Count: count, Expiry: n.now.Add(time.Second)}})
	n.collect()
}

// grantAll grants token requests until none is left.
func (n *node) grantAll() {
	for len(n.quorumRequests) > 0 {
		previous := n.decisions
		n.grant(n.quorumRequests[0].(TokenRequest).Want)
		n.decisions = append(previous, n.decisions...)
	}
}

func (n *node) claim(id model.CallID, o record.Outcome, a *model.Answer) {
	n.OnClaim(n.now, id, record.Result{Outcome: o, Answer: a, Claim: &model.Claim{Attempt: 0}})
	n.collect()
}

func (n *node) outcome(a *model.Answer) {
	n.OnOutcome(n.now, a)
	n.collect()
}

func (n *node) tick(d time.Duration) {
	n.now = n.now.Add(d)
	n.Tick(n.now)
	n.collect()
}

func (n *node) wantAttempt(id model.CallID) Decision {
	n.t.Helper()
	assert.Equal(n.t, len(n.decisions), 1, "decisions: %+v", n.decisions)
	d := n.decisions[0]
	assert.Assert(n.t, d.Call != nil && d.CallID == id, "decision: %+v answer %+v", d, d.Answer)
	return d
}

// wantAnswer checks that the only decision is an answer to the call with the given
// reason and run state, and returns it.
func (n *node) wantAnswer(id model.CallID, reason model.Reason, run model.RunState) *model.Answer {
	n.t.Helper()
	assert.Equal(n.t, len(n.decisions), 1, "decisions: %+v", n.decisions)
	a := n.decisions[0].Answer
	if a == nil || n.decisions[0].CallID != id {
		n.t.Fatalf("decision: %+v", n.decisions[0])
		return nil
	}
	assert.Equal(n.t, a.Reason, reason)
	assert.Equal(n.t, a.Run, run)
	return a
}

func completedAnswer(id model.CallID) *model.Answer {
	return &model.Answer{ID: id, Run: model.Completed, Status: 200}
}
