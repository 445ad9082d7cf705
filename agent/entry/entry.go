// Package entry serves the callers' requests at the entry node. It passes them to
// the routing duty and performs the attempts that the duty decides on.
package entry

import (
	"context"
	"math/rand/v2"
	"time"

	routingduty "github.com/oleanderworks/oleanderworks/agent/routing"
	"github.com/oleanderworks/oleanderworks/core/ring"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/routing"
	"github.com/oleanderworks/oleanderworks/transport/peerlink"
)

// busyRetryAfter is the Retry-After, before jitter, of a request that was refused
// because the routing duty's ring was full.
const busyRetryAfter = 500 * time.Millisecond

// Sessions returns the open session to a peer, or nil if there is none.
type Sessions interface {
	Session(i model.Instance) *peerlink.Session
}

// Entry serves the requests of one node's callers.
type Entry struct {
	Self     model.Member
	Routing  *ring.Ring[routingduty.Message]
	Sessions Sessions
	Local    peerlink.CallHandler // serves calls to this node's own target
}

// Serve answers a request; the answer is never nil. ctx ends when the caller
// disconnects, which cancels the attempt in progress.
func (e *Entry) Serve(ctx context.Context, req *model.Request) *model.Answer {
	callerCtx := ctx
	// From here on, ctx is the context of all attempts; CancelAttempt ends it too.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	beginCall := &routingduty.BeginCall{
		Request:       req,
		ReceivedAt:    time.Now(),
		Reply:         ring.NewReply[routing.Decision](),
		CancelAttempt: cancel,
	}
	if !e.Routing.Offer(beginCall) {
		return busyRefusal(req.ID)
	}
	stop := context.AfterFunc(callerCtx, func() {
		_ = e.Routing.Put(context.Background(), &routingduty.Cancel{CallID: req.ID})
	})
	defer stop()
	return e.performAttempts(ctx, callerCtx, beginCall.Reply)
}

// performAttempts performs the attempts that the routing duty decides on until
// there is an answer for the caller.
func (e *Entry) performAttempts(attemptsCtx, callerCtx context.Context, reply ring.Reply[routing.Decision]) *model.Answer {
	for {
		// The wait needs no timeout: the routing duty replies by the call's
		// deadline.
		decision, err := reply.Wait(context.Background())
		if err != nil {
			return model.NewFailure(decision.CallID, model.ReasonNodeBusy, err.Error())
		}
		if decision.Answer != nil {
			return decision.Answer
		}
		outcome := &routingduty.AttemptDone{Answer: e.attempt(attemptsCtx, decision)}
		outcome.CallerDisconnected = callerCtx.Err() != nil
		if !outcome.Answer.FromNode() {
			// The caller gets the target's answer without a wait for the routing
			// duty, which only records the outcome.
			_ = e.Routing.Put(context.Background(), outcome)
			return outcome.Answer
		}
		reply = ring.NewReply[routing.Decision]()
		outcome.Reply = reply
		if err := e.Routing.Put(context.Background(), outcome); err != nil {
			return outcome.Answer
		}
	}
}

func (e *Entry) attempt(attemptsCtx context.Context, d routing.Decision) *model.Answer {
	attemptCtx, cancel := context.WithDeadline(attemptsCtx, d.Call.Deadline)
	defer cancel()
	answer := e.sendAttempt(attemptCtx, d)
	if attemptsCtx.Err() != nil && answer.Reason == model.ReasonDeadline {
		answer.Reason = model.ReasonCanceled
	}
	return answer
}

func (e *Entry) sendAttempt(ctx context.Context, d routing.Decision) *model.Answer {
	if d.Target.Instance == e.Self.Instance {
		return e.Local(ctx, d.Call)
	}
	session := e.Sessions.Session(d.Target.Instance)
	if session == nil {
		return model.NewRefusal(d.CallID, model.ReasonPeerUnreachable, "no link to "+string(d.Target.Instance))
	}
	return session.Call(ctx, d.Call)
}

func busyRefusal(id model.CallID) *model.Answer {
	a := model.NewRefusal(id, model.ReasonNodeBusy, "the routing ring is full")
	a.RetryAfter = routing.RetryAfter(busyRetryAfter, 1, rand.Float64())
	return a
}
