package routing

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/record"
	"github.com/oleanderworks/oleanderworks/policy/tokenlease"
)

// callRecord is what the test knows of one call.
type callRecord struct {
	nonIdempotent bool
	inProgress    bool // an attempt is in progress
	attempts      int
	possibleRuns  int // attempts that may have run
	answers       int
	claims        int // claim requests without a result
	completed     bool
}

// randomDriver sends random events to a core, including late and repeated ones.
type randomDriver struct {
	*node
	rt            *rapid.T
	calls         map[model.CallID]*callRecord
	ids           []model.CallID
	tokenRequests int // token requests without a result
	tokensGranted int
	runs          int // attempts that ran, may have run or are in progress
}

// checkDecisions fails the test on a false answer "not run", on an attempt while
// another one is in progress or a non-idempotent call may have run, and on an
// attempt without a valid token.
func (b *randomDriver) checkDecisions() {
	for _, d := range b.decisions {
		call := b.calls[d.CallID]
		switch {
		case d.Answer != nil:
			call.answers++
			if d.Answer.Run == model.NotRun && call.possibleRuns > 0 {
				b.rt.Fatalf("call %d is answered \"not run\" after %d attempts that may have run", d.CallID, call.possibleRuns)
			}
		case d.Call != nil:
			if call.inProgress || (call.nonIdempotent && call.possibleRuns > 0) {
				b.rt.Fatalf("call %d is sent again although it may have run or is in progress", d.CallID)
			}
			if d.Call.RetryBudget < 0 || d.Call.Token == nil || !b.now.Before(d.Call.Token.Expiry) {
				b.rt.Fatalf("attempt has a negative retry budget (%d) or no valid token (%v)", d.Call.RetryBudget, d.Call.Token)
			}
			call.inProgress = true
			call.attempts++
			b.runs++
		}
	}
	for _, o := range b.quorumRequests {
		switch o := o.(type) {
		case TokenRequest:
			b.tokenRequests++
		case ClaimRequest:
			b.calls[o.CallID].claims++
		}
	}
	b.decisions, b.quorumRequests = nil, nil
	if b.runs > b.tokensGranted {
		b.rt.Fatalf("%d attempts ran with %d tokens", b.runs, b.tokensGranted)
	}
}

func (b *randomDriver) pickCall() model.CallID {
	if len(b.ids) == 0 {
		return 1
	}
	return rapid.SampledFrom(b.ids).Draw(b.rt, "call")
}

func (b *randomDriver) beginCall() {
	nonIdempotent := rapid.Bool().Draw(b.rt, "non-idempotent")
	path := map[bool]string{true: "/mark", false: "/a"}[nonIdempotent]
	id := b.nextID + 1
	b.calls[id] = &callRecord{nonIdempotent: nonIdempotent}
	b.ids = append(b.ids, id)
	b.begin(path, func(r *model.Request) {
		r.ClientAttempt = rapid.IntRange(0, 1).Draw(b.rt, "attempt")
		r.Timeout = time.Duration(rapid.IntRange(1, 500).Draw(b.rt, "timeout")) * time.Millisecond
	})
}

// randomOutcome reports an outcome of a random call, which may have no attempt
// in progress.
func (b *randomDriver) randomOutcome() {
	id := b.pickCall()
	call := b.calls[id]
	if call == nil {
		return
	}
	a := rapid.SampledFrom([]*model.Answer{
		success(id), targetLost(id),
		model.NewRefusal(id, model.ReasonShed, ""), model.NewRefusal(id, model.ReasonStaleToken, ""),
		model.NewRefusal(id, model.ReasonQuarantined, ""), model.NewFailure(id, model.ReasonAnswerCut, ""),
		{ID: id, Run: model.RunUnknown, Reason: model.ReasonTargetFailed, RetriesUsed: 1},
	}).Draw(b.rt, "outcome")
	if call.inProgress {
		call.inProgress = false
		switch a.Run {
		case model.NotRun:
			b.runs--
		case model.Completed:
			call.completed = true
			call.answers++
		default:
			call.possibleRuns++
		}
	}
	b.OnOutcome(b.now, a)
}

func (b *randomDriver) randomTokens() {
	if b.tokenRequests == 0 {
		return
	}
	b.tokenRequests--
	result := tokenlease.Result{Customer: "herders"}
	switch rapid.IntRange(0, 3).Draw(b.rt, "tokens") {
	case 0:
		result.Reason = model.ReasonRateLimited
	case 1:
		result.Reason = model.ReasonRateUnavailable
	default:
		result.Grant = tokenlease.Grant{ID: b.grants, Count: rapid.IntRange(1, 5).Draw(b.rt, "count"), Expiry: b.now.Add(200 * time.Millisecond)}
		b.grants++
		b.tokensGranted += result.Grant.Count
	}
	b.OnTokens(b.now, result)
}

func (b *randomDriver) randomClaim() {
	id := b.pickCall()
	call := b.calls[id]
	if call == nil || call.claims == 0 {
		return
	}
	call.claims--
	o := rapid.SampledFrom([]record.Outcome{record.Granted, record.Granted, record.InProgress,
		record.Replay, record.TooOld, record.Unavailable}).Draw(b.rt, "claim")
	b.OnClaim(b.now, id, record.Result{Outcome: o, Claim: new(model.Claim), Answer: success(id)})
}

func (b *randomDriver) randomEvent() {
	switch rapid.IntRange(0, 9).Draw(b.rt, "event") {
	case 0, 1:
		b.beginCall()
	case 2, 3, 4:
		b.randomOutcome()
	case 5:
		b.randomTokens()
	case 6, 7:
		b.randomClaim()
	case 8:
		b.OnCanceled(b.now, b.pickCall())
	case 9:
		b.now = b.now.Add(time.Duration(rapid.IntRange(0, 100).Draw(b.rt, "ms")) * time.Millisecond)
		b.Tick(b.now)
	}
	b.decisions = append(b.decisions, b.Decisions()...)
	b.quorumRequests = append(b.quorumRequests, b.QuorumRequests()...)
	b.checkDecisions()
}

// Guards against a request that is answered twice or never, a non-idempotent
// request that may run twice, a run without a valid token, and a wrong answer
// "not run", with events in random order including late and repeated ones.
func TestRandomEventsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := &randomDriver{node: newNode(t), rt: rt, calls: make(map[model.CallID]*callRecord)}
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			b.randomEvent()
		}
		for _, id := range b.ids {
			if b.calls[id].inProgress {
				b.calls[id].inProgress = false
				b.calls[id].answers++
				b.OnOutcome(b.now, success(id))
			}
		}
		b.now = b.now.Add(time.Minute)
		b.Tick(b.now)
		b.decisions = append(b.decisions, b.Decisions()...)
		b.checkDecisions()
		for id, call := range b.calls {
			if call.answers != 1 {
				rt.Fatalf("call %d has %d answers", id, call.answers)
			}
		}
		if b.Len() != 0 {
			rt.Fatalf("%d calls are still in progress", b.Len())
		}
	})
}
