// This file decides whether a request is sent to another target after an attempt.

package dispatch

import (
	"net/http"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/mesh/quota"
)

// refusedByTarget reports whether a refusal came from the target itself and not from its
// node. Such an attempt counts as one that reached a target.
func refusedByTarget(a *model.Answer) bool { return a.Status != 0 }

// mayMove reports whether a request whose latest attempt has not run may be moved to
// another target, and chooses that target.
func (r *request) mayMove() bool {
	if r.moves >= maxMoves || r.answer.Reason == model.ReasonDeadline {
		return false
	}
	if !r.attemptsLeft() || refusedByTarget(r.answer) && !r.retryAvailable() {
		return false
	}
	return r.chooseNextTarget()
}

// retryAvailable reports whether the service's retry budget allows another attempt, and
// spendRetry charges it.
func (r *request) retryAvailable() bool {
	available := r.core.budgetFor(r.call.Service).available(r.now, r.call)
	r.retryDenied = !available
	return available
}

func (r *request) spendRetry() {
	r.core.budgetFor(r.call.Service).spend(r.now, r.call)
}

// mayRetry reports whether a request that may have run may be retried, and chooses the
// target.
func (r *request) mayRetry() bool {
	if !r.call.Idempotent || !r.attemptsLeft() || !r.retryAvailable() {
		return false
	}
	return r.chooseNextTarget()
}

// attemptsLeft reports whether the deadline has not passed and the request has not reached as
// many targets as its route allows. It is asked before the retry budget, so that the budget
// keeps nothing for requests that may not be sent again.
func (r *request) attemptsLeft() bool {
	reached := r.reached
	// Guards run before actions, so endAttempt has not yet subtracted the attempt.
	if r.answer.Run == model.NotRun && !refusedByTarget(r.answer) {
		reached--
	}
	return r.now.Before(r.call.Deadline) && reached < r.route.MaxAttempts
}

// chooseNextTarget chooses a target that has not been tried. It returns false if there
// is none.
func (r *request) chooseNextTarget() bool {
	r.next = r.core.chooseTarget(r.now, r.call, r.tried)
	return r.next != nil && r.core.mayEndInTime(r.now, r.next)
}

// countMove counts a move. If the target itself refused the request, the move is charged
// to the retry budget, since it adds an attempt that reaches a target.
func (r *request) countMove() {
	r.moves++
	if refusedByTarget(r.answer) {
		r.spendRetry()
	}
}

// chargeRetry charges a retry to the service's retry budget and to the customer's
// rate.
func (r *request) chargeRetry() {
	r.spendRetry()
	if r.grant != quota.Refused {
		r.core.rates.Charge(r.now, r.call.Customer)
	}
}

// isRetryableError reports whether an answer of the target is an internal server error after
// which the request may be retried. If a nested call has failed, only the node that sent that
// one repeats it: if each level of a chain repeated what a level below cannot serve, the last
// service would get the repeats of all.
func isRetryableError(a *model.Answer) bool {
	return a.Status == http.StatusInternalServerError && !a.NestedFailed
}
