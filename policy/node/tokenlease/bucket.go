package tokenlease

import (
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// maxTokenLifetime bounds the lifetime of a token.
	maxTokenLifetime = time.Second
	// minTokenLifetime leaves time for a grant to reach its entry node and for
	// the call to reach its target's node.
	minTokenLifetime = 10 * time.Millisecond
	// minRetryDelay bounds how soon an entry node requests tokens again.
	minRetryDelay = time.Millisecond
	// maxRetryDelay bounds the retry delay of customers with very low rates.
	maxRetryDelay = 30 * time.Second
	// tolerance allows for rounding errors of summed durations, in tokens.
	tolerance = 1e-6
)

// RateLimit is the rate limit of a customer.
type RateLimit struct {
	Rate          float64 // tokens per second
	Burst         float64 // tokens
	TokenLifetime time.Duration
}

// NewRateLimit returns the limit for a rate and a burst. TokenLifetime is
// burst/(2*rate), but not below minTokenLifetime and not above maxTokenLifetime
// (1 s). Within burst/(2*rate) at most half the burst accrues, so unless the
// minimum applies, a customer that keeps to its rate has at most half the burst
// in tokens whose use is never reported and which are withheld from other nodes
// until they expire.
func NewRateLimit(rate, burst float64) RateLimit {
	limit := RateLimit{Rate: rate, Burst: burst, TokenLifetime: maxTokenLifetime}
	if rate > 0 && burst/(2*rate) < maxTokenLifetime.Seconds() {
		limit.TokenLifetime = max(time.Duration(burst/(2*rate)*float64(time.Second)), minTokenLifetime)
	}
	return limit
}

// bucket is the token bucket of a customer. A granted token is outstanding
// until it certainly cannot be used any more: until the entry node that holds
// it reports its use, returns it, or the token expires. A used or expired token
// is deducted from the level only then, and the level refills from then on; a
// returned token is not deducted. Because outstanding <= level at each grant,
// the tokens used in a window of length w are at most those deducted in it plus
// those outstanding at its end, which is at most rate*w + burst.
type bucket struct {
	limit       RateLimit
	level       float64
	levelAt     time.Time // when level was last updated
	outstanding int
	grants      []outstandingGrant // oldest first
}

// outstandingGrant is the grantor's record of a grant that has not expired.
type outstandingGrant struct {
	entryNode model.Instance
	id        uint64 // chosen by the entry node
	granted   int
	used      int // reported as used so far
	returned  int // reported as returned so far
	lifetime  time.Duration
	expiry    time.Time
}

// unreported returns the number of granted tokens that were reported neither
// as used nor as returned.
func (g *outstandingGrant) unreported() int { return g.granted - g.used - g.returned }

// refill adds the tokens that have accrued since the last update.
func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.levelAt); elapsed > 0 {
		b.level = min(b.limit.Burst, b.level+b.limit.Rate*elapsed.Seconds())
		b.levelAt = now
	}
}

// expireAndRefill deducts the tokens of expired grants, each at the time of its
// expiry, and refills the bucket up to now.
func (b *bucket) expireAndRefill(now time.Time, onDeduction func(at time.Time, n int)) {
	n := 0
	for n < len(b.grants) && !b.grants[n].expiry.After(now) {
		g := &b.grants[n]
		b.refill(g.expiry)
		b.deduct(g.unreported(), onDeduction)
		n++
	}
	b.grants = b.grants[n:]
	b.refill(now)
}

func (b *bucket) deduct(n int, onDeduction func(at time.Time, n int)) {
	if n == 0 {
		return
	}
	b.level -= float64(n)
	b.outstanding -= n
	onDeduction(b.levelAt, n)
}

// available returns the number of tokens that may be granted.
func (b *bucket) available() int { return int(max(b.level-float64(b.outstanding)+tolerance, 0)) }

// findGrant returns the entry node's unexpired grant with the id, or nil.
func (b *bucket) findGrant(entryNode model.Instance, id uint64) *outstandingGrant {
	for i := range b.grants {
		if g := &b.grants[i]; g.id == id && g.entryNode == entryNode {
			return g
		}
	}
	return nil
}

// applyReport applies an entry node's report. Its counts are totals that only
// grow, so that reports may be lost, duplicated or late. Tokens of an expired
// grant were deducted already.
func (b *bucket) applyReport(entryNode model.Instance, r Report, onDeduction func(at time.Time, n int)) {
	g := b.findGrant(entryNode, r.GrantID)
	if g == nil || r.Used+r.Returned > g.granted {
		return
	}
	if n := r.Used - g.used; n > 0 && n <= g.unreported() {
		g.used += n
		b.deduct(n, onDeduction)
	}
	if n := r.Returned - g.returned; n > 0 && n <= g.unreported() {
		g.returned += n
		b.outstanding -= n
	}
}

// retryDelay returns the time until a token may be available: when enough has
// accrued or, if the outstanding tokens use up the burst, when the oldest grant
// has expired and one more token has accrued.
func (b *bucket) retryDelay(now time.Time) time.Duration {
	if b.limit.Rate <= 0 || b.limit.Burst < 1 {
		return maxRetryDelay
	}
	missing := float64(b.outstanding) + 1 - b.level
	if float64(b.outstanding)+1 > b.limit.Burst+tolerance && len(b.grants) > 0 {
		untilExpiry := b.grants[0].expiry.Sub(now)
		return clampRetryDelay(untilExpiry + toDuration(1/b.limit.Rate))
	}
	return clampRetryDelay(toDuration(missing / b.limit.Rate))
}

// toDuration converts seconds to a duration. It caps them at 1e6, since a very
// low rate would overflow the duration.
func toDuration(s float64) time.Duration { return time.Duration(min(s, 1e6) * float64(time.Second)) }

func clampRetryDelay(d time.Duration) time.Duration { return min(max(d, minRetryDelay), maxRetryDelay) }
