package routing

import (
	"sync"
	"time"

	"github.com/oleanderworks/oleanderworks/charts"
	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/model"
)

// Events of the request chart, in the chart's order.
const (
	requestEventAccepted chart.EventID = iota
	requestEventRejected
	requestEventTargetChosen
	requestEventNoTarget
	requestEventTokenGranted
	requestEventTokenDenied
	requestEventClaimGranted
	requestEventClaimDenied
	requestEventClaimReplayed
	requestEventAnswered
	requestEventNotRun
	requestEventMayHaveRun
	requestEventCanceled
	requestEventExpired
)

// requestStateChoosingTarget is the index of the state choosing_target in the chart's
// order. The core leaves that state at once by an event of its own.
const requestStateChoosingTarget chart.StateID = 1

// callState is the state of one call at its entry node, in the chart request. A
// request becomes a call once its route and customer are determined.
type callState struct {
	core  *Core
	state chart.StateID
	id    model.CallID
	now   time.Time // time of the event that is being handled
	call  *model.Call

	parent             *parent // nil for an external call
	target             *target // of the attempt in progress or the next one
	cause              Cause   // of the latest attempt or the next one
	retryBudget        int     // retries that this call and its sub-calls may still use
	attemptBudget      int     // part of retryBudget that the attempt in progress may use
	initialRetryBudget int     // retryBudget at the start

	answer            *model.Answer    // latest refusal (not run), failure (may have run) or answer
	possiblyRun       *model.Answer    // latest failure of an attempt that may have run
	tried             []*target        // targets of all attempts
	lostTargets       []model.Instance // targets that were lost while this call ran there
	moves             int
	tokenWaitStart    time.Time
	tokenWait         time.Duration // total wait for tokens
	claimWaitStart    time.Time     // when the latest claim was requested
	claimWait         time.Duration // total wait for claims
	demandCounted     bool          // this call has been counted in the customer's demand
	claimGranted      bool          // a claim was granted, so no earlier request with this id has run
	idGenerated       bool          // the node generated the request's id
	attemptInProgress bool
	answered          bool
}

// requestMachine compiles the chart once. All calls share it, since it holds no
// state of a call.
var requestMachine = sync.OnceValue(newRequestMachine)

func newRequestMachine() *chart.Machine[*callState] {
	return chart.MustCompile(charts.MustRead("request"), chart.Binding[*callState]{
		States: []string{"received", "choosing_target", "awaiting_token", "awaiting_claim", "sending", "canceling", "done"},
		Events: []string{
			"accepted", "rejected", "target_chosen", "no_target", "token_granted", "token_denied",
			"claim_granted", "claim_denied", "claim_replayed", "answered", "not_run", "may_have_run",
			"canceled", "expired",
		},
		Guards: map[string]func(*callState) bool{
			"no_token_wait": (*callState).noTokenWait,
			"token_valid":   (*callState).tokenValid,
			"needs_claim":   func(r *callState) bool { return !r.call.Idempotent },
			"may_move":      (*callState).mayMove,
			"may_retry":     (*callState).mayRetry,
		},
		Actions: map[string]func(*callState){
			"take_token":           (*callState).takeToken,
			"return_token":         (*callState).returnToken,
			"queue_for_token":      (*callState).queueForToken,
			"leave_token_queue":    (*callState).leaveTokenQueue,
			"request_claim":        (*callState).requestClaim,
			"complete_claim":       (*callState).completeClaim,
			"release_claim":        (*callState).releaseClaim,
			"send_attempt":         (*callState).sendAttempt,
			"increment_attempt":    func(r *callState) { r.call.Attempt++ },
			"count_move":           (*callState).countMove,
			"spend_retry":          (*callState).spendRetry,
			"cancel_attempt":       (*callState).cancelAttempt,
			"answer_caller":        (*callState).answerCaller,
			"mark_caller_answered": (*callState).markCallerAnswered,
		},
	})
}

// step applies an event, and then leaves the state choosing_target if it was
// entered.
func (c *Core) step(r *callState, e chart.EventID) {
	r.state = c.machine.Step(r, r.state, e)
	for r.state == requestStateChoosingTarget {
		r.state = c.machine.Step(r, r.state, c.chooseTarget(r))
	}
	if c.machine.Final(r.state) {
		c.remove(r)
	}
}

func (c *Core) remove(r *callState) {
	r.assert(r.answered, "answered_once", "it ended without an answer")
	delete(c.calls, r.id)
	delete(c.awaitingClaim, r.id)
	if r.parent != nil {
		r.parent.removeChild(r)
	}
}

// chooseTarget chooses the target of the next attempt and returns the event
// for the result.
func (c *Core) chooseTarget(r *callState) chart.EventID {
	if refusal := c.checkBeforeAttempt(r); refusal != nil {
		r.answer = refusal
		return requestEventRejected
	}
	t := c.targets.choose(r.now, r.call.Service, r.tried)
	if t == nil {
		r.answer = model.NewRefusal(r.id, model.ReasonNoTarget, "no target of the service is in service")
		return requestEventNoTarget
	}
	r.target = t
	return requestEventTargetChosen
}

// sendAttempt sends the call to its target's node. The attempt gets a part of
// the retry budget; the answer tells how much of it was used.
func (r *callState) sendAttempt() {
	c := r.core
	r.assert(r.call.Idempotent || r.possiblyRun == nil, "at_most_once", "it is not idempotent and may have run")
	r.assert(!r.attemptInProgress, "one_attempt", "an attempt is in progress")
	r.assert(r.retryBudget >= 0, "retry_budget", "the budget is negative")
	attempt := *r.call
	r.attemptBudget = attemptRetryBudget(r.retryBudget)
	attempt.RetryBudget = r.attemptBudget
	attempt.LostTargets = r.lostTargets
	r.attemptInProgress = true
	r.tried = append(r.tried, r.target)
	r.target.ownInFlight++
	d := Decision{CallID: r.id, Call: &attempt, Target: r.target.member, Cause: r.cause,
		TokenWait: r.tokenWait, ClaimWait: r.claimWait}
	if r.answer != nil {
		d.PreviousReason = r.answer.Reason
	}
	r.call.Attempt++
	c.decisions = append(c.decisions, d)
}

// recordOutcome accounts for the outcome of an attempt: load of the target,
// retry budget, lost targets.
func (r *callState) recordOutcome(a *model.Answer) {
	c := r.core
	r.attemptInProgress = false
	c.targets.observe(r.now, r.target, a)
	r.markTokenUsed(a)
	used := min(max(a.RetriesUsed, 0), r.attemptBudget)
	if retryCountUnknown(a) {
		used = r.attemptBudget
	}
	r.retryBudget -= used
	if a.Run == model.RunUnknown {
		r.possiblyRun = a
		if a.TargetLost {
			r.lostTargets = append(r.lostTargets, r.target.member.Instance)
		}
	}
}

func (r *callState) cancelAttempt() {
	r.core.decisions = append(r.core.decisions, Decision{CallID: r.id, Cancel: true})
}

// answerCaller answers with the latest refusal or failure. "Not run" is
// answered only if no earlier attempt may have run; otherwise that attempt's
// failure is the answer.
func (r *callState) answerCaller() {
	a := r.answer
	if r.possiblyRun != nil && a.Run == model.NotRun {
		a = r.possiblyRun
	}
	if a.Run == model.NotRun && a.FromNode() && r.mayHaveBeenSentBefore() {
		a.Run = model.RunUnknown
	}
	r.core.addRetryAfter(r, a)
	a.RetriesUsed = r.initialRetryBudget - r.retryBudget
	r.markAnswered()
	r.core.decisions = append(r.core.decisions, Decision{CallID: r.id, Answer: a})
}

// mayHaveBeenSentBefore reports whether the request may have run when the
// client sent the same id earlier, and no claim has ruled this out.
func (r *callState) mayHaveBeenSentBefore() bool {
	return r.call != nil && r.call.ClientRetry && !r.call.Idempotent && !r.idGenerated && !r.claimGranted
}

// markCallerAnswered records that the answer of the attempt goes to the caller
// without a decision of the core.
func (r *callState) markCallerAnswered() { r.markAnswered() }

func (r *callState) markAnswered() {
	r.assert(!r.answered, "answered_once", "it is answered twice")
	r.answered = true
}

// assert checks an invariant of the call. It allocates memory only on a breach.
func (r *callState) assert(ok bool, name, detail string) {
	if !ok {
		r.core.check.Assert(false, name, "call %x: %s", r.id, detail)
	}
}
