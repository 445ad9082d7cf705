package mesh

import (
	"expvar"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/core/fault"
	"github.com/oleanderworks/oleanderworks/core/ring"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/model/graph"
	"github.com/oleanderworks/oleanderworks/policy/mesh/departure"
	"github.com/oleanderworks/oleanderworks/policy/mesh/dispatch"
	"github.com/oleanderworks/oleanderworks/transport/frame"
)

const entryTestPeer = model.Instance("10.0.0.2:7000")

// newEntryHandler returns the handler of an entry duty that knows a target at entryTestPeer.
func newEntryHandler(t *testing.T, now time.Time) (*entryHandler, *graph.Config) {
	n, _ := newIdleNode()
	h := &entryHandler{
		node: n, core: dispatch.New(n.settings.Instance, "z", "s", rand.New(rand.NewPCG(1, 1))),
		pending: make(map[model.CallID]*pendingRequest), links: make(map[model.Instance]*link), departures: departure.New(),
	}
	route := &graph.Route{
		Name: "r", Host: "h", Prefix: "/", Open: true, Timeout: time.Second, LatencyObjective: time.Second, MaxAttempts: 2,
		Split: []graph.WeightedService{{Service: "s", Weight: 1}},
	}
	config, err := graph.New(1, graph.Limits{}, []*graph.Route{route}, []*graph.Service{{Name: "s"}}, nil)
	assert.NilError(t, err)
	h.handle(now, entryConfigChanged{config: config})
	return h, config
}

func newQueueLink() *link {
	return &link{peer: frame.Hello{Node: model.NodeID{Instance: entryTestPeer}}, queue: ring.New[frame.Message]("test", 8)}
}

// Guards against calls that fail because an older link to their target's node closes.
func TestCloseOfOlderLinkFailsNoCalls(t *testing.T) {
	now := time.Now()
	h, _ := newEntryHandler(t, now)
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

// Guards against an unexpected error in one request that ends the process, or that leaves
// the request without an answer or counted at a target.
func TestPanicCostsOneRequest(t *testing.T) {
	now := time.Now()
	h, config := newEntryHandler(t, now)
	route := config.MatchRoute("h", "/x")
	split := route.Split
	route.Split = nil // choosing the service panics
	replies := []ring.Reply[*model.Answer]{ring.NewReply[*model.Answer](), ring.NewReply[*model.Answer]()}
	request := func(id model.CallID, reply ring.Reply[*model.Answer]) *requestReceived {
		return &requestReceived{request: &model.Request{ID: id, Host: "h", Path: "/x", Method: "GET"}, reply: reply}
	}
	h.Handle(now, []entryMessage{request(1, replies[0])})
	answer, err := replies[0].Wait(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, answer.Reason, model.ReasonInternal)
	assert.Equal(t, answer.Run, model.RunUnknown)
	assert.Equal(t, h.core.Len(), 0)
	route.Split = split
	h.Handle(now, []entryMessage{request(2, replies[1])})
	answer, err = replies[1].Wait(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, answer.Reason, model.ReasonNoTarget)
}

// Guards against a frame whose handling fails unexpectedly and ends the process instead of
// its link.
func TestPanicInFrameClosesItsLink(t *testing.T) {
	own, peer := net.Pipe()
	closed := make(chan error, 1)
	l := &link{peer: frame.Hello{Node: model.NodeID{Instance: entryTestPeer}}, conn: own, sentBytes: new(expvar.Map).Init()}
	l.onMessage = func(frame.Message) { panic("unexpected") }
	l.onClosed = func(err error) { closed <- err }
	l.start()
	_, err := peer.Write(frame.Append(nil, frame.Ping{}))
	assert.NilError(t, err)
	assert.ErrorIs(t, <-closed, fault.ErrPanic)
}

// Guards against a peer that never hears of crashes which were reported before its link
// opened.
func TestNewLinkGetsKnownCrashes(t *testing.T) {
	now := time.Now()
	knowing, _ := newEntryHandler(t, now)
	crashes := []model.CrashReport{{Fingerprint: 7, Count: 3}}
	knowing.Handle(now, []entryMessage{reportReceived{report: &model.NodeReport{Crashes: crashes}}})
	l := newQueueLink()
	later := now.Add(time.Second)
	knowing.Handle(later, []entryMessage{peerConnected{link: l}})
	sent := drain(t, l.queue)
	assert.DeepEqual(t, sent, []frame.Message{frame.Crashes{Reports: []model.CrashReport{{Fingerprint: 7, Count: 3, Age: time.Second}}}, frame.Departed{}})

	started, _ := newEntryHandler(t, now)
	started.node.onOutgoingFrame(l, sent[0])
	started.Handle(later, drain(t, started.node.entry.Ring()))
	assert.Equal(t, started.core.SuspectedRequests(), 1)
}

// Guards against a node that restarts and is not told that its target leaves.
func TestNewLinkGetsDeparture(t *testing.T) {
	now := time.Now()
	knowing, _ := newEntryHandler(t, now)
	l := newQueueLink()
	info := model.NodeInfo{Node: l.peer.Node, Target: "t1", State: model.TargetLeaving}
	knowing.Handle(now, []entryMessage{reportReceived{report: &model.NodeReport{NodeInfo: info}}})
	knowing.Handle(now, []entryMessage{peerConnected{link: l}})
	sent := drain(t, l.queue)
	assert.DeepEqual(t, sent, []frame.Message{frame.Departed{Target: "t1"}})

	started, _ := newEntryHandler(t, now)
	started.node.onOutgoingFrame(l, sent[0])
	told := drain(t, started.node.gate.Ring())
	assert.Equal(t, len(told), 1)
	assert.Equal(t, told[0], gateMessage(targetDeparted{id: "t1"}))
}
