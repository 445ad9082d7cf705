package dispatch

import (
	"net/http"
	"time"

	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/model/graph"
	"github.com/oleanderworks/oleanderworks/policy/mesh/quota"
)

// Events of the state chart dispatch, in the chart's order.
const (
	eventAdmitted chart.EventID = iota
	eventRefused
	eventAnswered
	eventNotRun
	eventFailed
	eventCanceled
	eventExpired
)

const (
	// maxMoves bounds how often a request that has not run is moved to another target.
	// It is separate from the route's limit of attempts, because a request that is
	// refused by a target's node does not reach the target. A refusal by the target
	// itself counts against both limits.
	maxMoves = 3
	// routePriorityLevels is the number of route priorities within each customer
	// priority: the route's priority orders the requests of customers with the same
	// priority.
	routePriorityLevels = 16
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller is
	// asked to retry. A random part of up to retryAfterJitter of it is added, so that
	// callers that were refused at the same time do not retry at the same time.
	minRetryAfter    = 200 * time.Millisecond
	maxRetryAfter    = 2 * time.Second
	retryAfterJitter = 0.5
)

// request is a request at the node of its caller.
type request struct {
	core    *Core
	state   chart.StateID
	now     time.Time // time of the current step
	id      model.CallID
	arrived time.Time

	route       *graph.Route
	call        *model.Call
	parent      *Parent // call for which the node's own target sent the request, if known
	target      *target // target of the current attempt, or the one chosen for the first
	next        *target // chosen for the next attempt
	tried       []*target
	sent        sentVersion // of the latest attempt
	moves       int
	reached     int                 // attempts that may have reached a target, bounded by the route's MaxAttempts
	mayHaveRun  bool                // a target may have run the request
	work        []model.ServiceWork // of all attempts
	retryDenied bool                // the retry budget allowed no further attempt
	cutAnswers  int                 // attempts that failed with ReasonAnswerCut, usually because the connection to the target broke
	grant       quota.Grant         // how the customer's rate admitted the request; Refused if it was not charged

	answer *model.Answer
}

func (r *request) step(now time.Time, e chart.EventID) {
	m := r.core.machine
	r.now = now
	r.state = m.Step(r, r.state, e)
	if m.Final(r.state) {
		delete(r.core.requests, r.id)
		r.core.expiry.Remove(r.id)
	}
}

func (r *request) send() {
	if r.next != nil {
		r.target, r.next = r.next, nil
	}
	t := r.target
	t.outstanding++
	r.tried = append(r.tried, t)
	r.noteSent()
	r.reached++
	attempt := *r.call
	attempt.IsRetry = attempt.IsRetry || r.mayHaveRun
	// CrashesReported is set only for crashes that were reported to all nodes, unlike
	// the cut answers of this request's own attempts.
	knownCrashes := r.core.suspicions.Crashes(r.now, r.call)
	attempt.CrashCount, attempt.CrashesReported = knownCrashes+r.cutAnswers, knownCrashes > 0
	d := r.newDecision()
	d.Call, d.Peer = &attempt, t.peer
	if r.answer != nil {
		d.RetryReason = r.answer.Reason
	}
	r.call.Attempt++
	r.retryDenied = false
	r.answer = nil
	r.core.decisions = append(r.core.decisions, d)
}

// endAttempt records the end of an attempt. An attempt that was refused by the target's
// node does not count as having reached the target; any answer but a refusal means that
// the request may have run.
func (r *request) endAttempt() {
	r.target.outstanding--
	r.noteEnded()
	r.recordWork()
	if r.answer == nil || r.answer.Run == model.NotRun {
		if r.answer != nil && !refusedByTarget(r.answer) {
			r.reached--
		}
		return
	}
	r.mayHaveRun = true
	if r.answer.Reason == model.ReasonAnswerCut {
		r.cutAnswers++
	}
}

// recordWork adds what the latest attempt used. A refusal counts as turned away if the
// reason is a lack of room.
func (r *request) recordWork() {
	if r.answer == nil {
		return
	}
	if r.answer.Run == model.NotRun && (r.answer.Reason == model.ReasonShed || r.answer.Reason == model.ReasonDeadline) {
		r.work = model.AddWork(r.work, model.ServiceWork{Service: r.call.Service, TurnedAway: 1})
		return
	}
	r.work = model.AddWork(r.work, r.answer.Work...)
}

func (r *request) cancelCall() {
	d := r.newDecision()
	d.Cancel, d.Peer = true, r.target.peer
	r.core.decisions = append(r.core.decisions, d)
}

func (r *request) newDecision() Decision {
	d := Decision{ID: r.id, ConfigVersion: r.core.ConfigVersion()}
	if r.route != nil {
		d.Route = r.route.Name
	}
	if r.target != nil {
		d.ReportAge = r.target.reportAge(r.now)
	}
	return d
}

// reply answers the caller. The answer states that the request has not run only if no
// earlier attempt may have run either.
func (r *request) reply() {
	a := r.answer
	if a.Run == model.NotRun && r.mayHaveRun {
		a = model.NewFailure(r.id, a.Reason, "an earlier attempt may have run: "+a.Detail)
	}
	if a.Run == model.NotRun {
		if a.Reason != model.ReasonOverload { // which has spread the returns itself
			a.RetryAfter = r.retryAfter(a.RetryAfter)
		}
		r.refundRate()
	}
	r.learnChain(a)
	if r.parent != nil {
		r.parent.endedCalls++
		r.parent.AddWork(r.work)
		if serviceFailed(a) {
			r.parent.NestedFailed.Store(true)
		}
	}
	d := r.newDecision()
	d.Answer, d.RetryDenied = a, r.retryDenied
	r.core.decisions = append(r.core.decisions, d)
}

// serviceFailed reports whether an answer shows that the service that was called could not
// serve the request, and not only that this node could not reach it.
func serviceFailed(a *model.Answer) bool {
	if a.FromNode() {
		return a.Reason != model.ReasonPeerUnreachable && a.Reason != model.ReasonNoContact
	}
	return a.Status >= http.StatusInternalServerError
}

// refundRate refunds the customer for a request that has not run.
func (r *request) refundRate() {
	if r.grant != quota.Refused {
		r.core.rates.Refund(r.now, r.call.Customer, r.grant)
	}
}

// retryAfter limits a Retry-After time to its bounds and adds jitter.
func (r *request) retryAfter(after time.Duration) time.Duration {
	after = min(max(after, minRetryAfter), maxRetryAfter)
	return after + time.Duration(r.core.rng.Float64()*retryAfterJitter*float64(after))
}
