package routing

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/record"
	"github.com/oleanderworks/oleanderworks/policy/tokenlease"
)

// callBook is what a test knows of one call.
type callRecord struct {
	nonIdempotent bool // not idempotent
	inProgress    bool // an attempt is in progress
	attempts      int
	possibleRuns  int // attempts that may have run
	answers       int
	claims        int // asked for and not yet decided
	completed     bool
}

// books drives a core with random events, late and repeated ones among them.
type randomDriver struct {
	*node
	rt            *rapid.T
	calls         map[model.CallID]*callRecord
	ids           []model.CallID
	tokenRequests int // requests for tokens without answer
	tokensGranted int
	runs          int // attempts that were not refused as not run
}

// note takes what the core decided.
func (b *randomDriver) checkDecisions() {
	for _, d := range b.decisions {
		book := b.calls[d.CallID]
		switch {
		case d.Answer != nil:
			book.answers++
			if d.Answer.Run == model.NotRun && book.possibleRuns > 0 {
				b.rt.Fatalf("call %d is answered not-run after %d attempts that may have run", d.CallID, book.possibleRuns)
			}
		case d.Call != nil:
			if book.inProgress || (book.nonIdempotent && book.possibleRuns > 0) {
				b.rt.Fatalf("call %d is sent again", d.CallID)
			}
			if d.Call.RetryBudget < 0 || d.Call.Token == nil || !b.now.Before(d.Call.Token.Expiry) {
				b.rt.Fatalf("attempt with budget %d and token %v", d.Call.RetryBudget, d.Call.Token)
			}
			book.inProgress = true
			book.attempts++
			b.runs++
		}
	}
	for _, o := range b.orders {
		switch o := o.(type) {
		case TokenRequest:
			b.tokenRequests++
		case ClaimRequest:
			b.calls[o.CallID].claims++
		}
	}
	b.decisions, b.orders = nil, nil
	if b.runs > b.tokensGranted {
		b.rt.Fatalf("%d runs with %d tokens", b.runs, b.tokensGranted)
	}
}

func (b *randomDriver) pickCall() model.CallID {
	if len(b.ids) == 0 {
		return 1
	}
	return rapid.SampledFrom(b.ids).Draw(b.rt, "call")
}

func (b *randomDriver) beginRandom() {
	nonIdempotent := rapid.Bool().Draw(b.rt, "once")
	path := map[bool]string{true: "/mark", false: "/a"}[nonIdempotent]
	id := b.nextID + 1
	b.calls[id] = &callRecord{nonIdempotent: nonIdempotent}
	b.ids = append(b.ids, id)
	b.begin(path, func(r *model.Request) {
		r.ClientAttempt = rapid.IntRange(0, 1).Draw(b.rt, "attempt")
		r.Timeout = time.Duration(rapid.IntRange(1, 500).Draw(b.rt, "timeout")) * time.Millisecond
	})
}

// outcomeOne reports an outcome, now and then of a call without an attempt.
func (b *randomDriver) randomOutcome() {
	id := b.pickCall()
	book := b.calls[id]
	if book == nil {
		return
	}
	a := rapid.SampledFrom([]*model.Answer{
		success(id), targetLost(id),
		model.NewRefusal(id, model.ReasonShed, ""), model.NewRefusal(id, model.ReasonStaleToken, ""),
		model.NewRefusal(id, model.ReasonQuarantined, ""), model.NewFailure(id, model.ReasonAnswerCut, ""),
		{ID: id, Run: model.RunUnknown, Reason: model.ReasonTargetFailed, RetriesUsed: 1},
	}).Draw(b.rt, "outcome")
	if book.inProgress {
		book.inProgress = false
		switch a.Run {
		case model.NotRun:
			b.runs--
		case model.Completed:
			book.completed = true
			book.answers++
		default:
			book.possibleRuns++
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
	book := b.calls[id]
	if book == nil || book.claims == 0 {
		return
	}
	book.claims--
	o := rapid.SampledFrom([]record.Outcome{record.Granted, record.Granted, record.InProgress,
		record.Replay, record.TooOld, record.Unavailable}).Draw(b.rt, "claim")
	b.OnClaim(b.now, id, record.Result{Outcome: o, Claim: new(model.Claim), Answer: success(id)})
}

func (b *randomDriver) randomEvent() {
	switch rapid.IntRange(0, 9).Draw(b.rt, "event") {
	case 0, 1:
		b.beginRandom()
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
	b.orders = append(b.orders, b.QuorumRequests()...)
	b.checkDecisions()
}

// Guards, in random orders of events with late, repeated and crossed ones,
// against a request that is answered twice or never, a non-idempotent request
// that may run twice, a run without a live token, and "not run" said wrongly.
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
		for id, book := range b.calls {
			if book.answers != 1 {
				rt.Fatalf("call %d has %d answers", id, book.answers)
			}
		}
		if b.Len() != 0 {
			rt.Fatalf("%d calls left over", b.Len())
		}
	})
}
