package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// seenTTL is the least time for which a request id is remembered, unless more
	// than maxSeenPerGeneration ids arrive in that time. Clients retry within
	// minutes.
	seenTTL = 5 * time.Minute
	// maxSeenPerGeneration bounds the ids of one generation: 65,536 ids use about
	// 2 MB.
	maxSeenPerGeneration = 1 << 16
)

// seenRequests remembers the ids of recent requests, to distinguish client
// retries from first attempts. It keeps two generations of ids and discards the
// older one as a whole.
type seenRequests struct {
	currentSince      time.Time
	current, previous map[uint64]struct{}
}

// checkAndAdd reports whether the customer has sent the id before, and adds it.
func (s *seenRequests) checkAndAdd(now time.Time, customer model.Customer, id model.RequestID) bool {
	if s.current == nil || len(s.current) >= maxSeenPerGeneration || now.Sub(s.currentSince) >= seenTTL {
		s.previous, s.current, s.currentSince = s.current, make(map[uint64]struct{}), now
	}
	key := xxhash.Sum64String(string(customer)+"\x00") ^ xxhash.Sum64(id[:])
	_, inCurrent := s.current[key]
	_, inPrevious := s.previous[key]
	s.current[key] = struct{}{}
	return inCurrent || inPrevious
}
