package mesh

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/core/ring"
	"github.com/oleanderworks/oleanderworks/logservice/keyed"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/model/graph"
	"github.com/oleanderworks/oleanderworks/policy/mesh/fleet"
	"github.com/oleanderworks/oleanderworks/policy/mesh/freshness"
	"github.com/oleanderworks/oleanderworks/policy/mesh/gate"
	"github.com/oleanderworks/oleanderworks/transport/frame"
)

// versionDecoder decodes a configuration of one byte, its version.
type versionDecoder struct{}

func (versionDecoder) IsConfig(r keyed.Record) bool { return r.Key == "config" }
func (versionDecoder) Config(value []byte) (*graph.Config, error) {
	return &graph.Config{Version: uint64(value[0])}, nil
}
func (versionDecoder) ZonesOutOfService([]keyed.Record) []model.Zone { return nil }
func (versionDecoder) RolloutOrders([]keyed.Record) ([]model.RolloutOrder, map[string]error) {
	return nil, nil
}
func (versionDecoder) RolloutStatuses([]keyed.Record) []model.RolloutStatus { return nil }
func (versionDecoder) EncodeRolloutStatus(model.RolloutStatus) (string, []byte, error) {
	return "", nil, nil
}

// newIdleNode returns a node whose duties do not run, and the handler of its peers duty.
func newIdleNode() (*Node, *peersHandler) {
	n := New(&Settings{Instance: "10.0.0.1:7000", Service: "s", Zone: "z"}, nil, versionDecoder{}, nil, hclog.NewNullLogger())
	h := &peersHandler{
		node: n, freshness: freshness.New(newRand()), outgoing: make(map[model.Instance]*link),
		incoming: make(map[*link]*sentReport), loader: configLoader{node: n},
	}
	h.core = fleet.New(n.settings.Instance, h.loader.version, newRand())
	return n, h
}

func drain[T any](t *testing.T, r *ring.Ring[T]) []T {
	t.Helper()
	var out []T
	for batch := make([]T, 256); r.Stats().Length > 0; {
		n, err := r.Take(batch, nil, context.Background().Done())
		assert.NilError(t, err)
		out = append(out, batch[:n]...)
	}
	return out
}

// Guards against a configuration and peers that are lost because a duty is busy.
func TestBusyDutiesGetStateLater(t *testing.T) {
	n, h := newIdleNode()
	for n.entry.Ring().Offer(failRequests{}) {
	}
	for n.gate.Ring().Offer(refuseCalls{}) {
	}
	now := time.Now()
	config := keyed.Record{Key: "config", Value: []byte{7}, Position: model.LogPosition{Offset: 0}}
	h.Handle(now, []peersMessage{
		documentsRead{answer: logAnswer{records: []keyed.Record{config}, end: model.LogPosition{Offset: 1}, complete: true, answeredAt: now}},
		nodesRead{answer: logAnswer{records: []keyed.Record{{Key: "10.0.0.2:7000", Value: []byte("{}")}}}},
	})
	drain(t, n.entry.Ring())
	drain(t, n.gate.Ring())
	h.Tick(now.Add(time.Second))
	var version uint64
	var peers []model.Instance
	for _, m := range drain(t, n.entry.Ring()) {
		switch m := m.(type) {
		case entryConfigChanged:
			version = m.config.Version
		case peersChanged:
			peers = m.peers
		}
	}
	assert.Equal(t, version, uint64(7))
	assert.DeepEqual(t, peers, []model.Instance{"10.0.0.2:7000"})
	version = 0
	for _, m := range drain(t, n.gate.Ring()) {
		if m, ok := m.(gateConfigChanged); ok {
			version = m.config.Version
		}
	}
	assert.Equal(t, version, uint64(7))
}

// newCrashedGate returns the handler of a node's gate duty, which has a crash to report.
func newCrashedGate(t *testing.T, n *Node, now time.Time) *gateHandler {
	t.Helper()
	core := gate.New("s", "z")
	assert.Assert(t, core.OnAnnouncement(now, gate.Announcement{ID: "t", Service: "s", StartedAtMs: 1, Sequence: 1, Slots: 9}))
	core.OnCall(now, &model.Call{ID: 1, AttemptID: "a", Path: "/x", Deadline: now.Add(time.Minute), SLODeadline: now.Add(time.Minute)})
	core.Decisions()
	core.OnFinished(now, 1, model.OutcomeConnectionBroken, 0)
	core.OnProbeResult(now, model.Health{}) // the target is lost
	return &gateHandler{node: n, core: core, callerLinks: make(map[model.CallID]*link), cancels: make(map[model.CallID]context.CancelFunc)}
}

// Guards against a crash that the duties are never told of because their rings were full.
func TestBusyDutiesGetCrashesLater(t *testing.T) {
	n, _ := newIdleNode()
	now := time.Now()
	h := newCrashedGate(t, n, now)
	for n.entry.Ring().Offer(failRequests{}) {
	}
	for n.peers.Ring().Offer(closeAllLinks{}) {
	}
	h.report(now)
	drain(t, n.entry.Ring())
	drain(t, n.peers.Ring())
	h.report(now.Add(time.Second))
	entry, peers := drain(t, n.entry.Ring()), drain(t, n.peers.Ring())
	assert.Equal(t, len(entry[0].(reportReceived).report.Crashes), 1)
	assert.Equal(t, len(peers[0].(ownReport).report.Crashes), 1)
}

// Guards against a crash that peers hear of before this node does: a peer whose link opens
// in between would get neither the report nor the record.
func TestPeersHearOfCrashesAfterOwnEntry(t *testing.T) {
	n, _ := newIdleNode()
	now := time.Now()
	h := newCrashedGate(t, n, now)
	for n.entry.Ring().Offer(failRequests{}) {
	}
	h.report(now)
	assert.Equal(t, len(drain(t, n.peers.Ring())[0].(ownReport).report.Crashes), 0)
	drain(t, n.entry.Ring())
	h.report(now.Add(time.Second))
	assert.Equal(t, len(drain(t, n.entry.Ring())[0].(reportReceived).report.Crashes), 1)
	assert.Equal(t, len(drain(t, n.peers.Ring())[0].(ownReport).report.Crashes), 1)
}

// Guards against a crash that a peer is never told of because the ring of its link was full.
func TestBusyLinkGetsCrashesLater(t *testing.T) {
	_, h := newIdleNode()
	l := newQueueLink()
	h.incoming[l] = new(sentReport)
	for l.send(frame.Ping{}) {
	}
	now := time.Now()
	h.Handle(now, []peersMessage{ownReport{report: &model.NodeReport{Crashes: []model.CrashReport{{Fingerprint: 7, Count: 1}}}}})
	drain(t, l.queue)
	h.Tick(now.Add(time.Second))
	sent := drain(t, l.queue)
	assert.Equal(t, len(sent), 1)
	assert.Equal(t, len(sent[0].(frame.Report).Report.Crashes), 1)
}

// Guards against a peer's report of a crash that is dropped because the entry duty is busy.
func TestBusyEntryGetsCrashesOfPeers(t *testing.T) {
	n, _ := newIdleNode()
	for n.entry.Ring().Offer(failRequests{}) {
	}
	delivered := make(chan struct{})
	go func() {
		defer close(delivered)
		n.onOutgoingFrame(newQueueLink(), frame.Report{Report: &model.NodeReport{Crashes: []model.CrashReport{{Fingerprint: 7, Count: 1}}}})
	}()
	select {
	case <-delivered:
	case <-time.After(100 * time.Millisecond): // it waits for room
	}
	messages := drain(t, n.entry.Ring())
	<-delivered
	var crashes []model.CrashReport
	for _, m := range append(messages, drain(t, n.entry.Ring())...) {
		if m, ok := m.(reportReceived); ok {
			crashes = append(crashes, m.report.Crashes...)
		}
	}
	assert.Equal(t, len(crashes), 1)
}
