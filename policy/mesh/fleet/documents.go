package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/oleanderworks/oleanderworks/logservice/keyed"
	"github.com/oleanderworks/oleanderworks/model"
)

// retentionTime is how long a document without a version stays in force after a restore
// of the log, if the log lacks it. The operator writes such a document again within it;
// one that is not wanted any more must not stay.
// Time in which the log does not answer does not count, since nothing can be written then.
const retentionTime = 10 * time.Second

// maxConfirmationGap is the time between two answers of the log from which on it counts as
// one without answers. A log that answers confirms the documents more often (package
// freshness).
const maxConfirmationGap = 1500 * time.Millisecond

// VersionFunc returns the version of a document that must never be replaced by an older
// one, or 0 if the document has none or is invalid.
type VersionFunc func(keyed.Record) uint64

// documentSet holds the operator's documents: the newest record of each key up to the
// position end. When the log has begun a new era, because it was restored from a backup,
// the set also retains documents of older eras that the log lacks: one with a version
// until the log has a newer version, the others until retainUntil.
type documentSet struct {
	version     VersionFunc
	byKey       map[string]document
	end         model.LogPosition
	retainUntil time.Time // zero if only documents with a version can be retained
	confirmedAt time.Time // when the log last answered to this node or a peer
	// deleted holds the positions at which keys were deleted. Peers may have older
	// documents, also after a restore.
	deleted  map[string]model.LogPosition
	outdated []keyed.Record // records that were not taken because of their version
}

type document struct {
	record  keyed.Record
	version uint64
}

func newDocumentSet(version VersionFunc) *documentSet {
	return &documentSet{version: version, byKey: make(map[string]document), deleted: make(map[string]model.LogPosition)}
}

// replace takes the complete set of documents up to end, which is after the known end,
// and retains known documents that the log lacks. It ignores records of older eras.
func (s *documentSet) replace(now time.Time, records []keyed.Record, end model.LogPosition) {
	if end.Era != s.end.Era {
		s.retainUntil, s.confirmedAt = now.Add(retentionTime), now
	}
	known := s.byKey
	s.end, s.byKey = end, make(map[string]document)
	for _, r := range records {
		if r.Position.Era == end.Era {
			s.set(r)
		}
	}
	for _, d := range known {
		s.retain(now, d)
	}
}

// merge takes the documents that the log lacks from the set of a peer, and reports whether
// there were any new ones. retainedFor is how long the peer retains those without a
// version.
func (s *documentSet) merge(now time.Time, records []keyed.Record, end model.LogPosition, retainedFor time.Duration) bool {
	if until := now.Add(retainedFor); end.Era == s.end.Era && until.Before(s.retainUntil) {
		s.retainUntil = until // so that nodes that start do not prolong it in turn
	}
	merged := false
	for _, r := range records {
		if s.retain(now, document{record: r, version: s.version(r)}) {
			merged = true
		}
	}
	return merged
}

// retain takes a document that the log may lack and reports whether it is a new one.
func (s *documentSet) retain(now time.Time, d document) bool {
	key := d.record.Key
	current, known := s.byKey[key]
	if d.version > 0 {
		if current.version >= d.version {
			return false
		}
		s.byKey[key] = d
		s.reject(current.record)
		return true
	}
	if deletedAt, ok := s.deleted[key]; ok && d.record.Position.Before(deletedAt) {
		return false
	}
	if known || d.record.Position.Era >= s.end.Era || !now.Before(s.retainUntil) {
		return false
	}
	s.byKey[key] = d
	return true
}

// reject notes that a record was not taken because of its version.
func (s *documentSet) reject(r keyed.Record) {
	if r.Key != "" && r.Position.Era == s.end.Era {
		s.outdated = append(s.outdated, r)
	}
}

// add applies records of the log up to a position and skips those that were already
// applied. It reports whether any was new.
func (s *documentSet) add(records []keyed.Record, end model.LogPosition) bool {
	if end.Era != s.end.Era {
		return false // the complete set of the new era comes first
	}
	added := false
	for _, r := range records {
		if !r.Position.Before(s.end) {
			s.set(r)
			added = true
		}
	}
	if s.end.Before(end) {
		s.end = end
	}
	return added
}

// set stores a record of the current era, or deletes the document if its value is empty.
// A document with a version is only replaced.
func (s *documentSet) set(r keyed.Record) {
	known := s.byKey[r.Key]
	if len(r.Value) == 0 {
		if known.version == 0 {
			delete(s.byKey, r.Key)
		}
		s.deleted[r.Key] = r.Position
		return
	}
	delete(s.deleted, r.Key)
	d := document{record: r, version: s.version(r)}
	if d.version < known.version {
		s.reject(r)
		return
	}
	s.byKey[r.Key] = d
}

// confirm handles an answer of the log at the time at, and extends the retention by the
// time before it in which the log did not answer.
func (s *documentSet) confirm(at time.Time) {
	if !at.After(s.confirmedAt) {
		return
	}
	if gap := at.Sub(s.confirmedAt); gap > maxConfirmationGap && !s.retainUntil.IsZero() {
		s.retainUntil = s.retainUntil.Add(gap)
	}
	s.confirmedAt = at
}

// nextExpiry returns when expire is due, or zero if it is not before the next answer of
// the log.
func (s *documentSet) nextExpiry(now time.Time) time.Time {
	if !now.Before(s.retainUntil) {
		return time.Time{}
	}
	return s.retainUntil
}

// retainedFor returns how much longer documents without a version are retained.
func (s *documentSet) retainedFor(now time.Time) time.Duration {
	if s.retainUntil.IsZero() {
		return 0
	}
	return max(s.retainUntil.Sub(now), maxConfirmationGap) // at least until the log answers
}

// expire drops the retained documents without a version when their time is up and the log
// has answered lately, and reports whether there were any.
func (s *documentSet) expire(now time.Time) bool {
	if s.retainUntil.IsZero() || now.Before(s.retainUntil) || s.retainUntil.Sub(s.confirmedAt) > maxConfirmationGap {
		return false
	}
	s.retainUntil = time.Time{}
	count := len(s.byKey)
	maps.DeleteFunc(s.byKey, func(_ string, d document) bool {
		return d.version == 0 && d.record.Position.Era < s.end.Era
	})
	return len(s.byKey) < count
}

// newestVersion returns the highest version of a document, or 0 if none has a version.
func (s *documentSet) newestVersion() uint64 {
	newest := uint64(0)
	for _, d := range s.byKey {
		newest = max(newest, d.version)
	}
	return newest
}

// retained returns the sorted keys of the documents that the log lacks.
func (s *documentSet) retained() []string {
	keys := []string{}
	for key, d := range s.byKey {
		if d.record.Position.Era < s.end.Era {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// list returns the documents sorted by key.
func (s *documentSet) list() []keyed.Record {
	out := make([]keyed.Record, 0, len(s.byKey))
	for _, key := range slices.Sorted(maps.Keys(s.byKey)) {
		out = append(out, s.byKey[key].record)
	}
	return out
}
