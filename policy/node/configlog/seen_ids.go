package configlog

import (
	"crypto/sha256"

	"github.com/google/uuid"

	"github.com/oleanderworks/oleanderworks/logservice"
)

// maxSeenIDs limits the record ids that a node keeps, at about 100 bytes each. It
// exceeds the number of records at the design size, 13,000 changes a day and
// their refreshes, within a retention of a few days. A second copy of a record
// whose id was dropped still changes no document. Only its verdict differs from
// "duplicate": it is "conflict" for amendments, whose base versions no longer
// match, and "superseded" for a refresh or withdrawal.
const maxSeenIDs = 100_000

// shortID is a record id in 16 bytes: the UUID itself, or the truncated hash of
// an id of another form.
type shortID [16]byte

func shortIDOf(id string) shortID {
	if u, err := uuid.Parse(id); err == nil {
		return shortID(u)
	}
	sum := sha256.Sum256([]byte(id))
	return shortID(sum[:16])
}

// seenIDs holds the ids of applied records until the records expire from the
// log.
type seenIDs struct {
	offsets map[shortID]logservice.Offset
	order   []seenID // in ascending order of offsets; entries before head are dropped
	head    int
}

type seenID struct {
	id     shortID
	offset logservice.Offset
}

func newSeenIDs() seenIDs { return seenIDs{offsets: make(map[shortID]logservice.Offset)} }

// add adds an id and reports whether it was new.
func (s *seenIDs) add(id string, offset logservice.Offset) bool {
	short := shortIDOf(id)
	if _, ok := s.offsets[short]; ok {
		return false
	}
	s.offsets[short] = offset
	s.order = append(s.order, seenID{short, offset})
	if s.len() > maxSeenIDs {
		s.dropOldest()
	}
	return true
}

// expire drops the ids of records before oldest.
func (s *seenIDs) expire(oldest logservice.Offset) {
	for s.len() > 0 && s.order[s.head].offset < oldest {
		s.dropOldest()
	}
}

func (s *seenIDs) len() int { return len(s.order) - s.head }

func (s *seenIDs) dropOldest() {
	delete(s.offsets, s.order[s.head].id)
	s.head++
	if s.head > len(s.order)/2 {
		s.order = append([]seenID(nil), s.order[s.head:]...)
		s.head = 0
	}
}
