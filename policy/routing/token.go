package routing

import (
	"time"

	"github.com/oleanderworks/oleanderworks/core/timers"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/tokenlease"
)

const (
	// askTimeout bounds the wait for the answer to a request for tokens. The
	// quorum duty itself looks for a grantor for tokenlease.MaxGrantorWait.
	askTimeout = tokenlease.MaxGrantorWait + time.Second
	// askPause is the least time between two requests for tokens without
	// success.
	askPause = 20 * time.Millisecond
	// maxParked bounds the requests of one customer that wait for tokens.
	maxParked = 1024
	// reportInterval separates reports of used and idle tokens to grantors.
	reportInterval = 20 * time.Millisecond
)

// account holds what one customer has at this entry node besides its tokens.
type account struct {
	name    model.Customer
	retries retryBucket
	parked  parkedCalls

	askedAt  time.Time    // zero while no request for tokens is open
	askAfter time.Time    // no request for tokens before this time
	checkAt  time.Time    // when a parked call may have waited too long
	reason   model.Reason // of the newest request without success
	after    time.Duration
}

func (c *Core) account(name model.Customer) *account {
	a := c.accounts[name]
	if a == nil {
		a = &account{name: name, retries: newRetryBucket()}
		c.accounts[name] = a
	}
	return a
}

// needsToken reports whether the call draws on its customer's rate. The
// outside request pays once; its sub-calls are bounded by the chain.
func (r *call) needsToken() bool { return r.call.Customer != "" && r.call.Depth == 0 }

func (r *call) tokenAtHand() bool {
	if !r.needsToken() || r.call.Token != nil {
		return true
	}
	return r.core.balances.Available(r.now, r.call.Customer) > 0
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
	r.countDemand()
	r.call.Token, _ = r.core.balances.Take(r.now, r.call.Customer)
	r.core.ask(r.now, r.core.account(r.call.Customer))
}

// countDemand counts each call once, however often it is parked or sent.
func (r *call) countDemand() {
	if !r.counted {
		r.counted = true
		r.core.balances.CountRequest(r.now, r.call.Customer)
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
	r.core.balances.Refund(r.now, r.call.Customer, token)
}

// settleToken tells that the call has run and ended, so that the grantor need
// not wait for the end of the token's life.
func (r *call) settleToken(a *model.Answer) {
	if r.call.Token != nil && a.Run == model.Completed {
		r.core.balances.MarkUsed(r.now, r.call.Customer, r.call.Token)
	}
}

func (r *call) park() {
	a := r.core.account(r.call.Customer)
	r.countDemand()
	r.parkedAt = r.now
	a.parked.push(r)
	a.checkAt = timers.Earlier(a.checkAt, timers.Earlier(r.call.Deadline, r.now.Add(tokenlease.MaxTokenWait)))
	r.core.waiting[a.name] = a
	r.core.ask(r.now, a)
}

func (r *call) unpark() {
	r.core.account(r.call.Customer).parked.remove(r)
	r.waited += r.now.Sub(r.parkedAt)
}

// ask requests tokens for the calls that wait and for the near future, one
// request at a time for each customer.
func (c *Core) ask(now time.Time, a *account) {
	customer := c.snapshot.Customers[a.name]
	if customer == nil || now.Before(a.askAfter) {
		return
	}
	if want := c.balances.TokensToRequest(now, customer, a.parked.len()); want > 0 {
		a.askedAt = now
		c.orders = append(c.orders, TokenRequest{Customer: a.name, Want: want})
	}
}

// OnTokens takes the result of a request for tokens.
func (c *Core) OnTokens(now time.Time, result tokenlease.Result) {
	a := c.account(result.Customer)
	a.askedAt = time.Time{}
	c.balances.OnResult(now, result)
	a.reason = result.Reason
	if result.Grant.Count > 0 {
		c.grantParked(now, a)
		c.ask(now, a)
		return
	}
	if a.reason == model.ReasonNone {
		a.reason = model.ReasonRateUnavailable
	}
	a.after = result.RetryAfter
	a.askAfter = now.Add(max(result.RetryAfter, askPause))
	a.checkAt = now
	c.expireParked(now, a)
}

// grantParked continues parked calls in order while tokens last.
func (c *Core) grantParked(now time.Time, a *account) {
	for a.parked.len() > 0 && c.balances.Available(now, a.name) > 0 {
		r := a.parked.first()
		r.now = now
		c.step(r, eventTokenGranted)
	}
}

// parkedLimit returns how many calls of a customer may wait here. One that
// keeps to its rate and burst never has more.
func (c *Core) parkedLimit(name model.Customer) int {
	customer := c.snapshot.Customers[name]
	if customer == nil {
		return 0
	}
	return min(int(customer.Burst+customer.Rate*tokenlease.MaxTokenWait.Seconds())+1, maxParked)
}

func (c *Core) deny(now time.Time, a *account, r *call) {
	reason, detail := a.reason, "the customer's rate is used up"
	if reason != model.ReasonRateLimited {
		reason, detail = model.ReasonRateUnavailable, "no grantor gave tokens of the customer's rate"
	}
	r.now = now
	r.answer = model.NewRefusal(r.id, reason, detail)
	r.answer.RetryAfter = a.after
	c.step(r, eventTokenDenied)
}

// tickAccount expires parked calls and repeats requests for tokens.
func (c *Core) tickAccount(now time.Time, a *account) time.Time {
	if !a.askedAt.IsZero() && now.Sub(a.askedAt) >= askTimeout {
		c.OnTokens(now, tokenlease.Result{Customer: a.name, Reason: model.ReasonRateUnavailable})
	}
	if !now.Before(a.checkAt) {
		c.expireParked(now, a)
	}
	if a.parked.len() == 0 {
		delete(c.waiting, a.name)
		return time.Time{}
	}
	c.ask(now, a)
	if !a.askedAt.IsZero() {
		return timers.Earlier(a.checkAt, a.askedAt.Add(askTimeout))
	}
	return timers.Earlier(a.checkAt, a.askAfter)
}

// expireParked ends the parked calls that have waited too long, or would have
// when the next token is there.
func (c *Core) expireParked(now time.Time, a *account) {
	a.checkAt = time.Time{}
	for _, r := range a.parked.all() {
		giveUp := r.parkedAt.Add(a.patience())
		switch {
		case !now.Before(r.call.Deadline):
			c.expire(now, r)
		case !now.Before(giveUp):
			c.deny(now, a, r)
		default:
			a.checkAt = timers.Earlier(a.checkAt, timers.Earlier(r.call.Deadline, giveUp))
		}
	}
}

// patience is how long a call waits for a token. At a limited rate the next
// one must come within it.
func (a *account) patience() time.Duration {
	if a.reason == model.ReasonRateLimited {
		return tokenlease.MaxTokenWait - a.after
	}
	return tokenlease.MaxGrantorWait
}

// report orders what the grantors have to know of used and idle tokens. It
// returns the time of the next report; zero when no tokens are held.
func (c *Core) report(now time.Time) time.Time {
	if now.Before(c.reportAt) {
		return c.reportAt
	}
	c.reportAt = time.Time{}
	for _, name := range c.balances.Customers() {
		if reports := c.balances.TakeReports(now, name); len(reports) > 0 {
			c.orders = append(c.orders, TokenReport{Customer: name, Reports: reports})
		}
		c.reportAt = now.Add(reportInterval)
	}
	return c.reportAt
}
