package routing

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/record"
	"github.com/oleanderworks/oleanderworks/policy/node/tokenlease"
)

// callRecord tracks what has happened to one call.
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

// checkDecisions fails the test on a wrong answer "not run", on an attempt while
// another one is in progress or after a non-idempotent call may have run, on an
// attempt without a valid token or with a negative retry budget, and when more
// attempts run than tokens were granted.
func (rd *randomDriver) checkDecisions() {
	for _, d := range rd.decisions {
		call := rd.calls[d.CallID]
		switch {
		case d.Answer != nil:
			call.answers++
			if d.Answer.Run == model.NotRun && call.possibleRuns > 0 {
				rd.rt.Fatalf("call %d is answered \"not run\" after %d attempts that may have run", d.CallID, call.possibleRuns)
			}
		case d.Call != nil:
			if call.inProgress || (call.nonIdempotent && call.possibleRuns > 0) {
				rd.rt.Fatalf("call %d is sent again although it may have run or is in progress", d.CallID)
			}
			if d.Call.RetryBudget < 0 || d.Call.Token == nil || !rd.now.Before(d.Call.Token.Expiry) {
				rd.rt.Fatalf("attempt has a negative retry budget (%d) or no valid token (%v)", d.Call.RetryBudget, d.Call.Token)
			}
			call.inProgress = true
			call.attempts++
			rd.runs++
		}
	}
	for _, o := range rd.quorumRequests {
		switch o := o.(type) {
		case TokenRequest:
			rd.tokenRequests++
		case ClaimRequest:
			rd.calls[o.CallID].claims++
		}
	}
	rd.decisions, rd.quorumRequests = nil, nil
	if rd.runs > rd.tokensGranted {
		rd.rt.Fatalf("%d attempts ran with %d tokens", rd.runs, rd.tokensGranted)
	}
}

func (rd *randomDriver) pickCall() model.CallID {
	if len(rd.ids) == 0 {
		return 1
	}
	return rapid.SampledFrom(rd.ids).Draw(rd.rt, "call")
}

func (rd *randomDriver) beginCall() {
	nonIdempotent := rapid.Bool().Draw(rd.rt, "non-idempotent")
	path := map[bool]string{true: "/mark", false: "/a"}[nonIdempotent]
	id := rd.nextID + 1
	rd.calls[id] = &callRecord{nonIdempotent: nonIdempotent}
	rd.ids = append(rd.ids, id)
	rd.begin(path, func(r *model.Request) {
		r.ClientAttempt = rapid.IntRange(0, 1).Draw(rd.rt, "attempt")
		r.Timeout = time.Duration(rapid.IntRange(1, 500).Draw(rd.rt, "timeout")) * time.Millisecond
	})
}

// randomOutcome sends an outcome for a random call, which may have no attempt in
// progress.
func (rd *randomDriver) randomOutcome() {
	id := rd.pickCall()
	call := rd.calls[id]
	if call == nil {
		return
	}
	a := rapid.SampledFrom([]*model.Answer{
		completedAnswer(id), targetLostAnswer(id),
		model.NewRefusal(id, model.ReasonShed, ""), model.NewRefusal(id, model.ReasonStaleToken, ""),
		model.NewRefusal(id, model.ReasonQuarantined, ""), model.NewFailure(id, model.ReasonAnswerCut, ""),
		{ID: id, Run: model.RunUnknown, Reason: model.ReasonTargetFailed, RetriesUsed: 1},
	}).Draw(rd.rt, "outcome")
	if call.inProgress {
		call.inProgress = false
		switch a.Run {
		case model.NotRun:
			rd.runs--
		case model.Completed:
			call.completed = true
			call.answers++
		default:
			call.possibleRuns++
		}
	}
	rd.OnOutcome(rd.now, a)
}

func (rd *randomDriver) randomTokens() {
	if rd.tokenRequests == 0 {
		return
	}
	rd.tokenRequests--
	result := tokenlease.Result{Customer: "herders"}
	switch rapid.IntRange(0, 3).Draw(rd.rt, "tokens") {
	case 0:
		result.Reason = model.ReasonRateLimited
	case 1:
		result.Reason = model.ReasonRateUnavailable
	default:
		result.Grant = tokenlease.Grant{ID: rd.grants, Count: rapid.IntRange(1, 5).Draw(rd.rt, "count"), Expiry: rd.now.Add(200 * time.Millisecond)}
		rd.grants++
		rd.tokensGranted += result.Grant.Count
	}
	rd.OnTokens(rd.now, result)
}

func (rd *randomDriver) randomClaim() {
	id := rd.pickCall()
	call := rd.calls[id]
	if call == nil || call.claims == 0 {
		return
	}
	call.claims--
	o := rapid.SampledFrom([]record.Outcome{record.Granted, record.Granted, record.InProgress,
		record.Replay, record.TooOld, record.Unavailable}).Draw(rd.rt, "claim")
	rd.OnClaim(rd.now, id, record.Result{Outcome: o, Claim: new(model.Claim), Answer: completedAnswer(id)})
}

func (rd *randomDriver) randomEvent() {
	switch rapid.IntRange(0, 9).Draw(rd.rt, "event") {
	case 0, 1:
		rd.beginCall()
	case 2, 3, 4:
		rd.randomOutcome()
	case 5:
		rd.randomTokens()
	case 6, 7:
		rd.randomClaim()
	case 8:
		rd.OnCanceled(rd.now, rd.pickCall())
	case 9:
		rd.now = rd.now.Add(time.Duration(rapid.IntRange(0, 100).Draw(rd.rt, "ms")) * time.Millisecond)
		rd.Tick(rd.now)
	}
	rd.decisions = append(rd.decisions, rd.Decisions()...)
	rd.quorumRequests = append(rd.quorumRequests, rd.QuorumRequests()...)
	rd.checkDecisions()
}

// Guards against requests that are answered twice or never, non-idempotent
// requests that may run twice, attempts without a valid token, and a wrong answer
// "not run", for events in any order, including late and repeated ones.
func TestRandomEventsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rd := &randomDriver{node: newNode(t), rt: rt, calls: make(map[model.CallID]*callRecord)}
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			rd.randomEvent()
		}
		for _, id := range rd.ids {
			if rd.calls[id].inProgress {
				rd.calls[id].inProgress = false
				rd.calls[id].answers++
				rd.OnOutcome(rd.now, completedAnswer(id))
			}
		}
		rd.now = rd.now.Add(time.Minute)
		rd.Tick(rd.now)
		rd.decisions = append(rd.decisions, rd.Decisions()...)
		rd.checkDecisions()
		for id, call := range rd.calls {
			if call.answers != 1 {
				rt.Fatalf("call %d has %d answers", id, call.answers)
			}
		}
		if rd.Len() != 0 {
			rt.Fatalf("%d calls are still in progress", rd.Len())
		}
	})
}
