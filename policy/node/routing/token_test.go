package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/record"
	"github.com/oleanderworks/oleanderworks/policy/node/tokenlease"
)

// Guards against requests that run without a token, and against an unfair order
// among the queued requests of a customer.
func TestQueuedRequestsGetTokensInOrder(t *testing.T) {
	n := newNode(t)
	retry := n.begin("/a", func(r *model.Request) { r.ClientAttempt = 1 })
	assert.DeepEqual(t, n.quorumRequests, []QuorumRequest{TokenRequest{Customer: "herders", Want: 1}})
	first := n.begin("/b", nil)
	second := n.begin("/c", nil)
	assert.Equal(t, len(n.decisions)+len(n.quorumRequests), 0)

	n.grant(1)
	n.wantAttempt(first)
	n.grant(1)
	n.wantAttempt(second)
	n.grant(1)
	d := n.wantAttempt(retry)
	assert.Assert(t, d.Call.Token != nil && d.Call.ClientRetry)
}

// Guards against token requests that ignore recent demand: each call would have to
// wait for the grantor.
func TestTokensAreRequestedForRecentDemand(t *testing.T) {
	n := newNode(t)
	for range 10 {
		n.begin("/a", nil)
	}
	n.grant(1)
	assert.DeepEqual(t, n.quorumRequests, []QuorumRequest{TokenRequest{Customer: "herders", Want: 9}})
	n.grant(20)
	assert.Equal(t, len(n.decisions), 9)
	n.tick(50 * time.Millisecond)
	id := n.begin("/a", nil)
	n.wantAttempt(id)
}

// Guards against the use of expired tokens.
func TestTokensExpire(t *testing.T) {
	n := newNode(t)
	n.begin("/a", nil)
	n.grant(5)
	assert.Equal(t, len(n.decisions), 1)
	n.now = n.now.Add(time.Second)
	n.begin("/b", nil)
	assert.Equal(t, len(n.decisions), 0)
	assert.Equal(t, len(n.quorumRequests), 1)
}

// Guards against charging a customer's rate for requests that were not run, and
// against a returned token that is not used although requests wait for one.
func TestTokenOfRequestNotRunIsReturned(t *testing.T) {
	n := newNode(t)
	id := n.begin("/a", nil)
	n.grant(1)
	n.wantAttempt(id)
	waiting := n.begin("/b", nil)
	n.outcome(model.NewRefusal(id, model.ReasonQuarantined, ""))
	assert.Equal(t, len(n.decisions), 2)
	assert.Equal(t, n.decisions[0].Answer.Reason, model.ReasonQuarantined)
	assert.Equal(t, n.decisions[1].CallID, waiting)
	assert.Assert(t, n.decisions[1].Call != nil)
}

// Guards against requests that wait beyond their deadline, or for tokens that
// cannot come in time.
func TestQueuedRequestsAreRefusedAfterMaxWait(t *testing.T) {
	n := newNode(t)
	id := n.begin("/a", func(r *model.Request) { r.Timeout = 30 * time.Millisecond })
	n.tick(30 * time.Millisecond)
	n.wantAnswer(id, model.ReasonDeadline, model.NotRun)

	id = n.begin("/b", nil)
	n.OnTokens(n.now, tokenlease.Result{Customer: "herders", Reason: model.ReasonRateLimited, RetryAfter: time.Second})
	n.collect()
	assert.Equal(t, len(n.decisions), 0)
	n.tick(tokenlease.MaxTokenWait)
	a := n.wantAnswer(id, model.ReasonRateLimited, model.NotRun)
	assert.Assert(t, a.RetryAfter >= time.Second)

	n.now = n.now.Add(time.Second)
	id = n.begin("/c", nil)
	n.OnTokens(n.now, tokenlease.Result{Customer: "herders", Reason: model.ReasonRateUnavailable})
	n.tick(time.Second)
	assert.Equal(t, len(n.quorumRequests), 1, "tokens were not requested again")
	n.tick(tokenlease.MaxGrantorWait)
	n.wantAnswer(id, model.ReasonRateUnavailable, model.NotRun)
}

// Guards against queueing calls far above rate and burst instead of refusing them
// at once, and against a queue limit that a customer can exceed while it keeps to
// its rate.
func TestCallsBeyondRateAndBurstAreRefusedAtOnce(t *testing.T) {
	n := newNode(t)
	limit := 100 + int(100*tokenlease.MaxTokenWait.Seconds()) + 1
	for range limit {
		n.begin("/a", nil)
		assert.Equal(t, len(n.decisions), 0)
	}
	id := n.begin("/a", nil)
	a := n.wantAnswer(id, model.ReasonRateLimited, model.NotRun)
	assert.Assert(t, a.RetryAfter >= tokenlease.MaxTokenWait)
}

// Guards against used and unused tokens that are not reported: other nodes would
// get too few tokens.
func TestUsedAndUnusedTokensAreReported(t *testing.T) {
	n := newNode(t)
	id := n.begin("/a", nil)
	n.grant(3)
	n.outcome(completedAnswer(id))
	n.tick(reportInterval)
	assert.Equal(t, n.quorumRequests[0].(TokenReport).Reports[0].Used, 1)
	n.tick(500 * time.Millisecond)
	assert.Equal(t, n.quorumRequests[0].(TokenReport).Reports[0].Returned, 2)
}

// Guards against using tokens that were granted before a pause of the process.
func TestPauseDropsBalances(t *testing.T) {
	n := newNode(t)
	n.begin("/a", nil)
	n.grant(5)
	n.OnPaused()
	n.begin("/b", nil)
	assert.Equal(t, len(n.decisions), 0)
}

// Guards against sending a queued request whose key was withdrawn.
func TestWithdrawnKeyIsRefusedWhileQueued(t *testing.T) {
	n := newNode(t)
	id := n.begin("/a", nil)
	s := testSnapshot("tally")
	s.Keys[model.HashKey(testKey)].Withdrawn = true
	n.OnSnapshot(s)
	n.grant(1)
	n.wantAnswer(id, model.ReasonKeyUnknown, model.NotRun)
	assert.Equal(t, n.balances.Available(n.now, "herders"), 1)
}

// Guards against accepting keys without contact, when they may have been
// withdrawn, and against open routes that need contact or a key.
func TestOnlyOpenRoutesWorkWithoutContact(t *testing.T) {
	n := newNode(t)
	n.OnContact(false)
	id := n.begin("/a", nil)
	n.wantAnswer(id, model.ReasonNoContact, model.NotRun)
	for _, key := range []string{"", "unknown", testKey} {
		id = n.begin("/open/a", func(r *model.Request) { r.Key, r.HasKey = key, key != "" })
		d := n.wantAttempt(id)
		assert.Equal(t, d.Call.Customer, model.Customer(""))
		assert.Assert(t, d.Call.Fingerprint != 0)
	}
}

// Guards against refusing HEAD where GET has a route, and against OPTIONS requests
// that need a key or are sent to a target that has no route for them.
func TestHeadUsesGetRouteAndOptionsIsAnswered(t *testing.T) {
	n := newNode(t)
	s := testSnapshot("tally")
	s.Services["tally"].Routes = []model.Route{
		{Prefix: "/", Method: "POST", Class: "filing"},
		{Prefix: "/open", Method: "GET", Class: "browse", Idempotent: true, Open: true},
		{Prefix: "/own", Method: "OPTIONS", Class: "browse", Idempotent: true, Open: true},
	}
	n.OnSnapshot(s)
	method := func(m string) func(*model.Request) {
		return func(r *model.Request) { r.Method, r.HasKey = m, false }
	}
	assert.Equal(t, n.wantAttempt(n.begin("/open/a", method("HEAD"))).Call.Method, "HEAD")
	a := n.wantAnswer(n.begin("/open/a", method("OPTIONS")), model.ReasonNone, model.NotRun)
	assert.Equal(t, a.Header.Get("Allow"), "GET, HEAD, OPTIONS, POST")
	n.wantAttempt(n.begin("/own", method("OPTIONS")))
	n.wantAnswer(n.begin("/a", method("HEAD")), model.ReasonNoRoute, model.NotRun)
}

// Guards against using a token again that a target's node has refused as stale:
// all others would refuse it, too.
func TestStaleTokenIsNotUsedAgain(t *testing.T) {
	n := newNode(t)
	id := n.begin("/a", nil)
	n.grant(1)
	n.wantAttempt(id)
	n.outcome(model.NewRefusal(id, model.ReasonStaleToken, ""))
	assert.Equal(t, len(n.decisions), 0)
	n.grant(1)
	assert.Equal(t, n.wantAttempt(id).Cause, Moved)
}

// Guards against an attempt with a token that expired while the call waited for
// its claim.
func TestTokenThatExpiredDuringClaimIsReplaced(t *testing.T) {
	n := newNode(t)
	id := n.begin("/mark", nil)
	n.grant(1)
	n.now = n.now.Add(time.Second)
	n.claim(id, record.Granted, nil)
	assert.DeepEqual(t, n.quorumRequests, []QuorumRequest{TokenRequest{Customer: "herders", Want: 1}})
	n.grant(1)
	assert.Equal(t, n.quorumRequests[0].(ClaimRequest).Attempt, 1)
	n.claim(id, record.Granted, nil)
	n.wantAttempt(id)
}
