package routing

import (
	"time"

	"github.com/oleanderworks/oleanderworks/core/timers"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/tokenlease"
)

const (
	// tokenRequestTimeout bounds the wait for the result of a token request. The
	// quorum duty spends up to tokenlease.MaxGrantorWait to find a grantor.
	tokenRequestTimeout = tokenlease.MaxGrantorWait + time.Second
	// minTokenRequestDelay is the least time between a denied token request and
	// the next one.
	minTokenRequestDelay = 20 * time.Millisecond
	// maxTokenQueue bounds the calls of one customer that wait for tokens, even if
	// its rate and burst allow more.
	maxTokenQueue = 1024
	// reportInterval is the time between reports of used and returned tokens to
	// grantors. A grantor is the node of a quorum group that grants the tokens of
	// a customer's rate.
	reportInterval = 20 * time.Millisecond
)

// account holds one customer's retry tokens, its queue of calls that wait for
// rate tokens, and the state of its token request.
type account struct {
	name       model.Customer
	retries    retryBucket
	tokenQueue tokenQueue

	requestedAt   time.Time     // zero while no token request is pending
	nextRequestAt time.Time     // no token request before this time
	nextCheckAt   time.Time     // earliest time at which a queued call may have waited too long
	denialReason  model.Reason  // why the latest token request was denied; ReasonNone if it was granted
	retryAfter    time.Duration // Retry-After of the latest denied token request
}

func (c *Core) account(name model.Customer) *account {
	a := c.accounts[name]
	if a == nil {
		a = &account{name: name, retries: newRetryBucket()}
		c.accounts[name] = a
	}
	return a
}

// needsToken reports whether the call needs a token of its customer's rate. An
// external request of a customer needs one. Its sub-calls need none, since they are
// bounded by its call chain.
func (r *callState) needsToken() bool { return r.call.Customer != "" && r.call.Depth == 0 }

// noTokenWait reports whether the call may proceed without waiting for a token:
// it needs none, has one, or the node holds one.
func (r *callState) noTokenWait() bool {
	if !r.needsToken() || r.call.Token != nil {
		return true
	}
	return r.core.balances.Available(r.now, r.call.Customer) > 0
}

// tokenValid reports whether the call's token has not expired. It can expire
// while the call waits for its claim; the claim is then requested again with
// the next attempt number, since another target may be chosen.
func (r *callState) tokenValid() bool {
	return r.call.Token == nil || r.now.Before(r.call.Token.Expiry)
}

func (r *callState) takeToken() {
	if !r.needsToken() || r.call.Token != nil {
		return
	}
	r.countDemand()
	r.call.Token, _ = r.core.balances.Take(r.now, r.call.Customer)
	r.core.requestTokens(r.now, r.core.account(r.call.Customer))
}

// countDemand counts each call once, however often it is queued or sent.
func (r *callState) countDemand() {
	if !r.demandCounted {
		r.demandCounted = true
		r.core.balances.CountRequest(r.now, r.call.Customer)
	}
}

// returnToken returns the token of a call that was not run to the node's balance.
// A token that was refused as stale is dropped, since it would be refused again.
func (r *callState) returnToken() {
	token := r.call.Token
	r.call.Token = nil
	if token == nil || (r.answer != nil && r.answer.Reason == model.ReasonStaleToken) {
		return
	}
	r.core.balances.Refund(r.now, r.call.Customer, token)
}

// markTokenUsed records that the call has run and ended, so that the grantor
// counts the token as used before it expires.
func (r *callState) markTokenUsed(a *model.Answer) {
	if r.call.Token != nil && a.Run == model.Completed {
		r.core.balances.MarkUsed(r.now, r.call.Customer, r.call.Token)
	}
}

func (r *callState) queueForToken() {
	a := r.core.account(r.call.Customer)
	r.countDemand()
	r.tokenWaitStart = r.now
	a.tokenQueue.push(r)
	a.nextCheckAt = timers.Earlier(a.nextCheckAt, timers.Earlier(r.call.Deadline, r.now.Add(tokenlease.MaxTokenWait)))
	r.core.awaitingToken[a.name] = a
	r.core.requestTokens(r.now, a)
}

func (r *callState) leaveTokenQueue() {
	r.core.account(r.call.Customer).tokenQueue.remove(r)
	r.tokenWait += r.now.Sub(r.tokenWaitStart)
}

// requestTokens requests tokens for the queued calls and for the expected demand.
// Each customer has at most one token request at a time.
func (c *Core) requestTokens(now time.Time, a *account) {
	customer := c.snapshot.Customers[a.name]
	if customer == nil || now.Before(a.nextRequestAt) {
		return
	}
	if want := c.balances.TokensToRequest(now, customer, a.tokenQueue.len()); want > 0 {
		a.requestedAt = now
		c.quorumRequests = append(c.quorumRequests, TokenRequest{Customer: a.name, Want: want})
	}
}

// OnTokens handles the result of a token request.
func (c *Core) OnTokens(now time.Time, result tokenlease.Result) {
	a := c.account(result.Customer)
	a.requestedAt = time.Time{}
	c.balances.OnResult(now, result)
	a.denialReason = result.Reason
	if result.Grant.Count > 0 {
		c.resumeQueued(now, a)
		c.requestTokens(now, a)
		return
	}
	if a.denialReason == model.ReasonNone {
		a.denialReason = model.ReasonRateUnavailable
	}
	a.retryAfter = result.RetryAfter
	a.nextRequestAt = now.Add(max(result.RetryAfter, minTokenRequestDelay))
	a.nextCheckAt = now
	c.expireQueued(now, a)
}

// resumeQueued continues queued calls in order while tokens are available.
func (c *Core) resumeQueued(now time.Time, a *account) {
	for a.tokenQueue.len() > 0 && c.balances.Available(now, a.name) > 0 {
		r := a.tokenQueue.next()
		r.now = now
		c.step(r, requestEventTokenGranted)
	}
}

// tokenQueueLimit returns how many calls of a customer may wait for tokens. Unless
// the limit is maxTokenQueue, a customer that keeps to its rate and burst never
// exceeds it.
func (c *Core) tokenQueueLimit(name model.Customer) int {
	customer := c.snapshot.Customers[name]
	if customer == nil {
		return 0
	}
	return min(int(customer.Burst+customer.Rate*tokenlease.MaxTokenWait.Seconds())+1, maxTokenQueue)
}

func (c *Core) denyToken(now time.Time, a *account, r *callState) {
	reason, detail := a.denialReason, "the customer's rate is used up"
	if reason != model.ReasonRateLimited {
		reason, detail = model.ReasonRateUnavailable, "no grantor gave tokens of the customer's rate"
	}
	r.now = now
	r.answer = model.NewRefusal(r.id, reason, detail)
	r.answer.RetryAfter = a.retryAfter
	c.step(r, requestEventTokenDenied)
}

// tickAccount ends queued calls that have waited too long and repeats token
// requests. It returns the time of the next timer.
func (c *Core) tickAccount(now time.Time, a *account) time.Time {
	if !a.requestedAt.IsZero() && now.Sub(a.requestedAt) >= tokenRequestTimeout {
		c.OnTokens(now, tokenlease.Result{Customer: a.name, Reason: model.ReasonRateUnavailable})
	}
	if !now.Before(a.nextCheckAt) {
		c.expireQueued(now, a)
	}
	if a.tokenQueue.len() == 0 {
		delete(c.awaitingToken, a.name)
		return time.Time{}
	}
	c.requestTokens(now, a)
	if !a.requestedAt.IsZero() {
		return timers.Earlier(a.nextCheckAt, a.requestedAt.Add(tokenRequestTimeout))
	}
	return timers.Earlier(a.nextCheckAt, a.nextRequestAt)
}

// expireQueued ends the queued calls that have waited too long, or will have when
// the next token is available.
func (c *Core) expireQueued(now time.Time, a *account) {
	a.nextCheckAt = time.Time{}
	for _, r := range a.tokenQueue.all() {
		waitEnd := r.tokenWaitStart.Add(a.maxWait())
		switch {
		case !now.Before(r.call.Deadline):
			c.expire(now, r)
		case !now.Before(waitEnd):
			c.denyToken(now, a, r)
		default:
			a.nextCheckAt = timers.Earlier(a.nextCheckAt, timers.Earlier(r.call.Deadline, waitEnd))
		}
	}
}

// maxWait returns how long a call waits for a token before it is refused. When the
// rate is used up, the time until the next token is subtracted, so that a call
// that cannot get a token in time is refused early. Otherwise the call waits as long
// as the search for a grantor may take.
func (a *account) maxWait() time.Duration {
	if a.denialReason == model.ReasonRateLimited {
		return tokenlease.MaxTokenWait - a.retryAfter
	}
	return tokenlease.MaxGrantorWait
}

// reportTokens reports used tokens to their grantors, and returns unused ones. It
// returns the time of the next report, or zero when no tokens are held.
func (c *Core) reportTokens(now time.Time) time.Time {
	if now.Before(c.nextReportAt) {
		return c.nextReportAt
	}
	c.nextReportAt = time.Time{}
	for _, name := range c.balances.Customers() {
		if reports := c.balances.TakeReports(now, name); len(reports) > 0 {
			c.quorumRequests = append(c.quorumRequests, TokenReport{Customer: name, Reports: reports})
		}
		c.nextReportAt = now.Add(reportInterval)
	}
	return c.nextReportAt
}
