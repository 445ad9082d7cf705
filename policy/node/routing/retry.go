package routing

import (
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// maxMoves bounds how often a call that was not run is sent to another
	// target. Such a move uses no retry budget, since nothing was executed.
	maxMoves = 3
	// maxLostTargets is the number of targets lost while they ran a request after
	// which the request is not retried, since it may be the cause.
	maxLostTargets = 2
	// retryRatio is the number of retry tokens that a customer gets for each
	// first attempt.
	retryRatio = 0.1
	// maxRetryTokens bounds the retry tokens that a customer may accumulate at one
	// entry node. Tokens accumulated during a surge are used after it, in addition
	// to the normal demand: with 100 tokens, demand stayed above the targets'
	// capacity for 5 s after a surge.
	maxRetryTokens = 20
	// initialRetryTokens allows retries of a customer that has made few calls.
	initialRetryTokens = 10
	// clientRetryInterval is the time since the last accepted client retry after
	// which another one is accepted without a token, so that a client that keeps
	// retrying is answered eventually.
	clientRetryInterval = time.Second
)

// retryBucket is the token bucket for a customer's retries at this node, by the
// node and by the customer's clients.
type retryBucket struct {
	tokens          float64
	lastClientRetry time.Time // when a client retry was last accepted
}

func newRetryBucket() retryBucket { return retryBucket{tokens: initialRetryTokens} }

func (b *retryBucket) onFirstAttempt() { b.tokens = min(b.tokens+retryRatio, maxRetryTokens) }

func (b *retryBucket) hasToken() bool { return b.tokens >= 1 }

func (b *retryBucket) takeToken() { b.tokens-- }

// allowClientRetry reports whether a retry by a client is accepted. It takes a
// token if there is one; without a token, one retry is accepted in each
// clientRetryInterval.
func (b *retryBucket) allowClientRetry(now time.Time) bool {
	if b.hasToken() {
		b.takeToken()
	} else if now.Sub(b.lastClientRetry) < clientRetryInterval {
		return false
	}
	b.lastClientRetry = now
	return true
}

// attemptRetryBudget returns the part of a retry budget that an attempt gets. Of
// two or more retries, one is withheld: when the answer of the attempt is lost,
// its part counts as used, and the call could otherwise not be retried at all.
func attemptRetryBudget(budget int) int {
	if budget >= 2 {
		return budget - 1
	}
	return budget
}

// retryCountUnknown reports whether the number of retries that an attempt used is
// unknown, so that its whole retry budget counts as used. Failures carry the
// number only with the reasons target_failed and too_large.
func retryCountUnknown(a *model.Answer) bool {
	if a.Run != model.RunUnknown {
		return false
	}
	return a.Reason != model.ReasonTargetFailed && a.Reason != model.ReasonTooLarge
}

// mayMove reports whether a call that was not run may be sent to another target.
func (r *callState) mayMove() bool {
	return r.now.Before(r.call.Deadline) &&
		r.moves < maxMoves &&
		movable(r.answer.Reason) &&
		r.core.targets.hasUntriedTarget(r.now, r.call.Service, r.tried)
}

// movable reports whether another target may accept a call that was refused for
// the reason.
func movable(reason model.Reason) bool {
	switch reason {
	case model.ReasonQuarantined, model.ReasonKeyUnknown, model.ReasonDeadline,
		model.ReasonCanceled, model.ReasonBadRequest, model.ReasonTooLarge:
		return false
	}
	return true
}

// mayRetry reports whether a call that may have run may be sent again.
func (r *callState) mayRetry() bool {
	return r.call.Idempotent &&
		r.now.Before(r.call.Deadline) &&
		r.retryBudget > 0 &&
		len(r.lostTargets) < maxLostTargets &&
		r.core.account(r.call.Customer).retries.hasToken() &&
		r.core.targets.hasUntriedTarget(r.now, r.call.Service, r.tried)
}

func (r *callState) countMove() {
	r.moves++
	r.cause = Moved
}

// spendRetry takes a retry from the call's retry budget and from the customer's
// retry tokens. The rate token of the failed attempt counts as used, so the retry
// needs a new one.
func (r *callState) spendRetry() {
	r.retryBudget--
	r.core.account(r.call.Customer).retries.takeToken()
	r.call.Token = nil
	r.cause = Retried
}
