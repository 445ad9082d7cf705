package tokenlease

import (
	"math"
	"time"
)

const (
	// maxLife bounds the life of a token.
	maxLife = time.Second
	// minLife leaves time for a grant to travel to the holder and for the
	// call to travel to its target's node.
	minLife = 10 * time.Millisecond
)

// Terms are the constants of a customer's rate. A token may be used up to
// Life after it was taken from the bucket, so the bucket holds Capacity =
// burst - rate*Life: then in every window of length w at most
// Capacity + rate*(w+Life) = burst + rate*w tokens are used.
type Terms struct {
	Rate     float64 // tokens a second
	Burst    float64 // tokens
	Fill     float64 // tokens a second added to the bucket
	Capacity float64 // tokens
	Life     time.Duration
}

// NewTerms returns the terms of a rate and a burst. Life is
// min(1 s, burst/(2*rate)), and shorter where the bucket would hold less than
// one token. A burst below one token allows nothing.
func NewTerms(rate, burst float64) Terms {
	t := Terms{Rate: rate, Burst: burst, Fill: rate}
	if rate <= 0 || burst < 1 {
		return t
	}
	life := min(maxLife.Seconds(), burst/(2*rate))
	if burst-rate*life < 1 {
		life = (burst - 1) / rate
	}
	if life >= minLife.Seconds() {
		t.Life = time.Duration(life * float64(time.Second))
		t.Capacity = burst - rate*t.Life.Seconds()
		return t
	}
	return t.shortLife()
}

// shortLife returns terms for bursts that a token life of minLife uses up.
// The bucket then holds a whole number k of tokens with k <= burst, and fills
// slower: n tokens beyond k take n/Fill, during which n+k may be used in a
// window shorter by Life. Fill = rate/(1+rate*Life) keeps n <= rate*w for all
// n >= 1.
func (t Terms) shortLife() Terms {
	t.Life = minLife
	if capacity := t.Burst - t.Rate*t.Life.Seconds(); capacity >= 1 {
		t.Capacity = capacity
		return t
	}
	t.Capacity = math.Floor(t.Burst)
	t.Fill = t.Rate / (1 + t.Rate*t.Life.Seconds())
	return t
}

// bucket is a token bucket that starts empty.
type bucket struct {
	terms Terms
	level float64
	at    time.Time // time of level
}

// refill brings the level up to now.
func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level = min(b.terms.Capacity, b.level+b.terms.Fill*elapsed.Seconds())
		b.at = now
	}
}

// take removes up to want tokens and returns their number.
func (b *bucket) take(now time.Time, want int) int {
	b.refill(now)
	n := min(want, int(b.level+rounding))
	if n <= 0 {
		return 0
	}
	b.level = max(0, b.level-float64(n))
	return n
}

// rounding absorbs the error of sums of durations, in tokens.
const rounding = 1e-9

// wait returns the time until a token is there.
func (b *bucket) wait() time.Duration {
	if b.terms.Fill <= 0 || b.terms.Capacity < 1 {
		return maxRetryAfter
	}
	seconds := (1 - b.level) / b.terms.Fill
	return min(time.Duration(seconds*float64(time.Second))+time.Nanosecond, maxRetryAfter)
}

// maxRetryAfter bounds the hint for customers with very low rates.
const maxRetryAfter = 30 * time.Second
