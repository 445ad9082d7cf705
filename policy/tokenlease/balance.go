package tokenlease

import (
	"math"
	"slices"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// aheadTime is the longest time for which a batch is asked ahead.
	aheadTime = 100 * time.Millisecond
	// lifeShare is the part of a token's life for which a batch is asked
	// ahead, and after which an idle token is given back: tokens that lie at
	// a node are missing elsewhere.
	lifeShare = 4
	// demandWindow is the time over which demand is counted.
	demandWindow = 100 * time.Millisecond
	// demandWindows is the number of windows of which the smallest count is
	// the demand. A burst is not repeated, so it is not asked for again.
	demandWindows = 4
)

// Balances are the tokens that an entry node holds. They are owned by the
// routing duty.
type Balances struct {
	customers map[model.Customer]*balance
}

// balance is the tokens of one customer and its recent demand.
type balance struct {
	grants      []*held // earliest expiry first
	reports     []Report
	counts      [demandWindows]int // requests in the latest full windows
	current     int                // requests in the window that runs
	windowStart time.Time
	asked       bool
}

// held is what is left of one grant.
type held struct {
	Grant
	idleAt   time.Time // when unused tokens are given back
	count    int       // tokens not taken
	used     int       // tokens whose use is over
	returned int
}

// NewBalances returns a holder without tokens.
func NewBalances() *Balances {
	return &Balances{customers: make(map[model.Customer]*balance)}
}

// CountRequest counts one request of the customer.
func (b *Balances) CountRequest(now time.Time, customer model.Customer) {
	a := b.account(customer)
	a.roll(now)
	a.current++
}

// Take uses the token that expires first. It reports false when there is
// none.
func (b *Balances) Take(now time.Time, customer model.Customer) (*model.Token, bool) {
	a := b.account(customer)
	a.expire(now)
	for _, h := range a.grants {
		if h.count > 0 {
			h.count--
			return &model.Token{Group: h.Group, Epoch: h.Term, Grant: h.ID, Expiry: h.Expiry}, true
		}
	}
	return nil, false
}

// Refund takes back the token of a request that was certainly not run. A
// token whose life is over is lost.
func (b *Balances) Refund(now time.Time, customer model.Customer, t *model.Token) {
	if h := b.find(now, customer, t); h != nil {
		h.count++
	}
}

// MarkUsed records that the request of a token has run and ended, so that the
// token cannot be used any more. It is not called for a request whose outcome
// is unknown.
func (b *Balances) MarkUsed(now time.Time, customer model.Customer, t *model.Token) {
	if h := b.find(now, customer, t); h != nil {
		h.used++
		b.customers[customer].note(h)
	}
}

// OnResult takes the answer to the question that TokensToRequest opened.
func (b *Balances) OnResult(now time.Time, r Result) {
	a := b.account(r.Customer)
	a.asked = false
	if r.Grant.Count <= 0 || !now.Before(r.Grant.Expiry) {
		return
	}
	for _, h := range a.grants {
		if h.ID == r.Grant.ID && h.Term == r.Grant.Term && h.Expiry.Equal(r.Grant.Expiry) {
			h.count += r.Grant.Count
			return
		}
	}
	idle := min(aheadTime, r.Grant.Expiry.Sub(now)/2)
	a.grants = append(a.grants, &held{Grant: r.Grant, count: r.Grant.Count, idleAt: now.Add(idle)})
	slices.SortStableFunc(a.grants, func(x, y *held) int { return x.Expiry.Compare(y.Expiry) })
}

// TokensToRequest returns how many tokens to ask for now, when waiting requests wait for
// one: enough for them and for the demand of the near future. It returns 0
// when there is nothing to ask or a question is open, and opens one otherwise.
func (b *Balances) TokensToRequest(now time.Time, customer *model.CustomerConfig, waiting int) int {
	a := b.account(customer.Name)
	if a.asked {
		return 0
	}
	a.expire(now)
	a.roll(now)
	life := NewRateLimit(customer.Rate, customer.Burst).TokenLifetime
	ahead := a.demand() * min(aheadTime, life/lifeShare).Seconds()
	held := float64(a.held())
	if waiting == 0 && held >= ahead/2 {
		return 0
	}
	want := waiting + int(math.Floor(max(ahead-held, 0)))
	a.asked = want > 0
	return want
}

// TakeReports returns what the grantor has to know: tokens whose use is over, and
// idle tokens, which are given back.
func (b *Balances) TakeReports(now time.Time, customer model.Customer) []Report {
	a := b.account(customer)
	a.expire(now)
	for _, h := range a.grants {
		if h.count > 0 && !now.Before(h.idleAt) {
			h.returned += h.count
			h.count = 0
			a.note(h)
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
	a := b.account(customer)
	a.expire(now)
	return a.held()
}

// DropAll gives up all tokens, after a pause.
func (b *Balances) DropAll() { clear(b.customers) }

func (b *Balances) account(customer model.Customer) *balance {
	a := b.customers[customer]
	if a == nil {
		a = new(balance)
		b.customers[customer] = a
	}
	return a
}

// find returns the live grant of a token, or nil.
func (b *Balances) find(now time.Time, customer model.Customer, t *model.Token) *held {
	a := b.account(customer)
	a.expire(now)
	for _, h := range a.grants {
		if h.ID == t.Grant && h.Term == t.Epoch && h.Expiry.Equal(t.Expiry) {
			return h
		}
	}
	return nil
}

// note queues a report of a grant. Reports hold totals, so the latest one is
// enough.
func (a *balance) note(h *held) {
	r := Report{Grant: h.ID, Used: h.used, Returned: h.returned}
	if i := slices.IndexFunc(a.reports, func(x Report) bool { return x.Grant == h.ID }); i >= 0 {
		a.reports[i] = r
		return
	}
	a.reports = append(a.reports, r)
}

func (a *balance) held() int {
	n := 0
	for _, h := range a.grants {
		n += h.count
	}
	return n
}

func (a *balance) expire(now time.Time) {
	for len(a.grants) > 0 && !now.Before(a.grants[0].Expiry) {
		a.grants = a.grants[1:]
	}
}

// roll closes the windows that have ended.
func (a *balance) roll(now time.Time) {
	for i := 0; now.Sub(a.windowStart) >= demandWindow; i++ {
		if i == demandWindows {
			a.windowStart = now
			return
		}
		copy(a.counts[1:], a.counts[:])
		a.counts[0], a.current = a.current, 0
		a.windowStart = a.windowStart.Add(demandWindow)
	}
}

// demand returns the requests a second that have been steady.
func (a *balance) demand() float64 {
	return float64(slices.Min(a.counts[:])) / demandWindow.Seconds()
}
