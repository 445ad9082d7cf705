package record

import (
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

// MaxHandoffs bounds the requests that a target's node remembers.
const MaxHandoffs = 200_000

// Verdict states whether a request may be handed to the target.
type Verdict uint8

// Verdicts of HandoffHistory.Check.
const (
	// FirstHandoff allows the handoff.
	FirstHandoff Verdict = iota
	// AlreadyHandedOver means that an earlier arrival of the request was handed
	// over, or may still be.
	AlreadyHandedOver
	// OutdatedAttempt means that this attempt or a later one was refused before.
	OutdatedAttempt
	// HistoryFull means that there is no room to remember another request. This
	// node did not hand the request over.
	HistoryFull
)

// HandoffHistory remembers, at the target's node, which requests were handed
// to the target or refused, so that a claim that arrives twice is handed over
// once.
type HandoffHistory struct {
	limit    int
	handoffs map[RequestKey]handoff
	expiries []handoffExpiry
}

type handoff struct {
	attempt int
	refused bool
}

type handoffExpiry struct {
	key RequestKey
	at  time.Time
}

// NewHandoffHistory returns an empty history of at most limit requests.
func NewHandoffHistory(limit int) *HandoffHistory {
	return &HandoffHistory{limit: limit, handoffs: make(map[RequestKey]handoff)}
}

// Check decides whether the request of a claim may be handed over, and records
// the handoff if so. It is called once for each arrival, before the call may be
// queued.
func (h *HandoffHistory) Check(now time.Time, c *model.Claim) Verdict {
	h.dropExpired(now)
	k := RequestKey{c.Customer, c.RequestID}
	earlier, ok := h.handoffs[k]
	switch {
	case !ok && len(h.handoffs) >= h.limit:
		return HistoryFull
	case !ok:
		h.expiries = append(h.expiries, handoffExpiry{k, now.Add(RetentionTime + MaxIDAhead)})
	case !earlier.refused:
		return AlreadyHandedOver
	case c.Attempt <= earlier.attempt:
		return OutdatedAttempt
	}
	h.handoffs[k] = handoff{attempt: c.Attempt}
	return FirstHandoff
}

// MarkRefused records that a claim that passed Check was refused before it was
// handed to the target. A later attempt may then be handed over.
func (h *HandoffHistory) MarkRefused(c *model.Claim) {
	k := RequestKey{c.Customer, c.RequestID}
	if earlier, ok := h.handoffs[k]; ok && earlier.attempt == c.Attempt {
		h.handoffs[k] = handoff{attempt: c.Attempt, refused: true}
	}
}

// Len returns the number of remembered requests.
func (h *HandoffHistory) Len() int { return len(h.handoffs) }

func (h *HandoffHistory) dropExpired(now time.Time) {
	n := 0
	for n < len(h.expiries) && now.After(h.expiries[n].at) {
		delete(h.handoffs, h.expiries[n].key)
		n++
	}
	h.expiries = h.expiries[n:]
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
