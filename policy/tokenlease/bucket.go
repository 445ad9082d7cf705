package tokenlease

import (
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// maxLife bounds the life of a token.
	maxTokenLifetime = time.Second
	// minLife leaves time for a grant to travel to the holder and for the
	// call to travel to its target's node.
	minTokenLifetime = 10 * time.Millisecond
	// minWait bounds how soon a holder asks again.
	minRetryDelay = time.Millisecond
	// maxWait bounds the hint for customers with very low rates.
	maxRetryDelay = 30 * time.Second
	// rounding absorbs the error of sums of durations, in tokens.
	epsilon = 1e-6
)

// RateLimit are the constants of a customer's rate.
type RateLimit struct {
	Rate          float64 // tokens a second
	Burst         float64 // tokens
	TokenLifetime time.Duration
}

// NewRateLimit returns the terms of a rate and a burst. Life is
// min(1 s, burst/(2*rate)), so that tokens whose use is not reported take at
// most half the burst away from others.
func NewRateLimit(rate, burst float64) RateLimit {
	t := RateLimit{Rate: rate, Burst: burst, TokenLifetime: maxTokenLifetime}
	if rate > 0 && burst/(2*rate) < maxTokenLifetime.Seconds() {
		t.TokenLifetime = max(time.Duration(burst/(2*rate)*float64(time.Second)), minTokenLifetime)
	}
	return t
}

// bucket is a customer's token bucket. Granted tokens are outstanding until
// their use is certain to be over: until the holder reports it, gives them
// back, or their life ends. Only then are they taken out of the level, so the
// level starts to fill again. Because outstanding <= level at each grant, the
// tokens used in a window of length w are at most those taken out in it plus
// those outstanding at its end, which is at most rate*w + burst.
type bucket struct {
	limit       RateLimit
	level       float64
	levelAt     time.Time // time of level
	outstanding int
	grants      []grant // oldest first
}

// grant is a number of tokens at a holder.
type grant struct {
	holder   model.Instance
	id       uint64 // chosen by the holder
	granted  int
	used     int // reported so far
	returned int // reported so far
	lifetime time.Duration
	expiry   time.Time
}

func (g *grant) remaining() int { return g.granted - g.used - g.returned }

// refill brings the level up to now.
func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.levelAt); elapsed > 0 {
		b.level = min(b.limit.Burst, b.level+b.limit.Rate*elapsed.Seconds())
		b.levelAt = now
	}
}

// advance takes out tokens whose life has ended and refills up to now.
func (b *bucket) expireAndRefill(now time.Time, onDeduction func(at time.Time, n int)) {
	n := 0
	for n < len(b.grants) && !b.grants[n].expiry.After(now) {
		g := &b.grants[n]
		b.refill(g.expiry)
		b.deduct(g.remaining(), onDeduction)
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
func (b *bucket) available() int { return int(max(b.level-float64(b.outstanding)+epsilon, 0)) }

// find returns the live grant of a holder, or nil.
func (b *bucket) findGrant(holder model.Instance, id uint64) *grant {
	for i := range b.grants {
		if g := &b.grants[i]; g.id == id && g.holder == holder {
			return g
		}
	}
	return nil
}

// report takes a holder's report. Counts only grow, so that reports may be
// lost, doubled and late. Tokens in a grant that has ended were taken out.
func (b *bucket) applyReport(holder model.Instance, r Report, onDeduction func(at time.Time, n int)) {
	g := b.findGrant(holder, r.Grant)
	if g == nil || r.Used+r.Returned > g.granted {
		return
	}
	if n := r.Used - g.used; n > 0 && n <= g.remaining() {
		g.used += n
		b.deduct(n, onDeduction)
	}
	if n := r.Returned - g.returned; n > 0 && n <= g.remaining() {
		g.returned += n
		b.outstanding -= n
	}
}

// wait returns the time until a token may be there: when enough has been
// filled in, or when the first outstanding tokens end.
func (b *bucket) retryDelay(now time.Time) time.Duration {
	if b.limit.Rate <= 0 || b.limit.Burst < 1 {
		return maxRetryDelay
	}
	missing := float64(b.outstanding) + 1 - b.level
	if float64(b.outstanding)+1 > b.limit.Burst+epsilon && len(b.grants) > 0 {
		end := b.grants[0].expiry.Sub(now)
		return clampRetryDelay(end + seconds(1/b.limit.Rate))
	}
	return clampRetryDelay(seconds(missing / b.limit.Rate))
}

func seconds(s float64) time.Duration { return time.Duration(min(s, 1e6) * float64(time.Second)) }

func clampRetryDelay(d time.Duration) time.Duration { return min(max(d, minRetryDelay), maxRetryDelay) }
