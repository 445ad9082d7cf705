package mesh

import (
	"context"
	"slices"
	"time"

	"github.com/oleanderworks/oleanderworks/core/duty"
	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/core/ring"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/model/graph"
	"github.com/oleanderworks/oleanderworks/policy/gate"
	"github.com/oleanderworks/oleanderworks/transport/exchange"
	"github.com/oleanderworks/oleanderworks/transport/frame"
)

const (
	// gateRingCapacity bounds the messages that wait for the gate duty. Calls
	// that find the ring full are refused as not run.
	gateRingCapacity = 8192
	// probeTimeout bounds a health probe of the target.
	probeTimeout = time.Second
	// defaultHealthPath is probed until a configuration names another path.
	defaultHealthPath = "/healthz"
)

// gateMessage is a message to the gate duty.
type gateMessage interface{ gateMessage() }

type (
	// callArrived is a call for the target. origin is the link to the caller's
	// node, nil for a call from this node.
	callArrived struct {
		call   *model.Call
		origin *link
	}
	// callCanceled reports that the result of a call is no longer wanted: its
	// caller has disconnected or the time limit has passed.
	callCanceled struct{ id model.CallID }
	// callFinished reports the end of a call at the target.
	callFinished struct {
		id      model.CallID
		outcome model.RunOutcome
		status  int // of the target's answer
	}
	// originLost reports that a link that a peer opened, and on which its calls
	// arrived, has closed.
	originLost struct{ link *link }
	// targetAnnounced is an announcement of the target on its state.
	targetAnnounced struct {
		announcement gate.Announcement
		reply        ring.Reply[bool]
	}
	// targetDeregistered reports that the target has deregistered itself.
	targetDeregistered struct {
		id          model.Instance
		startedAtMs int64
		reply       ring.Reply[bool]
	}
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
	// refuseCalls makes the gate refuse new and waiting calls from now on, since
	// the node shuts down.
	refuseCalls struct{}
)

func (callArrived) gateMessage()        {}
func (callCanceled) gateMessage()       {}
func (callFinished) gateMessage()       {}
func (originLost) gateMessage()         {}
func (targetAnnounced) gateMessage()    {}
func (targetDeregistered) gateMessage() {}
func (probeDone) gateMessage()          {}
func (gateConfigChanged) gateMessage()  {}
func (refuseCalls) gateMessage()        {}

// gateDuty runs the gate policy on its own thread.
type gateDuty struct {
	node         *Node
	core         *gate.Core
	client       *exchange.Client
	origins      map[model.CallID]*link              // links to the callers' nodes
	cancels      map[model.CallID]context.CancelFunc // of calls at the target
	healthPath   string
	zoneOut      bool
	started      bool
	nextReportAt time.Time
	loggedState  string
}

func newGateDuty(n *Node, client *exchange.Client) *duty.Duty[gateMessage] {
	return duty.New[gateMessage]("gate", gateRingCapacity, &gateDuty{
		node:       n,
		core:       gate.New(n.settings.Service, n.settings.Zone),
		client:     client,
		origins:    make(map[model.CallID]*link),
		cancels:    make(map[model.CallID]context.CancelFunc),
		healthPath: defaultHealthPath,
	})
}

// Handle implements duty.Handler.
func (h *gateDuty) Handle(now time.Time, batch []gateMessage) {
	for _, m := range batch {
		h.handle(now, m)
		h.act(now)
	}
	h.report(now)
}

// Tick implements duty.Handler.
func (h *gateDuty) Tick(now time.Time) time.Time {
	if !h.started {
		h.started = true
		h.core.StartProbing(now)
	}
	next := h.core.Tick(now)
	h.act(now)
	h.report(now)
	if next.IsZero() || h.nextReportAt.Before(next) {
		return h.nextReportAt
	}
	return next
}

func (h *gateDuty) handle(now time.Time, m gateMessage) {
	switch m := m.(type) {
	case callArrived:
		if m.origin != nil {
			h.origins[m.call.ID] = m.origin
		}
		h.core.OnCall(now, m.call)
	case callCanceled:
		h.core.OnCanceled(now, m.id)
		h.forgetOrigin(m.id)
	case callFinished:
		delete(h.cancels, m.id)
		delete(h.origins, m.id)
		h.core.OnFinished(now, m.id, m.outcome, m.status)
	case originLost:
		h.cancelCallsFrom(now, m.link)
	case targetAnnounced:
		m.reply.Send(h.onAnnouncement(now, m.announcement))
	case targetDeregistered:
		h.core.OnDeregistered(now, m.id, m.startedAtMs)
		m.reply.Send(true)
	case probeDone:
		h.logProbe(m)
		h.core.OnProbeResult(now, m.result)
	case gateConfigChanged:
		h.applyConfig(now, m)
	case refuseCalls:
		h.core.Stop(now)
	}
}

func (h *gateDuty) onAnnouncement(now time.Time, a gate.Announcement) bool {
	a.Interval = h.node.settings.AnnounceInterval
	if a.Address != "" && a.Address != h.node.settings.TargetAddress {
		h.node.log.Emit(event.MeshAnnouncementRejected, "id", a.ID, "address", a.Address, "detail", "it names an address other than the configured target's")
		return false
	}
	ok := h.core.OnAnnouncement(now, a)
	if !ok {
		h.node.log.Emit(event.MeshAnnouncementRejected, "id", a.ID, "born", a.StartedAtMs, "sequence", a.Sequence,
			"service", a.Service, "detail", "it is older than the last accepted one or names another service")
	}
	return ok
}

func (h *gateDuty) applyConfig(now time.Time, m gateConfigChanged) {
	if m.config != nil {
		if s := m.config.Services[h.node.settings.Service]; s != nil {
			h.core.SetColdRate(s.ColdRate)
			if s.HealthPath != "" {
				h.healthPath = s.HealthPath
			}
		}
	}
	if zoneOut := slices.Contains(m.zonesOut, h.node.settings.Zone); zoneOut != h.zoneOut {
		h.zoneOut = zoneOut
		h.core.SetZoneOut(now, zoneOut)
	}
}

// cancelCallsFrom cancels the calls that arrived on a link that has closed,
// since their answers cannot be sent any more.
func (h *gateDuty) cancelCallsFrom(now time.Time, l *link) {
	for id, origin := range h.origins {
		if origin == l {
			h.core.OnCanceled(now, id)
			h.forgetOrigin(id)
		}
	}
}

// forgetOrigin drops the origin of a canceled call that was not handed to the
// target: no answer will follow.
func (h *gateDuty) forgetOrigin(id model.CallID) {
	if h.cancels[id] == nil {
		delete(h.origins, id)
	}
}

func (h *gateDuty) act(now time.Time) {
	for _, d := range h.core.Decisions() {
		switch {
		case d.Run != nil:
			h.run(now, d)
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

func (h *gateDuty) refuse(d gate.Decision) {
	origin := h.origins[d.ID]
	delete(h.origins, d.ID)
	h.node.metrics.gateRefused.Add(1)
	h.node.log.Emit(event.MeshGateRefused, "call", d.ID, "reason", d.Answer.Reason, "detail", d.Answer.Detail,
		"running", d.Answer.Load.InFlight, "queued", d.Answer.Load.Queued, "limit", d.Answer.Load.Limit)
	h.node.deliver(origin, d.Answer)
}

// run hands a call to the target in a goroutine, which waits for the answer.
func (h *gateDuty) run(now time.Time, d gate.Decision) {
	ctx, cancel := context.WithCancel(context.Background())
	h.cancels[d.ID] = cancel
	origin := h.origins[d.ID]
	h.node.log.Emit(event.MeshRun, "id", d.Run.AttemptID, "call", d.ID, "target", d.Target,
		"left", d.Run.Deadline.Sub(now), "customer", d.Run.Customer, "origin", d.Run.CallerService)
	// While it serves the call, the target may send calls of its own through
	// the entry duty, which must know their parent by then. If the ring is full,
	// they lose only the parent's priority, customer and retry mark.
	h.node.entry.Ring().Offer(parentStarted{call: d.Run})
	go h.exchange(ctx, cancel, d, origin)
}

func (h *gateDuty) exchange(ctx context.Context, cancel context.CancelFunc, d gate.Decision, origin *link) {
	defer cancel()
	answer, outcome := h.client.Do(ctx, d.Run, d.Target)
	answer.Load = h.node.targetLoad()
	h.node.deliver(origin, answer)
	_ = h.node.entry.Ring().Put(context.Background(), parentEnded{call: d.Run})
	if answer.FromNode() {
		h.node.log.Emit(event.MeshRunFailed, "id", d.Run.AttemptID, "call", d.ID, "target", d.Target,
			"reason", answer.Reason, "run", answer.Run, "detail", answer.Detail)
	}
	// Waits for room, since a lost message would leave the slot occupied for
	// ever.
	_ = h.node.gate.Ring().Put(context.Background(), callFinished{id: d.ID, outcome: outcome, status: answer.Status})
}

func (h *gateDuty) probe(path string) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	health, err := h.client.Probe(ctx, path)
	_ = h.node.gate.Ring().Put(context.Background(), probeDone{result: health, err: err})
}

func (h *gateDuty) logProbe(m probeDone) {
	h.node.metrics.probes.Add(1)
	h.node.log.Emit(event.MeshProbed, "ok", m.result.OK, "target", m.result.Target, "cold_left", m.result.ColdLeft, "error", m.err)
}

// report reports the target's state to the entry duty and, through the peers duty,
// to the peers: at once when it has changed, otherwise at intervals. It also
// updates the node's idle flag.
func (h *gateDuty) report(now time.Time) {
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
	h.node.entry.Ring().Offer(reportReceived{report: r})
	h.node.peers.Ring().Offer(ownReport{report: r})
}

// targetLoad returns the load of the target, which answers carry: from a busy
// target they reach the callers' nodes sooner than the reports.
func (n *Node) targetLoad() model.Load {
	return model.Load{InFlight: int(n.running.Load()), Queued: int(n.queued.Load())}
}

// deliver sends the result of a call to the node of its caller. The gate duty may
// wait here for room in the entry duty's ring: the entry duty never waits for the
// gate duty, so the two cannot deadlock.
func (n *Node) deliver(origin *link, a *model.Answer) {
	if origin == nil {
		_ = n.entry.Ring().Put(context.Background(), answerReceived{peer: n.settings.Instance, answer: a})
		return
	}
	origin.send(frame.Answer{Answer: a})
}
