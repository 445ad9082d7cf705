package tokenlease

import (
	"math"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// demandWindow is the time over which demand is measured, and the longest
	// time for which a batch is asked ahead.
	demandWindow = 100 * time.Millisecond
	// lifeShare is the part of a token's life for which a batch is asked
	// ahead. Tokens that are not used within their life are lost to the
	// customer, so a batch must be used up well before.
	lifeShare = 4
	// demandWeight is the weight of the latest window in the demand.
	demandWeight = 0.5
)

// Balances are the tokens that an entry node holds. They are owned by the
// routing duty.
type Balances struct {
	customers map[model.Customer]*balance
}

// balance is the tokens of one customer and its recent demand.
type balance struct {
	grants      []Grant // earliest expiry first
	demand      float64 // requests a second
	windowStart time.Time
	windowCount int
	asked       bool
}

// NewBalances returns a holder without tokens.
func NewBalances() *Balances {
	return &Balances{customers: make(map[model.Customer]*balance)}
}

// Take uses the token that expires first. It reports false when there is
// none. Each request is counted as demand once, by OnRequest.
func (b *Balances) Take(now time.Time, customer model.Customer) (*model.Token, bool) {
	a := b.account(customer)
	a.expire(now)
	if len(a.grants) == 0 {
		return nil, false
	}
	g := &a.grants[0]
	token := &model.Token{Group: g.Group, Epoch: g.Epoch, Expiry: g.Expiry}
	if g.Count--; g.Count == 0 {
		a.grants = a.grants[1:]
	}
	return token, true
}

// Refund gives back the token of a request that was not run. A token whose
// life is over is lost.
func (b *Balances) Refund(now time.Time, customer model.Customer, t *model.Token) {
	b.add(now, Grant{Customer: customer, Group: t.Group, Epoch: t.Epoch, Count: 1, Expiry: t.Expiry})
}

// OnResult takes the answer to the question that Want opened.
func (b *Balances) OnResult(now time.Time, r Result) {
	b.account(r.Customer).asked = false
	if r.Grant.Count > 0 {
		b.add(now, r.Grant)
	}
}

func (b *Balances) add(now time.Time, g Grant) {
	if !now.Before(g.Expiry) {
		return
	}
	a := b.account(g.Customer)
	i := len(a.grants)
	for i > 0 && g.Expiry.Before(a.grants[i-1].Expiry) {
		i--
	}
	a.grants = append(a.grants, Grant{})
	copy(a.grants[i+1:], a.grants[i:])
	a.grants[i] = g
}

// OnRequest counts one request of the customer.
func (b *Balances) OnRequest(now time.Time, customer model.Customer) {
	a := b.account(customer)
	a.roll(now)
	a.windowCount++
}

// Want returns how many tokens to ask for now, when waiting requests wait for
// one: enough for them and for the demand of the near future. It returns 0
// when there is nothing to ask or a question is open, and opens one otherwise.
func (b *Balances) Want(now time.Time, customer *model.CustomerConfig, waiting int) int {
	a := b.account(customer.Name)
	if a.asked {
		return 0
	}
	a.expire(now)
	a.roll(now)
	life := NewTerms(customer.Rate, customer.Burst).Life
	ahead := a.demand * min(demandWindow, life/lifeShare).Seconds()
	held := float64(a.held())
	if waiting == 0 && held >= ahead/2 {
		return 0
	}
	want := waiting + int(math.Floor(max(ahead-held, 0)))
	a.asked = want > 0
	return want
}

// Held returns the number of live tokens of a customer.
func (b *Balances) Held(now time.Time, customer model.Customer) int {
	a := b.account(customer)
	a.expire(now)
	return a.held()
}

// Drop gives up all tokens, after a pause.
func (b *Balances) Drop() { clear(b.customers) }

func (b *Balances) account(customer model.Customer) *balance {
	a := b.customers[customer]
	if a == nil {
		a = new(balance)
		b.customers[customer] = a
	}
	return a
}

func (a *balance) held() int {
	n := 0
	for _, g := range a.grants {
		n += g.Count
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
	elapsed := now.Sub(a.windowStart)
	if elapsed < demandWindow {
		return
	}
	rate := float64(a.windowCount) / max(elapsed, demandWindow).Seconds()
	if elapsed > 10*demandWindow {
		rate = 0
	}
	a.demand += demandWeight * (rate - a.demand)
	a.windowStart, a.windowCount = now, 0
}

// Fresh reports whether a token may still be used at the target's node, when
// the call arrived at received with the life that remained when it was sent,
// and was at most transit on the way.
func Fresh(now, received time.Time, remaining, transit time.Duration) bool {
	return now.Sub(received) < remaining-transit
}
