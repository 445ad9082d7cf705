package mesh

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/core/ring"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/model/graph"
	"github.com/oleanderworks/oleanderworks/policy/dispatch"
	"github.com/oleanderworks/oleanderworks/transport/frame"
)

const entryTestPeer = model.Instance("10.0.0.2:7000")

// newEntryHandler returns the handler of an entry duty that knows a target at entryTestPeer.
func newEntryHandler(t *testing.T, now time.Time) *entryHandler {
	n, _ := newIdleNode()
	h := &entryHandler{
		node: n, core: dispatch.New(n.settings.Instance, "z", "s", rand.New(rand.NewPCG(1, 1))),
		pending: make(map[model.CallID]*pendingRequest), links: make(map[model.Instance]*link),
	}
	route := &graph.Route{
		Name: "r", Host: "h", Prefix: "/", Open: true, Timeout: time.Second, LatencyObjective: time.Second, MaxAttempts: 2,
		Split: []graph.WeightedService{{Service: "s", Weight: 1}},
	}
	config, err := graph.New(1, graph.Limits{}, []*graph.Route{route}, []*graph.Service{{Name: "s"}}, nil)
	assert.NilError(t, err)
	h.handle(now, entryConfigChanged{config: config})
	return h
}

func newQueueLink() *link {
	return &link{peer: frame.Hello{Node: model.NodeID{Instance: entryTestPeer}}, queue: ring.New[frame.Message]("test", 8)}
}

// Guards against calls that fail because an older link to their target's node closes.
func TestCloseOfOlderLinkFailsNoCalls(t *testing.T) {
	now := time.Now()
	h := newEntryHandler(t, now)
	report := &model.NodeReport{NodeInfo: model.NodeInfo{
		Node: model.NodeID{Instance: entryTestPeer}, Service: "s", Zone: "z", State: model.TargetServing, Limit: 10,
	}}
	older, newer := newQueueLink(), newQueueLink()
	h.Handle(now, []entryMessage{linkOpened{peer: entryTestPeer, link: older}, reportReceived{report: report}})
	h.Handle(now, []entryMessage{linkOpened{peer: entryTestPeer, link: newer}, reportReceived{report: report}})
	reply := ring.NewReply[*model.Answer]()
	h.Handle(now, []entryMessage{
		&requestReceived{request: &model.Request{ID: 7, Host: "h", Path: "/x", Method: "GET"}, reply: reply},
		linkClosed{peer: entryTestPeer, link: older},
	})
	assert.Equal(t, newer.queue.Stats().Length, 1)
	assert.Equal(t, len(h.pending), 1, "the call on the newer link has failed")
	h.Handle(now, []entryMessage{linkClosed{peer: entryTestPeer, link: newer}})
	assert.Equal(t, len(h.pending), 0)
}
