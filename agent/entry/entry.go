// Package entry carries requests through the routing duty and sends the
// attempts that it decides.
package entry

import (
	"context"
	"math/rand/v2"
	"time"

	routingduty "github.com/oleanderworks/oleanderworks/agent/routing"
	"github.com/oleanderworks/oleanderworks/core/ring"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/routing"
	"github.com/oleanderworks/oleanderworks/transport/peerlink"
)

// busyPause is the time after which a caller may try again when the routing
// ring is full.
const busyRetryAfter = 500 * time.Millisecond

// Sessions finds the open session to a peer. The result is nil when there is
// none.
type Sessions interface {
	Session(i model.Instance) *peerlink.Session
}

// Entry serves the callers of one node.
type Entry struct {
	Self     model.Member
	Routing  *ring.Ring[routingduty.Message]
	Sessions Sessions
	Local    peerlink.CallHandler
}

// Serve answers a request. It never returns nil. It ends early when ctx
// ends, which means that the caller has gone.
func (e *Entry) Serve(ctx context.Context, req *model.Request) *model.Answer {
	caller := ctx
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
	stop := context.AfterFunc(caller, func() {
		_ = e.Routing.Put(context.Background(), &routingduty.Cancel{CallID: req.ID})
	})
	defer stop()
	return e.performAttempts(ctx, caller, beginCall.Reply)
}

// follow carries out decisions until one is the answer.
func (e *Entry) performAttempts(ctx, caller context.Context, reply ring.Reply[routing.Decision]) *model.Answer {
	for {
		// The routing duty always decides, at the latest at the deadline.
		decision, err := reply.Wait(context.Background())
		if err != nil {
			return model.NewFailure(decision.CallID, model.ReasonNodeBusy, err.Error())
		}
		if decision.Answer != nil {
			return decision.Answer
		}
		outcome := &routingduty.AttemptDone{Answer: e.attempt(ctx, decision)}
		outcome.CallerGone = caller.Err() != nil
		if !outcome.Answer.FromSystem() {
			// The caller does not wait for the routing duty's books.
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

func (e *Entry) attempt(ctx context.Context, d routing.Decision) *model.Answer {
	attempt, cancel := context.WithDeadline(ctx, d.Call.Deadline)
	defer cancel()
	answer := e.sendAttempt(attempt, d)
	if ctx.Err() != nil && answer.Reason == model.ReasonDeadline {
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
