package bench

import (
	"net/http"
	"strconv"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/admission"
	"github.com/oleanderworks/oleanderworks/policy/node/routing"
	"github.com/oleanderworks/oleanderworks/policy/node/tokenlease"
)

// cancelDelay is how long a target takes to stop a canceled call.
const cancelDelay = time.Millisecond

// submit passes a call to the routing policy of its entry node. parent is the attempt
// that makes a sub-call, nil for a request of a caller. onAnswer is called once, with
// the answer.
func (n *node) submit(r *request, s *step, parent *attempt, onAnswer func(*model.Answer)) {
	f := n.fleet
	f.lastID++
	id := f.lastID
	if parent == nil && f.entryLimiter != nil && !f.entryLimiter.allow(f.loop.now, n.index, s.service, r.customer) {
		onAnswer(model.NewRefusal(id, model.ReasonRateLimited, "the entry node's share of the rate is used up"))
		return
	}
	n.entryCalls[id] = &entryCall{entry: n, request: r, step: s, onAnswer: onAnswer}
	req := &model.Request{
		ID:      id,
		Service: f.deployment.services[s.service].name,
		Method:  http.MethodGet,
		Path:    "/" + string(f.deployment.classes[r.class]),
	}
	if parent != nil {
		req.FromTarget, req.Parent = true, contextID(parent)
	} else {
		req.Key, req.HasKey, req.ClientAttempt = keyOf(r.customer), true, r.retries
	}
	n.routing.OnRequest(f.loop.wallTime(), req)
	n.applyRouting()
}

// contextID returns the id by which sub-calls refer to their parent.
func contextID(a *attempt) string { return strconv.FormatUint(uint64(a.call.ID), 10) }

// applyRouting carries out the decisions of the routing policy.
func (n *node) applyRouting() {
	for _, d := range n.routing.Decisions() {
		call := n.entryCalls[d.CallID]
		if call == nil {
			continue
		}
		if d.Answer != nil {
			delete(n.entryCalls, d.CallID)
			call.onAnswer(d.Answer)
			continue
		}
		if d.Cancel {
			n.cancelAttempt(call.attempt)
			continue
		}
		n.send(call, d.Call, n.fleet.nodeOf(d.Target))
	}
	for _, quorumRequest := range n.routing.QuorumRequests() {
		if tokenRequest, ok := quorumRequest.(routing.TokenRequest); ok {
			n.grantTokens(tokenRequest)
		}
	}
}

// tokenLifetime is the lifetime of rate tokens.
const tokenLifetime = time.Second

// grantTokens grants the requested tokens of a customer after a simulated round trip to
// its quorum group. It never refuses tokens, since the demand is within the customers'
// rates in all cases.
func (n *node) grantTokens(request routing.TokenRequest) {
	f := n.fleet
	f.loop.after(2*f.deployment.zoneLatency, func() {
		n.routing.OnTokens(f.loop.wallTime(), tokenlease.Result{Customer: request.Customer, Grant: tokenlease.Grant{
			Customer: request.Customer, Count: request.Want, Expiry: f.loop.wallTime().Add(tokenLifetime),
		}})
		n.applyRouting()
	})
}

// nodeOf returns the node of a member, or nil if there is none.
func (f *fleet) nodeOf(m model.Member) *node {
	for _, n := range f.byService[f.deployment.serviceIndex(m.Service)] {
		if n.member.Instance == m.Instance {
			return n
		}
	}
	return nil
}

// send sends a new attempt of a call to a target's node, and schedules the call's
// deadline at its first attempt.
func (n *node) send(pending *entryCall, call *model.Call, to *node) {
	a := &attempt{entryCall: pending, node: to, call: call}
	pending.attempt = a
	if !pending.deadlineScheduled {
		pending.deadlineScheduled = true
		n.fleet.loop.after(call.Deadline.Sub(n.fleet.loop.wallTime()), func() { n.onDeadline(call.ID) })
	}
	n.fleet.loop.after(n.fleet.latency(n, to), func() { to.onArrival(a) })
}

// onDeadline cancels the latest attempt of a call at the target's node and reports it as
// failed.
func (n *node) onDeadline(id model.CallID) {
	if call := n.entryCalls[id]; call != nil && call.attempt != nil {
		n.cancelAttempt(call.attempt)
		n.finishAttempt(call.attempt, model.NewFailure(id, model.ReasonDeadline, "no answer in time"))
	}
}

// cancelAttempt notifies the target's node that an attempt in progress is canceled.
func (n *node) cancelAttempt(a *attempt) {
	if !a.ended {
		n.fleet.loop.after(n.fleet.latency(n, a.node), func() { a.node.onCancel(a.call.ID) })
	}
}

// finishAttempt reports the end of an attempt to the routing policy. It passes the
// answer on if it is from the target; otherwise the policy decides how the call
// continues.
func (n *node) finishAttempt(a *attempt, answer *model.Answer) {
	id := a.call.ID
	call := n.entryCalls[id]
	if call == nil || call.attempt != a || a.ended {
		return
	}
	a.ended = true
	n.routing.OnOutcome(n.fleet.loop.wallTime(), answer)
	if !answer.FromNode() {
		delete(n.entryCalls, id)
		call.onAnswer(answer)
	}
	n.applyRouting()
}

// onArrival passes an attempt that arrives at the target's node to the admission policy.
func (n *node) onArrival(a *attempt) {
	n.attempts[a.call.ID] = a
	n.admission.OnArrival(n.fleet.loop.wallTime(), a.call)
	n.applyAdmission()
}

// onCancel passes the cancellation of an attempt to the admission policy.
func (n *node) onCancel(id model.CallID) {
	if n.attempts[id] == nil {
		return
	}
	n.admission.OnCanceled(n.fleet.loop.wallTime(), id)
	n.applyAdmission()
}

// applyAdmission carries out the decisions of the admission policy. Carrying out a
// decision can call it again; the nested call only makes the outer one repeat its loop.
func (n *node) applyAdmission() {
	n.applyAgain = true
	if n.applying {
		return
	}
	n.applying = true
	for n.applyAgain {
		n.applyAgain = false
		n.decisions = append(n.decisions[:0], n.admission.Decisions()...)
		for _, d := range n.decisions {
			n.applyDecision(d)
		}
		for _, s := range n.admission.Signals() {
			if s.Probe {
				n.probe()
			}
		}
	}
	n.applying = false
}

// applyDecision carries out a decision on an attempt.
func (n *node) applyDecision(d admission.Decision) {
	a := n.attempts[d.CallID]
	if a == nil {
		return
	}
	switch {
	case d.Answer != nil:
		delete(n.attempts, d.CallID)
		n.reply(a, d.Answer)
	case d.Cancel:
		n.fleet.loop.after(cancelDelay, func() {
			if a.targetCall != nil {
				n.target.endCall(a.targetCall, admission.ResultIgnored)
			}
		})
	case d.Run:
		n.runAtTarget(a)
	}
}

// runAtTarget hands an attempt to the target.
func (n *node) runAtTarget(a *attempt) {
	step := a.entryCall.step
	n.routing.OnParentStarted(contextID(a), a.call)
	a.targetCall = n.target.accept(step.ownWork, func() { n.onOwnWorkDone(a) }, func(r admission.Result) { n.onTargetFinished(a, r) })
}

// onOwnWorkDone sends the call's sub-call, or ends the call if it has none.
func (n *node) onOwnWorkDone(a *attempt) {
	sub := a.entryCall.step.subCall
	if sub == nil {
		n.target.endCall(a.targetCall, admission.ResultOK)
		return
	}
	n.fleet.recorder.countDemand(a.entryCall.request, sub)
	n.submit(a.entryCall.request, sub, a, func(answer *model.Answer) {
		a.subCallFailed = answer.FromNode() || answer.Status != http.StatusOK
		n.target.endCall(a.targetCall, admission.ResultOK)
	})
}

// onTargetFinished reports the end of a call at the target to the policies and answers
// the entry node.
func (n *node) onTargetFinished(a *attempt, r admission.Result) {
	if r == admission.ResultOK && n.fleet.loop.wallTime().After(a.call.Deadline) {
		r = admission.ResultTimeout
	}
	delete(n.attempts, a.call.ID)
	now := n.fleet.loop.wallTime()
	usage := n.routing.OnParentEnded(now, contextID(a), r == admission.ResultIgnored)
	n.admission.OnFinished(now, admission.Outcome{CallID: a.call.ID, Result: r, StartMarker: n.target.startMarker, SubCallWait: usage.SubCallWait})
	answer := n.buildAnswer(a, r)
	answer.RetriesUsed = usage.RetriesUsed
	n.reply(a, answer)
	n.applyAdmission()
	n.applyRouting()
}

// buildAnswer returns the answer for a result of the target.
func (n *node) buildAnswer(a *attempt, r admission.Result) *model.Answer {
	id := a.call.ID
	switch {
	case r == admission.ResultConnectionRefused:
		answer := model.NewRefusal(id, model.ReasonTargetFailed, "connection refused")
		answer.TargetLost = true
		return answer
	case r == admission.ResultConnectionReset:
		answer := model.NewFailure(id, model.ReasonTargetFailed, "connection reset")
		answer.TargetLost = true
		return answer
	case r != admission.ResultOK: // includes ResultIgnored, such as the end of a canceled call
		return model.NewFailure(id, model.ReasonDeadline, "the target did not answer in time")
	case a.subCallFailed:
		return &model.Answer{ID: id, Run: model.Completed, Status: http.StatusBadGateway}
	default:
		return &model.Answer{ID: id, Run: model.Completed, Status: http.StatusOK}
	}
}

// reply sends an answer with the target's load to the entry node.
func (n *node) reply(a *attempt, answer *model.Answer) {
	answer.Load = n.admission.Load()
	entry := a.entryCall.entry
	n.fleet.loop.after(n.fleet.latency(n, entry), func() { entry.finishAttempt(a, answer) })
}

// probe reports to the admission policy whether the target accepts connections.
func (n *node) probe() {
	n.fleet.loop.after(time.Millisecond, func() {
		n.admission.OnProbe(n.fleet.loop.wallTime(), !n.target.down)
		n.applyAdmission()
	})
}
