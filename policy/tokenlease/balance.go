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
	// lifetimeDivisor limits that period to a fraction of a token's lifetime,
	// since tokens that lie idle at one node are not available at others.
	lifetimeDivisor = 4
	// demandWindow is the length of one window in which requests are counted.
	demandWindow = 100 * time.Millisecond
	// demandWindowCount is the number of windows whose smallest count is taken
	// as the demand. A short burst is thus not counted as demand, and no
	// tokens are requested in advance for it.
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
	requestOpen  bool
}

// heldGrant tracks the tokens of one grant.
type heldGrant struct {
	Grant
	returnAt time.Time // when unused tokens are returned to the grantor
	unused   int       // tokens that no request has taken
	used     int       // tokens whose request ran and has ended
	returned int
}

// NewBalances returns balances without tokens.
func NewBalances() *Balances {
	return &Balances{customers: make(map[model.Customer]*balance)}
}

// CountRequest adds one request to the customer's demand.
func (b *Balances) CountRequest(now time.Time, customer model.Customer) {
	a := b.balanceOf(customer)
	a.advanceWindows(now)
	a.currentCount++
}

// Take takes the customer's token that expires first. It returns false if
// there is none.
func (b *Balances) Take(now time.Time, customer model.Customer) (*model.Token, bool) {
	a := b.balanceOf(customer)
	a.dropExpired(now)
	for _, h := range a.grants {
		if h.unused > 0 {
			h.unused--
			return &model.Token{Group: h.Group, Term: h.Term, GrantID: h.ID, Expiry: h.Expiry}, true
		}
	}
	return nil, false
}

// Refund returns the token of a request that certainly did not run. A token
// that has expired is lost.
func (b *Balances) Refund(now time.Time, customer model.Customer, t *model.Token) {
	if h := b.findGrant(now, customer, t); h != nil {
		h.unused++
	}
}

// MarkUsed records that the request that took the token ran and has ended, so
// that the token is not used any more. It is not called for a request whose
// outcome is unknown.
func (b *Balances) MarkUsed(now time.Time, customer model.Customer, t *model.Token) {
	if h := b.findGrant(now, customer, t); h != nil {
		h.used++
		b.customers[customer].queueReport(h)
	}
}

// OnResult adds the tokens of a grant and closes the request that
// TokensToRequest opened.
func (b *Balances) OnResult(now time.Time, r Result) {
	a := b.balanceOf(r.Customer)
	a.requestOpen = false
	if r.Grant.Count <= 0 || !now.Before(r.Grant.Expiry) {
		return
	}
	for _, h := range a.grants {
		if h.ID == r.Grant.ID && h.Term == r.Grant.Term && h.Expiry.Equal(r.Grant.Expiry) {
			h.unused += r.Grant.Count
			return
		}
	}
	returnDelay := min(prefetchTime, r.Grant.Expiry.Sub(now)/2)
	a.grants = append(a.grants, &heldGrant{Grant: r.Grant, unused: r.Grant.Count, returnAt: now.Add(returnDelay)})
	slices.SortStableFunc(a.grants, func(x, y *heldGrant) int { return x.Expiry.Compare(y.Expiry) })
}

// TokensToRequest returns how many tokens to request now: enough for the
// requests that have no token, whose number is waiting, and for the demand of
// the near future. It returns 0 if no tokens are needed or a request for tokens
// is open already. Otherwise the caller must send a request, which counts as
// open until OnResult.
func (b *Balances) TokensToRequest(now time.Time, customer *model.CustomerConfig, waiting int) int {
	a := b.balanceOf(customer.Name)
	if a.requestOpen {
		return 0
	}
	a.dropExpired(now)
	a.advanceWindows(now)
	lifetime := NewRateLimit(customer.Rate, customer.Burst).TokenLifetime
	prefetch := a.steadyRate() * min(prefetchTime, lifetime/lifetimeDivisor).Seconds()
	available := float64(a.available())
	if waiting == 0 && available >= prefetch/2 {
		return 0
	}
	want := waiting + int(math.Floor(max(prefetch-available, 0)))
	a.requestOpen = want > 0
	return want
}

// TakeReports returns the reports for the grantor: on tokens that were used,
// and on idle tokens, which it takes out of the balance and returns.
func (b *Balances) TakeReports(now time.Time, customer model.Customer) []Report {
	a := b.balanceOf(customer)
	a.dropExpired(now)
	for _, h := range a.grants {
		if h.unused > 0 && !now.Before(h.returnAt) {
			h.returned += h.unused
			h.unused = 0
			a.queueReport(h)
		}
	}
	out := a.reports
	a.reports = nil
	return out
}

// Customers returns the customers with tokens or unsent reports, sorted.
func (b *Balances) Customers() []model.Customer {
	var out []model.Customer
	for c, a := range b.customers {
		if len(a.grants) > 0 || len(a.reports) > 0 {
			out = append(out, c)
		}
	}
	slices.Sort(out)
	return out
}

// Available returns the number of tokens of a customer that can be taken.
func (b *Balances) Available(now time.Time, customer model.Customer) int {
	a := b.balanceOf(customer)
	a.dropExpired(now)
	return a.available()
}

// DropAll drops all tokens. It is called after a pause of the process, when
// their expiry cannot be trusted.
func (b *Balances) DropAll() { clear(b.customers) }

func (b *Balances) balanceOf(customer model.Customer) *balance {
	a := b.customers[customer]
	if a == nil {
		a = new(balance)
		b.customers[customer] = a
	}
	return a
}

// findGrant returns the grant that a token is from, or nil if it has expired.
func (b *Balances) findGrant(now time.Time, customer model.Customer, t *model.Token) *heldGrant {
	a := b.balanceOf(customer)
	a.dropExpired(now)
	for _, h := range a.grants {
		if h.ID == t.GrantID && h.Term == t.Term && h.Expiry.Equal(t.Expiry) {
			return h
		}
	}
	return nil
}

// queueReport queues a report on a grant. Reports state totals, so the latest
// one replaces an earlier one.
func (a *balance) queueReport(h *heldGrant) {
	r := Report{GrantID: h.ID, Used: h.used, Returned: h.returned}
	if i := slices.IndexFunc(a.reports, func(x Report) bool { return x.GrantID == h.ID }); i >= 0 {
		a.reports[i] = r
		return
	}
	a.reports = append(a.reports, r)
}

func (a *balance) available() int {
	n := 0
	for _, h := range a.grants {
		n += h.unused
	}
	return n
}

func (a *balance) dropExpired(now time.Time) {
	for len(a.grants) > 0 && !now.Before(a.grants[0].Expiry) {
		a.grants = a.grants[1:]
	}
}

// advanceWindows closes the demand windows that have ended.
func (a *balance) advanceWindows(now time.Time) {
	for i := 0; now.Sub(a.windowStart) >= demandWindow; i++ {
		if i == demandWindowCount {
			a.windowStart = now
			return
		}
		copy(a.windowCounts[1:], a.windowCounts[:])
		a.windowCounts[0], a.currentCount = a.currentCount, 0
		a.windowStart = a.windowStart.Add(demandWindow)
	}
}

// steadyRate returns the customer's sustained demand in requests per second.
func (a *balance) steadyRate() float64 {
	return float64(slices.Min(a.windowCounts[:])) / demandWindow.Seconds()
}
