// Package local serves calls at the target's node. It passes them to the admission
// duty and sends admitted calls to the target.
package local

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/oleanderworks/oleanderworks/agent/admission"
	routingduty "github.com/oleanderworks/oleanderworks/agent/routing"
	"github.com/oleanderworks/oleanderworks/core/budget"
	"github.com/oleanderworks/oleanderworks/core/ring"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/routing"
	"github.com/oleanderworks/oleanderworks/transport/target"
)

// Server serves the calls to one target.
type Server struct {
	Admission *ring.Ring[admission.Message]
	Target    *target.Client
	Routing   *ring.Ring[routingduty.Message] // to register the calls that may make sub-calls
	// ByteBudget bounds the bytes of calls and answers in memory; nil means no
	// bound.
	ByteBudget *budget.Bytes
}

// Serve runs a call at the target or refuses it. ctx ends when the caller
// disconnects or the call's deadline passes, which cancels the call.
func (s *Server) Serve(ctx context.Context, call *model.Call) *model.Answer {
	arrivedAt := time.Now()
	if s.ByteBudget != nil && !s.ByteBudget.MayStartCall() {
		return model.NewRefusal(call.ID, model.ReasonNodeBusy, budget.ErrExceeded.Error())
	}
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	admit := &admission.Admit{
		Call:          call,
		Reply:         ring.NewReply[admission.AdmitResult](),
		CancelRunning: cancel,
	}
	if !s.Admission.Offer(admit) {
		return model.NewRefusal(call.ID, model.ReasonNodeBusy, "the admission ring is full")
	}
	stop := context.AfterFunc(ctx, func() { s.Admission.Offer(&admission.Cancel{CallID: call.ID}) })
	defer stop()

	// The wait has no timeout, so that an admitted call always frees its slot. The
	// admission duty always replies; it refuses a canceled call.
	admitted, err := admit.Reply.Wait(context.Background())
	if err != nil {
		return model.NewFailure(call.ID, model.ReasonNodeBusy, err.Error())
	}
	if admitted.Answer != nil {
		return admitted.Answer
	}
	answer, usage := s.run(runCtx, call, admitted, arrivedAt)
	answer.Load = admitted.Load
	s.reportEnd(answer, usage.SubCallWait)
	return answer
}

// run sends a call to the target. While the call runs, its sub-calls are accepted if
// they carry its context ID, which is random and opaque to the target.
func (s *Server) run(ctx context.Context, call *model.Call, admitted admission.AdmitResult, arrivedAt time.Time) (*model.Answer, routing.SubCallUsage) {
	contextID := rand.Text()
	if err := s.Routing.Put(ctx, &routingduty.RegisterParent{ContextID: contextID, Call: call}); err != nil {
		return model.NewRefusal(call.ID, model.ReasonCanceled, err.Error()), routing.SubCallUsage{}
	}
	handedOffAt := time.Now()
	answer := s.handOff(ctx, call, contextID, admitted)
	end := &routingduty.EndParent{
		ContextID:    contextID,
		Canceled:     ctx.Err() != nil,
		HandoffDelay: handedOffAt.Sub(arrivedAt),
		Reply:        ring.NewReply[routing.SubCallUsage](),
	}
	if err := s.Routing.Put(context.Background(), end); err != nil {
		return answer, routing.SubCallUsage{}
	}
	usage, err := end.Reply.Wait(context.Background())
	if err == nil {
		answer.RetriesUsed = usage.RetriesUsed
	}
	return answer, usage
}

// handOff sends a call to the target. It refuses the call if the handoff deadline has
// passed, for example during a pause of the process, since the conditions that
// admission checked may have changed.
func (s *Server) handOff(ctx context.Context, call *model.Call, contextID string, admitted admission.AdmitResult) *model.Answer {
	if !time.Now().Before(admitted.HandoffDeadline) {
		return model.NewRefusal(call.ID, model.ReasonNodeBusy, "the permission to run has expired before the handoff")
	}
	return s.Target.Do(ctx, call, contextID, admitted.StallTimeout)
}

// reportEnd reports the end of a call to the admission duty, which frees the slot.
// It waits for room in the ring, since a lost message would leak the slot. It need
// not wait until the duty has handled the message, since the message precedes the
// caller's next call in the ring; such a wait would add about 20 us to the call.
func (s *Server) reportEnd(answer *model.Answer, subCallWait time.Duration) {
	_ = s.Admission.Put(context.Background(), &admission.CallEnded{
		Answer:      answer,
		StartMarker: target.TakeStartMarker(answer),
		SubCallWait: subCallWait,
	})
}
