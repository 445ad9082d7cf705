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

// crash lets a target crash that runs the calls, and returns the news.
func crash(now time.Time, calls ...*model.Call) []model.CrashReport {
	var r Recorder
	for _, c := range calls {
		r.OnConnectionBroken(now, c)
	}
	r.OnTargetLost(now)
	return r.TakeReports()
}

func learn(t *Table, now time.Time, news []model.CrashReport) {
	for _, n := range news {
		t.OnCrashReport(now, n)
	}
}

// Guards against a request that goes on crashing targets when its caller sends
// it again.
func TestThirdCrashInARowEndsIt(t *testing.T) {
	table := NewTable()
	for i := range maxCrashes {
		assert.Assert(t, !table.Quarantined(start, call("/bad", 0)), "refused after %d crashes", i)
		learn(table, start, crash(start, call("/bad", table.Crashes(start, call("/bad", 0)))))
	}
	assert.Assert(t, table.Quarantined(start, call("/bad", 0)))
	assert.Assert(t, !table.Quarantined(start, call("/good", 0)))
	assert.Assert(t, !table.Quarantined(start.Add(life), call("/bad", 0)), "the suspicion lasts for ever")
}

// Guards against the refusal of a popular request that ran on every target of
// an availability zone when it lost power.
func TestCrashesAtOnceCountAsOne(t *testing.T) {
	table := NewTable()
	for range 27 {
		learn(table, start, crash(start, call("/popular", 0), call("/other", 0)))
	}
	assert.Equal(t, table.Crashes(start, call("/popular", 0)), 1)
	assert.Assert(t, !table.Quarantined(start, call("/popular", 0)))
}

// Guards against crashes that are added up although the request completes in
// between.
func TestCompletionClears(t *testing.T) {
	table := NewTable()
	for range 2 * maxCrashes {
		learn(table, start, crash(start, call("/fine", table.Crashes(start, call("/fine", 0)))))
		var r Recorder
		completed := call("/fine", table.Crashes(start, call("/fine", 0)))
		completed.Suspected = true
		r.OnCompleted(completed)
		learn(table, start, r.TakeReports())
		assert.Equal(t, table.Len(), 0)
	}
}

// Guards against connections that break, while the target lives, being taken
// for a crash.
func TestBrokenConnectionsAreNoCrash(t *testing.T) {
	var r Recorder
	r.OnConnectionBroken(start, call("/cut", 2))
	r.OnTargetLost(start.Add(confirmTime + time.Second))
	assert.Equal(t, len(r.TakeReports()), 0)
}

// Guards against a table that grows without bound.
func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	for i := range maxSuspicions + 100 {
		learn(table, start.Add(time.Duration(i)), crash(start, call(fmt.Sprint("/", i), 0)))
	}
	assert.Equal(t, table.Len(), maxSuspicions)
}

// Guards against reports to all nodes for each attempt that follows a broken
// connection, although no target has crashed.
func TestAttemptAfterBrokenConnectionIsNoNews(t *testing.T) {
	var r Recorder
	r.OnCompleted(call("/cut", 1))
	assert.Equal(t, len(r.TakeReports()), 0)
}
