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

// maxCompositions bounds the compositions kept of a group. Older ones are needed
// for 10 min, since older request ids are refused, and compositions change a few
// times a day.
const maxCompositions = 8

// Groups is the state of one stream of quorum group compositions. The epoch
// numbers the compositions of a group. Of several records with the next epoch,
// the first in the log wins.
type Groups struct {
	self   model.Instance
	next   logservice.Offset
	gap    bool
	groups map[model.GroupKey]*group
}

type group struct {
	compositions  []model.GroupRecord // ascending
	records       []logservice.Record // of the compositions
	uncertain     bool                // the first known composition was read after a gap
	appendedAt    time.Time
	delayFraction float64
}

// NewGroups returns a node's groups before any record is applied.
func NewGroups(self model.Instance) *Groups {
	return &Groups{self: self, groups: make(map[model.GroupKey]*group)}
}

// NextOffset returns the offset of the next record to apply.
func (g *Groups) NextOffset() logservice.Offset { return g.next }

// SkipTo continues at oldest, since the log no longer holds earlier records.
func (g *Groups) SkipTo(oldest logservice.Offset) {
	if oldest > g.next {
		g.next, g.gap = oldest, true
	}
}

// Compositions returns the known compositions of a group, in ascending order. The
// slice is not modified later.
func (g *Groups) Compositions(k model.GroupKey) []model.GroupRecord {
	if known := g.groups[k]; known != nil {
		return known.compositions
	}
	return nil
}

// Apply applies one record in log order. It returns the group and whether it
// changed.
func (g *Groups) Apply(r logservice.Record, appendedAt time.Time) (model.GroupKey, bool, error) {
	g.next = r.Offset + 1
	var record model.GroupRecord
	if err := json.Unmarshal(r.Body, &record); err != nil {
		return model.GroupKey{}, false, errors.Wrapf(err, "record at offset %d", r.Offset)
	}
	k := model.GroupKey{Region: record.Region, Group: record.Group}
	return k, g.accept(k, record, r, appendedAt), nil
}

func (g *Groups) accept(k model.GroupKey, record model.GroupRecord, r logservice.Record, appendedAt time.Time) bool {
	known := g.groups[k]
	if known == nil {
		known = &group{uncertain: g.gap && !record.Refresh, delayFraction: appendDelayFraction(g.self, groupName(k))}
		g.groups[k] = known
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

// TakeRefreshDue returns the newest compositions that this node appends again
// now, and counts them as appended. It also returns when the next one is due.
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

// compact returns the records in force, in log order.
func (g *Groups) compact() []logservice.Record {
	var out []logservice.Record
	for _, known := range g.groups {
		out = append(out, known.records...)
	}
	slices.SortFunc(out, func(a, b logservice.Record) int { return cmp.Compare(a.Offset, b.Offset) })
	return out
}

// reset drops the groups before a compacted stream is applied.
func (g *Groups) reset() {
	clear(g.groups)
	g.gap = false
}

func groupName(k model.GroupKey) string {
	return "group/" + string(k.Region) + "/" + strconv.Itoa(k.Group)
}
