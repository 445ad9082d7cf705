package routing

import (
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// maxMoves bounds how often a call that was not run is sent to another
	// target. Such a move costs no retry budget, since nothing was executed.
	maxMoves = 3
	// maxLostTargets bounds the targets that may be lost while one request runs,
	// since the request itself may be the cause.
	maxLostTargets = 2
	// retryRatio is the number of retry tokens that a customer gets for each
	// first attempt.
	retryRatio = 0.1
	// maxRetryTokens bounds the retry tokens that a customer may accumulate at one
	// entry node. Tokens accumulated during a surge are spent after it, on top of
	// the normal demand: with 100, demand stayed above the targets' capacity for
	// 5 s after a surge.
	maxRetryTokens = 20
	// initialRetryTokens lets a new customer retry at all.
	initialRetryTokens = 10
	// clientRetryInterval is the time after which a client retry is accepted even
	// without a token, so that a client that retries until it is answered
	// eventually is.
	clientRetryInterval = time.Second
)

// retryBucket is a token bucket of a customer's retries at this node. Retries by
// the node and by the customer's clients take tokens from it.
type retryBucket struct {
	tokens          float64
	lastClientRetry time.Time // when a client retry was last accepted
}

func newRetryBucket() retryBucket { return retryBucket{tokens: initialRetryTokens} }

func (b *retryBucket) onFirstAttempt() { b.tokens = min(b.tokens+retryRatio, maxRetryTokens) }

func (b *retryBucket) hasToken() bool { return b.tokens >= 1 }

func (b *retryBucket) takeToken() { b.tokens-- }

// allowClientRetry reports whether a retry by a client is accepted, and takes a
// token for it if there is one.
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
// two or more retries, one is kept: the attempt's part counts as used when its
// answer is lost, and the call could then not be retried at all.
func attemptRetryBudget(budget int) int {
	if budget >= 2 {
		return budget - 1
	}
	return budget
}

// retryCountUnknown reports whether the number of retries that an attempt used is
// unknown, so that its whole retry budget counts as used. Of the failures, only
// those with one of two reasons carry the number.
func retryCountUnknown(a *model.Answer) bool {
	if a.Run != model.RunUnknown {
		return false
	}
	return a.Reason != model.ReasonTargetFailed && a.Reason != model.ReasonTooLarge
}

// mayMove reports whether a call that was not run is sent to another target.
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

// mayRetry reports whether a call that failed and may have run is sent again.
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

// spendRetry charges a further execution to the chain's retry budget and the
// customer's retry tokens. The token of the failed attempt counts as used, so
// the retry needs another one of the customer's rate.
func (r *callState) spendRetry() {
	r.retryBudget--
	r.core.account(r.call.Customer).retries.takeToken()
	r.call.Token = nil
	r.cause = Retried
}
