package memlog

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/logservice"
)

// Guards against a page that is too large for the reader, and against a truncated page
// that the reader takes for the end of the stream.
func TestPageSizeIsLimited(t *testing.T) {
	ctx := context.Background()
	l := New(time.Now, time.Hour)
	body := json.RawMessage(`"` + strings.Repeat("a", logservice.MaxRecordBytes-2) + `"`)
	for range 40 {
		_, err := l.Append(ctx, "config", "id", body)
		assert.NilError(t, err)
	}
	var from logservice.Offset
	pages := 0
	for {
		page, err := l.Read(ctx, "config", from, logservice.ReadOptions{})
		assert.NilError(t, err)
		assert.Assert(t, len(page.Records)*len(body) <= logservice.MaxPageBytes)
		from, pages = page.Next, pages+1
		if page.Next == page.End {
			break
		}
	}
	assert.Equal(t, from, logservice.Offset(40))
	assert.Equal(t, pages, 3)
}

// Guards against reading expired records, and against an append that does not take
// effect when its answer is lost.
func TestExpiryAndLostAnswer(t *testing.T) {
	ctx := context.Background()
	now := time.Unix(1_700_000_000, 0)
	l := New(func() time.Time { return now }, time.Hour)
	_, err := l.Append(ctx, "config", "old", nil)
	assert.NilError(t, err)
	now = now.Add(2 * time.Hour)
	l.SetFaults(Faults{LoseAnswers: 1})
	_, err = l.Append(ctx, "config", "new", nil)
	assert.ErrorIs(t, err, logservice.ErrUnavailable)
	page, err := l.Read(ctx, "config", 0, logservice.ReadOptions{})
	assert.NilError(t, err)
	assert.Equal(t, page.Oldest, logservice.Offset(1))
	assert.Equal(t, len(page.Records), 1)
	assert.Equal(t, page.Records[0].ID, "new")
}
