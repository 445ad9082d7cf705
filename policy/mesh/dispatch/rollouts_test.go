package dispatch

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/mesh/rollout"
)

// Guards against calls, also nested ones and repeats, that go past an order: to the ordered
// version beyond the canary share, or to a version that is bad by the responses, and against
// slots of its targets that count as room for the service.
func TestCallsObeyOrder(t *testing.T) {
	c := newCore(t)
	c.EnableRollouts(model.NodeID{Instance: "10.0.0.1:7000", Incarnation: 1}, rollout.DefaultBounds)
	now := start
	versions := map[model.Instance]string{local1: "v1", local2: "v1", remote: "v1", "10.0.0.9:7000": "v2"}
	report := func() {
		for peer, version := range versions {
			r := report(peer, "north", model.TargetServing)
			r.Version = version
			c.OnReport(now, r)
		}
	}
	report()
	now = now.Add(3 * time.Second)
	c.Rollouts().OnOrders(now, nil, model.LogPosition{Era: 1, Offset: 100})
	c.Rollouts().OnOrders(now, []model.RolloutOrder{{Service: service, Version: "v2", Period: 12 * time.Second}}, model.LogPosition{Era: 1, Offset: 100})
	onNew := 0
	send := func(n int) {
		for i := range n {
			now = now.Add(5 * time.Millisecond)
			report()
			r := newRequest("/tags/1")
			if i%2 == 0 {
				r.Parent = "p"
			}
			c.OnRequest(now, r)
			for d := onlyDecision(t, c); d.Call != nil; d = onlyDecision(t, c) {
				a := completedAnswer(r.ID)
				if versions[d.Peer] == "v2" {
					onNew++
					a.Status = http.StatusInternalServerError
				}
				c.OnAnswer(now, d.Peer, a)
			}
			c.Tick(now)
		}
	}
	send(100)
	assert.Assert(t, onNew >= 2 && onNew <= 5, "%d of 100 calls", onNew)
	assert.Equal(t, c.serviceLoad(now, service).Targets, 3)
	send(500)
	assert.Equal(t, c.Rollouts().Phases()[service], model.RolloutStopped)
	before := onNew
	send(200)
	assert.Equal(t, onNew, before)
}
