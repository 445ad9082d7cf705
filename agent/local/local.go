// Package local serves calls at the target's node: it asks the admission duty
// and hands admitted calls to the target.
package local

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/oleanderworks/oleanderworks/agent/admission"
	"github.com/oleanderworks/oleanderworks/agent/routing"
	"github.com/oleanderworks/oleanderworks/core/budget"
	"github.com/oleanderworks/oleanderworks/core/ring"
	"github.com/oleanderworks/oleanderworks/model"
	policy "github.com/oleanderworks/oleanderworks/policy/admission"
	decisions "github.com/oleanderworks/oleanderworks/policy/routing"
	"github.com/oleanderworks/oleanderworks/transport/target"
)

// Server serves the calls of one target.
type Server struct {
	Admission *ring.Ring[admission.Message]
	Target    *target.Client
	Parents   *ring.Ring[routing.Message] // takes the calls that may make sub-calls
	// Held bounds the bytes of calls and answers; nil for no bound.
	Held *budget.Bytes
}

// Serve runs a call at the target or refuses it. It ends early when ctx ends,
// which means that the caller has gone.
func (s *Server) Serve(ctx context.Context, call *model.Call) *model.Answer {
	began := time.Now()
	if s.Held != nil && !s.Held.HasRoom() {
		return model.Refusal(call.ID, model.ReasonNodeBusy, budget.ErrExceeded.Error())
	}
	running, cancel := context.WithCancel(ctx)
	defer cancel()
	arrive := &admission.Arrive{
		Call:          call,
		Reply:         ring.NewReply[admission.Verdict](),
		CancelRunning: cancel,
	}
	if !s.Admission.Offer(arrive) {
		return model.Refusal(call.ID, model.ReasonNodeBusy, "the admission ring is full")
	}
	stop := context.AfterFunc(ctx, func() { s.Admission.Offer(&admission.Cancel{CallID: call.ID}) })
	defer stop()

	// The admission duty always replies: a cancelled call is refused there,
	// so that waiting without a limit loses no slot.
	verdict, err := arrive.Reply.Wait(context.Background())
	if err != nil {
		return model.Failure(call.ID, model.ReasonNodeBusy, err.Error())
	}
	if verdict.Answer != nil {
		return verdict.Answer
	}
	answer, waited := s.run(running, call, verdict, began)
	s.finish(answer, waited)
	return answer
}

// run hands an admitted call to the target, unless the process was paused
// since the decision: the fences that the call passed may not hold any more.
// While it runs, its sub-calls are accepted under an opaque random id; waited
// is the time for which the call waited for them.
func (s *Server) run(ctx context.Context, call *model.Call, v admission.Verdict, began time.Time) (a *model.Answer, waited time.Duration) {
	contextID := rand.Text()
	if err := s.Parents.Put(ctx, &routing.RegisterParent{ContextID: contextID, Call: call}); err != nil {
		return model.Refusal(call.ID, model.ReasonCanceled, err.Error()), 0
	}
	handed := time.Now()
	if handed.Before(v.Until) {
		a = s.Target.Do(ctx, call, contextID)
	} else {
		a = model.Refusal(call.ID, model.ReasonNodeBusy, "the permission to run has expired before the handoff")
	}
	end := &routing.EndParent{
		ContextID: contextID,
		Canceled:  ctx.Err() != nil,
		NodeTime:  handed.Sub(began),
		Reply:     ring.NewReply[decisions.Ended](),
	}
	if err := s.Parents.Put(context.Background(), end); err != nil {
		return a, 0
	}
	if ended, err := end.Reply.Wait(context.Background()); err == nil {
		a.RetriesUsed, waited = ended.RetriesUsed, ended.Waited
	}
	return a, waited
}

// finish frees the slot. It waits for room in the ring, since a lost message
// would hold the slot for ever.
func (s *Server) finish(answer *model.Answer, waited time.Duration) {
	outcome := policy.OutcomeOf(answer, target.TakeStart(answer))
	outcome.Waited = waited
	done := &admission.Finish{Answer: answer, Outcome: outcome, Reply: ring.NewReply[model.Load]()}
	if err := s.Admission.Put(context.Background(), done); err != nil {
		return
	}
	if load, err := done.Reply.Wait(context.Background()); err == nil {
		answer.Load = load
	}
}
