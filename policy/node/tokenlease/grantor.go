package tokenlease

import (
	"time"

	"github.com/oleanderworks/oleanderworks/core/invariant"
	"github.com/oleanderworks/oleanderworks/model"
)

// maxDeductions is the number of recent deductions that are kept for each
// customer to check the rate_bound invariant.
const maxDeductions = 32

// Buckets holds the token buckets of the customers of one group. They exist at
// the group's grantor while it holds the group's lease.
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
func (b *Buckets) SetLeaseEnd(leaseEnd time.Time) { b.leaseEnd = leaseEnd }

// Grant applies the entry node's reports and then grants up to r.Want tokens. A
// request that arrives twice gets the same grant both times.
func (b *Buckets) Grant(now time.Time, customer *model.CustomerConfig, entryNode model.Instance, r *TokenRequest) TokenAnswer {
	c := b.getOrCreateBucket(now, customer)
	c.expireAndRefill(now, c.recordDeduction)
	for _, report := range r.Reports {
		c.applyReport(entryNode, report, c.recordDeduction)
	}
	answer := TokenAnswer{Customer: customer.Name, Sequence: r.Sequence, Term: b.term}
	if r.Want <= 0 {
		return answer
	}
	if existing := c.findGrant(entryNode, r.Sequence); existing != nil {
		answer.Granted, answer.Lifetime = existing.granted, existing.lifetime
		return answer
	}
	lifetime := min(c.limit.TokenLifetime, b.leaseEnd.Sub(now))
	if n := min(r.Want, c.available()); n > 0 && lifetime > 0 {
		c.addGrant(outstandingGrant{entryNode: entryNode, id: r.Sequence, granted: n, lifetime: lifetime, expiry: now.Add(lifetime)})
		c.checkRateBound(now, customer.Name)
		answer.Granted, answer.Lifetime = n, lifetime
		if n < r.Want {
			answer.RetryAfter = c.retryDelay(now)
		}
		return answer
	}
	answer.RetryAfter = c.retryDelay(now)
	return answer
}

// Len returns the number of customers with a bucket.
func (b *Buckets) Len() int { return len(b.customers) }

// RemainingTokenLifetime returns the time until the last granted token expires.
func (b *Buckets) RemainingTokenLifetime(now time.Time) time.Duration {
	var longest time.Duration
	for _, c := range b.customers {
		if n := len(c.grants); n > 0 {
			longest = max(longest, c.grants[n-1].expiry.Sub(now), c.mixedLimitsUntil.Sub(now))
		}
	}
	return longest
}

// getOrCreateBucket returns the customer's bucket and applies a changed limit.
// A new bucket counts as empty at openedAt and as refilled since then.
func (b *Buckets) getOrCreateBucket(now time.Time, customer *model.CustomerConfig) *customerBucket {
	c := b.customers[customer.Name]
	if c == nil {
		limit := NewRateLimit(customer.Rate, customer.Burst)
		c = &customerBucket{bucket: bucket{limit: limit, levelAt: b.openedAt}, checker: b.checker}
		b.customers[customer.Name] = c
		return c
	}
	if c.limit.Rate != customer.Rate || c.limit.Burst != customer.Burst {
		c.setLimit(now, NewRateLimit(customer.Rate, customer.Burst))
	}
	return c
}

func (c *customerBucket) addGrant(g outstandingGrant) {
	c.outstanding += g.granted
	c.grants = append(c.grants, g)
}

// setLimit applies a changed limit. The level is the one under the old limit,
// capped at the new burst. Tokens that were granted before stay valid.
func (c *customerBucket) setLimit(now time.Time, limit RateLimit) {
	c.expireAndRefill(now, c.recordDeduction)
	c.mixedLimitsUntil = now.Add(max(c.limit.TokenLifetime, limit.TokenLifetime))
	c.limit = limit
	c.level = min(c.level, limit.Burst)
	c.deductions = c.deductions[:0]
}

// recordDeduction keeps the latest deductions for checkRateBound.
func (c *customerBucket) recordDeduction(at time.Time, n int) {
	if c.checker == nil {
		return
	}
	if len(c.deductions) == maxDeductions {
		c.deductions = c.deductions[:copy(c.deductions, c.deductions[1:])]
	}
	c.deductions = append(c.deductions, deduction{at, n})
}

// checkRateBound asserts the rate bound over all windows that start at one of
// the latest deductions and end now: the tokens deducted in the window and
// those outstanding may all have been used in it.
func (c *customerBucket) checkRateBound(now time.Time, customer model.Customer) {
	if c.checker == nil || now.Before(c.mixedLimitsUntil) {
		return
	}
	sum := c.outstanding
	c.assertRateBound(sum, 0, customer)
	for i := len(c.deductions) - 1; i >= 0; i-- {
		sum += c.deductions[i].count
		c.assertRateBound(sum, now.Sub(c.deductions[i].at), customer)
	}
}

func (c *customerBucket) assertRateBound(sum int, window time.Duration, customer model.Customer) {
	bound := c.limit.Burst + c.limit.Rate*window.Seconds()
	c.checker.Assert(float64(sum) <= bound+maxDeductions*tolerance, "rate_bound",
		"customer %s: %d tokens in %s, limit %.3f", customer, sum, window, bound)
}
