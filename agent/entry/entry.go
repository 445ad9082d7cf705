// Package entry carries requests through the routing duty and sends the
// attempts that it decides.
package entry

import (
	"context"

	duty "github.com/oleanderworks/oleanderworks/agent/routing"
	"github.com/oleanderworks/oleanderworks/core/ring"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/routing"
	"github.com/oleanderworks/oleanderworks/transport/peerlink"
)

// Sessions finds the open session to a peer. The result is nil when there is
// none.
type Sessions interface {
	Session(i model.Instance) *peerlink.Session
}

// Entry serves the callers of one node.
type Entry struct {
	Self     model.Member
	Routing  *ring.Ring[duty.Message]
	Sessions Sessions
	Local    peerlink.CallHandler
}

// Serve answers a request. It never returns nil.
func (e *Entry) Serve(ctx context.Context, req *model.Request) *model.Answer {
	begin := &duty.Begin{Request: req, Reply: ring.NewReply[routing.Decision]()}
	if !e.Routing.Offer(begin) {
		return model.Refusal(req.ID, model.ReasonNodeBusy, "the routing ring is full")
	}
	stop := context.AfterFunc(ctx, func() { e.Routing.Offer(&duty.Cancel{CallID: req.ID}) })
	defer stop()

	reply := begin.Reply
	for {
		decision, err := reply.Wait(context.Background())
		if err != nil {
			return model.Failure(req.ID, model.ReasonNodeBusy, err.Error())
		}
		if decision.Answer != nil {
			return decision.Answer
		}
		answer := e.attempt(ctx, decision)
		if !answer.Refused() {
			e.report(answer)
			return answer
		}
		reply = ring.NewReply[routing.Decision]()
		outcome := &duty.Outcome{Answer: answer, Reply: reply}
		if err := e.Routing.Put(context.Background(), outcome); err != nil {
			return answer
		}
	}
}

// report tells the routing duty about a call that succeeded. The caller does
// not wait for it.
func (e *Entry) report(answer *model.Answer) {
	_ = e.Routing.Put(context.Background(), &duty.Outcome{Answer: answer})
}

func (e *Entry) attempt(ctx context.Context, d routing.Decision) *model.Answer {
	ctx, cancel := context.WithDeadline(ctx, d.Call.Deadline)
	defer cancel()
	if d.Target.Instance == e.Self.Instance {
		return e.Local(ctx, d.Call)
	}
	session := e.Sessions.Session(d.Target.Instance)
	if session == nil {
		return model.Refusal(d.CallID, model.ReasonPeerUnreachable, "no link to "+string(d.Target.Instance))
	}
	return session.Call(ctx, d.Call)
}
