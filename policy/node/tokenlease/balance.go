package tokenlease

import (
	"math"
	"slices"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// prefetchTime is the longest period of demand for which tokens are
	// requested in advance, and the longest time that unused tokens are kept.
	prefetchTime = 100 * time.Millisecond
	// prefetchLifetimeDivisor limits the prefetch period to a fraction of the
	// token lifetime, since unused tokens at one node are not available at
	// others.
	prefetchLifetimeDivisor = 4
	// demandWindow is the length of one window in which requests are counted.
	demandWindow = 100 * time.Millisecond
	// demandWindowCount is the number of windows from which the demand is
	// estimated. The estimate is the smallest of their counts, so that no tokens
	// are requested in advance because of a short burst.
	demandWindowCount = 4
)

// Balances holds the tokens of an entry node, by customer. It is owned by the
// routing duty.
type Balances struct {
	customers map[model.Customer]*balance
}

// balance holds the tokens of one customer and its recent demand.
type balance struct {
	grants       []*heldGrant // in order of expiry
	reports      []Report
	windowCounts [demandWindowCount]int // requests in each of the last complete windows
	currentCount int                    // requests in the current window
	windowStart  time.Time
	requestOpen  bool // a token request is open
}

// heldGrant tracks the tokens of one grant.
type heldGrant struct {
	Grant
	returnAt time.Time // when unused tokens are returned to the grantor
	unused   int       // tokens that can be taken
	used     int       // tokens whose request ran and has ended
	returned int       // tokens that were returned to the grantor
}

// NewBalances returns balances without tokens.
func NewBalances() *Balances {
	return &Balances{customers: make(map[model.Customer]*balance)}
}

// CountRequest adds one request to the customer's demand.
func (b *Balances) CountRequest(now time.Time, customer model.Customer) {
	bal := b.getOrCreateBalance(customer)
	bal.advanceWindows(now)
	bal.currentCount++
}

// Take takes the customer's token that expires first. It returns false if
// there is none.
func (b *Balances) Take(now time.Time, customer model.Customer) (*model.Token, bool) {
	bal := b.getOrCreateBalance(customer)
	bal.dropExpired(now)
	for _, g := range bal.grants {
		if g.unused > 0 {
			g.unused--
			return &model.Token{Group: g.Group, Term: g.Term, GrantID: g.ID, Expiry: g.Expiry}, true
		}
	}
	return nil, false
}

// Refund returns the token of a request that certainly did not run. A token
// that has expired is lost.
func (b *Balances) Refund(now time.Time, customer model.Customer, t *model.Token) {
	if g := b.findGrant(now, customer, t); g != nil {
		g.unused++
	}
}

// MarkUsed records that the request that took the token ran and has ended, so
// that the token is not used any more. It is not called for a request whose
// outcome is unknown.
func (b *Balances) MarkUsed(now time.Time, customer model.Customer, t *model.Token) {
	if g := b.findGrant(now, customer, t); g != nil {
		g.used++
		b.customers[customer].queueReport(g)
	}
}

// OnResult adds the tokens of a grant and closes the open token request.
func (b *Balances) OnResult(now time.Time, r Result) {
	bal := b.getOrCreateBalance(r.Customer)
	bal.requestOpen = false
	if r.Grant.Count <= 0 || !now.Before(r.Grant.Expiry) {
		return
	}
	for _, g := range bal.grants {
		if g.ID == r.Grant.ID && g.Term == r.Grant.Term && g.Expiry.Equal(r.Grant.Expiry) {
			g.unused += r.Grant.Count
			return
		}
	}
	returnDelay := min(prefetchTime, r.Grant.Expiry.Sub(now)/2)
	bal.grants = append(bal.grants, &heldGrant{Grant: r.Grant, unused: r.Grant.Count, returnAt: now.Add(returnDelay)})
	slices.SortStableFunc(bal.grants, func(x, y *heldGrant) int { return x.Expiry.Compare(y.Expiry) })
}

// TokensToRequest returns how many tokens to request now: one for each of the
// waiting requests, and those for the expected demand. It returns 0 if no
// tokens are needed or a token request is open already. Otherwise the caller
// must send a token request, which is open until OnResult.
func (b *Balances) TokensToRequest(now time.Time, customer *model.CustomerConfig, waiting int) int {
	bal := b.getOrCreateBalance(customer.Name)
	if bal.requestOpen {
		return 0
	}
	bal.dropExpired(now)
	bal.advanceWindows(now)
	lifetime := NewRateLimit(customer.Rate, customer.Burst).TokenLifetime
	prefetch := bal.steadyRate() * min(prefetchTime, lifetime/prefetchLifetimeDivisor).Seconds()
	available := float64(bal.available())
	if waiting == 0 && available >= prefetch/2 {
		return 0
	}
	want := waiting + int(math.Floor(max(prefetch-available, 0)))
	bal.requestOpen = want > 0
	return want
}

// TakeReports returns the reports for the grantor and removes them. Tokens that
// have been unused for too long are removed from the balance and reported as
// returned.
func (b *Balances) TakeReports(now time.Time, customer model.Customer) []Report {
	bal := b.getOrCreateBalance(customer)
	bal.dropExpired(now)
	for _, g := range bal.grants {
		if g.unused > 0 && !now.Before(g.returnAt) {
			g.returned += g.unused
			g.unused = 0
			bal.queueReport(g)
		}
	}
	out := bal.reports
	bal.reports = nil
	return out
}

// Customers returns the customers with tokens or unsent reports, sorted.
func (b *Balances) Customers() []model.Customer {
	var out []model.Customer
	for c, bal := range b.customers {
		if len(bal.grants) > 0 || len(bal.reports) > 0 {
			out = append(out, c)
		}
	}
	slices.Sort(out)
	return out
}

// Available returns the number of tokens of a customer that can be taken.
func (b *Balances) Available(now time.Time, customer model.Customer) int {
	bal := b.getOrCreateBalance(customer)
	bal.dropExpired(now)
	return bal.available()
}

// DropAll drops all tokens. It is called after a pause of the process, when
// their expiry cannot be trusted.
func (b *Balances) DropAll() { clear(b.customers) }

func (b *Balances) getOrCreateBalance(customer model.Customer) *balance {
	bal := b.customers[customer]
	if bal == nil {
		bal = new(balance)
		b.customers[customer] = bal
	}
	return bal
}

// findGrant returns the grant that a token is from, or nil if it has expired.
func (b *Balances) findGrant(now time.Time, customer model.Customer, t *model.Token) *heldGrant {
	bal := b.getOrCreateBalance(customer)
	bal.dropExpired(now)
	for _, g := range bal.grants {
		if g.ID == t.GrantID && g.Term == t.Term && g.Expiry.Equal(t.Expiry) {
			return g
		}
	}
	return nil
}

// queueReport queues a report on a grant. Reports state totals, so the latest
// one replaces an earlier one.
func (bal *balance) queueReport(g *heldGrant) {
	r := Report{GrantID: g.ID, Used: g.used, Returned: g.returned}
	if i := slices.IndexFunc(bal.reports, func(x Report) bool { return x.GrantID == g.ID }); i >= 0 {
		bal.reports[i] = r
		return
	}
	bal.reports = append(bal.reports, r)
}

func (bal *balance) available() int {
	n := 0
	for _, g := range bal.grants {
		n += g.unused
	}
	return n
}

func (bal *balance) dropExpired(now time.Time) {
	for len(bal.grants) > 0 && !now.Before(bal.grants[0].Expiry) {
		bal.grants = bal.grants[1:]
	}
}

// advanceWindows closes the demand windows that have ended.
func (bal *balance) advanceWindows(now time.Time) {
	for i := 0; now.Sub(bal.windowStart) >= demandWindow; i++ {
		if i == demandWindowCount {
			bal.windowStart = now
			return
		}
		copy(bal.windowCounts[1:], bal.windowCounts[:])
		bal.windowCounts[0], bal.currentCount = bal.currentCount, 0
		bal.windowStart = bal.windowStart.Add(demandWindow)
	}
}

// steadyRate returns the customer's sustained demand in requests per second.
func (bal *balance) steadyRate() float64 {
	return float64(slices.Min(bal.windowCounts[:])) / demandWindow.Seconds()
}
