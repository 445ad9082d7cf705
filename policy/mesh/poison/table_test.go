package poison

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
)

var start = time.Unix(1000, 0)

func call(path string, crashes int) *model.Call {
	return &model.Call{Host: "h", Method: "GET", Path: path, CrashCount: crashes}
}

// crash simulates the crash of a target that runs the calls and returns the
// reports.
func crash(now time.Time, calls ...*model.Call) []model.CrashReport {
	var r Recorder
	for _, c := range calls {
		r.OnConnectionBroken(now, now, c)
	}
	r.OnTargetLost(now)
	return r.TakeReports()
}

func apply(t *Table, now time.Time, reports []model.CrashReport) {
	for _, report := range reports {
		t.OnCrashReport(now, report)
	}
}

// Guards against letting a request crash one target after another while its caller keeps
// sending it.
func TestThirdConsecutiveCrashQuarantines(t *testing.T) {
	table := NewTable()
	for i := range maxCrashes {
		assert.Assert(t, !table.Quarantined(start, call("/bad", 0)), "refused after %d crashes", i)
		apply(table, start, crash(start, call("/bad", table.Crashes(start, call("/bad", 0)))))
	}
	assert.Assert(t, table.Quarantined(start, call("/bad", 0)))
	assert.Assert(t, !table.Quarantined(start, call("/good", 0)))
	assert.Assert(t, !table.Quarantined(start.Add(suspicionLifetime), call("/bad", 0)), "the suspicion has not expired")
}

// Guards against refusing a frequent request that ran on every target of an availability
// zone when the zone lost power.
func TestSimultaneousCrashesCountAsOne(t *testing.T) {
	table := NewTable()
	for range 27 {
		apply(table, start, crash(start, call("/popular", 0), call("/other", 0)))
	}
	assert.Equal(t, table.Crashes(start, call("/popular", 0)), 1)
	assert.Assert(t, !table.Quarantined(start, call("/popular", 0)))
}

// Guards against counting crashes as consecutive although the request has completed in
// between.
func TestCompletionClearsSuspicion(t *testing.T) {
	table := NewTable()
	for range 2 * maxCrashes {
		apply(table, start, crash(start, call("/fine", table.Crashes(start, call("/fine", 0)))))
		var r Recorder
		completed := call("/fine", table.Crashes(start, call("/fine", 0)))
		completed.CrashesReported = true
		r.OnCompleted(completed)
		apply(table, start, r.TakeReports())
		assert.Equal(t, table.Len(), 0)
	}
}

// Guards against attributing a crash to calls whose connections broke long before the
// target was lost.
func TestEarlierBrokenConnectionIsNotACrash(t *testing.T) {
	var r Recorder
	r.OnConnectionBroken(start, start, call("/cut", 2))
	r.OnTargetLost(start.Add(crashAttributionWindow + time.Second))
	assert.Equal(t, len(r.TakeReports()), 0)
}

// Guards against attributing a crash to a call that was sent after it.
func TestCallAfterLossIsNotACrash(t *testing.T) {
	var r Recorder
	r.OnTargetLost(start)
	r.OnConnectionBroken(start.Add(time.Second), start.Add(time.Millisecond), call("/next", 0))
	assert.Equal(t, len(r.TakeReports()), 0)
}

// Guards against unbounded growth of the table.
func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	for i := range maxSuspicions + 100 {
		apply(table, start.Add(time.Duration(i)), crash(start, call(fmt.Sprint("/", i), 0)))
	}
	assert.Equal(t, table.Len(), maxSuspicions)
}

// Guards against reporting a completed attempt to all nodes after a broken connection
// although no target has crashed.
func TestAttemptAfterBrokenConnectionIsNotReported(t *testing.T) {
	var r Recorder
	r.OnCompleted(call("/cut", 1))
	assert.Equal(t, len(r.TakeReports()), 0)
}

// exchange passes on what one node's table holds to another.
func exchange(from, to *Table, now time.Time) { apply(to, now, from.Reports(now)) }

// Guards against a restarted node that knows none of the crashes before its start.
func TestPeersPassOnCrashes(t *testing.T) {
	known, restarted := NewTable(), NewTable()
	for range maxCrashes {
		apply(known, start, crash(start, call("/bad", known.Crashes(start, call("/bad", 0)))))
	}
	apply(known, start, crash(start, call("/once", 0)))
	later := start.Add(time.Minute)
	exchange(known, restarted, later)
	assert.Assert(t, restarted.Quarantined(later, call("/bad", 0)))
	assert.Equal(t, restarted.Crashes(later, call("/once", 0)), 1)
}

// Guards against a suspicion that never expires because nodes pass it on to each other.
func TestPassedOnSuspicionExpires(t *testing.T) {
	tables := []*Table{NewTable(), NewTable()}
	apply(tables[0], start, crash(start, call("/bad", maxCrashes-1)))
	step := suspicionLifetime / 4
	for i := range 4 {
		now := start.Add(time.Duration(i) * step)
		exchange(tables[i%2], tables[1-i%2], now)
		assert.Assert(t, tables[1-i%2].Quarantined(now, call("/bad", 0)))
	}
	end := start.Add(suspicionLifetime)
	exchange(tables[0], tables[1], end)
	for _, table := range tables {
		assert.Assert(t, !table.Quarantined(end, call("/bad", 0)))
	}
}

// Guards against a node that was cut off when a request completed, and then makes the others
// refuse it.
func TestCompletionOutlivesOlderSuspicionOfPeer(t *testing.T) {
	cutOff, other := NewTable(), NewTable()
	crashes := crash(start, call("/fine", maxCrashes-1))
	apply(cutOff, start, crashes)
	apply(other, start, crashes)
	apply(other, start.Add(time.Second), []model.CrashReport{{Fingerprint: Fingerprint(call("/fine", 0))}})
	healed := start.Add(2 * time.Second)
	exchange(cutOff, other, healed)
	assert.Assert(t, !other.Quarantined(healed, call("/fine", 0)))
	exchange(other, cutOff, healed)
	assert.Assert(t, !cutOff.Quarantined(healed, call("/fine", 0)))
}

// Guards against a completion that clears a crash which came after it.
func TestCrashOutlivesOlderCompletionOfPeer(t *testing.T) {
	completed, crashed := NewTable(), NewTable()
	apply(completed, start, []model.CrashReport{{Fingerprint: Fingerprint(call("/bad", 0))}})
	later := start.Add(time.Second)
	apply(crashed, later, crash(later, call("/bad", maxCrashes-1)))
	exchange(completed, crashed, later)
	assert.Assert(t, crashed.Quarantined(later, call("/bad", 0)))
	exchange(crashed, completed, later)
	assert.Assert(t, completed.Quarantined(later, call("/bad", 0)))
}

// Guards against counting new crashes on top of those that have expired.
func TestExpiredCrashesDoNotCount(t *testing.T) {
	table := NewTable()
	apply(table, start, crash(start, call("/bad", maxCrashes-1)))
	later := start.Add(suspicionLifetime)
	apply(table, later, crash(later, call("/bad", 0)))
	assert.Equal(t, table.Crashes(later, call("/bad", 0)), 1)
	assert.Assert(t, !table.Quarantined(later, call("/bad", 0)))
}

// Guards against a refused request that is forgotten, and crashes targets again, because
// the crashes of other requests fill the table.
func TestQuarantinedRequestIsEvictedLast(t *testing.T) {
	table := NewTable()
	apply(table, start, crash(start, call("/bad", maxCrashes-1)))
	for i := range 2 * maxSuspicions {
		apply(table, start.Add(time.Duration(i+1)), crash(start, call(fmt.Sprint("/", i), 0)))
	}
	end := start.Add(2 * maxSuspicions)
	assert.Assert(t, table.Quarantined(end, call("/bad", 0)))
	assert.Equal(t, table.Crashes(end, call("/0", 0)), 0)
	assert.Equal(t, table.Crashes(end, call(fmt.Sprint("/", 2*maxSuspicions-1), 0)), 1)
}

// Guards against unbounded growth of the table by requests that have completed.
func TestClearedRequestsAreBounded(t *testing.T) {
	table := NewTable()
	apply(table, start, crash(start, call("/once", 0)))
	for i := range maxSuspicions + 100 {
		apply(table, start.Add(time.Duration(i)), []model.CrashReport{{Fingerprint: uint64(i + 1)}})
	}
	assert.Equal(t, len(table.suspicions), maxSuspicions)
	assert.Equal(t, table.Crashes(start, call("/once", 0)), 1)
}

// Guards against a node that starts beside many peers and gets megabytes of records that
// hardly matter, and against leaving out those that do.
func TestReportsAreBounded(t *testing.T) {
	table := NewTable()
	apply(table, start, crash(start, call("/bad", maxCrashes-1)))
	for i := range maxSuspicions {
		apply(table, start.Add(time.Duration(i+1)), crash(start, call(fmt.Sprint("/", i), 0)))
	}
	end := start.Add(maxSuspicions)
	reports := table.Reports(end)
	assert.Equal(t, len(reports), maxReports)
	peer := NewTable()
	apply(peer, end, reports)
	assert.Assert(t, peer.Quarantined(end, call("/bad", 0)))
	assert.Equal(t, peer.Crashes(end, call(fmt.Sprint("/", maxSuspicions-1), 0)), 1)
}
