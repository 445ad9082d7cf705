package tokenlease

import (
	"math"
	"slices"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// aheadTime is the longest time for which a batch is asked ahead.
	prefetchTime = 100 * time.Millisecond
	// lifeShare is the part of a token's life for which a batch is asked
	// ahead, and after which an idle token is given back: tokens that lie at
	// a node are missing elsewhere.
	lifetimeDivisor = 4
	// demandWindow is the time over which demand is counted.
	demandWindow = 100 * time.Millisecond
	// demandWindows is the number of windows of which the smallest count is
	// the demand. A burst is not repeated, so it is not asked for again.
	demandWindowCount = 4
)

// Balances are the tokens that an entry node holds. They are owned by the
// routing duty.
type Balances struct {
	customers map[model.Customer]*balance
}

// balance is the tokens of one customer and its recent demand.
type balance struct {
	grants       []*heldGrant // earliest expiry first
	reports      []Report
	windowCounts [demandWindowCount]int // requests in the latest full windows
	currentCount int                    // requests in the window that runs
	windowStart  time.Time
	requestOpen  bool
}

// held is what is left of one grant.
type heldGrant struct {
	Grant
	returnAt time.Time // when unused tokens are given back
	unused   int       // tokens not taken
	used     int       // tokens whose use is over
	returned int
}

// NewBalances returns a holder without tokens.
func NewBalances() *Balances {
	return &Balances{customers: make(map[model.Customer]*balance)}
}

// CountRequest counts one request of the customer.
func (b *Balances) CountRequest(now time.Time, customer model.Customer) {
	a := b.balanceOf(customer)
	a.advanceWindows(now)
	a.currentCount++
}

// Take uses the token that expires first. It reports false when there is
// none.
func (b *Balances) Take(now time.Time, customer model.Customer) (*model.Token, bool) {
	a := b.balanceOf(customer)
	a.dropExpired(now)
	for _, h := range a.grants {
		if h.unused > 0 {
			h.unused--
			return &model.Token{Group: h.Group, Epoch: h.Term, Grant: h.ID, Expiry: h.Expiry}, true
		}
	}
	return nil, false
}

// Refund takes back the token of a request that was certainly not run. A
// token whose life is over is lost.
func (b *Balances) Refund(now time.Time, customer model.Customer, t *model.Token) {
	if h := b.findGrant(now, customer, t); h != nil {
		h.unused++
	}
}

// MarkUsed records that the request of a token has run and ended, so that the
// token cannot be used any more. It is not called for a request whose outcome
// is unknown.
func (b *Balances) MarkUsed(now time.Time, customer model.Customer, t *model.Token) {
	if h := b.findGrant(now, customer, t); h != nil {
		h.used++
		b.customers[customer].queueReport(h)
	}
}

// OnResult takes the answer to the question that TokensToRequest opened.
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

// TokensToRequest returns how many tokens to ask for now, when waiting requests wait for
// one: enough for them and for the demand of the near future. It returns 0
// when there is nothing to ask or a question is open, and opens one otherwise.
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

// TakeReports returns what the grantor has to know: tokens whose use is over, and
// idle tokens, which are given back.
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

// Customers returns the customers with tokens or demand, sorted.
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

// Available returns the number of live tokens of a customer.
func (b *Balances) Available(now time.Time, customer model.Customer) int {
	a := b.balanceOf(customer)
	a.dropExpired(now)
	return a.available()
}

// DropAll gives up all tokens, after a pause.
func (b *Balances) DropAll() { clear(b.customers) }

func (b *Balances) balanceOf(customer model.Customer) *balance {
	a := b.customers[customer]
	if a == nil {
		a = new(balance)
		b.customers[customer] = a
	}
	return a
}

// find returns the live grant of a token, or nil.
func (b *Balances) findGrant(now time.Time, customer model.Customer, t *model.Token) *heldGrant {
	a := b.balanceOf(customer)
	a.dropExpired(now)
	for _, h := range a.grants {
		if h.ID == t.Grant && h.Term == t.Epoch && h.Expiry.Equal(t.Expiry) {
			return h
		}
	}
	return nil
}

// note queues a report of a grant. Reports hold totals, so the latest one is
// enough.
func (a *balance) queueReport(h *heldGrant) {
	r := Report{Grant: h.ID, Used: h.used, Returned: h.returned}
	if i := slices.IndexFunc(a.reports, func(x Report) bool { return x.Grant == h.ID }); i >= 0 {
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

// roll closes the windows that have ended.
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

// demand returns the requests a second that have been steady.
func (a *balance) steadyRate() float64 {
	return float64(slices.Min(a.windowCounts[:])) / demandWindow.Seconds()
}
