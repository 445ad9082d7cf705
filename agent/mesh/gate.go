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
	// gateRing bounds the messages that wait for the gate duty. Calls beyond it
	// are refused as not run.
	gateRing = 8192
	// probeTimeout bounds a probe of the target.
	probeTimeout = time.Second
	// defaultHealthPath is probed until the configuration is known.
	defaultHealthPath = "/healthz"
)

// gateMessage is a message to the gate duty.
type gateMessage interface{ gateMessage() }

type (
	// arrived is a call for the target; origin is nil for one of this node.
	arrived struct {
		call   *model.Call
		origin *link
	}
	// gone tells that the caller of a call has gone.
	gone struct{ id model.CallID }
	// finished is the end of a call at the target.
	finished struct {
		id     model.CallID
		end    model.RunOutcome
		status int // of the target's answer
	}
	// originLost tells that the link to the node of callers has ended.
	originLost struct{ link *link }
	// announced is what the target says of itself.
	announced struct {
		announcement gate.Announcement
		reply        ring.Reply[bool]
	}
	// deregistered is the target's last word.
	deregistered struct {
		id    model.Instance
		born  int64
		reply ring.Reply[bool]
	}
	// probed is the result of a probe.
	probed struct {
		result model.Health
		err    error
	}
	// gateConfigured gives the configuration to the gate.
	gateConfigured struct {
		config *graph.Config
		out    []model.Zone
	}
	// stopping begins the shutdown.
	stopping struct{}
)

func (arrived) gateMessage()        {}
func (gone) gateMessage()           {}
func (finished) gateMessage()       {}
func (originLost) gateMessage()     {}
func (announced) gateMessage()      {}
func (deregistered) gateMessage()   {}
func (probed) gateMessage()         {}
func (gateConfigured) gateMessage() {}
func (stopping) gateMessage()       {}

// gateDuty runs the gate policy on its own thread.
type gateDuty struct {
	node     *Node
	core     *gate.Core
	client   *exchange.Client
	origins  map[model.CallID]*link
	cancels  map[model.CallID]context.CancelFunc
	health   string
	out      bool
	started  bool
	reportAt time.Time
	state    string
}

func newGateDuty(n *Node, client *exchange.Client) *duty.Duty[gateMessage] {
	return duty.New[gateMessage]("gate", gateRing, &gateDuty{
		node:    n,
		core:    gate.New(n.settings.Service, n.settings.Zone),
		client:  client,
		origins: make(map[model.CallID]*link),
		cancels: make(map[model.CallID]context.CancelFunc),
		health:  defaultHealthPath,
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
	if next.IsZero() || h.reportAt.Before(next) {
		return h.reportAt
	}
	return next
}

func (h *gateDuty) handle(now time.Time, m gateMessage) {
	switch m := m.(type) {
	case arrived:
		if m.origin != nil {
			h.origins[m.call.ID] = m.origin
		}
		h.core.OnCall(now, m.call)
	case gone:
		h.core.OnCanceled(now, m.id)
		h.forget(m.id)
	case finished:
		delete(h.cancels, m.id)
		delete(h.origins, m.id)
		h.core.OnFinished(now, m.id, m.end, m.status)
	case originLost:
		h.loseOrigin(now, m.link)
	case announced:
		m.reply.Send(h.announce(now, m.announcement))
	case deregistered:
		h.core.OnDeregistered(now, m.id, m.born)
		m.reply.Send(true)
	case probed:
		h.logProbe(m)
		h.core.OnProbeResult(now, m.result)
	case gateConfigured:
		h.configure(now, m)
	case stopping:
		h.core.Stop(now)
	}
}

func (h *gateDuty) announce(now time.Time, a gate.Announcement) bool {
	a.Interval = h.node.settings.AnnounceInterval
	if a.Address != "" && a.Address != h.node.settings.TargetAddress {
		h.node.log.Emit(event.MeshAnnouncementRejected, "id", a.ID, "address", a.Address, "detail", "it names another address")
		return false
	}
	ok := h.core.OnAnnouncement(now, a)
	if !ok {
		h.node.log.Emit(event.MeshAnnouncementRejected, "id", a.ID, "born", a.StartedAtMs, "sequence", a.Sequence,
			"service", a.Service, "detail", "it is older than what is known, or names another service")
	}
	return ok
}

func (h *gateDuty) configure(now time.Time, m gateConfigured) {
	if m.config != nil {
		if s := m.config.Services[h.node.settings.Service]; s != nil {
			h.core.SetColdRate(s.ColdRate)
			if s.HealthPath != "" {
				h.health = s.HealthPath
			}
		}
	}
	if out := slices.Contains(m.out, h.node.settings.Zone); out != h.out {
		h.out = out
		h.core.SetZoneOut(now, out)
	}
}

// loseOrigin ends the calls whose callers' node cannot be reached any more.
func (h *gateDuty) loseOrigin(now time.Time, l *link) {
	for id, origin := range h.origins {
		if origin == l {
			h.core.OnCanceled(now, id)
			h.forget(id)
		}
	}
}

// forget drops the origin of a call that has left the gate unanswered.
func (h *gateDuty) forget(id model.CallID) {
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
	if h.core.ProbeDue() {
		go h.probe(h.health)
	}
	if state := h.core.State(); state != h.state {
		h.node.log.Emit(event.MeshTargetChanged, "from", h.state, "to", state)
		h.state = state
	}
}

func (h *gateDuty) refuse(d gate.Decision) {
	origin := h.origins[d.ID]
	delete(h.origins, d.ID)
	h.node.metrics.refused.Add(1)
	h.node.log.Emit(event.MeshGateRefused, "call", d.ID, "reason", d.Answer.Reason, "detail", d.Answer.Detail,
		"running", d.Answer.Load.InFlight, "queued", d.Answer.Load.Queued, "limit", d.Answer.Load.Limit)
	h.node.deliver(origin, d.Answer)
}

// run hands a call to the target on a thread of its own, which waits for the
// answer.
func (h *gateDuty) run(now time.Time, d gate.Decision) {
	ctx, cancel := context.WithCancel(context.Background())
	h.cancels[d.ID] = cancel
	origin := h.origins[d.ID]
	h.node.log.Emit(event.MeshRun, "id", d.Run.AttemptID, "call", d.ID, "target", d.Target,
		"left", d.Run.Deadline.Sub(now), "customer", d.Run.Customer, "origin", d.Run.CallerService)
	// The target's own calls come through the entry duty, which must know their
	// parent by then. A full ring costs them the parent's priority only.
	h.node.entry.Ring().Offer(parentBegan{call: d.Run})
	go h.exchange(ctx, cancel, d, origin)
}

func (h *gateDuty) exchange(ctx context.Context, cancel context.CancelFunc, d gate.Decision, origin *link) {
	defer cancel()
	answer, end := h.client.Do(ctx, d.Run, d.Target)
	answer.Load = h.node.targetLoad()
	h.node.deliver(origin, answer)
	_ = h.node.entry.Ring().Put(context.Background(), parentEnded{call: d.Run})
	if answer.FromSystem() {
		h.node.log.Emit(event.MeshRunFailed, "id", d.Run.AttemptID, "call", d.ID, "target", d.Target,
			"reason", answer.Reason, "run", answer.Run, "detail", answer.Detail)
	}
	// Waits for room: a lost message would hold the slot for ever.
	_ = h.node.gate.Ring().Put(context.Background(), finished{id: d.ID, end: end, status: answer.Status})
}

func (h *gateDuty) probe(path string) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	health, err := h.client.Probe(ctx, path)
	_ = h.node.gate.Ring().Put(context.Background(), probed{result: health, err: err})
}

func (h *gateDuty) logProbe(m probed) {
	h.node.metrics.probes.Add(1)
	h.node.log.Emit(event.MeshProbed, "ok", m.result.OK, "target", m.result.Target, "cold_left", m.result.ColdLeft, "error", m.err)
}

// report tells the peers of the target, at once when its state has changed.
func (h *gateDuty) report(now time.Time) {
	if !h.core.ReportDue() && now.Before(h.reportAt) {
		return
	}
	h.reportAt = now.Add(reportInterval)
	r := &model.NodeReport{NodeInfo: model.NodeInfo{Node: h.node.id}}
	h.core.Report(now, r)
	for _, c := range r.Crashes {
		h.node.log.Emit(event.MeshCrashed, "fingerprint", c.Fingerprint, "crashes", c.Count)
	}
	h.node.idle.Store(h.core.Idle())
	h.node.entry.Ring().Offer(reported{report: r})
	h.node.peers.Ring().Offer(ownReport{report: r})
}

// targetLoad returns the load of the target for the answers to calls: at a busy
// target they tell it sooner than the reports.
func (n *Node) targetLoad() model.Load {
	return model.Load{InFlight: int(n.running.Load()), Queued: int(n.queued.Load())}
}

// deliver sends the result of a call to the node of its caller.
func (n *Node) deliver(origin *link, a *model.Answer) {
	if origin == nil {
		_ = n.entry.Ring().Put(context.Background(), answered{peer: n.settings.Instance, answer: a})
		return
	}
	origin.send(frame.Answer{Answer: a})
}
