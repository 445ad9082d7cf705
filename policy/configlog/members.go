package configlog

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/logservice"
	"github.com/oleanderworks/oleanderworks/model"
)

// Members is the state of one stream of joins and leaves. Log order decides: a
// later join of an instance replaces the earlier one, and a leave applies only
// to the incarnation that it names.
type Members struct {
	next    logservice.Offset
	joins   map[model.Instance]*memberJoin
	current []model.Member // sorted by instance
}

// memberJoin is the newest join of an instance.
type memberJoin struct {
	member     model.Member
	record     logservice.Record
	appendedAt time.Time // on this node's clock
}

// NewMembers returns the members before any record is applied.
func NewMembers() *Members { return &Members{joins: make(map[model.Instance]*memberJoin)} }

// NextOffset returns the offset of the next record to apply.
func (m *Members) NextOffset() logservice.Offset { return m.next }

// Current returns the members, sorted by instance. The slice is not modified
// later.
func (m *Members) Current() []model.Member { return m.current }

// SkipTo continues at oldest, since the log no longer holds earlier records.
func (m *Members) SkipTo(oldest logservice.Offset) { m.next = max(m.next, oldest) }

// Apply applies one record in log order and reports whether the members
// changed.
func (m *Members) Apply(r logservice.Record, appendedAt time.Time) (bool, error) {
	m.next = r.Offset + 1
	var record model.MemberRecord
	if err := json.Unmarshal(r.Body, &record); err != nil {
		return false, errors.Wrapf(err, "record at offset %d", r.Offset)
	}
	member := record.Member
	known := m.joins[member.Instance]
	if record.Leave {
		if known == nil || known.member.Incarnation != member.Incarnation {
			return false, nil
		}
		delete(m.joins, member.Instance)
		m.rebuild()
		return true, nil
	}
	m.joins[member.Instance] = &memberJoin{member: member, record: r, appendedAt: appendedAt}
	if known != nil && known.member == member {
		return false, nil // a refresh
	}
	m.rebuild()
	return true, nil
}

// Expire drops the members whose newest join was appended before limit: their
// nodes did not refresh it. It reports whether the members changed.
func (m *Members) Expire(limit time.Time) bool {
	before := len(m.joins)
	for instance, j := range m.joins {
		if j.appendedAt.Before(limit) {
			delete(m.joins, instance)
		}
	}
	if len(m.joins) == before {
		return false
	}
	m.rebuild()
	return true
}

// JoinAppendedAt returns when the newest join of an incarnation of an instance was
// appended, or when its refresh was last requested here; false when there is none.
func (m *Members) JoinAppendedAt(id model.NodeID) (time.Time, bool) {
	j := m.joins[id.Instance]
	if j == nil || j.member.NodeID != id {
		return time.Time{}, false
	}
	return j.appendedAt, true
}

// touch counts an instance's join as appended now, when its refresh is requested.
func (m *Members) touch(now time.Time, instance model.Instance) { m.joins[instance].appendedAt = now }

// compact returns the joins in force, in log order.
func (m *Members) compact() []logservice.Record {
	out := make([]logservice.Record, 0, len(m.joins))
	for _, j := range m.joins {
		out = append(out, j.record)
	}
	slices.SortFunc(out, func(a, b logservice.Record) int { return cmp.Compare(a.Offset, b.Offset) })
	return out
}

// reset drops the members before a compacted stream is applied.
func (m *Members) reset() { clear(m.joins) }

func (m *Members) rebuild() {
	m.current = make([]model.Member, 0, len(m.joins))
	for _, j := range m.joins {
		m.current = append(m.current, j.member)
	}
	slices.SortFunc(m.current, func(a, b model.Member) int { return cmp.Compare(a.Instance, b.Instance) })
}
