package tokenlease

import (
	"time"

	"github.com/oleanderworks/oleanderworks/core/invariant"
	"github.com/oleanderworks/oleanderworks/model"
)

// ledgerLength is how many charges of a customer the invariant looks back.
const maxDeductions = 32

// Grantor holds the buckets of the customers of one group, for as long as
// its node holds the group's lease.
type Grantor struct {
	openedAt time.Time
	leaseEnd time.Time // end of the lease; no token outlives it
	term     uint64
	buckets  map[model.Customer]*customerBucket
	checker  *invariant.Checker
}

// account is the bucket of one customer.
type customerBucket struct {
	bucket
	checker          *invariant.Checker
	deductions       []deduction // latest charges; kept only with a checker
	mixedLimitsUntil time.Time   // until when tokens granted under other terms may live
}

type deduction struct {
	at    time.Time
	count int
}

// NewGrantor returns a grantor with empty buckets, which fill from now on. The
// tokens of the grantor before have ended with its lease, but the burst is
// not granted again.
func NewGrantor(now time.Time, term uint64, checker *invariant.Checker) *Grantor {
	return &Grantor{openedAt: now, term: term, buckets: make(map[model.Customer]*customerBucket), checker: checker}
}

// Extend sets the end of the lease.
func (g *Grantor) Extend(leaseEnd time.Time) { g.leaseEnd = leaseEnd }

// Grant takes the holder's reports and then reserves up to r.Want tokens for
// it. A request that arrives twice gets the same grant twice.
func (g *Grantor) Grant(now time.Time, customer *model.CustomerConfig, holder model.Instance, r *TokenRequest) TokenAnswer {
	a := g.bucketOf(now, customer)
	a.expireAndRefill(now, a.recordDeduction)
	for _, report := range r.Reports {
		a.applyReport(holder, report, a.recordDeduction)
	}
	answer := TokenAnswer{Customer: customer.Name, Sequence: r.Sequence, Term: g.term}
	if r.Want <= 0 {
		return answer
	}
	if existing := a.findGrant(holder, r.Sequence); existing != nil {
		answer.Granted, answer.Lifetime = existing.granted, existing.lifetime
		return answer
	}
	lifetime := min(a.limit.TokenLifetime, g.leaseEnd.Sub(now))
	if n := min(r.Want, a.available()); n > 0 && lifetime > 0 {
		a.addGrant(grant{holder: holder, id: r.Sequence, granted: n, lifetime: lifetime, expiry: now.Add(lifetime)})
		a.checkRateBound(now, customer.Name)
		answer.Granted, answer.Lifetime = n, lifetime
		if n < r.Want {
			answer.RetryAfter = a.retryDelay(now)
		}
		return answer
	}
	answer.RetryAfter = a.retryDelay(now)
	return answer
}

// Len returns the number of customers with a bucket.
func (g *Grantor) Len() int { return len(g.buckets) }

// LongestTokenLifetime returns the longest remaining life of a granted token.
func (g *Grantor) LongestTokenLifetime(now time.Time) time.Duration {
	var longest time.Duration
	for _, a := range g.buckets {
		if n := len(a.grants); n > 0 {
			longest = max(longest, a.grants[n-1].expiry.Sub(now), a.mixedLimitsUntil.Sub(now))
		}
	}
	return longest
}

// account returns the customer's bucket. One that was not used since the
// lease began has filled since then.
func (g *Grantor) bucketOf(now time.Time, customer *model.CustomerConfig) *customerBucket {
	a := g.buckets[customer.Name]
	if a == nil {
		limit := NewRateLimit(customer.Rate, customer.Burst)
		a = &customerBucket{bucket: bucket{limit: limit, levelAt: g.openedAt}, checker: g.checker}
		g.buckets[customer.Name] = a
		return a
	}
	if a.limit.Rate != customer.Rate || a.limit.Burst != customer.Burst {
		a.setLimit(now, NewRateLimit(customer.Rate, customer.Burst))
	}
	return a
}

func (a *customerBucket) addGrant(g grant) {
	a.outstanding += g.granted
	a.grants = append(a.grants, g)
}

// change puts other terms in force. The level is what the old terms allowed,
// within the new burst. Tokens that were granted before live on.
func (a *customerBucket) setLimit(now time.Time, t RateLimit) {
	a.expireAndRefill(now, a.recordDeduction)
	a.mixedLimitsUntil = now.Add(max(a.limit.TokenLifetime, t.TokenLifetime))
	a.limit = t
	a.level = min(a.level, t.Burst)
	a.deductions = a.deductions[:0]
}

// record keeps the latest charges for the invariant.
func (a *customerBucket) recordDeduction(at time.Time, n int) {
	if a.checker == nil {
		return
	}
	if len(a.deductions) == maxDeductions {
		a.deductions = a.deductions[:copy(a.deductions, a.deductions[1:])]
	}
	a.deductions = append(a.deductions, deduction{at, n})
}

// check asserts the bound over all windows that start at one of the latest
// charges and end now: what was taken out in the window and what is
// outstanding may have been used in it.
func (a *customerBucket) checkRateBound(now time.Time, customer model.Customer) {
	if a.checker == nil || now.Before(a.mixedLimitsUntil) {
		return
	}
	sum := a.outstanding
	a.assertBound(sum, 0, customer)
	for i := len(a.deductions) - 1; i >= 0; i-- {
		sum += a.deductions[i].count
		a.assertBound(sum, now.Sub(a.deductions[i].at), customer)
	}
}

func (a *customerBucket) assertBound(sum int, window time.Duration, customer model.Customer) {
	limit := a.limit.Burst + a.limit.Rate*window.Seconds()
	a.checker.Assert(float64(sum) <= limit+maxDeductions*epsilon, "rate_bound",
		"customer %s: %d tokens in %s, limit %.3f", customer, sum, window, limit)
}
