package mesh

import (
	"context"
	"slices"
	"time"

	"github.com/oleanderworks/oleanderworks/core/budget"
	"github.com/oleanderworks/oleanderworks/core/duty"
	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/core/fault"
	"github.com/oleanderworks/oleanderworks/core/ring"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/model/graph"
	"github.com/oleanderworks/oleanderworks/policy/mesh/dispatch"
	"github.com/oleanderworks/oleanderworks/policy/mesh/gate"
	"github.com/oleanderworks/oleanderworks/transport/exchange"
	"github.com/oleanderworks/oleanderworks/transport/frame"
)

const (
	// gateRingCapacity bounds the messages that wait for the gate duty. A call is
	// refused as not run if the ring is full.
	gateRingCapacity = 8192
	// probeTimeout bounds a health probe of the target.
	probeTimeout = time.Second
	// defaultHealthPath is probed until a configuration sets another path.
	defaultHealthPath = "/healthz"
)

// gateMessage is a message to the gate duty.
type gateMessage interface{ gateMessage() }

type (
	// callArrived is a call for the target. callerLink is the link to the
	// caller's node, nil for a call from this node.
	callArrived struct {
		call       *model.Call
		callerLink *link
		held       *holding // what the call holds of the node's account; may be nil
	}
	// callCanceled reports that nobody waits for a call any more: its caller has
	// disconnected or its time limit has passed.
	callCanceled struct{ id model.CallID }
	// callFinished reports the end of a call at the target.
	callFinished struct {
		id      model.CallID
		outcome model.RunOutcome
		status  int // of the target's answer
	}
	// callerLinkClosed reports that a link that a peer opened, and on which its
	// calls arrived, has closed.
	callerLinkClosed struct{ link *link }
	// announcementReceived is an announcement of the target about its state.
	announcementReceived struct {
		announcement gate.Announcement
		reply        ring.Reply[bool]
	}
	// deregistrationReceived reports that the target has deregistered itself.
	deregistrationReceived struct {
		id          model.Instance
		startedAtMs int64
		reply       ring.Reply[bool]
	}
	// targetDeparted reports that this node told a peer, before it started, that its
	// target leaves.
	targetDeparted struct{ id model.Instance }
	// probeDone is the result of a health probe.
	probeDone struct {
		result model.Health
		err    error
	}
	// gateConfigChanged carries the configuration and the availability zones
	// that are out of service to the gate duty.
	gateConfigChanged struct {
		config   *graph.Config
		zonesOut []model.Zone
	}
	// refuseCalls makes the gate duty refuse new and waiting calls, since the
	// node shuts down.
	refuseCalls struct{}
)

func (callArrived) gateMessage()            {}
func (callCanceled) gateMessage()           {}
func (callFinished) gateMessage()           {}
func (callerLinkClosed) gateMessage()       {}
func (announcementReceived) gateMessage()   {}
func (deregistrationReceived) gateMessage() {}
func (probeDone) gateMessage()              {}
func (targetDeparted) gateMessage()         {}
func (gateConfigChanged) gateMessage()      {}
func (refuseCalls) gateMessage()            {}

// gateHandler handles the messages of the gate duty, which runs the gate policy.
type gateHandler struct {
	node           *Node
	core           *gate.Core
	client         *exchange.Client
	callerLinks    map[model.CallID]*link              // links to the callers' nodes
	cancels        map[model.CallID]context.CancelFunc // of calls at the target
	holdings       map[model.CallID]*holding           // of calls that wait
	healthPath     string
	probingStarted bool
	nextReportAt   time.Time
	loggedState    string

	// Crashes that the duties have not been told of yet.
	crashesForEntry, crashesForPeers []model.CrashReport
}

func newGateDuty(n *Node, client *exchange.Client) *duty.Duty[gateMessage] {
	return duty.New[gateMessage]("gate", gateRingCapacity, &gateHandler{
		node:        n,
		core:        gate.New(n.settings.Service, n.settings.Zone),
		client:      client,
		callerLinks: make(map[model.CallID]*link),
		cancels:     make(map[model.CallID]context.CancelFunc),
		holdings:    make(map[model.CallID]*holding),
		healthPath:  defaultHealthPath,
	})
}

// Handle implements duty.Handler.
func (h *gateHandler) Handle(now time.Time, batch []gateMessage) {
	for _, m := range batch {
		ok := h.node.guard("gate", m, func() {
			h.handle(now, m)
			h.applyDecisions(now)
		})
		if m, isCall := m.(callArrived); isCall && !ok {
			h.node.deliver(m.callerLink, model.NewFailure(m.call.ID, model.ReasonInternal, "unexpected error in the target's node"))
			h.takeHolding(m.call.ID).end()
		}
	}
	h.report(now)
}

// Tick implements duty.Handler.
func (h *gateHandler) Tick(now time.Time) time.Time {
	if !h.probingStarted {
		h.probingStarted = true
		h.core.StartProbing(now)
	}
	next := now.Add(retryTickDelay) // if the timers panic
	h.node.guard("gate", timersDue{}, func() {
		next = h.core.Tick(now)
		h.applyDecisions(now)
	})
	h.report(now)
	if next.IsZero() || h.nextReportAt.Before(next) {
		return h.nextReportAt
	}
	return next
}

func (h *gateHandler) handle(now time.Time, m gateMessage) {
	switch m := m.(type) {
	case callArrived:
		if m.callerLink != nil {
			h.callerLinks[m.call.ID] = m.callerLink
		}
		if m.held != nil {
			h.holdings[m.call.ID] = m.held
		}
		h.core.OnCall(now, m.call)
	case callCanceled:
		h.core.OnCanceled(now, m.id)
		h.forgetCallerLink(m.id)
	case callFinished:
		delete(h.cancels, m.id)
		delete(h.callerLinks, m.id)
		h.core.OnFinished(now, m.id, m.outcome, m.status)
	case callerLinkClosed:
		h.cancelCallsFrom(now, m.link)
	case announcementReceived:
		m.reply.Send(h.onAnnouncement(now, m.announcement))
	case deregistrationReceived:
		m.reply.Send(h.onDeregistration(now, m))
	case targetDeparted:
		h.core.OnDeparted(now, m.id)
	case probeDone:
		h.logProbe(m)
		h.core.OnProbeResult(now, m.result)
	case gateConfigChanged:
		h.applyConfig(now, m)
	case refuseCalls:
		h.core.Stop(now)
	}
}

func (h *gateHandler) onAnnouncement(now time.Time, a gate.Announcement) bool {
	a.Interval = h.node.settings.AnnounceInterval
	if a.Address != h.node.settings.TargetAddress {
		h.node.log.Emit(event.MeshAnnouncementRejected, "id", a.ID, "address", a.Address, "detail", "the address differs from the configured address of the target")
		return false
	}
	ok := h.core.OnAnnouncement(now, a)
	if !ok {
		h.node.log.Emit(event.MeshAnnouncementRejected, "id", a.ID, "born", a.StartedAtMs, "sequence", a.Sequence,
			"service", a.Service, "slots", a.Slots,
			"detail", "the announcement is from an earlier incarnation, names no instance or another service, or its slots or its start are out of range")
	}
	return ok
}

func (h *gateHandler) onDeregistration(now time.Time, m deregistrationReceived) bool {
	ok := h.core.OnDeregistered(now, m.id, m.startedAtMs)
	if !ok {
		h.node.log.Emit(event.MeshAnnouncementRejected, "id", m.id, "born", m.startedAtMs, "detail", "the start of the deregistered target is too late")
	}
	return ok
}

func (h *gateHandler) applyConfig(now time.Time, m gateConfigChanged) {
	if m.config != nil {
		if s := m.config.Services[h.node.settings.Service]; s != nil {
			h.core.SetColdRate(s.ColdRate)
			if s.HealthPath != "" {
				h.healthPath = s.HealthPath
			}
		}
	}
	h.core.SetZoneOut(now, slices.Contains(m.zonesOut, h.node.settings.Zone))
}

// cancelCallsFrom cancels the calls that arrived on a link that has closed, since
// their answers can no longer be sent.
func (h *gateHandler) cancelCallsFrom(now time.Time, l *link) {
	for id, callerLink := range h.callerLinks {
		if callerLink == l {
			h.core.OnCanceled(now, id)
			h.forgetCallerLink(id)
		}
	}
}

// forgetCallerLink deletes the link of a canceled call that was not sent to the
// target, since no answer will follow.
func (h *gateHandler) forgetCallerLink(id model.CallID) {
	if h.cancels[id] == nil {
		delete(h.callerLinks, id)
		h.takeHolding(id).end()
	}
}

// takeHolding returns what a call that waits holds of the node's account; it may be nil.
func (h *gateHandler) takeHolding(id model.CallID) *holding {
	held := h.holdings[id]
	delete(h.holdings, id)
	return held
}

func (h *gateHandler) applyDecisions(now time.Time) {
	for _, d := range h.core.Decisions() {
		switch {
		case d.Run != nil:
			h.startCall(now, d)
		case d.Cancel:
			if cancel := h.cancels[d.ID]; cancel != nil {
				cancel()
			}
		default:
			h.refuse(d)
		}
	}
	load := h.core.Load()
	h.node.running.Store(int64(load.InFlight))
	h.node.queued.Store(int64(load.Queued))
	if h.core.TakeProbeDue() {
		go h.probe(h.healthPath)
	}
	if state := h.core.State(); state != h.loggedState {
		h.node.log.Emit(event.MeshTargetChanged, "from", h.loggedState, "to", state)
		h.loggedState = state
	}
}

func (h *gateHandler) refuse(d gate.Decision) {
	callerLink := h.callerLinks[d.ID]
	delete(h.callerLinks, d.ID)
	h.takeHolding(d.ID).end()
	h.node.metrics.gateRefused.Add(1)
	h.node.log.Emit(event.MeshGateRefused, "call", d.ID, "reason", d.Answer.Reason, "detail", d.Answer.Detail,
		"running", d.Answer.Load.InFlight, "queued", d.Answer.Load.Queued, "limit", d.Answer.Load.Limit)
	h.node.deliver(callerLink, d.Answer)
}

// startCall sends a call to the target in a goroutine, which waits for the answer.
func (h *gateHandler) startCall(now time.Time, d gate.Decision) {
	ctx, cancel := context.WithCancel(context.Background())
	h.cancels[d.ID] = cancel
	callerLink := h.callerLinks[d.ID]
	h.node.log.Emit(event.MeshCallStarted, "id", d.Run.AttemptID, "call", d.ID, "target", d.Target,
		"left", d.Run.Deadline.Sub(now), "waited", d.Waited, "nested", d.Run.Nested, "progress", d.Run.Progress, "customer", d.Run.Customer, "origin", d.Run.CallerService)
	// While the target serves the call, it may send nested calls through the
	// entry duty, which must know their parent first. If the ring is full, the
	// nested calls only lose the parent's priority, customer and retry mark.
	parent := &dispatch.Parent{Call: d.Run}
	h.node.entry.Ring().Offer(parentStarted{parent: parent})
	held := h.takeHolding(d.ID)
	if held == nil {
		held = h.node.newHolding()
	}
	go h.performCall(ctx, cancel, d, parent, callerLink, held)
}

// performCall sends a call to the target and delivers the answer. What the two hold of the
// node's account is returned when the answer has been written.
func (h *gateHandler) performCall(ctx context.Context, cancel context.CancelFunc, d gate.Decision, parent *dispatch.Parent, callerLink *link, held *holding) {
	defer cancel()
	reservation := budget.NewReservation(answerSource{held})
	var answer *model.Answer
	outcome := model.OutcomeFailed
	startedAt := time.Now()
	err := fault.Catch(func() {
		answer, outcome = h.client.Do(budget.NewContext(ctx, reservation), d.Run, d.Target)
	})
	if err != nil {
		h.node.log.Emit(event.MeshPanicked, "call", d.ID, "error", err)
		answer = model.NewFailure(d.ID, model.ReasonInternal, "unexpected error in the target's node")
	}
	if len(answer.Body) == 0 {
		// What was read of a failed answer is gone. The caller may send its next call
		// before this function returns.
		reservation.Release()
	}
	answer.Load, answer.NestedFailed = h.node.targetLoad(), parent.NestedFailed.Load()
	if answer.Run != model.NotRun {
		answer.Work = parent.Work(model.ServiceWork{Service: d.Run.Service, Calls: 1, SlotTime: time.Since(startedAt)})
	}
	h.node.deliverHeld(callerLink, answer, held)
	_ = h.node.entry.Ring().Put(context.Background(), parentEnded{call: d.Run})
	if answer.FromNode() {
		h.node.log.Emit(event.MeshRunFailed, "id", d.Run.AttemptID, "call", d.ID, "target", d.Target,
			"reason", answer.Reason, "run", answer.Run, "detail", answer.Detail)
	}
	// Waits for room in the ring, since a lost message would leak the call's slot.
	_ = h.node.gate.Ring().Put(context.Background(), callFinished{id: d.ID, outcome: outcome, status: answer.Status})
}

func (h *gateHandler) probe(path string) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	health, err := h.client.Probe(ctx, path)
	_ = h.node.gate.Ring().Put(context.Background(), probeDone{result: health, err: err})
}

func (h *gateHandler) logProbe(m probeDone) {
	h.node.metrics.probes.Add(1)
	h.node.log.Emit(event.MeshProbed, "ok", m.result.OK, "target", m.result.Target, "cold_left", m.result.ColdLeft, "error", m.err)
}

// report reports the target's state to the entry duty and, through the peers duty,
// to the peers: immediately after a change, otherwise every reportInterval. It also
// updates the node's idle flag.
func (h *gateHandler) report(now time.Time) {
	if !h.core.TakeReportDue() && now.Before(h.nextReportAt) {
		return
	}
	h.nextReportAt = now.Add(reportInterval)
	r := &model.NodeReport{NodeInfo: model.NodeInfo{Node: h.node.id}}
	h.core.FillReport(now, r)
	for _, c := range r.Crashes {
		h.node.log.Emit(event.MeshCrashed, "fingerprint", c.Fingerprint, "crashes", c.Count)
	}
	h.node.idle.Store(h.core.Idle())
	h.core.EachWindow(h.node.metrics.setWindow)
	h.node.metrics.nestedSlots.Set(h.core.NestedSlots(now))
	// A report whose ring is full is lost, but each crash is reported only once. The peers
	// duty gets it after the entry duty has it, which tells the peers whose links open
	// later.
	forEntry, forPeers := *r, *r
	h.crashesForEntry = append(h.crashesForEntry, r.Crashes...)
	forEntry.Crashes = h.crashesForEntry
	if h.node.entry.Ring().Offer(reportReceived{report: &forEntry}) {
		h.crashesForPeers = append(h.crashesForPeers, h.crashesForEntry...)
		h.crashesForEntry = nil
	}
	forPeers.Crashes = h.crashesForPeers
	if h.node.peers.Ring().Offer(ownReport{report: &forPeers}) {
		h.crashesForPeers = nil
	}
}

// targetLoad returns the load of the target. Answers carry it, since the answers of
// a busy target reach the callers' nodes sooner than its reports.
func (n *Node) targetLoad() model.Load {
	return model.Load{InFlight: int(n.running.Load()), Queued: int(n.queued.Load())}
}

// deliver sends the result of a call to its caller's node. The gate duty may wait
// here for room in the entry duty's ring. The two cannot deadlock, since the entry
// duty never waits for the gate duty.
func (n *Node) deliver(callerLink *link, a *model.Answer) { n.deliverHeld(callerLink, a, nil) }

// deliverHeld delivers an answer with what it holds of the node's account, which is returned
// when the answer has been written.
func (n *Node) deliverHeld(callerLink *link, a *model.Answer, held *holding) {
	if callerLink == nil {
		n.onHeldAnswer(n.settings.Instance, a, held)
		return
	}
	n.writing.Add(1)
	callerLink.sendThen(frame.Answer{Answer: a}, func() {
		held.end()
		n.writing.Add(-1)
	})
}
