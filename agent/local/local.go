// Package local serves calls at the target's node: it asks the admission duty
// and hands admitted calls to the target.
package local

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/oleanderworks/oleanderworks/agent/admission"
	duty "github.com/oleanderworks/oleanderworks/agent/routing"
	"github.com/oleanderworks/oleanderworks/core/budget"
	"github.com/oleanderworks/oleanderworks/core/ring"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/routing"
	"github.com/oleanderworks/oleanderworks/transport/target"
)

// Server serves the calls of one target.
type Server struct {
	Admission *ring.Ring[admission.Message]
	Target    *target.Client
	Parents   *ring.Ring[duty.Message] // takes the calls that may make sub-calls
	// Held bounds the bytes of calls and answers; nil for no bound.
	Held *budget.Bytes
}

// Serve runs a call at the target or refuses it. It ends early when ctx ends,
// which means that the caller has gone.
func (s *Server) Serve(ctx context.Context, call *model.Call) *model.Answer {
	began := time.Now()
	if s.Held != nil && !s.Held.HasRoom() {
		return model.NewRefusal(call.ID, model.ReasonNodeBusy, budget.ErrExceeded.Error())
	}
	running, cancel := context.WithCancel(ctx)
	defer cancel()
	arrive := &admission.Arrive{
		Call:          call,
		Reply:         ring.NewReply[admission.Verdict](),
		CancelRunning: cancel,
	}
	if !s.Admission.Offer(arrive) {
		return model.NewRefusal(call.ID, model.ReasonNodeBusy, "the admission ring is full")
	}
	stop := context.AfterFunc(ctx, func() { s.Admission.Offer(&admission.Cancel{CallID: call.ID}) })
	defer stop()

	// The admission duty always replies: a cancelled call is refused there,
	// so that waiting without a limit loses no slot.
	verdict, err := arrive.Reply.Wait(context.Background())
	if err != nil {
		return model.NewFailure(call.ID, model.ReasonNodeBusy, err.Error())
	}
	if verdict.Answer != nil {
		return verdict.Answer
	}
	answer, end := s.run(running, call, verdict, began)
	answer.Load = verdict.Load
	s.finish(answer, end.SubCallWait)
	return answer
}

// run hands a call to the target. While it runs, its sub-calls are accepted
// under an opaque random id.
func (s *Server) run(ctx context.Context, call *model.Call, v admission.Verdict, began time.Time) (*model.Answer, routing.SubCallUsage) {
	contextID := rand.Text()
	if err := s.Parents.Put(ctx, &duty.RegisterParent{ContextID: contextID, Call: call}); err != nil {
		return model.NewRefusal(call.ID, model.ReasonCanceled, err.Error()), routing.SubCallUsage{}
	}
	handed := time.Now()
	answer := s.handOver(ctx, call, contextID, v)
	end := &duty.EndParent{
		ContextID: contextID,
		Canceled:  ctx.Err() != nil,
		NodeTime:  handed.Sub(began),
		Reply:     ring.NewReply[routing.SubCallUsage](),
	}
	if err := s.Parents.Put(context.Background(), end); err != nil {
		return answer, routing.SubCallUsage{}
	}
	ended, err := end.Reply.Wait(context.Background())
	if err == nil {
		answer.RetriesUsed = ended.RetriesUsed
	}
	return answer, ended
}

// handOver gives a call to the target, unless the process was paused since
// the decision: the fences that the call passed may not hold any more.
func (s *Server) handOver(ctx context.Context, call *model.Call, contextID string, v admission.Verdict) *model.Answer {
	if !time.Now().Before(v.Until) {
		return model.NewRefusal(call.ID, model.ReasonNodeBusy, "the permission to run has expired before the handoff")
	}
	return s.Target.Do(ctx, call, contextID, v.Silence)
}

// finish frees the slot. It waits for room in the ring, since a lost message
// would hold the slot for ever, but not for the duty: a handoff costs some
// 20 us of the caller's time. The message comes before the caller's next call.
func (s *Server) finish(answer *model.Answer, waited time.Duration) {
	_ = s.Admission.Put(context.Background(), &admission.Finish{
		Answer: answer,
		Start:  target.TakeStart(answer),
		Waited: waited,
	})
}
