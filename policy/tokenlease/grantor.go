package tokenlease

import (
	"time"

	"github.com/oleanderworks/oleanderworks/core/invariant"
	"github.com/oleanderworks/oleanderworks/model"
)

// maxDeductions is how many deductions of a customer are kept to check the
// rate_bound invariant.
const maxDeductions = 32

// Buckets holds the token buckets of the customers of one group. The group's
// grantor has them for as long as it holds the group's lease.
type Buckets struct {
	openedAt  time.Time
	leaseEnd  time.Time // no token outlives it
	term      uint64
	customers map[model.Customer]*customerBucket
	checker   *invariant.Checker
}

// customerBucket is the bucket of one customer, with the recent deductions that
// the rate_bound invariant checks.
type customerBucket struct {
	bucket
	checker          *invariant.Checker
	deductions       []deduction // latest deductions; kept only with a checker
	mixedLimitsUntil time.Time   // until when tokens granted under an earlier limit may be used
}

type deduction struct {
	at    time.Time
	count int
}

// NewBuckets returns the buckets of a new grantor, which start empty and fill
// from now on. The tokens of the previous grantor have expired with its lease,
// but their use may be recent, so the burst is not granted again.
func NewBuckets(now time.Time, term uint64, checker *invariant.Checker) *Buckets {
	return &Buckets{openedAt: now, term: term, customers: make(map[model.Customer]*customerBucket), checker: checker}
}

// SetLeaseEnd sets the end of the lease.
func (g *Buckets) SetLeaseEnd(leaseEnd time.Time) { g.leaseEnd = leaseEnd }

// Grant applies the entry node's reports and then grants up to r.Want tokens. A
// request that arrives twice gets the same grant both times.
func (g *Buckets) Grant(now time.Time, customer *model.CustomerConfig, entryNode model.Instance, r *TokenRequest) TokenAnswer {
	a := g.bucketOf(now, customer)
	a.expireAndRefill(now, a.recordDeduction)
	for _, report := range r.Reports {
		a.applyReport(entryNode, report, a.recordDeduction)
	}
	answer := TokenAnswer{Customer: customer.Name, Sequence: r.Sequence, Term: g.term}
	if r.Want <= 0 {
		return answer
	}
	if existing := a.findGrant(entryNode, r.Sequence); existing != nil {
		answer.Granted, answer.Lifetime = existing.granted, existing.lifetime
		return answer
	}
	lifetime := min(a.limit.TokenLifetime, g.leaseEnd.Sub(now))
	if n := min(r.Want, a.available()); n > 0 && lifetime > 0 {
		a.addGrant(grant{entryNode: entryNode, id: r.Sequence, granted: n, lifetime: lifetime, expiry: now.Add(lifetime)})
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
func (g *Buckets) Len() int { return len(g.customers) }

// RemainingTokenLifetime returns the time until the last granted token expires.
func (g *Buckets) RemainingTokenLifetime(now time.Time) time.Duration {
	var longest time.Duration
	for _, a := range g.customers {
		if n := len(a.grants); n > 0 {
			longest = max(longest, a.grants[n-1].expiry.Sub(now), a.mixedLimitsUntil.Sub(now))
		}
	}
	return longest
}

// bucketOf returns the customer's bucket. One that is used for the first time
// under this lease has filled since the lease began.
func (g *Buckets) bucketOf(now time.Time, customer *model.CustomerConfig) *customerBucket {
	a := g.customers[customer.Name]
	if a == nil {
		limit := NewRateLimit(customer.Rate, customer.Burst)
		a = &customerBucket{bucket: bucket{limit: limit, levelAt: g.openedAt}, checker: g.checker}
		g.customers[customer.Name] = a
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

// setLimit applies a changed limit. The level is the one under the old limit,
// capped at the new burst. Tokens that were granted before stay valid.
func (a *customerBucket) setLimit(now time.Time, limit RateLimit) {
	a.expireAndRefill(now, a.recordDeduction)
	a.mixedLimitsUntil = now.Add(max(a.limit.TokenLifetime, limit.TokenLifetime))
	a.limit = limit
	a.level = min(a.level, limit.Burst)
	a.deductions = a.deductions[:0]
}

// recordDeduction keeps the latest deductions for the invariant.
func (a *customerBucket) recordDeduction(at time.Time, n int) {
	if a.checker == nil {
		return
	}
	if len(a.deductions) == maxDeductions {
		a.deductions = a.deductions[:copy(a.deductions, a.deductions[1:])]
	}
	a.deductions = append(a.deductions, deduction{at, n})
}

// checkRateBound asserts the rate bound over all windows that start at one of
// the latest deductions and end now: the tokens deducted in the window and
// those outstanding may all have been used in it.
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
	bound := a.limit.Burst + a.limit.Rate*window.Seconds()
	a.checker.Assert(float64(sum) <= bound+maxDeductions*epsilon, "rate_bound",
		"customer %s: %d tokens in %s, limit %.3f", customer, sum, window, bound)
}
