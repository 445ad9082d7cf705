package mesh

import (
	"time"

	"github.com/oleanderworks/oleanderworks/core/duty"
	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/core/ring"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/model/graph"
	"github.com/oleanderworks/oleanderworks/policy/mesh/departure"
	"github.com/oleanderworks/oleanderworks/policy/mesh/dispatch"
	"github.com/oleanderworks/oleanderworks/policy/mesh/poison"
	"github.com/oleanderworks/oleanderworks/policy/mesh/rollout"
	"github.com/oleanderworks/oleanderworks/transport/frame"
)

// entryRingCapacity bounds the messages that wait for the entry duty. A request
// is refused as not run if the ring is full.
const entryRingCapacity = 8192

// entryMessage is a message to the entry duty.
type entryMessage interface{ entryMessage() }

type (
	// requestReceived is a request of a caller.
	requestReceived struct {
		request *model.Request
		reply   ring.Reply[*model.Answer]
		// held is what the answers to its calls hold of the node's account. It belongs to the
		// entry duty until it replies, and again if the caller has disconnected.
		held []*holding
	}
	// requestCanceled reports that the caller of a request has disconnected.
	requestCanceled struct {
		id       model.CallID
		received *requestReceived
	}
	// answerReceived is the result of a call, sent by its target's node.
	answerReceived struct {
		peer   model.Instance
		answer *model.Answer
		held   *holding // what the answer holds of the node's account; may be nil
	}
	// parentStarted reports that a call is about to run at the node's own
	// target, which may send nested calls.
	parentStarted struct{ parent *dispatch.Parent }
	// parentEnded reports that the call has ended at the target.
	parentEnded struct{ call *model.Call }
	// reportReceived is a node's report about its target.
	reportReceived struct{ report *model.NodeReport }
	// crashesReceived is what a peer knows of requests that crash targets.
	crashesReceived struct {
		peer    model.Instance
		reports []model.CrashReport
	}
	// peerConnected reports that a peer has opened a link. The peer may lack crashes
	// that were reported before.
	peerConnected struct{ link *link }
	// poisonRecordsRead carries records of refused requests in the log: all of them if
	// loaded, otherwise changes.
	poisonRecordsRead struct {
		records []poison.Record
		loaded  bool
	}
	// poisonRecordWritten reports that the log has taken a record of a refused request.
	poisonRecordWritten struct{ record poison.Record }
	// usageReceived is the usage of the customers' rates by the callers of
	// another node.
	usageReceived struct {
		node  model.NodeID
		usage []model.CustomerUsage
	}
	// linkOpened reports that the link on which calls to a peer are sent is
	// open.
	linkOpened struct {
		peer model.Instance
		link *link
	}
	// linkClosed reports that such a link has closed.
	linkClosed struct {
		peer model.Instance
		link *link
	}
	// peersChanged carries the other nodes that share the customers' rates with
	// this one.
	peersChanged struct{ peers []model.Instance }
	// nodeStopping reports that the shutdown has begun; failRequests follows at endsAt.
	nodeStopping struct{ endsAt time.Time }
	// failRequests ends the requests that are still in progress with a failure.
	failRequests struct{}
	// entryConfigChanged carries the configuration and the availability zones
	// that are out of service to the entry duty.
	entryConfigChanged struct {
		config   *graph.Config
		zonesOut []model.Zone
		orders   []model.RolloutOrder // to move services to other versions
		end      model.LogPosition    // up to which the documents with the orders were read
	}
	// rolloutReceived is a node's state of an order to move a service to another version.
	rolloutReceived struct{ report model.RolloutReport }
	// rolloutStatusRead is the result of a task that reads the states of orders.
	rolloutStatusRead struct {
		task     rollout.Task
		statuses []model.RolloutStatus
		end      model.LogPosition
		err      error
	}
	// rolloutStatusAppended is the result of a task that appends the state of an order.
	rolloutStatusAppended struct {
		task     rollout.Task
		conflict bool
		err      error
	}
)

func (*requestReceived) entryMessage()    {}
func (requestCanceled) entryMessage()     {}
func (answerReceived) entryMessage()      {}
func (parentStarted) entryMessage()       {}
func (parentEnded) entryMessage()         {}
func (reportReceived) entryMessage()      {}
func (crashesReceived) entryMessage()     {}
func (peerConnected) entryMessage()       {}
func (poisonRecordsRead) entryMessage()   {}
func (poisonRecordWritten) entryMessage() {}
func (usageReceived) entryMessage()       {}
func (linkOpened) entryMessage()          {}
func (linkClosed) entryMessage()          {}
func (peersChanged) entryMessage()        {}
func (entryConfigChanged) entryMessage()  {}
func (failRequests) entryMessage()        {}
func (nodeStopping) entryMessage()        {}

func (rolloutReceived) entryMessage()       {}
func (rolloutStatusRead) entryMessage()     {}
func (rolloutStatusAppended) entryMessage() {}

// entryHandler handles the messages of the entry duty, which runs the dispatch
// policy.
type entryHandler struct {
	node        *Node
	core        *dispatch.Core
	pending     map[model.CallID]*pendingRequest
	links       map[model.Instance]*link
	departures  *departure.Table
	nextUsageAt time.Time
}

// pendingRequest is a request whose caller waits for the answer.
type pendingRequest struct {
	received  *requestReceived
	arrivedAt time.Time
	attemptID string // as sent by the caller
}

func newEntryDuty(n *Node) *duty.Duty[entryMessage] {
	s := n.settings
	h := &entryHandler{
		node:       n,
		core:       dispatch.New(s.Instance, s.Zone, s.Service, newRand()),
		pending:    make(map[model.CallID]*pendingRequest),
		links:      make(map[model.Instance]*link),
		departures: departure.New(),
	}
	if s.Rollouts != nil {
		h.core.EnableRollouts(n.id, *s.Rollouts)
	}
	return duty.New[entryMessage]("entry", entryRingCapacity, h)
}

// Handle implements duty.Handler.
func (h *entryHandler) Handle(now time.Time, batch []entryMessage) {
	for _, m := range batch {
		ok := h.node.guard("entry", m, func() {
			h.handle(now, m)
			h.applyDecisions(now)
			h.applyRollouts(now)
		})
		if m, isRequest := m.(*requestReceived); isRequest && !ok {
			h.abort(m.request.ID)
		}
	}
}

// abort fails a request whose handling has ended with an unexpected error. It may have run.
func (h *entryHandler) abort(id model.CallID) {
	h.core.Abort(id)
	if p := h.pending[id]; p != nil {
		delete(h.pending, id)
		p.received.reply.Send(model.NewFailure(id, model.ReasonInternal, "unexpected error in the node"))
	}
}

// Tick implements duty.Handler.
func (h *entryHandler) Tick(now time.Time) time.Time {
	next := now.Add(retryTickDelay) // if the timers panic
	h.node.guard("entry", timersDue{}, func() {
		h.core.SetConfirmedAt(h.node.documentsConfirmedAt())
		next = h.core.Tick(now)
		h.applyDecisions(now)
		h.applyRollouts(now)
		h.node.metrics.suspectedRequests.Set(int64(h.core.SuspectedRequests()))
		h.reportChainLimits()
		h.reportZoneShares()
		for _, record := range h.core.TakePoisonWrites() {
			h.node.poisonWriter.records.Offer(record) // the core requests it again
		}
	})
	if !now.Before(h.nextUsageAt) {
		h.nextUsageAt = now.Add(reportInterval)
		h.node.peers.Ring().Offer(ownUsage{usage: h.core.UsageToReport(now)})
	}
	if next.IsZero() || h.nextUsageAt.Before(next) {
		return h.nextUsageAt
	}
	return next
}

// reportChainLimits logs the changes of the limits on requests whose nested calls need a
// service that is short of room, and publishes the limits in force.
func (h *entryHandler) reportChainLimits() {
	for _, c := range h.core.ChainChanges() {
		h.node.log.Emit(event.MeshChainLimitChanged, "service", c.Service, "from", c.From, "to", c.To, "fraction", c.Fraction,
			"shed", c.Load.ShedFraction, "queue_delay", c.Load.QueueDelay, "running", c.Load.Running, "nested", c.Load.Nested,
			"limit", c.Load.Limit, "targets", c.Load.Targets)
	}
	limits := h.core.ChainLimits()
	h.node.metrics.chainLimits.Store(&limits)
}

func (h *entryHandler) handle(now time.Time, m entryMessage) {
	switch m := m.(type) {
	case *requestReceived:
		h.pending[m.request.ID] = &pendingRequest{received: m, arrivedAt: now, attemptID: m.request.AttemptID}
		h.core.SetConfirmedAt(h.node.documentsConfirmedAt())
		h.core.OnRequest(now, m.request)
	case requestCanceled:
		delete(h.pending, m.id)
		endAll(m.received.held)
		h.core.OnCanceled(now, m.id)
	case answerReceived:
		h.keepHolding(m)
		h.core.OnAnswer(now, m.peer, m.answer)
	case parentStarted:
		h.core.OnParentStarted(m.parent)
	case parentEnded:
		h.core.OnParentEnded(m.call)
	case reportReceived:
		h.core.OnReport(now, m.report)
		h.departures.OnReport(m.report.NodeInfo)
		h.node.metrics.crashReports.Add(int64(len(m.report.Crashes)))
	case crashesReceived:
		h.onCrashesReceived(now, m)
	case peerConnected:
		h.sendCrashes(now, m.link)
		h.sendDeparture(m.link)
		h.sendRollouts(now, m.link)
	case poisonRecordsRead:
		h.core.OnPoisonRecords(now, m.records, m.loaded)
	case poisonRecordWritten:
		h.core.OnPoisonRecordWritten(now, m.record)
	case usageReceived:
		h.core.OnUsage(now, m.node, m.usage)
	case linkOpened:
		if h.links[m.peer] != nil {
			h.core.OnLinkLost(now, m.peer) // the close of the link before comes later
		}
		h.links[m.peer] = m.link
	case linkClosed:
		if open := h.links[m.peer]; open == nil || open == m.link {
			delete(h.links, m.peer)
			h.core.OnLinkLost(now, m.peer)
		}
	case nodeStopping:
		h.core.OnStopping(m.endsAt)
	case failRequests:
		h.core.FailAll(now)
	case peersChanged:
		h.core.SetPeers(m.peers)
		h.departures.Retain(m.peers)
	case entryConfigChanged:
		h.core.OnConfig(now, m.config, m.zonesOut)
		h.onRolloutOrders(now, m)
		if m.config != nil {
			h.node.requestLimits.Store(&m.config.Limits)
		}
		h.node.configured.Store(h.core.Ready())
	case rolloutReceived, rolloutStatusRead, rolloutStatusAppended:
		h.handleRollout(now, m)
	}
}

// keepHolding keeps what an answer holds of the account until the request has ended.
func (h *entryHandler) keepHolding(m answerReceived) {
	if p := h.pending[m.answer.ID]; p != nil && m.held != nil {
		p.received.held = append(p.received.held, m.held)
		return
	}
	m.held.end()
}

func (h *entryHandler) onCrashesReceived(now time.Time, m crashesReceived) {
	before := h.core.SuspectedRequests()
	h.core.OnPeerCrashes(now, m.reports)
	if suspected := h.core.SuspectedRequests(); suspected != before {
		h.node.log.Emit(event.MeshCrashesLearned, "peer", m.peer, "reports", len(m.reports), "suspected_before", before, "suspected", suspected)
	}
}

// sendCrashes sends a peer what this node knows of requests that crash targets. If that
// fails, the link is closed, so that the peer opens another one and gets it there.
func (h *entryHandler) sendCrashes(now time.Time, l *link) {
	reports := h.core.CrashReports(now)
	if len(reports) > 0 && !l.send(frame.Crashes{Reports: reports}) {
		l.close(errLinkBusy)
	}
}

// sendDeparture tells a peer which target of it leaves, in case the peer has started since it
// reported that. A peer that starts waits for the answer also if there is none. If that fails, the link is closed, as in sendCrashes.
func (h *entryHandler) sendDeparture(l *link) {
	if !l.send(frame.Departed{Target: h.departures.Target(l.peer.Node.Instance)}) {
		l.close(errLinkBusy)
	}
}

// applyDecisions applies the core's decisions. A call that cannot be queued counts
// as refused, which may lead to further decisions.
func (h *entryHandler) applyDecisions(now time.Time) {
	for {
		decisions := h.core.Decisions()
		if len(decisions) == 0 {
			return
		}
		var unsent []dispatch.Decision
		for _, d := range decisions {
			if !h.applyDecision(now, d) {
				unsent = append(unsent, d)
			}
		}
		for _, d := range unsent {
			h.core.OnAnswer(now, d.Peer, model.NewRefusal(d.ID, model.ReasonPeerUnreachable, "no link to the target's node"))
		}
	}
}

func (h *entryHandler) applyDecision(now time.Time, d dispatch.Decision) bool {
	switch {
	case d.Answer != nil:
		h.sendAnswer(now, d)
		return true
	case d.Cancel:
		h.cancelCall(d)
		return true
	}
	h.logSend(d)
	if d.Peer == h.node.settings.Instance {
		return h.node.gate.Ring().Offer(callArrived{call: d.Call})
	}
	l := h.links[d.Peer]
	return l != nil && l.send(frame.Call{Call: d.Call})
}

func (h *entryHandler) cancelCall(d dispatch.Decision) {
	h.node.log.Emit(event.MeshCallCanceled, "call", d.ID, "peer", d.Peer)
	if d.Peer == h.node.settings.Instance {
		h.node.gate.Ring().Offer(callCanceled{id: d.ID})
		return
	}
	if l := h.links[d.Peer]; l != nil {
		l.send(frame.Cancel{ID: d.ID})
	}
}

func (h *entryHandler) sendAnswer(now time.Time, d dispatch.Decision) {
	p := h.pending[d.ID]
	if p == nil {
		return
	}
	delete(h.pending, d.ID)
	took := now.Sub(p.arrivedAt)
	h.node.metrics.recordAnswer(d.Answer, took)
	if d.RetryDenied {
		h.node.metrics.retriesDenied.Add(1)
	}
	if d.Answer.FromNode() {
		h.node.log.Emit(event.MeshRefused, "id", p.attemptID, "call", d.ID, "route", d.Route, "reason", d.Answer.Reason,
			"run", d.Answer.Run, "detail", d.Answer.Detail, "config", d.ConfigVersion, "documents_age", h.node.documentsAge(), "retry_denied", d.RetryDenied, "took", took)
	} else {
		h.node.log.Emit(event.MeshAnswered, "id", p.attemptID, "call", d.ID, "route", d.Route, "status", d.Answer.Status,
			"config", d.ConfigVersion, "retry_denied", d.RetryDenied, "took", took)
	}
	p.received.reply.Send(d.Answer)
}

func (h *entryHandler) logSend(d dispatch.Decision) {
	def := event.MeshSent
	if d.Call.Attempt > 0 {
		def = event.MeshResent
	}
	h.node.log.Emit(def, "id", d.Call.AttemptID, "call", d.ID, "route", d.Route, "service", d.Call.Service,
		"customer", d.Call.Customer, "peer", d.Peer, "attempt", d.Call.Attempt, "after", d.RetryReason,
		"config", d.ConfigVersion, "load_age", d.ReportAge)
}
