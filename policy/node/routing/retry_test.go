package routing

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/record"
)

func (n *node) start(path string) Decision {
	n.t.Helper()
	id := n.begin(path, nil)
	n.grantAll()
	return n.wantAttempt(id)
}

func targetLostAnswer(id model.CallID) *model.Answer {
	a := model.NewFailure(id, model.ReasonTargetFailed, "connection reset")
	a.TargetLost = true
	return a
}

// Guards against more retries than the budget, and against a retry of a request
// that may have crashed two targets.
func TestIdempotentRequestIsRetriedWithinBudget(t *testing.T) {
	n := newNode(t)
	id := n.start("/a").CallID
	for range 2 {
		n.outcome(model.NewFailure(id, model.ReasonTargetFailed, ""))
		n.grantAll()
		assert.Equal(t, n.wantAttempt(id).Cause, Retried)
	}
	n.outcome(model.NewFailure(id, model.ReasonTargetFailed, ""))
	a := n.wantAnswer(id, model.ReasonTargetFailed, model.RunUnknown)
	assert.Equal(t, a.RetriesUsed, 2)

	id = n.start("/b").CallID
	n.outcome(targetLostAnswer(id))
	n.grantAll()
	assert.Equal(t, len(n.wantAttempt(id).Call.LostTargets), 1)
	n.outcome(targetLostAnswer(id))
	n.wantAnswer(id, model.ReasonTargetFailed, model.RunUnknown)
}

// Guards against running a non-idempotent request twice.
func TestNonIdempotentRequestIsNotRetried(t *testing.T) {
	n := newNode(t)
	id := n.begin("/mark", nil)
	n.grant(1)
	assert.Equal(t, n.quorumRequests[0].(ClaimRequest).Attempt, 0)
	n.claim(id, record.Granted, nil)
	n.wantAttempt(id)
	n.outcome(model.NewFailure(id, model.ReasonTargetFailed, ""))
	n.wantAnswer(id, model.ReasonTargetFailed, model.RunUnknown)
	assert.Equal(t, len(n.quorumRequests), 0, "the claim is kept, since the request may have run")
}

// Guards against a claim that is not replaced or released after the request was
// not run, and against more than maxMoves moves.
func TestMovesAreBoundedAndReplaceTheClaim(t *testing.T) {
	n := newNode(t)
	id := n.begin("/mark", nil)
	n.grant(1)
	for attempt := range 4 {
		assert.Equal(t, n.quorumRequests[0].(ClaimRequest).Attempt, attempt)
		n.claim(id, record.Granted, nil)
		d := n.wantAttempt(id)
		assert.Equal(t, d.Call.RetryBudget, 1, "a move uses no budget; one retry is withheld in case the answer is lost")
		n.outcome(model.NewRefusal(id, model.ReasonShed, ""))
	}
	a := n.wantAnswer(id, model.ReasonShed, model.NotRun)
	assert.Assert(t, a.RetryAfter > 0)
	_, released := n.quorumRequests[0].(ClaimRelease)
	assert.Assert(t, released)
}

// Guards against answering "not run" after an attempt that may have run.
func TestNotRunIsAnsweredOnlyIfNoAttemptRan(t *testing.T) {
	n := newNode(t)
	id := n.start("/a").CallID
	n.outcome(model.NewFailure(id, model.ReasonAnswerCut, "lost"))
	n.grantAll()
	assert.Equal(t, n.wantAttempt(id).Call.RetryBudget, 0, "the budget of the lost attempt counts as used, and the withheld retry is used now")
	n.outcome(model.NewFailure(id, model.ReasonAnswerCut, "lost"))
	n.wantAnswer(id, model.ReasonAnswerCut, model.RunUnknown)

	id = n.start("/b").CallID
	n.outcome(model.NewFailure(id, model.ReasonTargetFailed, ""))
	n.grantAll()
	n.wantAttempt(id)
	n.outcome(model.NewRefusal(id, model.ReasonQuarantined, ""))
	n.wantAnswer(id, model.ReasonTargetFailed, model.RunUnknown)
}

// Guards against an answer "not run" although an earlier request with the same id
// may have run, against a stored answer that is not marked as replayed, and
// against charging a token for a call that was not run.
func TestClaimOutcomes(t *testing.T) {
	stored := &model.Answer{ID: 99, Run: model.Completed, Status: 201, Body: []byte("filed")}
	cases := []struct {
		outcome record.Outcome
		reason  model.Reason
		run     model.RunState
	}{
		{record.InProgress, model.ReasonInProgress, model.RunUnknown},
		{record.TooOld, model.ReasonIDTooOld, model.RunUnknown},
		{record.Unavailable, model.ReasonClaimUnavailable, model.NotRun},
		{record.Replay, model.ReasonNone, model.Completed},
	}
	for _, tc := range cases {
		n := newNode(t)
		id := n.begin("/mark", nil)
		n.grant(1)
		n.claim(id, tc.outcome, stored)
		a := n.wantAnswer(id, tc.reason, tc.run)
		assert.Equal(t, a.ID, id)
		assert.Equal(t, a.Replayed, tc.outcome == record.Replay)
		assert.Equal(t, n.balances.Available(n.now, "herders"), 1, "the call was not run, so its token is returned")
	}
}

// Guards against answering "not run" for a request that may have run when the
// client sent the same id earlier.
func TestNotRunIsNotAnsweredForIDSentBefore(t *testing.T) {
	n := newNode(t)
	own := uuid.Must(uuid.NewV7())
	send := func() model.CallID {
		return n.begin("/mark", func(r *model.Request) { r.RequestID = own })
	}
	first := send()
	n.grant(2)
	n.claim(first, record.Unavailable, nil)
	n.wantAnswer(first, model.ReasonClaimUnavailable, model.RunUnknown)
	again := send()
	n.OnCanceled(n.now, again)
	n.collect()
	n.wantAnswer(again, model.ReasonCanceled, model.RunUnknown)
	third := send()
	n.claim(third, record.Granted, nil)
	n.outcome(model.NewRefusal(third, model.ReasonQuarantined, ""))
	n.wantAnswer(third, model.ReasonQuarantined, model.NotRun)
}

// Guards against a claim that is granted after its call has ended and is never
// released: a retry by the caller would be answered with in_progress.
func TestLateClaimIsReleased(t *testing.T) {
	n := newNode(t)
	id := n.begin("/mark", nil)
	n.grant(1)
	n.OnCanceled(n.now, id)
	n.collect()
	n.wantAnswer(id, model.ReasonCanceled, model.NotRun)
	n.claim(id, record.Granted, nil)
	_, released := n.quorumRequests[0].(ClaimRelease)
	assert.Assert(t, released)
}

// Guards against an unbounded retry storm by clients, and against a client whose
// retries are refused forever.
func TestClientRetriesUseRetryTokens(t *testing.T) {
	n := newNode(t)
	accepted := 0
	again := uuid.Must(uuid.NewV7())
	for range 200 {
		n.begin("/a", func(r *model.Request) { r.RequestID = again })
		if n.account("herders").tokenQueue.len() > accepted {
			accepted++
		}
	}
	// The first attempt, and one retry for each initial retry token.
	assert.Equal(t, accepted, 1+initialRetryTokens)
	n.now = n.now.Add(clientRetryInterval)
	n.begin("/a", func(r *model.Request) { r.ClientAttempt = 3 })
	assert.Equal(t, n.account("herders").tokenQueue.len(), accepted+1)
}

// Guards against node retries that exceed a tenth of a customer's first attempts
// by more than the initial retry tokens.
func TestNodeRetriesAreATenthOfFirstAttempts(t *testing.T) {
	n := newNode(t)
	retries := 0
	for range 1000 {
		id := n.start("/a").CallID
		n.outcome(model.NewFailure(id, model.ReasonTargetFailed, ""))
		n.grantAll()
		if n.decisions[0].Call != nil {
			retries++
			n.outcome(completedAnswer(id))
		}
		n.now = n.now.Add(time.Millisecond)
	}
	assert.Assert(t, retries <= 1000/10+initialRetryTokens, "%d retries", retries)
	assert.Assert(t, retries >= 1000/10, "%d retries", retries)
}

// Guards against a late or repeated outcome that changes a call to which it does
// not belong, and against losing the outcome of a canceled call.
func TestOutcomesOfOtherCallsAreIgnored(t *testing.T) {
	n := newNode(t)
	a := n.start("/a").CallID
	b := n.start("/b").CallID
	n.outcome(completedAnswer(b))
	n.outcome(completedAnswer(b))
	assert.Assert(t, !n.Has(b) && n.Has(a))
	n.outcome(completedAnswer(77))
	assert.Assert(t, n.Has(a))
	n.outcome(model.NewFailure(a, model.ReasonTargetFailed, ""))
	n.outcome(completedAnswer(b))
	assert.Equal(t, len(n.decisions), 0)

	c := n.begin("/mark", nil)
	n.grant(2) // for the retry of a and for c
	n.claim(c, record.Granted, nil)
	n.OnCanceled(n.now, c)
	n.collect()
	assert.Assert(t, n.decisions[0].Cancel)
	n.outcome(completedAnswer(c))
	_, completed := n.quorumRequests[0].(ClaimCompletion)
	assert.Assert(t, completed, "the answer was not stored for a retry by the caller")
	assert.Assert(t, !n.Has(c))
}
