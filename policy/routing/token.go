package routing

import (
	"slices"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/tokenlease"
)

const (
	// demandWindow is the span of recent demand that one request for tokens
	// covers. Unused tokens expire and are lost to the customer, so a batch
	// stays small.
	demandWindow = 100 * time.Millisecond
	// prefetchDemand is the demand in a window from which tokens are asked for
	// before the balance is empty. At a lower demand most of them would expire.
	prefetchDemand = 4
	// limitedPatience bounds the wait of a request whose customer has used up
	// its rate: a caller that must slow down is told so soon.
	limitedPatience = 100 * time.Millisecond
	// unavailablePatience bounds the wait for a new grantor, which can take
	// over when the lease of 2 s of the old one has run out.
	unavailablePatience = 3 * time.Second
	// askTimeout bounds the wait for the answer to a request for tokens.
	askTimeout = time.Second
	// askPause is the time between two requests for tokens without success.
	askPause = 20 * time.Millisecond
	// maxParked bounds the requests of one customer that wait for tokens.
	maxParked = 1024
)

// account holds what one customer has at this entry node.
type account struct {
	balance balance
	retries retryBucket
	parked  parkedCalls
	demand  demand

	asked    bool
	askedAt  time.Time
	askAfter time.Time    // no request for tokens before this time
	checkAt  time.Time    // when a parked call may have waited too long
	reason   model.Reason // of the newest request without success
	after    time.Duration
}

func (c *Core) account(name model.Customer) *account {
	a := c.accounts[name]
	if a == nil {
		a = &account{retries: newRetryBucket()}
		c.accounts[name] = a
	}
	return a
}

// balance is the customer's tokens at this node, in order of expiry.
type balance struct{ grants []tokenlease.Grant }

func (b *balance) clear() { b.grants = b.grants[:0] }

func (b *balance) expire(now time.Time) {
	b.grants = slices.DeleteFunc(b.grants, func(g tokenlease.Grant) bool {
		return g.Count <= 0 || !now.Before(g.Expiry)
	})
}

func (b *balance) held(now time.Time) int {
	b.expire(now)
	n := 0
	for _, g := range b.grants {
		n += g.Count
	}
	return n
}

func (b *balance) add(g tokenlease.Grant) {
	i := 0
	for i < len(b.grants) && !b.grants[i].Expiry.After(g.Expiry) {
		i++
	}
	b.grants = slices.Insert(b.grants, i, g)
}

// take returns the token that expires first, or nil.
func (b *balance) take(now time.Time) *model.Token {
	b.expire(now)
	if len(b.grants) == 0 {
		return nil
	}
	g := &b.grants[0]
	g.Count--
	return &model.Token{Group: g.Group, Epoch: g.Epoch, Expiry: g.Expiry, Life: g.Expiry.Sub(now)}
}

// put gives back a token that was not used, if it still lives.
func (b *balance) put(now time.Time, t *model.Token) {
	if !now.Before(t.Expiry) {
		return
	}
	for i := range b.grants {
		g := &b.grants[i]
		if g.Epoch == t.Epoch && g.Group == t.Group && g.Expiry.Equal(t.Expiry) {
			g.Count++
			return
		}
	}
	b.add(tokenlease.Grant{Group: t.Group, Epoch: t.Epoch, Count: 1, Expiry: t.Expiry})
}

// demand counts requests in the current and the last window.
type demand struct {
	window        time.Time
	current, last int
}

func (d *demand) add(now time.Time) {
	d.roll(now)
	d.current++
}

func (d *demand) roll(now time.Time) {
	age := now.Sub(d.window)
	if age < demandWindow {
		return
	}
	d.last = 0
	if age < 2*demandWindow {
		d.last = d.current
	}
	d.current = 0
	d.window = now
}

func (d *demand) recent(now time.Time) int {
	d.roll(now)
	return max(d.current, d.last)
}

// needsToken reports whether the call draws on its customer's rate. The
// outside request pays once; its sub-calls are bounded by the chain.
func (r *call) needsToken() bool { return r.call.Customer != "" && r.call.Depth == 0 }

func (r *call) tokenAtHand() bool {
	if !r.needsToken() || r.call.Token != nil {
		return true
	}
	return r.core.account(r.call.Customer).balance.held(r.now) > 0
}

// tokenAlive reports whether the call's token can still be used. It can run
// out while the call waits for its claim; the claim is then asked for again
// under the next attempt, since another target may be chosen.
func (r *call) tokenAlive() bool {
	return r.call.Token == nil || r.now.Before(r.call.Token.Expiry)
}

func (r *call) takeToken() {
	if !r.needsToken() || r.call.Token != nil {
		return
	}
	a := r.core.account(r.call.Customer)
	r.call.Token = a.balance.take(r.now)
	r.countDemand(a)
	r.core.ask(r.now, r.call.Customer, a)
}

// countDemand counts each call once, however often it is parked or sent.
func (r *call) countDemand(a *account) {
	if !r.counted {
		r.counted = true
		a.demand.add(r.now)
	}
}

// returnToken gives back the token of a call that was not run. One that was
// refused as stale would be refused again.
func (r *call) returnToken() {
	token := r.call.Token
	r.call.Token = nil
	if token == nil || (r.answer != nil && r.answer.Reason == model.ReasonStaleToken) {
		return
	}
	r.core.account(r.call.Customer).balance.put(r.now, token)
}

func (r *call) park() {
	a := r.core.account(r.call.Customer)
	r.countDemand(a)
	r.parkedAt = r.now
	a.parked.push(r)
	a.checkAt = earlier(a.checkAt, earlier(r.call.Deadline, r.now.Add(limitedPatience)))
	r.core.waiting[r.call.Customer] = a
	r.core.ask(r.now, r.call.Customer, a)
}

func (r *call) unpark() {
	r.core.account(r.call.Customer).parked.remove(r)
	r.waited += r.now.Sub(r.parkedAt)
}

// ask requests a batch of tokens for the recent demand, one at a time for
// each customer.
func (c *Core) ask(now time.Time, name model.Customer, a *account) {
	if a.asked || now.Before(a.askAfter) {
		return
	}
	want := a.want(now)
	if want <= 0 {
		return
	}
	a.asked = true
	a.askedAt = now
	c.orders = append(c.orders, TokenOrder{Customer: name, Want: want})
}

func (a *account) want(now time.Time) int {
	held, recent := a.balance.held(now), a.demand.recent(now)
	if waiting := a.parked.len(); waiting > 0 {
		return max(waiting, recent) - held
	}
	if recent < prefetchDemand || held > recent/2 {
		return 0
	}
	return recent - held
}

// OnTokens takes the result of a request for tokens.
func (c *Core) OnTokens(now time.Time, result tokenlease.Result) {
	a := c.account(result.Customer)
	a.asked = false
	if result.Reason == model.ReasonNone && result.Grant.Count > 0 {
		a.reason = model.ReasonNone
		a.balance.add(result.Grant)
		c.grantParked(now, a)
		c.ask(now, result.Customer, a)
		return
	}
	a.reason = result.Reason
	if a.reason == model.ReasonNone {
		a.reason = model.ReasonRateUnavailable
	}
	a.after = result.RetryAfter
	a.askAfter = now.Add(max(result.RetryAfter, askPause))
	a.checkAt = now
	c.dropParked(now, result.Customer, a)
}

// grantParked continues parked calls in order while tokens last.
func (c *Core) grantParked(now time.Time, a *account) {
	for a.parked.len() > 0 && a.balance.held(now) > 0 {
		r := a.parked.first()
		r.now = now
		c.step(r, eventTokenGranted)
	}
}

// dropParked refuses the parked calls for which the rate has no room within
// their patience.
func (c *Core) dropParked(now time.Time, name model.Customer, a *account) {
	if a.reason == model.ReasonRateLimited {
		room := c.roomWithin(name, limitedPatience)
		for a.parked.len() > room {
			c.deny(now, a, a.parked.last())
		}
	}
}

func (c *Core) roomWithin(name model.Customer, d time.Duration) int {
	customer := c.snapshot.Customers[name]
	if customer == nil {
		return 0
	}
	return max(int(customer.Rate*d.Seconds()), 1)
}

func (c *Core) deny(now time.Time, a *account, r *call) {
	reason, detail := a.reason, "the customer's rate is used up"
	if reason != model.ReasonRateLimited {
		reason, detail = model.ReasonRateUnavailable, "no grantor gave tokens of the customer's rate"
	}
	r.now = now
	r.answer = model.Refusal(r.id, reason, detail)
	r.answer.RetryAfter = a.after
	c.step(r, eventTokenDenied)
}

// tickAccount expires parked calls and repeats requests for tokens.
func (c *Core) tickAccount(now time.Time, name model.Customer, a *account) time.Time {
	if a.asked && now.Sub(a.askedAt) >= askTimeout {
		a.asked = false
		a.reason = model.ReasonRateUnavailable
	}
	if !now.Before(a.checkAt) {
		a.checkAt = c.expireParked(now, a)
	}
	if a.parked.len() == 0 {
		delete(c.waiting, name)
		return time.Time{}
	}
	c.ask(now, name, a)
	if a.asked {
		return earlier(a.checkAt, a.askedAt.Add(askTimeout))
	}
	return earlier(a.checkAt, a.askAfter)
}

// expireParked ends the parked calls that have waited too long and returns
// when the next one will have.
func (c *Core) expireParked(now time.Time, a *account) time.Time {
	var next time.Time
	for _, r := range a.parked.all() {
		giveUp := earlier(r.call.Deadline, r.parkedAt.Add(a.patience()))
		switch {
		case now.Before(giveUp):
			next = earlier(next, giveUp)
		case !now.Before(r.call.Deadline):
			c.expire(now, r)
		default:
			c.deny(now, a, r)
		}
	}
	return next
}

func (a *account) patience() time.Duration {
	if a.reason == model.ReasonRateLimited {
		return limitedPatience
	}
	return unavailablePatience
}
