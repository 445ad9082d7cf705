// Package appender appends a node's records to the log service, on its own
// thread: member records, refreshed documents, key withdrawals and group records.
package appender

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/oleanderworks/oleanderworks/core/duty"
	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/core/ring"
	"github.com/oleanderworks/oleanderworks/logservice"
	"github.com/oleanderworks/oleanderworks/policy/node/logappend"
)

const (
	// ringCapacity bounds the queued messages. If the ring is full, the follower
	// retries its records, and the quorum duty composes its group again after a
	// timeout; a member record is dropped.
	ringCapacity = 1024
	// recordCapacity bounds the records that wait for the log service. The size
	// of a record is at most 512 KiB, and typically a few hundred bytes.
	recordCapacity = 1024
)

// Message is a message to the appender duty: *Append, or the result of a request
// to the log service.
type Message interface{ appenderMessage() }

// Append requests that a record be appended. If it is unknown whether the log service
// appended the record, the appender searches the stream for ID before it appends the
// record again, so that the record is not applied twice.
type Append struct {
	Stream string
	ID     string // UUID
	Body   json.RawMessage
	// From is an offset before the record, at which a search for it starts. Zero
	// searches the whole stream.
	From logservice.Offset
	// Done is called once on the duty's thread and must not block. Its error
	// wraps logservice.ErrTooLarge or logappend.ErrBusy. An outage of the log
	// service is not an error, since the record is retried until the service is
	// available again. Done may be nil.
	Done func(error)
}

type appendDone struct {
	record *logappend.Record
	offset logservice.Offset
	err    error
}

type searchDone struct {
	record *logappend.Record
	offset logservice.Offset
	found  bool
	err    error
}

func (*Append) appenderMessage()     {}
func (*appendDone) appenderMessage() {}
func (*searchDone) appenderMessage() {}

// Handler handles the messages of the appender duty.
type Handler struct {
	ctx        context.Context
	logService logservice.Log
	core       *logappend.Core
	log        *event.Log
	inbox      *ring.Ring[Message]
}

// New returns the duty. Requests to the log service are canceled when ctx ends.
func New(ctx context.Context, logService logservice.Log, rng *rand.Rand, log *event.Log) *duty.Duty[Message] {
	h := &Handler{ctx: ctx, logService: logService, core: logappend.New(rng, recordCapacity), log: log}
	d := duty.New[Message]("appender", ringCapacity, h)
	h.inbox = d.Ring()
	return d
}

// Handle implements duty.Handler.
func (h *Handler) Handle(now time.Time, batch []Message) {
	for _, m := range batch {
		h.handle(now, m)
	}
	h.performActions()
}

// Tick implements duty.Handler.
func (h *Handler) Tick(now time.Time) time.Time {
	next := h.core.Tick(now)
	h.performActions()
	return next
}

func (h *Handler) handle(now time.Time, m Message) {
	switch m := m.(type) {
	case *Append:
		h.addRecord(now, m)
	case *appendDone:
		h.logFailure("append", m.record, m.err)
		h.core.OnAppend(now, m.record, m.offset, m.err)
	case *searchDone:
		h.logFailure("search", m.record, m.err)
		h.core.OnSearch(now, m.record, m.offset, m.found, m.err)
	}
}

func (h *Handler) addRecord(now time.Time, m *Append) {
	done := m.Done
	if done == nil {
		done = func(error) {}
	}
	r := &logappend.Record{
		Stream: m.Stream, ID: m.ID, Body: m.Body, From: m.From,
		Done: func(_ logservice.Offset, err error) { done(err) },
	}
	if err := h.core.Add(now, r); err != nil {
		h.log.Emit(event.RecordDropped, "stream", m.Stream, "id", m.ID, "error", err)
		done(err)
	}
}

// logFailure logs a failed request. This includes records that the log service
// refused as too large.
func (h *Handler) logFailure(step string, r *logappend.Record, err error) {
	if err != nil {
		h.log.Emit(event.LogUnavailable, "step", step, "stream", r.Stream, "id", r.ID, "error", err)
	}
}

func (h *Handler) performActions() {
	for _, a := range h.core.Actions() {
		if a.Search {
			go h.search(a.Record)
			continue
		}
		go h.append(a.Record)
	}
}

func (h *Handler) append(r *logappend.Record) {
	offset, err := h.logService.Append(h.ctx, r.Stream, r.ID, r.Body)
	_ = h.inbox.Put(h.ctx, &appendDone{record: r, offset: offset, err: err})
}

func (h *Handler) search(r *logappend.Record) {
	offset, found, err := logservice.FindRecord(h.ctx, h.logService, r.Stream, r.ID, r.From)
	_ = h.inbox.Put(h.ctx, &searchDone{record: r, offset: offset, found: found, err: err})
}
