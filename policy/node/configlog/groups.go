package configlog

import (
	"cmp"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/logservice"
	"github.com/oleanderworks/oleanderworks/model"
)

// maxCompositions limits the compositions that are kept for a group. An old
// composition is needed for 10 minutes, after which nodes refuse the request ids
// that it applies to. Compositions change a few times a day.
const maxCompositions = 8

// Groups holds the quorum groups of one stream. Epochs number the compositions of
// a group in sequence. If several records have the next epoch, the first one in
// the log wins.
type Groups struct {
	self       model.Instance
	nextOffset logservice.Offset
	gap        bool
	groups     map[model.GroupKey]*group
}

type group struct {
	compositions  []model.GroupRecord // in ascending order of epochs
	records       []logservice.Record // that hold the compositions, in the same order
	uncertain     bool                // the first known composition was read after a gap
	appendedAt    time.Time           // see document
	delayFraction float64             // see document
}

// NewGroups returns a node's view of a stream before any record is applied.
func NewGroups(self model.Instance) *Groups {
	return &Groups{self: self, groups: make(map[model.GroupKey]*group)}
}

// NextOffset returns the offset of the next record to apply.
func (g *Groups) NextOffset() logservice.Offset { return g.nextOffset }

// SkipTo handles the expiry of all records before oldest. If this node missed
// some of them, it moves the next offset to oldest.
func (g *Groups) SkipTo(oldest logservice.Offset) {
	if oldest > g.nextOffset {
		g.nextOffset, g.gap = oldest, true
	}
}

// Compositions returns the known compositions of a group in ascending order of
// epochs. The slice is never modified.
func (g *Groups) Compositions(key model.GroupKey) []model.GroupRecord {
	if known := g.groups[key]; known != nil {
		return known.compositions
	}
	return nil
}

// Apply applies a record. Records must come in log order. It returns the key of
// the group and whether the group changed.
func (g *Groups) Apply(r logservice.Record, appendedAt time.Time) (model.GroupKey, bool, error) {
	g.nextOffset = r.Offset + 1
	var record model.GroupRecord
	if err := json.Unmarshal(r.Body, &record); err != nil {
		return model.GroupKey{}, false, errors.Wrapf(err, "decode record at offset %d", r.Offset)
	}
	key := model.GroupKey{Region: record.Region, Group: record.Group}
	return key, g.applyComposition(key, record, r, appendedAt), nil
}

func (g *Groups) applyComposition(key model.GroupKey, record model.GroupRecord, r logservice.Record, appendedAt time.Time) bool {
	known := g.groups[key]
	if known == nil {
		known = &group{uncertain: g.gap && !record.Refresh, delayFraction: appendDelayFraction(g.self, groupName(key))}
		g.groups[key] = known
		known.add(record, r, appendedAt)
		return true
	}
	last := known.compositions[len(known.compositions)-1].Epoch
	switch {
	case record.Epoch == last+1, record.Refresh && record.Epoch > last:
		known.add(record, r, appendedAt)
		return true
	case record.Refresh && record.Epoch == last && known.uncertain:
		known.compositions, known.records = nil, nil
		known.uncertain = false
		known.add(record, r, appendedAt)
		return true
	case record.Refresh && record.Epoch == last:
		known.appendedAt = appendedAt
		known.records[len(known.records)-1] = r
	}
	return false
}

func (g *group) add(record model.GroupRecord, r logservice.Record, appendedAt time.Time) {
	g.compositions = append(slices.Clip(g.compositions), record)
	g.records = append(g.records, r)
	g.appendedAt = appendedAt
	if len(g.compositions) > maxCompositions {
		g.compositions = g.compositions[1:]
		g.records = g.records[1:]
	}
}

// TakeRefreshDue returns the compositions that this node must append again now,
// and sets their append time to now. It also returns when the next one is due, or
// the zero time.
func (g *Groups) TakeRefreshDue(now time.Time, retention time.Duration) ([]model.GroupRecord, time.Time) {
	var out []model.GroupRecord
	var next time.Time
	for _, known := range g.groups {
		d := document{uncertain: known.uncertain, appendedAt: known.appendedAt, delayFraction: known.delayFraction}
		due := d.refreshDueAt(retention)
		if due.After(now) {
			if next.IsZero() || due.Before(next) {
				next = due
			}
			continue
		}
		known.appendedAt = now
		record := known.compositions[len(known.compositions)-1]
		record.Refresh = true
		record.ID = "" // the appender duty assigns a new one
		out = append(out, record)
	}
	slices.SortFunc(out, func(a, b model.GroupRecord) int { return cmp.Compare(a.Group, b.Group) })
	return out, next
}

// recordsInForce returns the records of the kept compositions, in log order.
func (g *Groups) recordsInForce() []logservice.Record {
	var out []logservice.Record
	for _, known := range g.groups {
		out = append(out, known.records...)
	}
	slices.SortFunc(out, func(a, b logservice.Record) int { return cmp.Compare(a.Offset, b.Offset) })
	return out
}

// reset drops all groups before the records in force of a peer are applied.
func (g *Groups) reset() {
	clear(g.groups)
	g.gap = false
}

func groupName(key model.GroupKey) string {
	return "group/" + string(key.Region) + "/" + strconv.Itoa(key.Group)
}
