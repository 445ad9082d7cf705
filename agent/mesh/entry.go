package mesh

import (
	"time"

	"github.com/oleanderworks/oleanderworks/core/duty"
	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/core/ring"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/model/graph"
	"github.com/oleanderworks/oleanderworks/policy/dispatch"
	"github.com/oleanderworks/oleanderworks/transport/frame"
)

// entryRing bounds the messages that wait for the entry duty. Requests beyond
// it are refused as not run.
const entryRing = 8192

// entryMessage is a message to the entry duty.
type entryMessage interface{ entryMessage() }

type (
	// begin is a request of a caller.
	begin struct {
		request *model.Request
		reply   ring.Reply[*model.Answer]
	}
	// canceled tells that the caller of a request has gone.
	canceled struct{ id model.CallID }
	// answered is the result of a call from the node of its target.
	answered struct {
		peer   model.Instance
		answer *model.Answer
	}
	// parentBegan tells that a call is about to run at the node's own target.
	parentBegan struct{ call *model.Call }
	// parentEnded tells that it has ended there.
	parentEnded struct{ call *model.Call }
	// reported is what a node says of itself.
	reported struct{ report *model.NodeReport }
	// used is what the callers of another node use of the customers' rates.
	used struct {
		node model.NodeID
		list []model.CustomerUsage
	}
	// linked gives the link on which calls to a peer are sent.
	linked struct {
		peer model.Instance
		link *link
	}
	// unlinked tells that a link has ended.
	unlinked struct {
		peer model.Instance
		link *link
	}
	// peersChanged gives the nodes among which rates are divided.
	peersChanged struct{ peers []model.Instance }
	// giveUp answers the requests that are still in progress.
	giveUp struct{}
	// configured gives the configuration and the availability zones that are
	// out of service.
	configured struct {
		config *graph.Config
		out    []model.Zone
	}
)

func (*begin) entryMessage()       {}
func (canceled) entryMessage()     {}
func (answered) entryMessage()     {}
func (parentBegan) entryMessage()  {}
func (parentEnded) entryMessage()  {}
func (reported) entryMessage()     {}
func (used) entryMessage()         {}
func (linked) entryMessage()       {}
func (unlinked) entryMessage()     {}
func (peersChanged) entryMessage() {}
func (configured) entryMessage()   {}
func (giveUp) entryMessage()       {}

// entryDuty runs the dispatch policy on its own thread.
type entryDuty struct {
	node    *Node
	core    *dispatch.Core
	replies map[model.CallID]*pending
	links   map[model.Instance]*link
	usageAt time.Time
}

// pending is a caller that waits for its answer.
type pending struct {
	reply   ring.Reply[*model.Answer]
	arrived time.Time
	name    string // the caller's id of the attempt
}

func newEntryDuty(n *Node) *duty.Duty[entryMessage] {
	s := n.settings
	return duty.New[entryMessage]("entry", entryRing, &entryDuty{
		node:    n,
		core:    dispatch.New(s.Instance, s.Zone, s.Service, newRand()),
		replies: make(map[model.CallID]*pending),
		links:   make(map[model.Instance]*link),
	})
}

// Handle implements duty.Handler.
func (h *entryDuty) Handle(now time.Time, batch []entryMessage) {
	for _, m := range batch {
		h.handle(now, m)
		h.act(now)
	}
}

// Tick implements duty.Handler.
func (h *entryDuty) Tick(now time.Time) time.Time {
	next := h.core.Tick(now)
	h.act(now)
	if !now.Before(h.usageAt) {
		h.usageAt = now.Add(reportInterval)
		h.node.peers.Ring().Offer(usage{list: h.core.Usage(now)})
	}
	if next.IsZero() || h.usageAt.Before(next) {
		return h.usageAt
	}
	return next
}

func (h *entryDuty) handle(now time.Time, m entryMessage) {
	switch m := m.(type) {
	case *begin:
		h.replies[m.request.ID] = &pending{reply: m.reply, arrived: now, name: m.request.AttemptID}
		h.core.OnRequest(now, m.request)
	case canceled:
		delete(h.replies, m.id)
		h.core.OnCanceled(now, m.id)
	case answered:
		h.core.OnAnswer(now, m.peer, m.answer)
	case parentBegan:
		h.core.OnParentStarted(m.call)
	case parentEnded:
		h.core.OnParentEnded(m.call)
	case reported:
		h.core.OnReport(now, m.report)
	case used:
		h.core.OnUsage(now, m.node, m.list)
	case linked:
		h.links[m.peer] = m.link
	case unlinked:
		if h.links[m.peer] == m.link {
			delete(h.links, m.peer)
		}
		h.core.OnLinkLost(now, m.peer)
	case giveUp:
		h.core.FailAll(now)
	case peersChanged:
		h.core.OnPeers(m.peers)
	case configured:
		h.core.OnConfig(now, m.config, m.out)
		h.node.configured.Store(h.core.Ready())
	}
}

// act carries out decisions. A call that cannot be queued is refused, which
// leads to further decisions.
func (h *entryDuty) act(now time.Time) {
	for {
		decisions := h.core.Decisions()
		if len(decisions) == 0 {
			return
		}
		var unsent []dispatch.Decision
		for _, d := range decisions {
			if !h.carryOut(now, d) {
				unsent = append(unsent, d)
			}
		}
		for _, d := range unsent {
			h.core.OnAnswer(now, d.Peer, model.NewRefusal(d.ID, model.ReasonPeerUnreachable, "no link to the target's node"))
		}
	}
}

func (h *entryDuty) carryOut(now time.Time, d dispatch.Decision) bool {
	switch {
	case d.Answer != nil:
		h.answer(now, d)
		return true
	case d.Cancel:
		h.recall(d)
		return true
	}
	h.logSend(d)
	if d.Peer == h.node.settings.Instance {
		return h.node.gate.Ring().Offer(arrived{call: d.Call})
	}
	l := h.links[d.Peer]
	return l != nil && l.send(frame.Call{Call: d.Call})
}

func (h *entryDuty) recall(d dispatch.Decision) {
	h.node.log.Emit(event.MeshRecalled, "call", d.ID, "peer", d.Peer)
	if d.Peer == h.node.settings.Instance {
		h.node.gate.Ring().Offer(gone{id: d.ID})
		return
	}
	if l := h.links[d.Peer]; l != nil {
		l.send(frame.Cancel{ID: d.ID})
	}
}

func (h *entryDuty) answer(now time.Time, d dispatch.Decision) {
	p := h.replies[d.ID]
	if p == nil {
		return
	}
	delete(h.replies, d.ID)
	took := now.Sub(p.arrived)
	h.node.metrics.answered(d.Answer, took)
	if d.Answer.FromSystem() {
		h.node.log.Emit(event.MeshRefused, "id", p.name, "call", d.ID, "route", d.Route, "reason", d.Answer.Reason,
			"run", d.Answer.Run, "detail", d.Answer.Detail, "config", d.ConfigVersion, "took", took)
	} else {
		h.node.log.Emit(event.MeshAnswered, "id", p.name, "call", d.ID, "route", d.Route, "status", d.Answer.Status,
			"config", d.ConfigVersion, "took", took)
	}
	p.reply.Send(d.Answer)
}

func (h *entryDuty) logSend(d dispatch.Decision) {
	def := event.MeshSent
	if d.Call.Attempt > 0 {
		def = event.MeshSentAgain
	}
	h.node.log.Emit(def, "id", d.Call.AttemptID, "call", d.ID, "route", d.Route, "service", d.Call.Service,
		"customer", d.Call.Customer, "peer", d.Peer, "attempt", d.Call.Attempt, "after", d.RetryReason,
		"config", d.ConfigVersion, "load_age", d.ReportAge)
}
