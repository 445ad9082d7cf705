package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/logservice/keyed"
	"github.com/oleanderworks/oleanderworks/model"
)

const otherPeer = model.Instance("10.0.0.3:7000")

// Guards against a start that ends with an older configuration because another peer
// reported later than the one that has the newest.
func TestStartWaitsForNewestStatedVersion(t *testing.T) {
	c := joiningCore()
	assert.NilError(t, c.OnDiscovered(start, otherPeer))
	c.OnPeerState(start, otherPeer, model.DocumentsState{End: at(1, 2), Version: 5})
	c.OnPeerState(start, peer1, model.DocumentsState{End: at(1, 2), Version: 2})
	c.Tick(start)
	c.OnPeerDocuments(start, []keyed.Record{recordIn(1, "config", "v2", 1)}, at(1, 2), 0)
	assert.Assert(t, c.Joining() || values(c)["config"] == "v5", "%v is in force although a peer stated v5", values(c))
}

// Guards against a start that ignores a peer which got documents after its first report.
func TestStartWaitsForPeerThatGotMore(t *testing.T) {
	c := joiningCore()
	assert.NilError(t, c.OnDiscovered(start, otherPeer))
	c.OnNodesLoaded(1, true)
	c.OnPeerState(start, peer1, model.DocumentsState{End: at(1, 2)})
	c.OnPeerState(start, peer1, model.DocumentsState{End: at(1, 2), Version: 5})
	c.OnDialFailed(start, otherPeer)
	c.Tick(start)
	assert.Assert(t, c.Joining(), "%v is in force although a peer stated v5", values(c))
}

// Guards against a start that ends at once because the restored log names only nodes that
// are down.
func TestStartWaitsIfListedNodesAreDown(t *testing.T) {
	c := newCore()
	assert.NilError(t, c.OnDiscovered(start, peer1))
	c.OnNodesLoaded(2, true)
	c.OnDocuments(start, []keyed.Record{recordIn(2, "config", "v2", 1)}, at(2, 2))
	c.OnDialFailed(start, peer1)
	c.Tick(start)
	assert.Assert(t, c.Joining())
}

// Guards against a retained document that is dropped while the log does not answer, so
// that the operator cannot write it again.
func TestRetentionWaitsForLog(t *testing.T) {
	c := newCore()
	c.OnDocuments(start, []keyed.Record{recordIn(1, "config", "v5", 2), recordIn(1, "zone", "out", 3)}, at(1, 4))
	c.OnDocuments(start, []keyed.Record{recordIn(2, "config", "v5", 2)}, at(2, 3))
	assert.Assert(t, c.Tick(start.Add(retentionTime)).IsZero(), "the node waits for the log without a timer")
	assert.Equal(t, values(c)["zone"], "out")
	// The operator has the whole time after the log is back.
	back := start.Add(retentionTime + 5*time.Second)
	c.OnLogAnswered(back)
	c.Tick(back)
	assert.Equal(t, values(c)["zone"], "out")
	for at := back; !at.After(back.Add(retentionTime)); at = at.Add(time.Second) {
		c.OnLogAnswered(at)
	}
	c.Tick(back.Add(retentionTime))
	assert.Equal(t, len(values(c)), 1)
}

// Guards against a document that only a peer retains and a node at the same position never
// requests.
func TestRetainedDocumentIsRequested(t *testing.T) {
	c := newCore()
	assert.NilError(t, c.OnDiscovered(start, peer1))
	c.OnDocuments(start, []keyed.Record{recordIn(2, "config", "v5", 2)}, at(2, 3))
	c.Tick(start.Add(joinTimeout))
	later := start.Add(joinTimeout + 100*time.Millisecond)
	c.OnConnected(later, peer1)
	c.Actions()
	c.OnPeerState(later, peer1, model.DocumentsState{End: at(2, 3), Version: 5})
	c.Tick(later.Add(time.Second))
	assert.Equal(t, len(c.Actions()), 1)
}

// Guards against a deleted document that returns with the older documents of a peer.
func TestDeletedDocumentStaysDeletedAfterRestore(t *testing.T) {
	c := newCore()
	c.OnDocuments(start, []keyed.Record{recordIn(1, "config", "v5", 2), recordIn(1, "zone", "out", 3)}, at(1, 4))
	c.OnRecords([]keyed.Record{recordIn(1, "zone", "", 4)}, at(1, 5))
	c.OnDocuments(start, []keyed.Record{recordIn(2, "config", "v5", 2)}, at(2, 5))
	c.OnPeerDocuments(start, []keyed.Record{recordIn(1, "config", "v5", 2), recordIn(1, "zone", "out", 3)}, at(1, 4), 0)
	assert.Equal(t, len(values(c)), 1, "%v", values(c))
}

// Guards against requests without end to a peer that has left.
func TestPeerThatLeftGetsNoRequests(t *testing.T) {
	c := newCore()
	c.OnDocuments(start, []keyed.Record{recordIn(1, "config", "v4", 2)}, at(1, 3))
	c.Tick(start.Add(joinTimeout))
	assert.NilError(t, c.OnDiscovered(start, peer1))
	c.OnPeerState(start, peer1, model.DocumentsState{End: at(1, 3), Version: 5})
	c.OnPeerLeft(start, peer1)
	requests := 0
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(100 * time.Millisecond) {
		c.Tick(now)
		requests += len(c.Actions())
	}
	assert.Assert(t, requests <= 1, "%d requests in a minute", requests)
}
