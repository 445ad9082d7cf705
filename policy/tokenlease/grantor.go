package tokenlease

import (
	"time"

	"github.com/oleanderworks/oleanderworks/core/invariant"
	"github.com/oleanderworks/oleanderworks/model"
)

// ledgerLength is how many charges of a customer the invariant looks back.
const ledgerLength = 32

// Grantor holds the buckets of the customers of one group, for as long as
// its node holds the group's lease.
type Grantor struct {
	opened  time.Time
	until   time.Time // end of the lease; no token outlives it
	term    uint64
	buckets map[model.Customer]*account
	checker *invariant.Checker
}

// account is the bucket of one customer.
type account struct {
	bucket
	checker *invariant.Checker
	ledger  []charge  // latest charges; kept only with a checker
	grace   time.Time // until when tokens granted under other terms may live
}

type charge struct {
	at    time.Time
	count int
}

// NewGrantor returns a grantor with empty buckets, which fill from now on. The
// tokens of the grantor before have ended with its lease, but the burst is
// not granted again.
func NewGrantor(now time.Time, term uint64, checker *invariant.Checker) *Grantor {
	return &Grantor{opened: now, term: term, buckets: make(map[model.Customer]*account), checker: checker}
}

// Extend sets the end of the lease.
func (g *Grantor) Extend(until time.Time) { g.until = until }

// Grant takes the holder's reports and then reserves up to r.Want tokens for
// it. A request that arrives twice gets the same grant twice.
func (g *Grantor) Grant(now time.Time, customer *model.CustomerConfig, holder model.Instance, r *TokenRequest) TokenAnswer {
	a := g.account(now, customer)
	a.advance(now, a.record)
	for _, report := range r.Reports {
		a.report(holder, report, a.record)
	}
	answer := TokenAnswer{Customer: customer.Name, Sequence: r.Sequence, Term: g.term}
	if r.Want <= 0 {
		return answer
	}
	if before := a.find(holder, r.Sequence); before != nil {
		answer.Granted, answer.Lifetime = before.granted, before.life
		return answer
	}
	life := min(a.terms.TokenLifetime, g.until.Sub(now))
	if n := min(r.Want, a.available()); n > 0 && life > 0 {
		a.reserve(grant{holder: holder, id: r.Sequence, granted: n, life: life, expiry: now.Add(life)})
		a.check(now, customer.Name)
		answer.Granted, answer.Lifetime = n, life
		if n < r.Want {
			answer.RetryAfter = a.wait(now)
		}
		return answer
	}
	answer.RetryAfter = a.wait(now)
	return answer
}

// Len returns the number of customers with a bucket.
func (g *Grantor) Len() int { return len(g.buckets) }

// LongestTokenLifetime returns the longest remaining life of a granted token.
func (g *Grantor) LongestTokenLifetime(now time.Time) time.Duration {
	var longest time.Duration
	for _, a := range g.buckets {
		if n := len(a.grants); n > 0 {
			longest = max(longest, a.grants[n-1].expiry.Sub(now), a.grace.Sub(now))
		}
	}
	return longest
}

// account returns the customer's bucket. One that was not used since the
// lease began has filled since then.
func (g *Grantor) account(now time.Time, customer *model.CustomerConfig) *account {
	a := g.buckets[customer.Name]
	if a == nil {
		terms := NewRateLimit(customer.Rate, customer.Burst)
		a = &account{bucket: bucket{terms: terms, at: g.opened}, checker: g.checker}
		g.buckets[customer.Name] = a
		return a
	}
	if a.terms.Rate != customer.Rate || a.terms.Burst != customer.Burst {
		a.change(now, NewRateLimit(customer.Rate, customer.Burst))
	}
	return a
}

func (a *account) reserve(g grant) {
	a.outstanding += g.granted
	a.grants = append(a.grants, g)
}

// change puts other terms in force. The level is what the old terms allowed,
// within the new burst. Tokens that were granted before live on.
func (a *account) change(now time.Time, t RateLimit) {
	a.advance(now, a.record)
	a.grace = now.Add(max(a.terms.TokenLifetime, t.TokenLifetime))
	a.terms = t
	a.level = min(a.level, t.Burst)
	a.ledger = a.ledger[:0]
}

// record keeps the latest charges for the invariant.
func (a *account) record(at time.Time, n int) {
	if a.checker == nil {
		return
	}
	if len(a.ledger) == ledgerLength {
		a.ledger = a.ledger[:copy(a.ledger, a.ledger[1:])]
	}
	a.ledger = append(a.ledger, charge{at, n})
}

// check asserts the bound over all windows that start at one of the latest
// charges and end now: what was taken out in the window and what is
// outstanding may have been used in it.
func (a *account) check(now time.Time, customer model.Customer) {
	if a.checker == nil || now.Before(a.grace) {
		return
	}
	sum := a.outstanding
	a.assert(sum, 0, customer)
	for i := len(a.ledger) - 1; i >= 0; i-- {
		sum += a.ledger[i].count
		a.assert(sum, now.Sub(a.ledger[i].at), customer)
	}
}

func (a *account) assert(sum int, window time.Duration, customer model.Customer) {
	limit := a.terms.Burst + a.terms.Rate*window.Seconds()
	a.checker.Assert(float64(sum) <= limit+ledgerLength*rounding, "rate_bound",
		"customer %s: %d tokens in %s, limit %.3f", customer, sum, window, limit)
}
