// Package local serves calls at the target's node: it asks the admission duty
// and hands admitted calls to the target.
package local

import (
	"context"
	"crypto/rand"
	"sync/atomic"

	"github.com/oleanderworks/oleanderworks/agent/admission"
	"github.com/oleanderworks/oleanderworks/core/budget"
	"github.com/oleanderworks/oleanderworks/core/ring"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/transport/target"
)

// Server serves the calls of one target.
type Server struct {
	Admission *ring.Ring[admission.Message]
	Target    *target.Client
	// Held bounds the bytes of calls and answers; nil for no bound.
	Held *budget.Bytes
	// Leaving refuses new calls while the node shuts down.
	Leaving atomic.Bool
}

// Serve runs a call at the target or refuses it. It ends early when ctx ends,
// which means that the caller has gone.
func (s *Server) Serve(ctx context.Context, call *model.Call) *model.Answer {
	if s.Leaving.Load() {
		return model.Refusal(call.ID, model.ReasonTargetLeaving, "the target's node is shutting down")
	}
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
	answer := s.Target.Do(running, call, rand.Text())
	s.finish(answer)
	return answer
}

// finish frees the slot. It waits for room in the ring, since a lost message
// would hold the slot for ever.
func (s *Server) finish(answer *model.Answer) {
	done := &admission.Finish{Answer: answer, Reply: ring.NewReply[model.Load]()}
	if err := s.Admission.Put(context.Background(), done); err != nil {
		return
	}
	if load, err := done.Reply.Wait(context.Background()); err == nil {
		answer.Load = load
	}
}
