package fleet

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/logservice/keyed"
	"github.com/oleanderworks/oleanderworks/model"
)

const (
	self  = model.Instance("10.0.0.1:7000")
	peer1 = model.Instance("10.0.0.2:7000")
)

var start = time.Unix(1000, 0)

func newCore() *Core { return New(self, rand.New(rand.NewPCG(1, 1))) }

func record(key, value string, offset int64) keyed.Record {
	return keyed.Record{Key: key, Value: []byte(value), Offset: offset}
}

// Guards against a node dialing itself, or dialing a peer twice.
func TestDialsEachPeerOnce(t *testing.T) {
	c := newCore()
	c.OnDiscovered(start, self)
	c.OnDiscovered(start, peer1)
	c.OnDiscovered(start, peer1)
	c.Tick(start)
	assert.DeepEqual(t, c.Actions(), []Action{Dial{Peer: peer1}})
	c.OnConnected(start, peer1)
	c.OnDiscovered(start, peer1)
	c.Tick(start.Add(time.Minute))
	assert.Equal(t, len(c.Actions()), 0)
}

// Guards against dialing an unreachable peer too often, and against delays so long that
// a restarted peer stays unconnected.
func TestBackOff(t *testing.T) {
	c := newCore()
	c.OnDiscovered(start, peer1)
	now := start
	dials := 0
	for now.Before(start.Add(20 * time.Second)) {
		now = now.Add(10 * time.Millisecond)
		c.Tick(now)
		for range c.Actions() {
			dials++
			c.OnDialFailed(now, peer1)
		}
	}
	// With the longest delays there are 16 dials, with the shortest 43.
	assert.Assert(t, dials >= 15 && dials <= 45, "%d dials in 20 s", dials)
}

// Guards against not reopening a link after it broke.
func TestClosedLinkIsOpenedAgain(t *testing.T) {
	c := newCore()
	c.OnDiscovered(start, peer1)
	c.Tick(start)
	c.Actions()
	c.OnConnected(start, peer1)
	c.OnLinkClosed(start, peer1)
	c.Tick(start)
	assert.DeepEqual(t, c.Actions(), []Action{Dial{Peer: peer1}})
}

// Guards against replacing documents with older ones when a slow read of the log ends
// after a peer has sent newer documents.
func TestOlderDocumentsAreIgnored(t *testing.T) {
	c := newCore()
	assert.Assert(t, c.OnDocuments([]keyed.Record{record("config", "v2", 5)}, 6))
	assert.Assert(t, !c.OnDocuments([]keyed.Record{record("config", "v1", 3)}, 4))
	assert.Assert(t, !c.OnRecords([]keyed.Record{record("config", "v1", 3)}, 4))
	list, end := c.Documents()
	assert.Equal(t, string(list[0].Value), "v2")
	assert.Equal(t, end, int64(6))
}

// Guards against keeping an availability zone out of service after its document was
// deleted.
func TestDeletedDocument(t *testing.T) {
	c := newCore()
	c.OnDocuments([]keyed.Record{record("config", "v1", 0), record("zone", "out", 1)}, 2)
	assert.Assert(t, c.OnRecords([]keyed.Record{record("zone", "", 2)}, 3))
	list, _ := c.Documents()
	assert.Equal(t, len(list), 1)
}

// Guards against not requesting newer documents from a peer when the node cannot read the
// log, and against requesting them while its own read of the log is likely to get them.
func TestNewerDocumentsAreRequested(t *testing.T) {
	c := newCore()
	c.OnDiscovered(start, peer1)
	c.Tick(start)
	c.Actions()
	c.OnConnected(start, peer1)
	c.OnPeerEndOffset(start, peer1, 3)
	c.Tick(start.Add(documentRequestDelay / 2))
	assert.Equal(t, len(c.Actions()), 0)
	c.Tick(start.Add(documentRequestDelay))
	assert.DeepEqual(t, c.Actions(), []Action{RequestDocuments{Peer: peer1, KnownEnd: 0}})
	c.OnDocuments([]keyed.Record{record("config", "v1", 0)}, 3)
	c.Tick(start.Add(time.Minute))
	assert.Equal(t, len(c.Actions()), 0)
}

// Guards against dialing a peer that has left.
func TestPeerThatLeftIsNotDialed(t *testing.T) {
	c := newCore()
	c.OnDiscovered(start, peer1)
	_, changed := c.ChangedPeers()
	assert.Assert(t, changed)
	c.OnPeerLeft(start, peer1)
	peers, changed := c.ChangedPeers()
	assert.Assert(t, changed)
	assert.Equal(t, len(peers), 0)
	c.Tick(start.Add(time.Minute))
	assert.Equal(t, len(c.Actions()), 0)
}
