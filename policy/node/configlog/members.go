package configlog

import (
	"cmp"
	"encoding/json"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/logservice"
	"github.com/oleanderworks/oleanderworks/model"
)

// Members holds the members of one service, from a stream of join and leave
// records. A later join record of an instance replaces the earlier one. A leave
// record applies only to the incarnation that it names.
type Members struct {
	nextOffset logservice.Offset
	joins      map[model.Instance]*memberJoin
	current    []model.Member // sorted by instance
}

// memberJoin is the newest join record of an instance.
type memberJoin struct {
	member     model.Member
	record     logservice.Record
	appendedAt time.Time // append time of the record, or the later time at which this node requested a refresh; on this node's clock
}

// NewMembers returns the members before any record is applied.
func NewMembers() *Members { return &Members{joins: make(map[model.Instance]*memberJoin)} }

// NextOffset returns the offset of the next record to apply.
func (m *Members) NextOffset() logservice.Offset { return m.nextOffset }

// Current returns the members, sorted by instance. The slice is never modified.
func (m *Members) Current() []model.Member { return m.current }

// SkipTo handles the expiry of all records before oldest. If this node missed
// some of them, it moves the next offset to oldest.
func (m *Members) SkipTo(oldest logservice.Offset) { m.nextOffset = max(m.nextOffset, oldest) }

// Apply applies a record and reports whether the members changed. Records must
// come in log order.
func (m *Members) Apply(r logservice.Record, appendedAt time.Time) (bool, error) {
	m.nextOffset = r.Offset + 1
	var record model.MemberRecord
	if err := json.Unmarshal(r.Body, &record); err != nil {
		return false, errors.Wrapf(err, "decode record at offset %d", r.Offset)
	}
	member := record.Member
	known := m.joins[member.Instance]
	if record.Leave {
		if known == nil || known.member.Incarnation != member.Incarnation {
			return false, nil
		}
		delete(m.joins, member.Instance)
		m.rebuildCurrent()
		return true, nil
	}
	if err := checkJoin(&member); err != nil {
		return false, errors.Wrapf(err, "record at offset %d", r.Offset)
	}
	m.joins[member.Instance] = &memberJoin{member: member, record: r, appendedAt: appendedAt}
	if known != nil && known.member == member {
		return false, nil // the record only refreshes the join
	}
	m.rebuildCurrent()
	return true, nil
}

// checkJoin returns an error if a join record names no node. Such a member could never
// answer, but its availability zone would count for the majority that contact needs.
func checkJoin(m *model.Member) error {
	if m.Instance == "" {
		return errors.New("join without an instance")
	}
	address, err := netip.ParseAddrPort(m.PeerAddress)
	if err != nil {
		return errors.Wrapf(err, "join of instance %s", m.Instance)
	}
	if address.Port() == 0 {
		return errors.Errorf("join of instance %s: address %s has port 0", m.Instance, m.PeerAddress)
	}
	return nil
}

// Expire drops the members whose newest join record was appended before cutoff,
// since their nodes have not refreshed it. It reports whether the members
// changed.
func (m *Members) Expire(cutoff time.Time) bool {
	before := len(m.joins)
	for instance, j := range m.joins {
		if j.appendedAt.Before(cutoff) {
			delete(m.joins, instance)
		}
	}
	if len(m.joins) == before {
		return false
	}
	m.rebuildCurrent()
	return true
}

// JoinAppendedAt returns when the join record of a node was appended, or when this
// node last requested its refresh. It returns false if that incarnation is not a
// member.
func (m *Members) JoinAppendedAt(id model.NodeID) (time.Time, bool) {
	j := m.joins[id.Instance]
	if j == nil || j.member.NodeID != id {
		return time.Time{}, false
	}
	return j.appendedAt, true
}

// markRefreshed sets the append time of an instance's join record to now, when this
// node requests its refresh.
func (m *Members) markRefreshed(now time.Time, i model.Instance) { m.joins[i].appendedAt = now }

// recordsInForce returns the newest join record of each member, in log order.
func (m *Members) recordsInForce() []logservice.Record {
	out := make([]logservice.Record, 0, len(m.joins))
	for _, j := range m.joins {
		out = append(out, j.record)
	}
	slices.SortFunc(out, func(a, b logservice.Record) int { return cmp.Compare(a.Offset, b.Offset) })
	return out
}

// reset drops all members before the records in force of a peer are applied.
func (m *Members) reset() { clear(m.joins) }

func (m *Members) rebuildCurrent() {
	m.current = make([]model.Member, 0, len(m.joins))
	for _, j := range m.joins {
		m.current = append(m.current, j.member)
	}
	slices.SortFunc(m.current, func(a, b model.Member) int { return cmp.Compare(a.Instance, b.Instance) })
}
