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
		r.OnConnectionBroken(now, c)
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
	r.OnConnectionBroken(start, call("/cut", 2))
	r.OnTargetLost(start.Add(crashAttributionWindow + time.Second))
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

// Guards against counting new crashes on top of those that have expired.
func TestExpiredCrashesDoNotCount(t *testing.T) {
	table := NewTable()
	apply(table, start, crash(start, call("/bad", maxCrashes-1)))
	later := start.Add(suspicionLifetime)
	apply(table, later, crash(later, call("/bad", 0)))
	assert.Equal(t, table.Crashes(later, call("/bad", 0)), 1)
	assert.Assert(t, !table.Quarantined(later, call("/bad", 0)))
}
