package bench

import (
	"net/http"
	"strconv"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/admission"
	"github.com/oleanderworks/oleanderworks/policy/routing"
	"github.com/oleanderworks/oleanderworks/policy/tokenlease"
)

// cancelTime is how long a target takes to stop a cancelled call.
const cancelTime = time.Millisecond

// submit starts a call at its entry node. done gets its answer once.
func (n *node) submit(r *request, s *step, parent *attempt, done func(*model.Answer)) {
	f := n.fleet
	f.nextID++
	id := f.nextID
	if parent == nil && f.entry != nil && !f.entry.take(f.loop.now, n.index, s.service, r.customer) {
		done(model.NewRefusal(id, model.ReasonRateLimited, "share of the rate"))
		return
	}
	n.flights[id] = &flight{entry: n, request: r, step: s, done: done}
	req := &model.Request{
		ID:      id,
		Service: f.deployment.services[s.service].name,
		Method:  http.MethodGet,
		Path:    "/" + string(f.deployment.classes[r.class]),
	}
	if parent != nil {
		req.FromTarget, req.Parent = true, contextID(parent)
	} else {
		req.Key, req.HasKey, req.ClientAttempt = keyOf(r.customer), true, r.attempts
	}
	n.routing.OnRequest(f.loop.clock(), req)
	n.route()
}

// contextID is the value by which sub-calls name their parent.
func contextID(a *attempt) string { return strconv.FormatUint(uint64(a.call.ID), 10) }

// route carries out the decisions of the routing policy.
func (n *node) route() {
	for _, d := range n.routing.Decisions() {
		fl := n.flights[d.CallID]
		if fl == nil {
			continue
		}
		if d.Answer != nil {
			delete(n.flights, d.CallID)
			fl.done(d.Answer)
			continue
		}
		if d.Cancel {
			n.cancelAttempt(fl.attempt)
			continue
		}
		n.send(fl, d.Call, n.fleet.node(d.Target))
	}
	for _, o := range n.routing.QuorumRequests() {
		if order, ok := o.(routing.TokenRequest); ok {
			n.grant(order)
		}
	}
}

// tokenLife is the life of tokens, and rates are never the limit here: the
// cases are about demand within the customers' rates.
const tokenLife = time.Second

// grant gives a customer the tokens it asks for, after a round trip to its
// quorum group.
func (n *node) grant(o routing.TokenRequest) {
	f := n.fleet
	f.loop.after(2*f.deployment.zoneLatency, func() {
		n.routing.OnTokens(f.loop.clock(), tokenlease.Result{Customer: o.Customer, Grant: tokenlease.Grant{
			Customer: o.Customer, Count: o.Want, Expiry: f.loop.clock().Add(tokenLife),
		}})
		n.route()
	})
}

func (f *fleet) node(m model.Member) *node {
	for _, n := range f.byService[f.deployment.service(m.Service)] {
		if n.member.Instance == m.Instance {
			return n
		}
	}
	return nil
}

func (n *node) send(fl *flight, call *model.Call, to *node) {
	a := &attempt{flight: fl, node: to, call: call}
	fl.attempt = a
	if !fl.timed {
		fl.timed = true
		n.fleet.loop.after(call.Deadline.Sub(n.fleet.loop.clock()), func() { n.onDeadline(call.ID) })
	}
	n.fleet.loop.after(n.fleet.latency(n, to), func() { to.arrive(a) })
}

// onDeadline gives a call up at its entry node and at the target's node.
func (n *node) onDeadline(id model.CallID) {
	if fl := n.flights[id]; fl != nil && fl.attempt != nil {
		n.cancelAttempt(fl.attempt)
		n.outcome(fl.attempt, model.NewFailure(id, model.ReasonDeadline, "no answer in time"))
	}
}

// cancelAttempt tells the target's node that nobody waits any more.
func (n *node) cancelAttempt(a *attempt) {
	if !a.ended {
		n.fleet.loop.after(n.fleet.latency(n, a.node), func() { a.node.cancel(a.call.ID) })
	}
}

// outcome reports the end of an attempt to the routing policy.
func (n *node) outcome(a *attempt, answer *model.Answer) {
	id := a.call.ID
	fl := n.flights[id]
	if fl == nil || fl.attempt != a || a.ended {
		return
	}
	a.ended = true
	n.routing.OnOutcome(n.fleet.loop.clock(), answer)
	if !answer.FromSystem() {
		delete(n.flights, id)
		fl.done(answer)
	}
	n.route()
}

// arrive takes an attempt at the target's node.
func (n *node) arrive(a *attempt) {
	n.runs[a.call.ID] = a
	n.gate.OnArrival(n.fleet.loop.clock(), a.call)
	n.pump()
}

func (n *node) cancel(id model.CallID) {
	if n.runs[id] == nil {
		return
	}
	n.gate.OnCanceled(n.fleet.loop.clock(), id)
	n.pump()
}

// pump carries out the decisions of the admission policy. Decisions that come
// up meanwhile are carried out in the same loop.
func (n *node) pump() {
	n.again = true
	if n.pumping {
		return
	}
	n.pumping = true
	for n.again {
		n.again = false
		n.buffer = append(n.buffer[:0], n.gate.Decisions()...)
		for _, d := range n.buffer {
			n.decide(d)
		}
		for _, s := range n.gate.Signals() {
			if s.Probe {
				n.probe()
			}
		}
	}
	n.pumping = false
}

func (n *node) decide(d admission.Decision) {
	a := n.runs[d.CallID]
	if a == nil {
		return
	}
	switch {
	case d.Answer != nil:
		delete(n.runs, d.CallID)
		n.reply(a, d.Answer)
	case d.Cancel:
		n.fleet.loop.after(cancelTime, func() {
			if a.work != nil {
				n.target.finish(a.work, admission.ResultNoSignal)
			}
		})
	case d.Run:
		n.run(a)
	}
}

// run hands an attempt to the target.
func (n *node) run(a *attempt) {
	step := a.flight.step
	n.routing.OnParentStarted(contextID(a), a.call)
	a.work = n.target.accept(step.own, func() { n.ownWorkDone(a) }, func(r admission.Result) { n.ended(a, r) })
}

// ownWorkDone ends a call, or sends its sub-call.
func (n *node) ownWorkDone(a *attempt) {
	sub := a.flight.step.sub
	if sub == nil {
		n.target.finish(a.work, admission.ResultOK)
		return
	}
	n.fleet.measure.countDemand(a.flight.request, sub)
	n.submit(a.flight.request, sub, a, func(answer *model.Answer) {
		a.failed = answer.FromSystem() || answer.Status != http.StatusOK
		n.target.finish(a.work, admission.ResultOK)
	})
}

func (n *node) ended(a *attempt, r admission.Result) {
	if r == admission.ResultOK && n.fleet.loop.clock().After(a.call.Deadline) {
		r = admission.ResultTimeout
	}
	delete(n.runs, a.call.ID)
	now := n.fleet.loop.clock()
	end := n.routing.OnParentEnded(now, contextID(a), r == admission.ResultNoSignal)
	n.gate.OnFinished(now, admission.Outcome{CallID: a.call.ID, Result: r, StartMarker: n.target.start, SubCallWait: end.SubCallWait})
	answer := n.answer(a, r)
	answer.RetriesUsed = end.RetriesUsed
	n.reply(a, answer)
	n.pump()
	n.route()
}

func (n *node) answer(a *attempt, r admission.Result) *model.Answer {
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
	case r != admission.ResultOK:
		return model.NewFailure(id, model.ReasonDeadline, "late")
	case a.failed:
		return &model.Answer{ID: id, Run: model.Completed, Status: http.StatusBadGateway}
	default:
		return &model.Answer{ID: id, Run: model.Completed, Status: http.StatusOK}
	}
}

func (n *node) reply(a *attempt, answer *model.Answer) {
	answer.Load = n.gate.Load()
	entry := a.flight.entry
	n.fleet.loop.after(n.fleet.latency(n, entry), func() { entry.outcome(a, answer) })
}

// probe tries to open a connection to the target.
func (n *node) probe() {
	n.fleet.loop.after(time.Millisecond, func() {
		n.gate.OnProbe(n.fleet.loop.clock(), !n.target.down)
		n.pump()
	})
}
