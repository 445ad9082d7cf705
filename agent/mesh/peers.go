package mesh

import (
	"net"
	"time"

	"github.com/oleanderworks/oleanderworks/core/duty"
	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/logservice/keyed"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/fleet"
	"github.com/oleanderworks/oleanderworks/transport/frame"
)

const (
	// peersRing bounds the messages that wait for the peers duty.
	peersRing = 4096
	// reportInterval separates the reports of a node to its peers. Rates are
	// divided by them: within it a hot customer may exceed its rate.
	reportInterval = 250 * time.Millisecond
	// quietInterval separates the reports that say nothing new.
	quietInterval = time.Second
)

// peersMessage is a message to the peers duty.
type peersMessage interface{ peersMessage() }

type (
	// foundNodes are records of the stream of nodes.
	foundNodes struct{ records []keyed.Record }
	// dialed is the result of an attempt to open a link.
	dialed struct {
		peer  model.Instance
		conn  net.Conn
		hello frame.Hello
		err   error
	}
	// accepted is a link that a peer has opened.
	accepted struct{ link *link }
	// linkClosed is the end of a link that this node has opened.
	linkClosed struct {
		link *link
		err  error
	}
	// originClosed is the end of a link that a peer has opened.
	originClosed struct {
		link *link
		err  error
	}
	// documentsRead are the operator's documents, whole or what was added.
	documentsRead struct {
		records []keyed.Record
		end     int64
		whole   bool
	}
	// peerDocuments is the end offset of a peer's documents.
	peerDocuments struct {
		peer model.Instance
		end  int64
	}
	// wanted is a peer's question for documents.
	wanted struct {
		link *link
		end  int64
	}
	// ownReport is the state of the target beside the node.
	ownReport struct{ report *model.Report }
	// usage is what the node's callers use of the customers' rates.
	usage struct{ list []model.Usage }
)

func (foundNodes) peersMessage()    {}
func (dialed) peersMessage()        {}
func (accepted) peersMessage()      {}
func (linkClosed) peersMessage()    {}
func (originClosed) peersMessage()  {}
func (documentsRead) peersMessage() {}
func (peerDocuments) peersMessage() {}
func (wanted) peersMessage()        {}
func (ownReport) peersMessage()     {}
func (usage) peersMessage()         {}

// peersDuty runs the fleet policy on its own thread.
type peersDuty struct {
	node    *Node
	core    *fleet.Core
	links   map[model.Instance]*link // opened by this node
	origins map[*link]bool           // opened by peers
	report  model.Report
	sentAt  time.Time
	dirty   bool
	urgent  bool
	configs configReader
}

func newPeersDuty(n *Node) *duty.Duty[peersMessage] {
	return duty.New[peersMessage]("peers", peersRing, &peersDuty{
		node:    n,
		core:    fleet.New(n.settings.Instance, newRand()),
		links:   make(map[model.Instance]*link),
		origins: make(map[*link]bool),
		configs: configReader{node: n},
	})
}

// Handle implements duty.Handler.
func (h *peersDuty) Handle(now time.Time, batch []peersMessage) {
	for _, m := range batch {
		h.handle(now, m)
	}
	h.act(now)
}

// Tick implements duty.Handler.
func (h *peersDuty) Tick(now time.Time) time.Time {
	next := h.core.Tick(now)
	h.act(now)
	due := h.sentAt.Add(quietInterval)
	if h.dirty {
		due = h.sentAt.Add(reportInterval)
	}
	if next.IsZero() || due.Before(next) {
		return due
	}
	return next
}

func (h *peersDuty) handle(now time.Time, m peersMessage) {
	switch m := m.(type) {
	case foundNodes:
		h.onNodes(now, m.records)
	case dialed:
		h.onDialed(now, m)
	case accepted:
		h.origins[m.link] = true
		h.core.OnFound(now, m.link.peer.Node.Instance)
		h.node.log.Emit(event.MeshLinkOpened, "peer", m.link.peer.Node.Instance, "by", "peer")
		m.link.send(frame.Report{Report: h.compose()})
	case linkClosed:
		h.onLinkClosed(now, m)
	case originClosed:
		delete(h.origins, m.link)
		h.node.log.Emit(event.MeshLinkClosed, "peer", m.link.peer.Node.Instance, "by", "peer", "error", m.err)
	case documentsRead:
		h.onDocuments(m)
	case peerDocuments:
		h.core.OnAhead(now, m.peer, m.end)
	case wanted:
		if list, end := h.core.Documents(); end > m.end {
			m.link.send(frame.Documents{End: end, List: list})
		}
	case ownReport:
		h.onOwnReport(m.report)
	case usage:
		h.report.Usage, h.report.UsageKnown = m.list, true
		h.dirty = h.dirty || len(m.list) > 0
	}
}

func (h *peersDuty) onNodes(now time.Time, records []keyed.Record) {
	for _, r := range records {
		id := model.Instance(r.Key)
		if _, _, err := net.SplitHostPort(r.Key); err != nil {
			h.node.log.Emit(event.MeshRecordRejected, "stream", keyed.StreamNodes, "key", r.Key, "detail", err)
			continue
		}
		if len(r.Value) == 0 {
			h.core.OnWithdrawn(now, id)
			continue
		}
		h.core.OnFound(now, id)
	}
}

func (h *peersDuty) onOwnReport(r *model.Report) {
	before := h.report
	h.report = *r
	h.report.Usage, h.report.UsageKnown = before.Usage, before.UsageKnown
	if r.State != before.State || r.Target != before.Target || r.Cold != before.Cold {
		h.urgent = true
	}
	h.dirty = h.dirty || r.Running != before.Running || r.Queued != before.Queued
}

func (h *peersDuty) onDialed(now time.Time, m dialed) {
	if m.err == nil && m.hello.Node.Instance != m.peer {
		m.conn.Close()
		m.err = errOtherNode
	}
	if m.err != nil {
		h.node.log.Emit(event.MeshDialFailed, "peer", m.peer, "error", m.err)
		h.core.OnFailed(now, m.peer)
		return
	}
	l := &link{peer: m.hello, conn: m.conn}
	l.read = func(f frame.Message) { h.node.onTargetFrame(l, f) }
	l.unsent = func(id model.CallID) {
		h.node.onAnswer(m.peer, model.Refusal(id, model.ReasonPeerUnreachable, "the link broke before the call was sent"))
	}
	l.closed = func(err error) { h.node.onLinkClosed(l, err) }
	l.start()
	h.links[m.peer] = l
	h.core.OnConnected(now, m.peer)
	h.node.entry.Ring().Offer(linked{peer: m.peer, link: l})
	h.node.log.Emit(event.MeshLinkOpened, "peer", m.peer, "by", "self")
}

func (h *peersDuty) onLinkClosed(now time.Time, m linkClosed) {
	peer := m.link.peer.Node.Instance
	h.node.log.Emit(event.MeshLinkClosed, "peer", peer, "by", "self", "error", m.err)
	if h.links[peer] == m.link {
		delete(h.links, peer)
		h.core.OnClosed(now, peer)
	}
}

func (h *peersDuty) onDocuments(m documentsRead) {
	changed := false
	if m.whole {
		changed = h.core.OnDocuments(m.records, m.end)
	} else {
		changed = h.core.OnRecords(m.records, m.end)
	}
	list, end := h.core.Documents()
	h.node.documents.Store(end)
	if changed {
		h.configs.read(list)
		h.urgent = true
	}
}

func (h *peersDuty) act(now time.Time) {
	for _, a := range h.core.Actions() {
		h.carryOut(a)
	}
	if peers, changed := h.core.Peers(); changed {
		h.node.entry.Ring().Offer(peersChanged{peers: peers})
	}
	h.sendReport(now)
}

func (h *peersDuty) carryOut(a fleet.Action) {
	switch a := a.(type) {
	case fleet.Dial:
		go h.node.dial(a.Peer)
	case fleet.HangUp:
		if l := h.links[a.Peer]; l != nil {
			delete(h.links, a.Peer)
			l.close(errWithdrawn)
		}
	case fleet.Want:
		if l := h.links[a.Peer]; l != nil {
			l.send(frame.Want{End: a.End})
		}
	}
}

func (h *peersDuty) compose() *model.Report {
	r := h.report
	r.Node = h.node.id
	r.Service, r.Zone = h.node.settings.Service, h.node.settings.Zone
	_, r.Documents = h.core.Documents()
	return &r
}

// sendReport tells the peers what is new, and that the node lives.
func (h *peersDuty) sendReport(now time.Time) {
	age := now.Sub(h.sentAt)
	if !h.urgent && !(h.dirty && age >= reportInterval) && age < quietInterval {
		return
	}
	h.sentAt, h.dirty, h.urgent = now, false, false
	report := frame.Report{Report: h.compose()}
	for l := range h.origins {
		l.send(report)
	}
	for _, l := range h.links {
		l.send(frame.Ping{})
	}
}
