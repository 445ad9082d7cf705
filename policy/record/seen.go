package record

import (
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

// MaxSeen bounds the requests that a target's node remembers.
const MaxSeen = 200_000

// Verdict is the fence's judgement of a handoff.
type Verdict uint8

// Verdicts of Seen.Check.
const (
	// First allows the handoff.
	First Verdict = iota
	// HandedOver means that the request was handed over, or still may be.
	HandedOver
	// Outdated means that this attempt or a later one was refused before.
	Outdated
	// Full means that there is no room to remember another request. Nothing
	// was handed over by this node.
	Full
)

// Seen remembers, at the target's node, which requests were handed to the
// target or refused, so that a claim that arrives twice runs once.
type Seen struct {
	limit    int
	requests map[Key]sighting
	queue    []seenExpiry
}

type sighting struct {
	attempt int
	refused bool
}

type seenExpiry struct {
	key Key
	at  time.Time
}

// NewSeen returns an empty memory of at most limit requests.
func NewSeen(limit int) *Seen {
	return &Seen{limit: limit, requests: make(map[Key]sighting)}
}

// Check judges the handoff of a claim and remembers it when it is the first.
// It is called once for each arrival, before the call may be queued.
func (s *Seen) Check(now time.Time, c *model.Claim) Verdict {
	s.expire(now)
	k := Key{c.Customer, c.RequestID}
	before, ok := s.requests[k]
	switch {
	case !ok && len(s.requests) >= s.limit:
		return Full
	case !ok:
		s.queue = append(s.queue, seenExpiry{k, now.Add(Keep + MaxAhead)})
	case !before.refused:
		return HandedOver
	case c.Attempt <= before.attempt:
		return Outdated
	}
	s.requests[k] = sighting{attempt: c.Attempt}
	return First
}

// Refuse records that a claim which passed Check was refused before it was
// handed to the target. A later attempt may then be.
func (s *Seen) Refuse(c *model.Claim) {
	k := Key{c.Customer, c.RequestID}
	if before, ok := s.requests[k]; ok && before.attempt == c.Attempt {
		s.requests[k] = sighting{attempt: c.Attempt, refused: true}
	}
}

// Len returns the number of remembered requests.
func (s *Seen) Len() int { return len(s.requests) }

func (s *Seen) expire(now time.Time) {
	n := 0
	for n < len(s.queue) && now.After(s.queue[n].at) {
		delete(s.requests, s.queue[n].key)
		n++
	}
	s.queue = s.queue[n:]
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
