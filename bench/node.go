package bench

import (
	"net/http"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/admission"
	"github.com/oleanderworks/oleanderworks/policy/routing"
	"github.com/oleanderworks/oleanderworks/policy/tokenlease"
)

// cancelTime is how long a target takes to stop a cancelled call.
const cancelTime = time.Millisecond

// submit starts a call at its entry node. done gets its answer once.
func (n *node) submit(r *request, s *step, depth, clientAttempt int, timeout time.Duration, done func(*model.Answer)) {
	f := n.fleet
	f.nextID++
	id := f.nextID
	if depth == 0 && f.entry != nil && !f.entry.take(f.loop.now, n.index, s.service, r.customer) {
		done(model.Refusal(id, model.ReasonRateLimited, "share of the rate"))
		return
	}
	n.flights[id] = &flight{entry: n, request: r, step: s, depth: depth, done: done}
	n.routing.OnRequest(f.loop.clock(), &model.Request{
		ID:      id,
		Service: f.deployment.services[s.service].name,
		Method:  http.MethodGet,
		Path:    "/" + string(f.deployment.classes[r.class]),
		Key:     keyOf(r.customer), HasKey: true,
		ClientAttempt: clientAttempt,
		Timeout:       timeout,
	})
	n.route()
}

// grantLife is the life of a batch of tokens.
const grantLife = time.Second

// grantTokens grants every request for tokens: the cases measure what targets
// bear, and customers' rates lie above it.
func (n *node) grantTokens() {
	now := n.fleet.loop.clock()
	for _, order := range n.routing.Orders() {
		if ask, ok := order.(routing.TokenOrder); ok {
			grant := tokenlease.Grant{Customer: ask.Customer, Count: ask.Want, Expiry: now.Add(grantLife)}
			n.routing.OnTokens(now, tokenlease.Result{Customer: ask.Customer, Grant: grant})
		}
	}
}

// route carries out the decisions of the routing policy.
func (n *node) route() {
	n.grantTokens()
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
		d.Call.Depth = fl.depth
		n.send(fl, d.Call, n.fleet.node(d.Target))
	}
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
	fl := n.flights[id]
	if fl == nil {
		return
	}
	n.outcome(fl.attempt, model.Failure(id, model.ReasonDeadline, "no answer in time"))
}

// outcome reports the end of an attempt to the routing policy.
func (n *node) outcome(a *attempt, answer *model.Answer) {
	id := a.call.ID
	fl := n.flights[id]
	if fl == nil || fl.attempt != a || a.ended {
		return
	}
	a.ended = true
	if answer.Reason == model.ReasonDeadline && answer.Run != model.NotRun {
		n.fleet.loop.after(n.fleet.latency(n, a.node), func() { a.node.cancel(id) })
	}
	n.routing.OnOutcome(n.fleet.loop.clock(), answer)
	if !answer.Refused() {
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
				n.target.finish(a.work, admission.ResultNeutral)
			}
		})
	case d.Run:
		n.run(a)
	}
}

// run hands an attempt to the target.
func (n *node) run(a *attempt) {
	step := a.flight.step
	a.work = n.target.accept(step.own, func() { n.ownWorkDone(a) }, func(r admission.Result) { n.ended(a, r) })
}

// ownWorkDone ends a call, or sends its sub-call.
func (n *node) ownWorkDone(a *attempt) {
	sub := a.flight.step.sub
	if sub == nil {
		n.target.finish(a.work, admission.ResultGood)
		return
	}
	n.fleet.measure.countDemand(a.flight.request, sub)
	timeout := a.call.Deadline.Sub(n.fleet.loop.clock())
	sent := n.fleet.loop.now
	n.submit(a.flight.request, sub, a.flight.depth+1, 0, timeout, func(answer *model.Answer) {
		a.waited = n.fleet.loop.now - sent
		a.failed = answer.Refused() || answer.Status != http.StatusOK
		n.target.finish(a.work, admission.ResultGood)
	})
}

func (n *node) ended(a *attempt, r admission.Result) {
	if r == admission.ResultGood && n.fleet.loop.clock().After(a.call.Deadline) {
		r = admission.ResultLate
	}
	delete(n.runs, a.call.ID)
	n.gate.OnFinished(n.fleet.loop.clock(), admission.Outcome{CallID: a.call.ID, Result: r, Start: n.target.start, Waited: a.waited})
	n.reply(a, n.answer(a, r))
	n.pump()
}

func (n *node) answer(a *attempt, r admission.Result) *model.Answer {
	id := a.call.ID
	switch {
	case r == admission.ResultRefused:
		answer := model.Refusal(id, model.ReasonTargetFailed, "connection refused")
		answer.TargetLost = true
		return answer
	case r == admission.ResultReset:
		answer := model.Failure(id, model.ReasonTargetFailed, "connection reset")
		answer.TargetLost = true
		return answer
	case r != admission.ResultGood:
		return model.Failure(id, model.ReasonDeadline, "late")
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
