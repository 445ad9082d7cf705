package routing

import (
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// maxMoves bounds how often a call that was not run is sent elsewhere. Such
	// a move costs no retry budget, since nothing was executed.
	maxMoves = 3
	// maxLost bounds the targets that may be lost with one request.
	maxLost = 2
	// retryShare is the part of a customer's first attempts that may be retried.
	retryShare = 0.1
	// maxRetryTokens bounds the retries that a customer may save up at one entry
	// node. What is saved up during a surge comes back after it, on top of the
	// usual demand: with 100, the demand stayed above what targets bear for 5 s.
	maxRetryTokens = 20
	// startRetryTokens lets a customer that has just begun retry at all.
	startRetryTokens = 10
	// clientRetryPause is the time after which a client retry is accepted even
	// without a token, so that a caller that re-sends until it has an answer
	// gets one.
	clientRetryPause = time.Second
)

// retryBucket holds a customer's retry tokens at this node. Retries by the
// node and by the customer's clients draw on it.
type retryBucket struct {
	tokens     float64
	lastClient time.Time // newest client retry that was accepted
}

func newRetryBucket() retryBucket { return retryBucket{tokens: startRetryTokens} }

func (b *retryBucket) onFirstAttempt() { b.tokens = min(b.tokens+retryShare, maxRetryTokens) }

func (b *retryBucket) has() bool { return b.tokens >= 1 }

func (b *retryBucket) take() { b.tokens-- }

// takeClient accepts or refuses a retry by a client.
func (b *retryBucket) takeClient(now time.Time) bool {
	if b.has() {
		b.take()
	} else if now.Sub(b.lastClient) < clientRetryPause {
		return false
	}
	b.lastClient = now
	return true
}

// handDown returns the part of a budget that goes with an attempt. Of two or
// more, one is kept: what is handed down is gone when the answer is lost, and
// the call could then not be sent again although the budget was not used.
func handDown(budget int) int {
	if budget >= 2 {
		return budget - 1
	}
	return budget
}

// lostAnswer reports whether the callee's account of its retries is lost, so
// that all of them count as used. Only an outcome that the target's node
// itself reported carries that account.
func lostAnswer(a *model.Answer) bool {
	if a.Run != model.RunUnknown {
		return false
	}
	return a.Reason != model.ReasonTargetFailed && a.Reason != model.ReasonTooLarge
}

// mayMove reports whether a call that was not run is sent elsewhere.
func (r *call) mayMove() bool {
	return r.now.Before(r.call.Deadline) &&
		r.moves < maxMoves &&
		movable(r.answer.Reason) &&
		r.core.targets.hasOther(r.now, r.call.Service, r.tried)
}

// movable reports whether another target may decide otherwise.
func movable(reason model.Reason) bool {
	switch reason {
	case model.ReasonQuarantined, model.ReasonKeyUnknown, model.ReasonDeadline,
		model.ReasonCanceled, model.ReasonBadRequest, model.ReasonTooLarge:
		return false
	}
	return true
}

// mayRetry reports whether a call that may have run is sent again.
func (r *call) mayRetry() bool {
	return r.call.Idempotent &&
		r.now.Before(r.call.Deadline) &&
		r.budget > 0 &&
		len(r.lostOn) < maxLost &&
		r.core.account(r.call.Customer).retries.has() &&
		r.core.targets.hasOther(r.now, r.call.Service, r.tried)
}

func (r *call) countMove() {
	r.moves++
	r.cause = Moved
}

// spendRetry pays for a further execution: from the chain's budget, from the
// customer's retries and, with a new token, from its rate.
func (r *call) spendRetry() {
	r.budget--
	r.core.account(r.call.Customer).retries.take()
	r.call.Token = nil
	r.cause = Retried
}
