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
	eventAdmitted chart.EventID = iota
	eventRejected
	eventTargetChosen
	eventNoTarget
	eventTokenGranted
	eventTokenDenied
	eventClaimGranted
	eventClaimDenied
	eventClaimReplayed
	eventAnswered
	eventNotRun
	eventFailed
	eventCanceled
	eventExpired
)

// statePlacing is the place of the state placing in the chart's order. The
// core leaves the state by an event of its own.
const statePlacing chart.StateID = 1

// call is one call at its entry node.
type call struct {
	core  *Core
	state chart.StateID
	id    model.CallID
	now   time.Time // time of the event that is being handled
	call  *model.Call

	parent *parent // nil for an outside call
	target *target // chosen for the next attempt, or in use
	cause  Cause   // of the next attempt
	budget int     // retries that this call may still cause
	handed int     // of these, what the attempt in progress may use
	given  int     // budget this call started with

	answer      *model.Answer    // newest refusal, failure or answer
	unknown     *model.Answer    // failure of an earlier attempt that may have run
	tried       []*target        // targets of all attempts
	lostOn      []model.Instance // targets lost while this call ran there
	moves       int
	parkedAt    time.Time
	waited      time.Duration // for tokens
	claimedAt   time.Time     // when the newest claim was asked for
	claimed     time.Duration // waiting for claims
	counted     bool          // in the customer's demand
	claimOK     bool          // a claim was granted: no earlier send has run
	ownID       bool          // the node made the request's id
	outstanding bool          // an attempt is in progress
	answered    bool
}

// requestMachine compiles the chart once. It holds no state of a call.
var requestMachine = sync.OnceValue(newMachine)

func newMachine() *chart.Machine[*call] {
	return chart.MustCompile(charts.MustRead("request"), chart.Binding[*call]{
		States: []string{"received", "placing", "awaiting_token", "awaiting_claim", "sending", "canceling", "done"},
		Events: []string{
			"admitted", "rejected", "target_chosen", "no_target", "token_granted", "token_denied",
			"claim_granted", "claim_denied", "claim_replayed", "answered", "not_run", "failed",
			"canceled", "expired",
		},
		Guards: map[string]func(*call) bool{
			"token_at_hand": (*call).tokenAtHand,
			"token_alive":   (*call).tokenAlive,
			"needs_claim":   func(r *call) bool { return !r.call.Idempotent },
			"may_move":      (*call).mayMove,
			"may_retry":     (*call).mayRetry,
		},
		Actions: map[string]func(*call){
			"take_token":     (*call).takeToken,
			"return_token":   (*call).returnToken,
			"park":           (*call).park,
			"unpark":         (*call).unpark,
			"request_claim":  (*call).requestClaim,
			"complete_claim": (*call).completeClaim,
			"release_claim":  (*call).releaseClaim,
			"send_attempt":   (*call).sendAttempt,
			"skip_attempt":   func(r *call) { r.call.Attempt++ },
			"count_move":     (*call).countMove,
			"spend_retry":    (*call).spendRetry,
			"cancel_attempt": (*call).cancelAttempt,
			"answer_caller":  (*call).answerCaller,
			"record_success": (*call).recordSuccess,
		},
	})
}

// step applies an event and then leaves the state placing, if it was entered.
func (c *Core) step(r *call, e chart.EventID) {
	r.state = c.machine.Step(r, r.state, e)
	for r.state == statePlacing {
		r.state = c.machine.Step(r, r.state, c.place(r))
	}
	if c.machine.Final(r.state) {
		c.remove(r)
	}
}

func (c *Core) remove(r *call) {
	r.assert(r.answered, "answered_once", "it ended without an answer")
	delete(c.calls, r.id)
	delete(c.claiming, r.id)
	if r.parent != nil {
		r.parent.leave(r)
	}
}

// place chooses the target of the next attempt.
func (c *Core) place(r *call) chart.EventID {
	if refusal := c.recheck(r); refusal != nil {
		r.answer = refusal
		return eventRejected
	}
	t := c.targets.choose(r.now, r.call.Service, r.tried)
	if t == nil {
		r.answer = model.NewRefusal(r.id, model.ReasonNoTarget, "no target of the service is in service")
		return eventNoTarget
	}
	r.target = t
	return eventTargetChosen
}

// sendAttempt hands retries to the target's node, which gives back what was
// not used with the answer.
func (r *call) sendAttempt() {
	c := r.core
	r.assert(r.call.Idempotent || r.unknown == nil, "at_most_once", "it is not idempotent and may have run")
	r.assert(!r.outstanding, "one_attempt", "an attempt is in progress")
	r.assert(r.budget >= 0, "retry_budget", "the budget is negative")
	attempt := *r.call
	r.handed = handDown(r.budget)
	attempt.RetryBudget = r.handed
	attempt.LostTargets = r.lostOn
	r.outstanding = true
	r.tried = append(r.tried, r.target)
	r.target.sent++
	d := Decision{CallID: r.id, Call: &attempt, Target: r.target.member, Cause: r.cause,
		TokenWait: r.waited, ClaimWait: r.claimed}
	if r.answer != nil {
		d.PreviousReason = r.answer.Reason
	}
	r.call.Attempt++
	c.out = append(c.out, d)
}

// settle closes the books of an attempt: load, retry budget, lost targets.
func (r *call) settle(a *model.Answer) {
	c := r.core
	r.outstanding = false
	c.targets.observe(r.now, r.target, a)
	r.settleToken(a)
	used := min(max(a.RetriesUsed, 0), r.handed)
	if lostAnswer(a) {
		used = r.handed
	}
	r.budget -= used
	if a.Run == model.RunUnknown {
		r.unknown = a
		if a.TargetLost {
			r.lostOn = append(r.lostOn, r.target.member.Instance)
		}
	}
}

func (r *call) cancelAttempt() {
	r.core.out = append(r.core.out, Decision{CallID: r.id, Cancel: true})
}

// answerCaller answers with the newest refusal or failure. "Not run" is true
// only if no earlier attempt may have run; otherwise that attempt's failure
// is the answer.
func (r *call) answerCaller() {
	a := r.answer
	if r.unknown != nil && a.Run == model.NotRun {
		a = r.unknown
	}
	if a.Run == model.NotRun && a.FromSystem() && r.sentBefore() {
		a.Run = model.RunUnknown
	}
	r.core.addRetryAfter(r, a)
	a.RetriesUsed = r.given - r.budget
	r.markAnswered()
	r.core.out = append(r.core.out, Decision{CallID: r.id, Answer: a})
}

// sentBefore reports whether the request may have run under an earlier send of
// the same id, of which no claim has told yet.
func (r *call) sentBefore() bool {
	return r.call != nil && r.call.ClientRetry && !r.call.Idempotent && !r.ownID && !r.claimOK
}

func (r *call) recordSuccess() { r.markAnswered() }

func (r *call) markAnswered() {
	r.assert(!r.answered, "answered_once", "it is answered twice")
	r.answered = true
}

// assert checks an invariant of the call. It allocates only on a breach.
func (r *call) assert(ok bool, name, detail string) {
	if !ok {
		r.core.check.Assert(false, name, "call %x: %s", r.id, detail)
	}
}
