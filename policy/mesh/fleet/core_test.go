package fleet

import (
	"math/rand/v2"
	"strconv"
	"strings"
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

// newCore returns a core for which documents "config" with values such as "v12" have a
// version.
func newCore() *Core {
	version := func(r keyed.Record) uint64 {
		version, _ := strconv.ParseUint(strings.TrimPrefix(string(r.Value), "v"), 10, 64)
		return version
	}
	return New(self, version, rand.New(rand.NewPCG(1, 1)))
}

func at(era uint64, offset int64) model.LogPosition {
	return model.LogPosition{Era: era, Offset: offset}
}

func record(key, value string, offset int64) keyed.Record {
	return keyed.Record{Key: key, Value: []byte(value), Position: at(0, offset)}
}

// Guards against a node dialing itself, or dialing a peer twice.
func TestDialsEachPeerOnce(t *testing.T) {
	c := newCore()
	assert.NilError(t, c.OnDiscovered(start, self))
	assert.NilError(t, c.OnDiscovered(start, peer1))
	assert.NilError(t, c.OnDiscovered(start, peer1))
	c.Tick(start)
	assert.DeepEqual(t, c.Actions(), []Action{Dial{Peer: peer1}})
	c.OnConnected(start, peer1)
	assert.NilError(t, c.OnDiscovered(start, peer1))
	c.Tick(start.Add(time.Minute))
	assert.Equal(t, len(c.Actions()), 0)
}

// Guards against dialing an unreachable peer too often, and against delays so long that
// a restarted peer stays unconnected.
func TestBackOff(t *testing.T) {
	c := newCore()
	assert.NilError(t, c.OnDiscovered(start, peer1))
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
	assert.NilError(t, c.OnDiscovered(start, peer1))
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
	assert.Assert(t, c.OnDocuments(start, []keyed.Record{record("config", "v2", 5)}, at(0, 6)))
	assert.Assert(t, !c.OnDocuments(start, []keyed.Record{record("config", "v1", 3)}, at(0, 4)))
	assert.Assert(t, !c.OnRecords([]keyed.Record{record("config", "v1", 3)}, at(0, 4)))
	list, end := c.Documents()
	assert.Equal(t, string(list[0].Value), "v2")
	assert.Equal(t, end, at(0, 6))
}

// Guards against keeping an availability zone out of service after its document was
// deleted.
func TestDeletedDocument(t *testing.T) {
	c := newCore()
	c.OnDocuments(start, []keyed.Record{record("config", "v1", 0), record("zone", "out", 1)}, at(0, 2))
	assert.Assert(t, c.OnRecords([]keyed.Record{record("zone", "", 2)}, at(0, 3)))
	list, _ := c.Documents()
	assert.Equal(t, len(list), 1)
}

// Guards against not requesting newer documents from a peer when the node cannot read the
// log, and against requesting them while its own read of the log is likely to get them.
func TestNewerDocumentsAreRequested(t *testing.T) {
	c := newCore()
	assert.NilError(t, c.OnDiscovered(start, peer1))
	c.Tick(start)
	c.Actions()
	c.OnConnected(start, peer1)
	c.OnPeerState(start, peer1, model.DocumentsState{End: at(0, 3)})
	c.Tick(start.Add(documentRequestDelay / 2))
	assert.Equal(t, len(c.Actions()), 0)
	c.Tick(start.Add(documentRequestDelay))
	assert.DeepEqual(t, c.Actions(), []Action{RequestDocuments{Peer: peer1, Known: model.DocumentsState{}}})
	c.OnDocuments(start, []keyed.Record{record("config", "v1", 0)}, at(0, 3))
	c.Tick(start.Add(time.Minute))
	assert.Equal(t, len(c.Actions()), 0)
}

// Guards against dialing a peer that has left.
func TestPeerThatLeftIsNotDialed(t *testing.T) {
	c := newCore()
	assert.NilError(t, c.OnDiscovered(start, peer1))
	_, changed := c.ChangedPeers()
	assert.Assert(t, changed)
	c.OnPeerLeft(start, peer1)
	peers, changed := c.ChangedPeers()
	assert.Assert(t, changed)
	assert.Equal(t, len(peers), 0)
	c.Tick(start.Add(time.Minute))
	assert.Equal(t, len(c.Actions()), 0)
}

func recordIn(era uint64, key, value string, offset int64) keyed.Record {
	return keyed.Record{Key: key, Value: []byte(value), Position: at(era, offset)}
}

// confirmUntil makes the log answer once a second from start to end.
func confirmUntil(c *Core, end time.Time) {
	for at := start; !at.After(end); at = at.Add(time.Second) {
		c.OnLogAnswered(at)
	}
}

func values(c *Core) map[string]string {
	list, _ := c.Documents()
	out := make(map[string]string)
	for _, r := range list {
		out[r.Key] = string(r.Value)
	}
	return out
}

// Guards against skipping the records of a restored log because their offsets are lower
// than known ones, and against going back to an era that has ended.
func TestNewEraReplacesHigherOffsets(t *testing.T) {
	c := newCore()
	c.OnDocuments(start, []keyed.Record{record("config", "v2", 7)}, at(0, 8))
	assert.Assert(t, c.OnDocuments(start, []keyed.Record{recordIn(1, "config", "v1", 1)}, at(1, 2)))
	assert.Assert(t, c.OnRecords([]keyed.Record{recordIn(1, "config", "v3", 2)}, at(1, 3)))
	assert.Equal(t, values(c)["config"], "v3")
	assert.Assert(t, !c.OnDocuments(start, []keyed.Record{record("config", "v9", 8)}, at(0, 9)))
	assert.Assert(t, !c.OnRecords([]keyed.Record{record("config", "v9", 8)}, at(0, 9)))
	assert.Equal(t, c.End(), at(1, 3))
}

// Guards against applying the records of a new era to the documents of an older one.
func TestRecordsOfNewEraNeedItsDocuments(t *testing.T) {
	c := newCore()
	c.OnDocuments(start, []keyed.Record{record("config", "v2", 1)}, at(0, 2))
	assert.Assert(t, !c.OnRecords([]keyed.Record{recordIn(1, "zone", "out", 4)}, at(1, 5)))
	assert.Equal(t, c.End(), at(0, 2))
}

// Guards against a restored log whose older configuration, or an invalid one, replaces the
// newest known.
func TestRestoredLogDoesNotRevertConfiguration(t *testing.T) {
	c := newCore()
	c.OnDocuments(start, []keyed.Record{record("config", "v5", 3)}, at(0, 4))
	c.OnDocuments(start, []keyed.Record{recordIn(1, "config", "v2", 1)}, at(1, 2))
	assert.Equal(t, values(c)["config"], "v5")
	assert.Equal(t, len(c.TakeOutdated()), 1)
	c.OnRecords([]keyed.Record{recordIn(1, "config", "v4", 2), recordIn(1, "config", "invalid", 3)}, at(1, 4))
	assert.Equal(t, values(c)["config"], "v5")
	c.Tick(start.Add(time.Hour))
	c.OnDocuments(start, nil, at(2, 0))
	assert.Equal(t, values(c)["config"], "v5")
	assert.DeepEqual(t, c.Retained(), []string{"config"})
	c.OnRecords([]keyed.Record{recordIn(2, "config", "v5", 0)}, at(2, 1))
	assert.Equal(t, len(c.Retained()), 0)
}

// Guards against an availability zone that returns to service because the restored log
// lacks its document, and against one that stays out for ever.
func TestDocumentThatRestoredLogLacksIsRetained(t *testing.T) {
	c := newCore()
	c.OnDocuments(start, []keyed.Record{record("zone", "out", 3)}, at(0, 4))
	c.OnDocuments(start, nil, at(1, 2))
	assert.Assert(t, c.TakeDocumentsChanged())
	c.Tick(start.Add(retentionTime - time.Millisecond))
	assert.Assert(t, !c.TakeDocumentsChanged())
	assert.Equal(t, values(c)["zone"], "out")
	assert.Equal(t, c.Tick(start.Add(retentionTime-time.Millisecond)), start.Add(retentionTime))
	confirmUntil(c, start.Add(retentionTime))
	c.Tick(start.Add(retentionTime))
	assert.Assert(t, c.TakeDocumentsChanged())
	assert.Equal(t, len(values(c)), 0)
	assert.Assert(t, c.Tick(start.Add(retentionTime)).IsZero())
}

// Guards against ending a retention that the operator has made unnecessary by writing the
// document again, and against retaining one that was deleted since the restore.
func TestRetainedDocumentFollowsNewRecords(t *testing.T) {
	c := newCore()
	c.OnDocuments(start, []keyed.Record{record("north", "out", 3), record("south", "out", 4)}, at(0, 5))
	c.OnDocuments(start, nil, at(1, 1))
	c.OnRecords([]keyed.Record{recordIn(1, "north", "out", 1), recordIn(1, "south", "", 2)}, at(1, 3))
	assert.DeepEqual(t, values(c), map[string]string{"north": "out"})
	// The set of a peer that has not read the deletion.
	c.OnPeerDocuments(start, []keyed.Record{recordIn(1, "north", "out", 1), record("south", "out", 4)}, at(1, 4), retentionTime)
	assert.DeepEqual(t, values(c), map[string]string{"north": "out"})
	confirmUntil(c, start.Add(retentionTime))
	c.Tick(start.Add(retentionTime))
	assert.DeepEqual(t, values(c), map[string]string{"north": "out"})
}

// joiningCore returns a core that has started after a restore of the log.
func joiningCore() *Core {
	c := newCore()
	c.OnDiscovered(start, peer1)
	c.Tick(start)
	c.OnConnected(start, peer1)
	c.OnDocuments(start, []keyed.Record{recordIn(1, "config", "v2", 1)}, at(1, 2))
	c.Actions()
	return c
}

// Guards against a starting node that applies the older configuration of a restored log, or
// sends it to a peer, although a peer has a newer one.
func TestStartAfterRestoreWaitsForPeersDocuments(t *testing.T) {
	c := joiningCore()
	assert.Assert(t, c.Joining() && !c.TakeDocumentsChanged())
	assert.Equal(t, c.State(), model.DocumentsState{End: at(1, 2)})
	c.OnPeerState(start, peer1, model.DocumentsState{End: at(1, 2), Version: 5})
	c.Tick(start)
	assert.DeepEqual(t, c.Actions(), []Action{RequestDocuments{Peer: peer1, Known: c.State()}})
	assert.Assert(t, c.OnPeerDocuments(start, []keyed.Record{record("config", "v5", 3), record("zone", "out", 4)}, at(1, 2), time.Second))
	assert.Assert(t, !c.Joining() && c.TakeDocumentsChanged())
	assert.DeepEqual(t, values(c), map[string]string{"config": "v5", "zone": "out"})
	assert.Equal(t, c.State(), model.DocumentsState{End: at(1, 2), Version: 5})
	confirmUntil(c, start.Add(time.Second))
	c.Tick(start.Add(time.Second)) // the end of the peer's retention
	assert.DeepEqual(t, values(c), map[string]string{"config": "v5"})
}

// Guards against a starting node that waits for its peers' documents for ever, and against
// waiting for those of a peer that waits as well.
func TestStartAfterRestoreWithoutPeers(t *testing.T) {
	c := joiningCore()
	c.OnPeerState(start, peer1, model.DocumentsState{End: at(1, 2)})
	assert.Equal(t, c.Tick(start), start.Add(joinTimeout))
	assert.Equal(t, len(c.Actions()), 0)
	c.Tick(start.Add(joinTimeout))
	assert.Assert(t, c.TakeDocumentsChanged())
	assert.DeepEqual(t, values(c), map[string]string{"config": "v2"})
}

// Guards against a wait for a peer's documents that its report, which came before those of
// the log, could have ended.
func TestStartAfterRestoreRequestsFromKnownPeer(t *testing.T) {
	c := newCore()
	c.OnPeerState(start, peer1, model.DocumentsState{End: at(1, 2), Version: 5})
	c.OnDocuments(start, []keyed.Record{recordIn(1, "config", "v2", 1)}, at(1, 2))
	c.Tick(start)
	assert.DeepEqual(t, c.Actions(), []Action{RequestDocuments{Peer: peer1, Known: c.State()}})
}

// Guards against a node that has missed a configuration before a restore and does not get
// it from a peer, since both have the same position.
func TestNewerVersionAtSamePositionIsRequested(t *testing.T) {
	c := newCore()
	c.OnDocuments(start, []keyed.Record{record("config", "v4", 2)}, at(0, 3))
	c.OnDocuments(start, []keyed.Record{recordIn(1, "config", "v2", 1)}, at(1, 2))
	c.OnPeerState(start, peer1, model.DocumentsState{End: at(1, 2), Version: 5})
	c.Tick(start.Add(documentRequestDelay))
	assert.DeepEqual(t, c.Actions(), []Action{RequestDocuments{Peer: peer1, Known: model.DocumentsState{End: at(1, 2), Version: 4}}})
	assert.Assert(t, c.OnPeerDocuments(start, []keyed.Record{record("config", "v5", 3)}, at(1, 2), retentionTime))
	assert.Equal(t, values(c)["config"], "v5")
	c.Tick(start.Add(time.Minute))
	assert.Equal(t, len(c.Actions()), 0)
}

// Guards against the documents of a peer that has not noticed the restore yet replacing
// those of the restored log.
func TestPeersDocumentsOfOlderEra(t *testing.T) {
	c := joiningCore()
	c.OnRecords([]keyed.Record{recordIn(1, "config", "v6", 2)}, at(1, 3))
	c.OnPeerDocuments(start, []keyed.Record{record("config", "v5", 8), record("zone", "out", 7)}, at(0, 9), 0)
	assert.DeepEqual(t, values(c), map[string]string{"config": "v6", "zone": "out"})
	assert.Equal(t, c.End(), at(1, 3))
}

// Guards against a restored log that never gets the node's address again, and against
// writing an address that the log has or that is being written.
func TestAddressIsPublishedOncePerRestore(t *testing.T) {
	c := newCore()
	c.OnNodesLoaded(1, false) // the append at the start is in progress
	c.OnAddressPublished(1)
	c.OnNodesLoaded(1, false)
	c.OnNodesLoaded(2, true)
	assert.Equal(t, len(c.Actions()), 0)
	c.OnNodesLoaded(4, false)
	c.OnNodesLoaded(4, false)
	c.OnNodesLoaded(3, false)
	assert.DeepEqual(t, c.Actions(), []Action{PublishAddress{}})
	c.OnAddressPublished(4)
	assert.Equal(t, len(c.Actions()), 0)
}

// Guards against an address that is lost because the log was restored after the append at
// the start and before the first list of nodes was loaded.
func TestAddressAppendedBeforeRestoreIsPublishedAgain(t *testing.T) {
	c := newCore()
	c.OnNodesLoaded(2, false)
	c.OnAddressPublished(1)
	assert.DeepEqual(t, c.Actions(), []Action{PublishAddress{}})
}

// Guards against records and hellos that name no node but are dialed, and count among the
// nodes that share the customers' rates.
func TestInvalidAddressIsNotAPeer(t *testing.T) {
	for _, id := range []model.Instance{
		"", "10.0.0.2", ":7000", "10.0.0.2:", "10.0.0.2:0", "10.0.0.2:99999", "10.0.0.2:-1", "10.0.0.2:http",
		"node.example:7000", "10.0.0.2:07000", "[::ffff:10.0.0.2]:7000", "0.0.0.0:7000", "[::]:7000",
		"224.0.0.1:7000", "255.255.255.255:7000", "10.0.0.2:7000\n", "10.0.0.2:70\xff",
		model.Instance(strings.Repeat("[", 200) + ":7000"),
	} {
		c := newCore()
		assert.Assert(t, c.OnDiscovered(start, id) != nil, "%q is accepted", id)
		_, changed := c.ChangedPeers()
		assert.Assert(t, !changed, "%q shares the rates", id)
		c.Tick(start)
		assert.Equal(t, len(c.Actions()), 0, "%q is dialed", id)
	}
}

// Guards against a wait at each start, also when the whole fleet starts and no peer has
// more than the log.
func TestStartWithoutPeerThatHasMoreDoesNotWait(t *testing.T) {
	const peer2 = model.Instance("10.0.0.3:7000")
	c := joiningCore()
	c.OnDiscovered(start, peer2)
	c.OnNodesLoaded(1, true)
	c.OnPeerState(start, peer1, model.DocumentsState{})
	c.OnDialFailed(start, peer2)
	c.Tick(start)
	assert.Assert(t, c.Joining(), "peer1 has not read the log yet")
	c.OnPeerState(start, peer1, model.DocumentsState{End: at(1, 2)})
	c.Tick(start)
	assert.Assert(t, c.TakeDocumentsChanged())
	assert.Equal(t, c.State(), model.DocumentsState{End: at(1, 2), Version: 2})
}

// Guards against a start that does not wait for peers which it does not know yet, since
// the log has not been read or has lost their addresses.
func TestStartWaitsForUnknownPeers(t *testing.T) {
	c := newCore()
	c.OnDocuments(start, []keyed.Record{recordIn(1, "config", "v2", 1)}, at(1, 2))
	c.Tick(start)
	assert.Assert(t, c.Joining())
	c.OnNodesLoaded(1, false)
	c.Tick(start)
	assert.Assert(t, c.Joining())
	c.OnDiscovered(start, peer1)
	c.OnPeerState(start, peer1, model.DocumentsState{End: at(1, 2), Version: 5})
	c.OnPeerDocuments(start, []keyed.Record{record("config", "v5", 3)}, at(1, 2), 0)
	assert.Equal(t, values(c)["config"], "v5")
	assert.Assert(t, c.TakeDocumentsChanged())
}
