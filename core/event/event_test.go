package event

import (
	"bytes"
	"os"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// Guards against a docs/events.md that was not generated again after a change of the
// catalogue.
func TestEventsPageIsUpToDate(t *testing.T) {
	page, err := os.ReadFile("../../docs/events.md")
	assert.NilError(t, err)
	assert.Equal(t, string(page), Markdown(), "run: go run ./cmd/oleanderworks events > docs/events.md")
}

// Guards against events that share a number or a name and against events
// without a description or an action.
func TestNumbersAndNamesAreUnique(t *testing.T) {
	seen := make(map[int]string)
	names := make(map[string]bool)
	for _, d := range All() {
		assert.Equal(t, seen[d.Number], "", "number %d is also used by %s", d.Number, d.Name)
		assert.Assert(t, !names[d.Name], d.Name)
		assert.Assert(t, d.Description != "" && d.Action != "", d.Name)
		seen[d.Number], names[d.Name] = d.Name, true
	}
}

// Guards against a frequent event that exceeds its rate limit, and against suppressed
// lines that the next line does not report.
func TestLimiterCountsSuppressedLines(t *testing.T) {
	var l limiter
	now := time.Unix(1000, 0)
	written := 0
	for range maxLinesPerSecond + 5 {
		if ok, _ := l.allow(now, maxLinesPerSecond); ok {
			written++
		}
	}
	assert.Equal(t, written, maxLinesPerSecond)
	ok, suppressed := l.allow(now.Add(time.Second), maxLinesPerSecond)
	assert.Assert(t, ok)
	assert.Equal(t, suppressed, int64(5))
}

// Guards against log lines without the number of the event.
func TestEmitWritesEventNumber(t *testing.T) {
	var out bytes.Buffer
	log := New(hclog.New(&hclog.LoggerOptions{Output: &out, Level: hclog.Info}))
	log.Emit(NodeStarted, "instance", "archive-1")
	assert.Assert(t, bytes.Contains(out.Bytes(), []byte("event=100 instance=archive-1")), out.String())
}
