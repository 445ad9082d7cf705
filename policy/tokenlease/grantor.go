package tokenlease

import (
	"time"

	"github.com/oleanderworks/oleanderworks/core/invariant"
	"github.com/oleanderworks/oleanderworks/model"
)

// ledgerLength is how many grants of a customer the invariant looks back.
const ledgerLength = 32

// Grantor holds the buckets of the customers of one group, for as long as
// its node holds the group's lease.
type Grantor struct {
	opened  time.Time
	term    uint64
	buckets map[model.Customer]*account
	checker *invariant.Checker
}

// account is the bucket of one customer.
type account struct {
	bucket
	ledger []entry // latest grants; kept only with a checker
}

type entry struct {
	at    time.Time
	count int
}

// NewGrantor returns a grantor with empty buckets, which fill from now on.
// The burst is not granted again: tokens of the grantor before may be in use.
func NewGrantor(now time.Time, term uint64, checker *invariant.Checker) *Grantor {
	return &Grantor{opened: now, term: term, buckets: make(map[model.Customer]*account), checker: checker}
}

// Grant takes up to want tokens from the customer's bucket.
func (g *Grantor) Grant(now time.Time, customer *model.CustomerConfig, want int) TokenAnswer {
	a := g.account(customer)
	answer := TokenAnswer{Customer: customer.Name, Term: g.term, Life: a.terms.Life}
	answer.Granted = a.take(now, max(want, 1))
	if answer.Granted == 0 {
		answer.RetryAfter = a.wait()
		return answer
	}
	if g.checker != nil {
		a.check(g.checker, now, customer.Name, answer.Granted)
	}
	return answer
}

// Len returns the number of customers with a bucket.
func (g *Grantor) Len() int { return len(g.buckets) }

// account returns the customer's bucket. One that was not used since the
// lease began has filled since then.
func (g *Grantor) account(customer *model.CustomerConfig) *account {
	a := g.buckets[customer.Name]
	if a == nil {
		a = &account{bucket: bucket{terms: NewTerms(customer.Rate, customer.Burst), at: g.opened}}
		g.buckets[customer.Name] = a
		return a
	}
	if a.terms.Rate != customer.Rate || a.terms.Burst != customer.Burst {
		a.change(NewTerms(customer.Rate, customer.Burst))
	}
	return a
}

// change puts other terms in force. The level is what the old terms allowed,
// within the new capacity.
func (a *account) change(t Terms) {
	a.terms = t
	a.level = min(a.level, t.Capacity)
	a.ledger = a.ledger[:0]
}

// check asserts the bound over all windows that start at one of the latest
// grants: tokens granted in a window of length w may be used in one shorter
// by their life, so they number at most burst - rate*life + rate*w.
func (a *account) check(c *invariant.Checker, now time.Time, customer model.Customer, n int) {
	if len(a.ledger) == ledgerLength {
		a.ledger = a.ledger[:copy(a.ledger, a.ledger[1:])]
	}
	a.ledger = append(a.ledger, entry{now, n})
	sum := 0
	for i := len(a.ledger) - 1; i >= 0; i-- {
		e := a.ledger[i]
		sum += e.count
		limit := a.terms.Capacity + a.terms.Rate*now.Sub(e.at).Seconds()
		c.Assert(float64(sum) <= limit+rounding*float64(ledgerLength), "rate_bound",
			"customer %s: %d tokens granted in %s, limit %.3f", customer, sum, now.Sub(e.at), limit)
	}
}
