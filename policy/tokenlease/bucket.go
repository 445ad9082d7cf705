package tokenlease

import (
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// maxLife bounds the life of a token.
	maxLife = time.Second
	// minLife leaves time for a grant to travel to the holder and for the
	// call to travel to its target's node.
	minLife = 10 * time.Millisecond
	// minWait bounds how soon a holder asks again.
	minWait = time.Millisecond
	// maxWait bounds the hint for customers with very low rates.
	maxWait = 30 * time.Second
	// rounding absorbs the error of sums of durations, in tokens.
	rounding = 1e-6
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
	t := RateLimit{Rate: rate, Burst: burst, TokenLifetime: maxLife}
	if rate > 0 && burst/(2*rate) < maxLife.Seconds() {
		t.TokenLifetime = max(time.Duration(burst/(2*rate)*float64(time.Second)), minLife)
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
	terms       RateLimit
	level       float64
	at          time.Time // time of level
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
	life     time.Duration
	expiry   time.Time
}

func (g *grant) left() int { return g.granted - g.used - g.returned }

// refill brings the level up to now.
func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level = min(b.terms.Burst, b.level+b.terms.Rate*elapsed.Seconds())
		b.at = now
	}
}

// advance takes out tokens whose life has ended and refills up to now.
func (b *bucket) advance(now time.Time, charge func(at time.Time, n int)) {
	n := 0
	for n < len(b.grants) && !b.grants[n].expiry.After(now) {
		g := &b.grants[n]
		b.refill(g.expiry)
		b.takeOut(g.left(), charge)
		n++
	}
	b.grants = b.grants[n:]
	b.refill(now)
}

func (b *bucket) takeOut(n int, charge func(at time.Time, n int)) {
	if n == 0 {
		return
	}
	b.level -= float64(n)
	b.outstanding -= n
	charge(b.at, n)
}

// available returns the number of tokens that may be granted.
func (b *bucket) available() int { return int(max(b.level-float64(b.outstanding)+rounding, 0)) }

// find returns the live grant of a holder, or nil.
func (b *bucket) find(holder model.Instance, id uint64) *grant {
	for i := range b.grants {
		if g := &b.grants[i]; g.id == id && g.holder == holder {
			return g
		}
	}
	return nil
}

// report takes a holder's report. Counts only grow, so that reports may be
// lost, doubled and late. Tokens in a grant that has ended were taken out.
func (b *bucket) report(holder model.Instance, r Report, charge func(at time.Time, n int)) {
	g := b.find(holder, r.Grant)
	if g == nil || r.Used+r.Returned > g.granted {
		return
	}
	if n := r.Used - g.used; n > 0 && n <= g.left() {
		g.used += n
		b.takeOut(n, charge)
	}
	if n := r.Returned - g.returned; n > 0 && n <= g.left() {
		g.returned += n
		b.outstanding -= n
	}
}

// wait returns the time until a token may be there: when enough has been
// filled in, or when the first outstanding tokens end.
func (b *bucket) wait(now time.Time) time.Duration {
	if b.terms.Rate <= 0 || b.terms.Burst < 1 {
		return maxWait
	}
	missing := float64(b.outstanding) + 1 - b.level
	if float64(b.outstanding)+1 > b.terms.Burst+rounding && len(b.grants) > 0 {
		end := b.grants[0].expiry.Sub(now)
		return clampWait(end + seconds(1/b.terms.Rate))
	}
	return clampWait(seconds(missing / b.terms.Rate))
}

func seconds(s float64) time.Duration { return time.Duration(min(s, 1e6) * float64(time.Second)) }

func clampWait(d time.Duration) time.Duration { return min(max(d, minWait), maxWait) }
