package configlog

import (
	"crypto/sha256"

	"github.com/google/uuid"

	"github.com/oleanderworks/oleanderworks/logservice"
)

// maxSeen bounds the record ids that a node keeps, at about 100 bytes each.
// 13,000 changes a day at the design size and their refreshes, within a
// retention of a few days, stay below it. When an id was dropped, the base
// versions still prevent a second copy from being applied; only its verdict is
// "conflict" then instead of "duplicate".
const maxSeen = 100_000

// idKey is a record's id in 16 bytes: a UUID, or else a truncated hash.
type idKey [16]byte

func keyOf(id string) idKey {
	if u, err := uuid.Parse(id); err == nil {
		return idKey(u)
	}
	sum := sha256.Sum256([]byte(id))
	return idKey(sum[:16])
}

// seenIDs holds the ids of applied records for as long as the log keeps the
// records.
type seenIDs struct {
	offsets map[idKey]logservice.Offset
	order   []seenID // ascending offsets; the entries before head were dropped
	head    int
}

type seenID struct {
	key    idKey
	offset logservice.Offset
}

func newSeenIDs() seenIDs { return seenIDs{offsets: make(map[idKey]logservice.Offset)} }

// add adds an id and reports whether it is new.
func (s *seenIDs) add(id string, offset logservice.Offset) bool {
	k := keyOf(id)
	if _, ok := s.offsets[k]; ok {
		return false
	}
	s.offsets[k] = offset
	s.order = append(s.order, seenID{k, offset})
	if s.len() > maxSeen {
		s.dropOldest()
	}
	return true
}

// expire drops the ids of records before an offset.
func (s *seenIDs) expire(oldest logservice.Offset) {
	for s.len() > 0 && s.order[s.head].offset < oldest {
		s.dropOldest()
	}
}

func (s *seenIDs) len() int { return len(s.order) - s.head }

func (s *seenIDs) dropOldest() {
	delete(s.offsets, s.order[s.head].key)
	s.head++
	if s.head > len(s.order)/2 {
		s.order = append([]seenID(nil), s.order[s.head:]...)
		s.head = 0
	}
}
