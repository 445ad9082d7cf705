package poison

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
)

// archiveNode is what a node knows, and its part in writing the log.
type archiveNode struct {
	table   *Table
	archive *Archive
}

func newArchiveNode(seed uint64) *archiveNode {
	return &archiveNode{table: NewTable(), archive: NewArchive(rand.New(rand.NewPCG(seed, 1)))}
}

func (n *archiveNode) passChanges(now time.Time, own bool) {
	for _, c := range n.table.TakeChanges() {
		n.archive.OnChange(now, c, own)
	}
}

func (n *archiveNode) report(now time.Time, report model.CrashReport, own bool) {
	n.table.OnCrashReport(now, report)
	n.passChanges(now, own)
}

func (n *archiveNode) read(now time.Time, records []Record, loaded bool) {
	for _, r := range records {
		n.table.OnRecord(now, r, loaded)
		n.passChanges(now, false)
		n.archive.OnRecord(now, r)
	}
	if loaded {
		n.archive.OnLoaded(now, records)
	}
}

// writes runs the timers until now and returns what the node wants to write.
func (n *archiveNode) writes(now time.Time) []Record {
	n.table.Tick(now)
	n.passChanges(now, false)
	n.archive.Tick(now)
	return n.archive.TakeWrites()
}

func refusedReport(fingerprint uint64) model.CrashReport {
	return model.CrashReport{Fingerprint: fingerprint, Count: maxCrashes}
}

// Guards against a refused request that only the memory of the nodes knows, and against a
// write that is not tried again.
func TestRefusedRequestIsWrittenAtOnce(t *testing.T) {
	n := newArchiveNode(1)
	n.report(start, model.CrashReport{Fingerprint: 7, Count: maxCrashes - 1}, true)
	assert.Equal(t, len(n.writes(start)), 0)
	n.report(start, refusedReport(7), true)
	record := Record{Fingerprint: 7, Refused: true}
	assert.DeepEqual(t, n.writes(start), []Record{record})
	assert.Equal(t, len(n.writes(start.Add(minRetryDelay-1))), 0)
	again := start.Add(maxRetryDelay)
	record.Age = maxRetryDelay
	assert.DeepEqual(t, n.writes(again), []Record{record})
	n.read(again, []Record{record}, false)
	assert.Equal(t, len(n.writes(start.Add(suspicionLifetime-1))), 0)
}

// Guards against a record that is not written because the node that should do it has ended,
// or that all other nodes write.
func TestOtherNodesWriteWhatIsMissing(t *testing.T) {
	const nodes = 14
	const readDelay = 2 * time.Second
	fleet := make([]*archiveNode, nodes)
	for i := range fleet {
		fleet[i] = newArchiveNode(uint64(i))
		fleet[i].report(start, refusedReport(7), false)
	}
	writes := 0
	var readAt time.Time
	for now := start; now.Before(start.Add(maxTakeoverDelay + readDelay)); now = now.Add(10 * time.Millisecond) {
		for _, n := range fleet {
			count := len(n.writes(now))
			if writes == 0 && count > 0 {
				readAt = now.Add(readDelay)
			}
			writes += count
		}
		if !readAt.IsZero() && !now.Before(readAt) {
			for _, n := range fleet {
				n.read(now, []Record{{Fingerprint: 7, Refused: true}}, false)
			}
		}
	}
	assert.Assert(t, writes >= 1 && writes <= nodes/2, "%d of %d nodes have written", writes, nodes)
}

// Guards against a request that the nodes refuse after their next start although it has
// completed or its suspicion has expired.
func TestRecordIsDeletedWhenRequestIsAcceptedAgain(t *testing.T) {
	refused, deletion := Record{Fingerprint: 7, Refused: true}, Record{Fingerprint: 7}
	for _, expires := range []bool{false, true} {
		n, other := newArchiveNode(1), newArchiveNode(2)
		for _, node := range []*archiveNode{n, other} {
			node.report(start, refusedReport(7), false)
			node.read(start, []Record{refused}, false)
		}
		end := start.Add(time.Second)
		if expires {
			end = start.Add(suspicionLifetime + maxTakeoverDelay)
			n.writes(start.Add(suspicionLifetime))
		} else {
			n.report(end, model.CrashReport{Fingerprint: 7}, true)
		}
		assert.DeepEqual(t, n.writes(end), []Record{deletion})
		n.read(end, []Record{deletion}, false)
		other.read(end, []Record{deletion}, false)
		assert.Equal(t, other.table.Len(), 0)
		assert.Equal(t, len(n.writes(end.Add(time.Hour)))+len(other.writes(end.Add(time.Hour))), 0)
	}
}

// Guards against a node that starts after all nodes have ended and knows no refused request.
func TestStartedNodeLoadsRefusedRequests(t *testing.T) {
	n := newArchiveNode(1)
	n.read(start, []Record{{Fingerprint: 7, Refused: true}}, true)
	assert.Equal(t, n.table.Len(), 1)
	assert.Equal(t, len(n.writes(start.Add(loadedRecordAge-1))), 0)
	end := start.Add(loadedRecordAge + maxTakeoverDelay)
	n.writes(start.Add(loadedRecordAge))
	assert.DeepEqual(t, n.writes(end), []Record{{Fingerprint: 7}})
	assert.Equal(t, n.table.Len(), 0)
}

// Guards against a record from before a completion, in a log that was restored or on a node
// that could not read it, which makes the nodes refuse the request again.
func TestLoadedRecordYieldsToCompletion(t *testing.T) {
	n := newArchiveNode(1)
	n.report(start, model.CrashReport{Fingerprint: 7, Age: time.Minute}, false)
	n.read(start, []Record{{Fingerprint: 7, Refused: true}}, true)
	assert.Equal(t, n.table.Len(), 0)
	assert.DeepEqual(t, n.writes(start.Add(maxTakeoverDelay)), []Record{{Fingerprint: 7}})
}

// Guards against a refused request that a restored log lacks.
func TestRecordThatRestoredLogLacksIsWrittenAgain(t *testing.T) {
	n := newArchiveNode(1)
	n.report(start, refusedReport(7), true)
	n.read(start, []Record{{Fingerprint: 7, Refused: true}}, false)
	n.writes(start)
	n.read(start, nil, true)
	assert.Equal(t, len(n.writes(start.Add(maxTakeoverDelay))), 1)
}
