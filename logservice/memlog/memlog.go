// Package memlog is an in-memory stand-in for the log service of package logservice. It
// expires records and can inject faults: delays, outages, and appends that take effect
// but whose answers are lost.
package memlog

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/oleanderworks/oleanderworks/core/fault"
	"github.com/oleanderworks/oleanderworks/logservice"
)

// DefaultRetention is the retention in development fleets and in most tests of nodes.
const DefaultRetention = 24 * time.Hour

// Faults are the faults to inject. The zero value injects none.
type Faults struct {
	Down        bool          // all calls fail without effect
	Delay       time.Duration // delay of each call
	LoseAnswers int           // number of coming appends that take effect but return an error
}

// Log is an in-memory log service.
type Log struct {
	now       func() time.Time
	retention time.Duration

	mu      sync.Mutex
	faults  Faults
	streams map[string]*stream
	appends int64
}

type stream struct {
	first    logservice.Offset // offset of records[0]
	records  []logservice.Record
	appended chan struct{} // closed when a record is appended
}

// New returns an empty log that takes the time from now and expires records after the
// retention.
func New(now func() time.Time, retention time.Duration) *Log {
	return &Log{now: now, retention: retention, streams: make(map[string]*stream)}
}

// SetFaults replaces the faults to inject.
func (l *Log) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Appends returns the number of records appended so far.
func (l *Log) Appends() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Append implements logservice.Log.
func (l *Log) Append(ctx context.Context, name, id string, body json.RawMessage) (logservice.Offset, error) {
	if len(body) > logservice.MaxRecordBytes {
		return 0, fault.Wrap("append", name, logservice.ErrTooLarge)
	}
	if err := l.applyFaults(ctx, "append", name); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	offset := l.append(name, id, body)
	if l.faults.LoseAnswers > 0 {
		l.faults.LoseAnswers--
		return 0, fault.Wrap("append", name, logservice.ErrUnavailable)
	}
	return offset, nil
}

func (l *Log) append(name, id string, body json.RawMessage) logservice.Offset {
	s := l.stream(name)
	offset := s.first + logservice.Offset(len(s.records))
	s.records = append(s.records, logservice.Record{ID: id, Offset: offset, Time: l.now(), Body: body})
	l.appends++
	close(s.appended)
	s.appended = make(chan struct{})
	return offset
}

// Read implements logservice.Log.
func (l *Log) Read(ctx context.Context, name string, from logservice.Offset, opts logservice.ReadOptions) (logservice.Page, error) {
	if err := l.applyFaults(ctx, "read", name); err != nil {
		return logservice.Page{}, err
	}
	page, appended := l.readPage(name, from, opts.Max)
	if len(page.Records) > 0 || opts.Wait <= 0 {
		return page, nil
	}
	timer := time.NewTimer(opts.Wait)
	defer timer.Stop()
	select {
	case <-appended:
	case <-timer.C:
	case <-ctx.Done():
		return logservice.Page{}, fault.Wrap("read", name, ctx.Err())
	}
	if l.down() {
		return logservice.Page{}, fault.Wrap("read", name, logservice.ErrUnavailable)
	}
	page, _ = l.readPage(name, from, opts.Max)
	return page, nil
}

func (l *Log) readPage(name string, from logservice.Offset, limit int) (logservice.Page, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	l.dropExpired(s)
	from = max(from, s.first)
	end := s.first + logservice.Offset(len(s.records))
	from = min(from, end)
	if limit <= 0 || limit > logservice.MaxPageRecords {
		limit = logservice.MaxPageRecords
	}
	last := min(end, from+logservice.Offset(limit))
	records := truncateToPageSize(s.records[from-s.first : last-s.first])
	next := from + logservice.Offset(len(records))
	page := logservice.Page{Records: records, Next: next, End: end, Oldest: s.first, Retention: l.retention}
	return page, s.appended
}

// truncateToPageSize returns a copy of the first records whose bodies together fit into
// a page, at least one.
func truncateToPageSize(records []logservice.Record) []logservice.Record {
	size := 0
	for i, r := range records {
		size += len(r.Body)
		if i > 0 && size > logservice.MaxPageBytes {
			return slices.Clone(records[:i])
		}
	}
	return slices.Clone(records)
}

func (l *Log) dropExpired(s *stream) {
	cutoff := l.now().Add(-l.retention)
	n := 0
	for n < len(s.records) && s.records[n].Time.Before(cutoff) {
		n++
	}
	s.records = s.records[n:]
	s.first += logservice.Offset(n)
}

func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (l *Log) down() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults.Down
}

func (l *Log) applyFaults(ctx context.Context, step, name string) error {
	l.mu.Lock()
	f := l.faults
	l.mu.Unlock()
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-ctx.Done():
			return fault.Wrap(step, name, ctx.Err())
		}
	}
	if f.Down {
		return fault.Wrap(step, name, logservice.ErrUnavailable)
	}
	return nil
}
