package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// seenSpan is how long an id is remembered at least. Clients that retry do
	// so within minutes.
	seenSpan = 5 * time.Minute
	// maxSeen bounds the ids of one generation: 65,536 take about 2 MB.
	maxSeen = 1 << 16
)

// seenRequests remembers the ids of recent requests in two generations, to
// tell a client's retry from a first attempt.
type seenRequests struct {
	since         time.Time
	current, last map[uint64]struct{}
}

// add reports whether the customer sent the id before, and remembers it.
func (s *seenRequests) add(now time.Time, customer model.Customer, id model.RequestID) bool {
	if s.current == nil || len(s.current) >= maxSeen || now.Sub(s.since) >= seenSpan {
		s.last, s.current, s.since = s.current, make(map[uint64]struct{}), now
	}
	key := xxhash.Sum64String(string(customer)+"\x00") ^ xxhash.Sum64(id[:])
	_, recent := s.current[key]
	_, before := s.last[key]
	s.current[key] = struct{}{}
	return recent || before
}
