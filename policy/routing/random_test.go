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
type callBook struct {
	once      bool // not idempotent
	out       bool // an attempt is in progress
	attempts  int
	mayHave   int // attempts that may have run
	answers   int
	claims    int // asked for and not yet decided
	completed bool
}

// books drives a core with random events, late and repeated ones among them.
type books struct {
	*node
	rt      *rapid.T
	calls   map[model.CallID]*callBook
	ids     []model.CallID
	asked   int // requests for tokens without answer
	granted int
	runs    int // attempts that were not refused as not run
}

// note takes what the core decided.
func (b *books) note() {
	for _, d := range b.decisions {
		book := b.calls[d.CallID]
		switch {
		case d.Answer != nil:
			book.answers++
			if d.Answer.Run == model.NotRun && book.mayHave > 0 {
				b.rt.Fatalf("call %d is answered not-run after %d attempts that may have run", d.CallID, book.mayHave)
			}
		case d.Call != nil:
			if book.out || (book.once && book.mayHave > 0) {
				b.rt.Fatalf("call %d is sent again", d.CallID)
			}
			if d.Call.RetryBudget < 0 || d.Call.Token == nil || !b.now.Before(d.Call.Token.Expiry) {
				b.rt.Fatalf("attempt with budget %d and token %v", d.Call.RetryBudget, d.Call.Token)
			}
			book.out = true
			book.attempts++
			b.runs++
		}
	}
	for _, o := range b.orders {
		switch o := o.(type) {
		case TokenRequest:
			b.asked++
		case ClaimRequest:
			b.calls[o.CallID].claims++
		}
	}
	b.decisions, b.orders = nil, nil
	if b.runs > b.granted {
		b.rt.Fatalf("%d runs with %d tokens", b.runs, b.granted)
	}
}

func (b *books) pick() model.CallID {
	if len(b.ids) == 0 {
		return 1
	}
	return rapid.SampledFrom(b.ids).Draw(b.rt, "call")
}

func (b *books) beginOne() {
	once := rapid.Bool().Draw(b.rt, "once")
	path := map[bool]string{true: "/mark", false: "/a"}[once]
	id := b.nextID + 1
	b.calls[id] = &callBook{once: once}
	b.ids = append(b.ids, id)
	b.begin(path, func(r *model.Request) {
		r.ClientAttempt = rapid.IntRange(0, 1).Draw(b.rt, "attempt")
		r.Timeout = time.Duration(rapid.IntRange(1, 500).Draw(b.rt, "timeout")) * time.Millisecond
	})
}

// outcomeOne reports an outcome, now and then of a call without an attempt.
func (b *books) outcomeOne() {
	id := b.pick()
	book := b.calls[id]
	if book == nil {
		return
	}
	a := rapid.SampledFrom([]*model.Answer{
		success(id), lost(id),
		model.NewRefusal(id, model.ReasonShed, ""), model.NewRefusal(id, model.ReasonStaleToken, ""),
		model.NewRefusal(id, model.ReasonQuarantined, ""), model.NewFailure(id, model.ReasonAnswerCut, ""),
		{ID: id, Run: model.RunUnknown, Reason: model.ReasonTargetFailed, RetriesUsed: 1},
	}).Draw(b.rt, "outcome")
	if book.out {
		book.out = false
		switch a.Run {
		case model.NotRun:
			b.runs--
		case model.Completed:
			book.completed = true
			book.answers++
		default:
			book.mayHave++
		}
	}
	b.OnOutcome(b.now, a)
}

func (b *books) tokensOne() {
	if b.asked == 0 {
		return
	}
	b.asked--
	result := tokenlease.Result{Customer: "herders"}
	switch rapid.IntRange(0, 3).Draw(b.rt, "tokens") {
	case 0:
		result.Reason = model.ReasonRateLimited
	case 1:
		result.Reason = model.ReasonRateUnavailable
	default:
		result.Grant = tokenlease.Grant{ID: b.grants, Count: rapid.IntRange(1, 5).Draw(b.rt, "count"), Expiry: b.now.Add(200 * time.Millisecond)}
		b.grants++
		b.granted += result.Grant.Count
	}
	b.OnTokens(b.now, result)
}

func (b *books) claimOne() {
	id := b.pick()
	book := b.calls[id]
	if book == nil || book.claims == 0 {
		return
	}
	book.claims--
	o := rapid.SampledFrom([]record.Outcome{record.Granted, record.Granted, record.InProgress,
		record.Replay, record.TooOld, record.Unavailable}).Draw(b.rt, "claim")
	b.OnClaim(b.now, id, record.Result{Outcome: o, Claim: new(model.Claim), Answer: success(id)})
}

func (b *books) step() {
	switch rapid.IntRange(0, 9).Draw(b.rt, "event") {
	case 0, 1:
		b.beginOne()
	case 2, 3, 4:
		b.outcomeOne()
	case 5:
		b.tokensOne()
	case 6, 7:
		b.claimOne()
	case 8:
		b.OnCanceled(b.now, b.pick())
	case 9:
		b.now = b.now.Add(time.Duration(rapid.IntRange(0, 100).Draw(b.rt, "ms")) * time.Millisecond)
		b.Tick(b.now)
	}
	b.decisions = append(b.decisions, b.Decisions()...)
	b.orders = append(b.orders, b.QuorumRequests()...)
	b.note()
}

// Guards, in random orders of events with late, repeated and crossed ones,
// against a request that is answered twice or never, a non-idempotent request
// that may run twice, a run without a live token, and "not run" said wrongly.
func TestRandomEventsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := &books{node: newNode(t), rt: rt, calls: make(map[model.CallID]*callBook)}
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			b.step()
		}
		for _, id := range b.ids {
			if b.calls[id].out {
				b.calls[id].out = false
				b.calls[id].answers++
				b.OnOutcome(b.now, success(id))
			}
		}
		b.now = b.now.Add(time.Minute)
		b.Tick(b.now)
		b.decisions = append(b.decisions, b.Decisions()...)
		b.note()
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
