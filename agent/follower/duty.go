// Package follower runs the configuration state on its own thread and passes
// snapshots to the other duties.
package follower

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/oleanderworks/oleanderworks/core/duty"
	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/core/ring"
	"github.com/oleanderworks/oleanderworks/logservice"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/configlog"
	"github.com/oleanderworks/oleanderworks/policy/quorum"
)

const (
	// ringCapacity bounds the waiting pages; readers wait beyond it.
	ringCapacity = 1024
	// readWait is how long one read waits for a first record.
	readWait = 2 * time.Second
	// retryDelay separates reads that failed.
	retryDelay = 500 * time.Millisecond
)

// Message is what the follower duty takes: *PageRead.
type Message interface{ followerMessage() }

// PageRead carries records of one stream in log order.
type PageRead struct {
	Stream string
	Page   logservice.Page
}

func (*PageRead) followerMessage() {}

// Subscriber takes a snapshot without waiting and reports whether it had
// room.
type Subscriber func(*model.Snapshot) bool

// Handler is the logic of the follower duty.
type Handler struct {
	log         *event.Log
	state       *configlog.State
	members     map[model.Service]map[model.Instance]model.Member
	groups      map[model.GroupKey][]model.GroupRecord
	subscribers []Subscriber
	sequence    uint64
	current     *model.Snapshot
	pending     []bool // subscribers that had no room for the current snapshot
}

// New returns the duty. Subscribers get every new snapshot; one that has no
// room is offered the newest again at the next tick.
func New(log *event.Log, subscribers []Subscriber) *duty.Duty[Message] {
	h := &Handler{
		log:         log,
		state:       configlog.NewState(),
		members:     make(map[model.Service]map[model.Instance]model.Member),
		groups:      make(map[model.GroupKey][]model.GroupRecord),
		subscribers: subscribers,
		pending:     make([]bool, len(subscribers)),
	}
	return duty.New[Message]("follower", ringCapacity, h)
}

// Handle implements duty.Handler.
func (h *Handler) Handle(_ time.Time, batch []Message) {
	changed := false
	for _, m := range batch {
		if page, ok := m.(*PageRead); ok {
			changed = h.apply(page) || changed
		}
	}
	if changed {
		h.publish()
	}
}

// Tick implements duty.Handler.
func (h *Handler) Tick(time.Time) time.Time {
	h.offer()
	return time.Time{}
}

func (h *Handler) apply(page *PageRead) bool {
	changed := false
	for _, r := range page.Page.Records {
		if page.Stream == model.ConfigStream {
			changed = h.applyConfig(r) || changed
			continue
		}
		if strings.HasPrefix(page.Stream, model.GroupStream("")) {
			changed = h.applyGroup(r) || changed
			continue
		}
		changed = h.applyMember(r) || changed
	}
	return changed
}

func (h *Handler) applyConfig(r logservice.Record) bool {
	verdict, err := h.state.Apply(r)
	switch verdict {
	case configlog.Accepted:
		h.log.Emit(event.ConfigAccepted, "offset", r.Offset, "id", r.ID)
		return true
	case configlog.Conflict:
		h.log.Emit(event.ConfigRejected, "offset", r.Offset, "id", r.ID)
	case configlog.Malformed:
		h.log.Emit(event.RecordMalformed, "offset", r.Offset, "error", err)
	}
	return false
}

func (h *Handler) applyMember(r logservice.Record) bool {
	var record model.MemberRecord
	if err := json.Unmarshal(r.Body, &record); err != nil {
		h.log.Emit(event.RecordMalformed, "offset", r.Offset, "error", err)
		return false
	}
	m := record.Member
	service := h.members[m.Service]
	if service == nil {
		service = make(map[model.Instance]model.Member)
		h.members[m.Service] = service
	}
	if !record.Leave {
		service[m.Instance] = m
		return true
	}
	if service[m.Instance].Incarnation == m.Incarnation {
		delete(service, m.Instance)
	}
	return true
}

func (h *Handler) applyGroup(r logservice.Record) bool {
	var record model.GroupRecord
	if err := json.Unmarshal(r.Body, &record); err != nil {
		h.log.Emit(event.RecordMalformed, "offset", r.Offset, "error", err)
		return false
	}
	key := model.GroupKey{Region: record.Region, Group: record.Group}
	epochs, ok := quorum.AppendRecord(h.groups[key], record)
	h.groups[key] = epochs
	return ok
}

func (h *Handler) publish() {
	h.sequence++
	s, err := model.NewSnapshot(h.sequence, h.state.Documents())
	if err != nil {
		h.log.Emit(event.RecordMalformed, "error", err)
		return
	}
	for service, members := range h.members {
		for _, m := range members {
			s.Members[service] = append(s.Members[service], m)
		}
		slices.SortFunc(s.Members[service], func(a, b model.Member) int {
			return cmp.Compare(a.Instance, b.Instance)
		})
	}
	maps.Copy(s.Groups, h.groups)
	h.current = s
	for i := range h.pending {
		h.pending[i] = true
	}
	h.offer()
}

func (h *Handler) offer() {
	for i, subscriber := range h.subscribers {
		if h.pending[i] && subscriber(h.current) {
			h.pending[i] = false
		}
	}
}

// Read follows one stream and puts its pages into inbox until ctx ends. It
// runs on a goroutine of its own, since reads block.
func Read(ctx context.Context, log logservice.Log, stream string, inbox *ring.Ring[Message], events *event.Log) {
	var from logservice.Offset
	for ctx.Err() == nil {
		page, err := log.Read(ctx, stream, from, logservice.ReadOptions{Wait: readWait})
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			events.Emit(event.LogUnavailable, "stream", stream, "error", err)
			sleep(ctx, retryDelay)
			continue
		}
		from = page.Next
		if len(page.Records) == 0 {
			continue
		}
		if err := inbox.Put(ctx, &PageRead{Stream: stream, Page: page}); err != nil {
			return
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
