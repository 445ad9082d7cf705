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
	// farLoadChange is the part of the target's limit by which its load must
	// have changed before peers in other availability zones are told.
	farLoadChange = 0.25
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
	ownReport struct{ report *model.NodeReport }
	// usage is what the node's callers use of the customers' rates.
	usage struct{ list []model.CustomerUsage }
	// foreignUsage came from another availability zone, for all peers in this
	// one.
	foreignUsage struct{ usage frame.Usage }
	// ended closes all links.
	ended struct{}
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
func (foreignUsage) peersMessage()  {}
func (ended) peersMessage()         {}

// peersDuty runs the fleet policy on its own thread.
type peersDuty struct {
	node    *Node
	core    *fleet.Core
	links   map[model.Instance]*link // opened by this node
	origins map[*link]*sentReport    // opened by peers
	configs configReader

	report   model.NodeReport // without usage
	usage    map[model.Customer]model.CustomerUsage
	unsent   map[model.Customer]bool // usage that peers do not have yet
	crashes  []model.CrashReport     // that peers do not know yet
	urgent   bool                    // peers have to know at once
	reportAt time.Time
	pingedAt time.Time
}

// sentReport is what a peer was told last.
type sentReport struct {
	at    time.Time
	place model.NodeInfo
	load  int
}

func newPeersDuty(n *Node) *duty.Duty[peersMessage] {
	return duty.New[peersMessage]("peers", peersRing, &peersDuty{
		node:    n,
		core:    fleet.New(n.settings.Instance, newRand()),
		links:   make(map[model.Instance]*link),
		origins: make(map[*link]*sentReport),
		usage:   make(map[model.Customer]model.CustomerUsage),
		unsent:  make(map[model.Customer]bool),
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
	if !now.Before(h.reportAt) {
		h.reportAt = now.Add(reportInterval)
		h.sendReports(now)
	}
	if next.IsZero() || h.reportAt.Before(next) {
		return h.reportAt
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
		h.origins[m.link] = new(sentReport)
		h.core.OnDiscovered(now, m.link.peer.Node.Instance)
		h.node.log.Emit(event.MeshLinkOpened, "peer", m.link.peer.Node.Instance, "by", "peer")
		h.sendTo(m.link, h.allUsage(), nil)
	case linkClosed:
		h.onLinkClosed(now, m)
	case originClosed:
		delete(h.origins, m.link)
		h.node.log.Emit(event.MeshLinkClosed, "peer", m.link.peer.Node.Instance, "by", "peer", "error", m.err)
	case documentsRead:
		h.onDocuments(m)
	case peerDocuments:
		h.core.OnPeerAhead(now, m.peer, m.end)
	case wanted:
		if list, end := h.core.Documents(); end > m.end {
			m.link.send(frame.Documents{End: end, List: list})
		}
	case ownReport:
		h.onOwnReport(m.report)
	case usage:
		h.onUsage(m.list)
	case foreignUsage:
		h.passOn(m.usage)
	case ended:
		h.closeLinks()
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
			h.core.OnPeerLeft(now, id)
			continue
		}
		h.core.OnDiscovered(now, id)
	}
}

func (h *peersDuty) closeLinks() {
	for _, l := range h.links {
		l.close(errStopped)
	}
	for l := range h.origins {
		l.close(errStopped)
	}
}

func (h *peersDuty) onOwnReport(r *model.NodeReport) {
	if r.NodeInfo != h.report.NodeInfo || r.Cold != h.report.Cold {
		h.urgent = true
	}
	if len(r.Crashes) > 0 {
		h.urgent = true
		h.crashes = append(h.crashes, r.Crashes...)
	}
	h.report = *r
}

func (h *peersDuty) onDialed(now time.Time, m dialed) {
	if m.err == nil && m.hello.Node.Instance != m.peer {
		m.conn.Close()
		m.err = errOtherNode
	}
	if m.err != nil {
		h.node.log.Emit(event.MeshDialFailed, "peer", m.peer, "error", m.err)
		h.core.OnDialFailed(now, m.peer)
		return
	}
	l := &link{peer: m.hello, conn: m.conn, sent: h.node.metrics.sent(m.hello.Zone == h.node.settings.Zone)}
	l.read = func(f frame.Message) { h.node.onTargetFrame(l, f) }
	l.unsent = func(id model.CallID) {
		h.node.onAnswer(m.peer, model.NewRefusal(id, model.ReasonPeerUnreachable, "the link broke before the call was sent"))
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
		h.core.OnLinkClosed(now, peer)
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
	if h.urgent {
		h.sendReports(now)
	}
}

func (h *peersDuty) carryOut(a fleet.Action) {
	switch a := a.(type) {
	case fleet.Dial:
		go h.node.dial(a.Peer)
	case fleet.CloseLink:
		if l := h.links[a.Peer]; l != nil {
			delete(h.links, a.Peer)
			l.close(errWithdrawn)
		}
	case fleet.RequestDocuments:
		if l := h.links[a.Peer]; l != nil {
			l.send(frame.Want{End: a.KnownEnd})
		}
	}
}

// sendReports tells the peers what is new, and that the node lives. Bytes
// between availability zones are dear: peers there get the load only when it
// has changed much, since they seldom choose the target.
func (h *peersDuty) sendReports(now time.Time) {
	h.report.Documents = h.core.EndOffset()
	if h.report.Node != h.node.id {
		h.report.Node = h.node.id
		h.report.Service, h.report.Zone = h.node.settings.Service, h.node.settings.Zone
	}
	var news []model.CustomerUsage
	for name := range h.unsent {
		news = append(news, h.usage[name])
	}
	clear(h.unsent)
	crashes := h.crashes
	h.crashes = nil
	for l, sent := range h.origins {
		var use []model.CustomerUsage
		if h.near(l) {
			use = news
		}
		if h.urgent || len(use) > 0 || h.moved(l, sent) || now.Sub(sent.at) >= quietInterval {
			h.sendTo(l, use, crashes)
			sent.at = now
		}
	}
	h.sendAbroad(news)
	if now.Sub(h.pingedAt) >= quietInterval {
		h.pingedAt = now
		for _, l := range h.links {
			l.send(frame.Ping{})
		}
	}
	h.urgent = false
}

// moved reports whether the load has changed so much that a peer has to know.
func (h *peersDuty) moved(l *link, sent *sentReport) bool {
	change := h.report.Running + h.report.Queued - sent.load
	if h.near(l) {
		return change != 0
	}
	return max(change, -change) > max(int(farLoadChange*float64(h.report.Limit)), 1)
}

func (h *peersDuty) sendTo(l *link, use []model.CustomerUsage, crashes []model.CrashReport) {
	sent := h.origins[l]
	r := h.report
	r.Usage, r.Crashes = use, crashes
	l.send(frame.Report{Report: &r, Brief: sent.place == r.NodeInfo})
	sent.place, sent.load = r.NodeInfo, r.Running+r.Queued
}
