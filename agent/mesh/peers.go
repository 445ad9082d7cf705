package mesh

import (
	"math"
	"net"
	"time"

	"github.com/oleanderworks/oleanderworks/core/duty"
	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/core/timers"
	"github.com/oleanderworks/oleanderworks/logservice/keyed"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/mesh/fleet"
	"github.com/oleanderworks/oleanderworks/policy/mesh/freshness"
	"github.com/oleanderworks/oleanderworks/transport/frame"
)

const (
	// peersRingCapacity bounds the messages that wait for the peers duty.
	peersRingCapacity = 4096
	// reportInterval is the time between a node's reports of load and usage to its
	// peers while these change. The customers' rates are divided between nodes by
	// the reported usage, so a customer whose load rises may exceed its rate for
	// this long.
	reportInterval = 250 * time.Millisecond
	// otherZoneLoadChange is the fraction of the target's limit by which its load
	// must change before it is reported to peers in other availability zones.
	otherZoneLoadChange = 0.25
	// shedChange is the change of the fraction of calls that are turned away from which on
	// it is reported to all peers: callers' nodes must notice overload within half a second.
	shedChange = 0.1
	// keepAliveInterval is the time between reports without changes, and between
	// pings.
	keepAliveInterval = time.Second
)

// peersMessage is a message to the peers duty.
type peersMessage interface{ peersMessage() }

type (
	// nodesRead carries the log's answer to a read of the stream of nodes.
	nodesRead struct{ answer logAnswer }
	// addressPublished reports that the log has this node's address.
	addressPublished struct{ era uint64 }
	// dialDone is the result of a dial.
	dialDone struct {
		peer  model.Instance
		conn  net.Conn
		hello frame.Hello
		err   error
	}
	// incomingOpened reports that a peer has opened a link.
	incomingOpened struct{ link *link }
	// outgoingClosed reports that a link that this node opened has closed.
	outgoingClosed struct {
		link *link
		err  error
	}
	// incomingClosed reports that a link that a peer opened has closed.
	incomingClosed struct {
		link *link
		err  error
	}
	// documentsRead carries the log's answer to a read of the operator's documents.
	documentsRead struct{ answer logAnswer }
	// logChecked carries the log's answer to a check. After an error answer has no
	// records.
	logChecked struct {
		answer logAnswer
		err    error
	}
	// peerDocuments carries all of the operator's documents, sent by a peer.
	peerDocuments struct{ documents frame.Documents }
	// peerConfirmed reports that the log has confirmed to a peer that there are no
	// documents after the position end.
	peerConfirmed struct {
		end model.LogPosition
		at  time.Time
	}
	// peerStatedDocuments carries the state of a peer's documents, if this node lacks
	// some of them or is incomplete.
	peerStatedDocuments struct {
		peer  model.Instance
		state model.DocumentsState
	}
	// documentsRequested is the request of a peer for documents that it does not
	// have.
	documentsRequested struct {
		link  *link
		known model.DocumentsState
	}
	// ownReport is the state of the node's own target.
	ownReport struct{ report *model.NodeReport }
	// ownUsage is the usage of the customers' rates by the node's own callers.
	ownUsage struct{ usage []model.CustomerUsage }
	// otherZoneUsage is the usage that a node in another availability zone
	// reports, to be forwarded to all nodes of this zone.
	otherZoneUsage struct{ usage frame.Usage }
	// ownRollout is this node's state of an order to move a service to another version.
	ownRollout struct{ report model.RolloutReport }
	// otherZoneRollout is the state of a node in another availability zone, to be forwarded
	// to all nodes of this zone.
	otherZoneRollout struct{ rollout frame.Rollout }
	// closeAllLinks closes all links, since the node stops.
	closeAllLinks struct{}
)

func (nodesRead) peersMessage()           {}
func (addressPublished) peersMessage()    {}
func (dialDone) peersMessage()            {}
func (incomingOpened) peersMessage()      {}
func (outgoingClosed) peersMessage()      {}
func (incomingClosed) peersMessage()      {}
func (documentsRead) peersMessage()       {}
func (logChecked) peersMessage()          {}
func (peerDocuments) peersMessage()       {}
func (peerConfirmed) peersMessage()       {}
func (peerStatedDocuments) peersMessage() {}
func (documentsRequested) peersMessage()  {}
func (ownReport) peersMessage()           {}
func (ownUsage) peersMessage()            {}
func (otherZoneUsage) peersMessage()      {}
func (closeAllLinks) peersMessage()       {}
func (ownRollout) peersMessage()          {}
func (otherZoneRollout) peersMessage()    {}

// peersHandler handles the messages of the peers duty, which runs the fleet policy.
type peersHandler struct {
	node        *Node
	core        *fleet.Core
	freshness   *freshness.Core
	outgoing    map[model.Instance]*link // opened by this node
	incoming    map[*link]*sentReport    // opened by peers
	loader      configLoader
	unsentPeers []model.Instance // for the entry duty; nil if it has them

	report       model.NodeReport // usage and crashes are set when it is sent
	usage        map[model.Customer]model.CustomerUsage
	unsentUsage  map[model.Customer]bool // customers whose usage has changed since the last report
	reportDue    bool                    // reports are due before nextReportAt
	nextReportAt time.Time
	lastPingAt   time.Time
}

// sentReport is what was last reported on a link. It determines when the next report
// is due there and whether it can omit the node's info.
type sentReport struct {
	sentAt time.Time
	info   model.NodeInfo // as last sent
	load   int            // running and queued calls, as last sent
	shed   float64        // fraction of calls that were turned away, as last sent
	// unsentCrashes holds the crashes that the link's ring has not accepted yet. The peer
	// hears of each crash only once.
	unsentCrashes []model.CrashReport
}

func newPeersDuty(n *Node) *duty.Duty[peersMessage] {
	h := &peersHandler{
		node:        n,
		freshness:   freshness.New(newRand()),
		outgoing:    make(map[model.Instance]*link),
		incoming:    make(map[*link]*sentReport),
		usage:       make(map[model.Customer]model.CustomerUsage),
		unsentUsage: make(map[model.Customer]bool),
		loader:      configLoader{node: n},
	}
	h.core = fleet.New(n.settings.Instance, h.loader.version, newRand())
	return duty.New[peersMessage]("peers", peersRingCapacity, h)
}

// Handle implements duty.Handler.
func (h *peersHandler) Handle(now time.Time, batch []peersMessage) {
	for _, m := range batch {
		h.node.guard("peers", m, func() { h.handle(now, m) })
	}
	h.performActions(now)
}

// Tick implements duty.Handler.
func (h *peersHandler) Tick(now time.Time) time.Time {
	next := timers.Earlier(h.core.Tick(now), h.freshness.Tick(now))
	h.performActions(now)
	if !now.Before(h.nextReportAt) {
		h.nextReportAt = now.Add(reportInterval)
		h.sendReports(now)
	}
	return timers.Earlier(next, h.nextReportAt)
}

func (h *peersHandler) handle(now time.Time, m peersMessage) {
	switch m := m.(type) {
	case nodesRead:
		h.onNodesRead(now, m.answer)
	case addressPublished:
		h.core.OnAddressPublished(m.era)
	case dialDone:
		h.onDialDone(now, m)
	case incomingOpened:
		h.onIncomingOpened(now, m.link)
	case outgoingClosed:
		h.onOutgoingClosed(now, m)
	case incomingClosed:
		delete(h.incoming, m.link)
		h.node.log.Emit(event.MeshLinkClosed, "peer", m.link.peer.Node.Instance, "by", "peer", "error", m.err)
	case documentsRead:
		h.onLogAnswer(now, m.answer, true)
	case logChecked:
		h.onLogChecked(now, m)
	case peerDocuments:
		d := m.documents
		h.onDocuments(h.core.OnPeerDocuments(now, d.Records, d.End, d.RetainedFor), false)
	case peerConfirmed:
		if m.end == h.core.End() {
			h.freshness.OnPeerAnswer(now, m.at)
			h.storeConfirmation()
		}
	case peerStatedDocuments:
		h.core.OnPeerState(now, m.peer, m.state)
	case documentsRequested:
		h.sendDocuments(now, m)
	case ownReport:
		h.onOwnReport(m.report)
	case ownUsage:
		h.onOwnUsage(m.usage)
		if len(m.usage) > 0 {
			h.nextReportAt = now // no other wait for the entry duty's report
		}
	case otherZoneUsage:
		h.forwardInZone(m.usage)
	case ownRollout:
		h.sendRollout(frame.Rollout{Report: m.report})
	case otherZoneRollout:
		h.forwardInZone(m.rollout)
	case closeAllLinks:
		h.closeLinks()
	}
}

func (h *peersHandler) onNodesRead(now time.Time, a logAnswer) {
	listed := false
	for _, r := range a.records {
		id := model.Instance(r.Key)
		listed = listed || id == h.node.settings.Instance
		if len(r.Value) == 0 {
			h.core.OnPeerLeft(now, id)
			continue
		}
		if err := h.core.OnDiscovered(now, id); err != nil {
			h.node.log.Emit(event.MeshRecordRejected, "stream", keyed.StreamNodes, "key", r.Key, "era", r.Position.Era, "offset", r.Position.Offset, "detail", err)
		}
	}
	if a.complete {
		h.core.OnNodesLoaded(a.end.Era, listed)
	}
}

func (h *peersHandler) onIncomingOpened(now time.Time, l *link) {
	peer := l.peer.Node.Instance
	if err := h.core.OnDiscovered(now, peer); err != nil {
		l.close(err)
		return
	}
	h.incoming[l] = new(sentReport)
	h.node.log.Emit(event.MeshLinkOpened, "peer", peer, "by", "peer")
	h.reportDocuments(now)
	h.sendTo(l, h.allUsage())
}

func (h *peersHandler) closeLinks() {
	for _, l := range h.outgoing {
		l.close(errStopped)
	}
	for l := range h.incoming {
		l.close(errStopped)
	}
}

func (h *peersHandler) onOwnReport(r *model.NodeReport) {
	if r.NodeInfo != h.report.NodeInfo || r.Cold != h.report.Cold {
		h.reportDue = true
	}
	if len(r.Crashes) > 0 {
		h.reportDue = true
		for _, sent := range h.incoming {
			sent.unsentCrashes = append(sent.unsentCrashes, r.Crashes...)
		}
	}
	h.report = *r
}

func (h *peersHandler) onDialDone(now time.Time, m dialDone) {
	if m.err == nil && m.hello.Node.Instance != m.peer {
		m.conn.Close()
		m.err = errWrongNode
	}
	if m.err != nil {
		h.node.log.Emit(event.MeshDialFailed, "peer", m.peer, "error", m.err)
		h.core.OnDialFailed(now, m.peer)
		return
	}
	l := &link{peer: m.hello, conn: m.conn, sentBytes: h.node.metrics.sentBytes(m.hello.Zone == h.node.settings.Zone)}
	l.newHolding = h.node.newHolding
	l.onMessage = func(f frame.Message) { h.node.onOutgoingFrame(l, f) }
	l.onUnsent = func(id model.CallID) {
		h.node.onAnswer(m.peer, model.NewRefusal(id, model.ReasonPeerUnreachable, "the link broke before the call was sent"))
	}
	l.onClosed = func(err error) { h.node.onOutgoingClosed(l, err) }
	l.start()
	h.outgoing[m.peer] = l
	h.core.OnConnected(now, m.peer)
	if !h.node.entry.Ring().Offer(linkOpened{peer: m.peer, link: l}) {
		l.close(errEntryBusy) // the peer is dialed again
	}
	h.node.log.Emit(event.MeshLinkOpened, "peer", m.peer, "by", "self")
}

func (h *peersHandler) onOutgoingClosed(now time.Time, m outgoingClosed) {
	peer := m.link.peer.Node.Instance
	h.node.log.Emit(event.MeshLinkClosed, "peer", peer, "by", "self", "error", m.err)
	if h.outgoing[peer] == m.link {
		delete(h.outgoing, peer)
		h.core.OnLinkClosed(now, peer)
	}
}

func (h *peersHandler) performActions(now time.Time) {
	for _, a := range h.core.Actions() {
		h.performAction(a)
	}
	if h.core.TakeDocumentsChanged() {
		h.applyDocuments()
	}
	h.loader.deliver()
	if peers, changed := h.core.ChangedPeers(); changed {
		h.unsentPeers = peers
	}
	if h.unsentPeers != nil && h.node.entry.Ring().Offer(peersChanged{peers: h.unsentPeers}) {
		h.unsentPeers = nil
	}
	h.freshness.SetLinks(len(h.incoming))
	if h.freshness.TakeCheck() && !h.node.checker.requests.Offer(checkRequest{from: h.core.End(), timeout: h.freshness.CheckTimeout()}) {
		h.freshness.OnCheckFailed(now)
	}
	if h.freshness.TakeRestart() {
		h.node.log.Emit(event.MeshReadsRestarted, "era", h.core.End().Era, "offset", h.core.End().Offset)
		h.node.restartReads()
	}
	if h.reportDue {
		h.sendReports(now)
	}
}

func (h *peersHandler) performAction(a fleet.Action) {
	switch a := a.(type) {
	case fleet.Dial:
		go h.node.dial(a.Peer)
	case fleet.CloseLink:
		if l := h.outgoing[a.Peer]; l != nil {
			delete(h.outgoing, a.Peer)
			l.close(errPeerLeft)
		}
	case fleet.PublishAddress:
		h.node.publisher.request()
	case fleet.RequestDocuments:
		if l := h.outgoing[a.Peer]; l != nil {
			l.send(frame.DocumentsRequest{Known: a.Known})
		}
	}
}

// sendReports reports changes to the peers and sends keep-alives. Traffic between
// availability zones is expensive, and peers in other zones rarely choose the
// target, so they get its load only after a change by otherZoneLoadChange.
func (h *peersHandler) sendReports(now time.Time) {
	h.reportDocuments(now)
	if h.report.Node != h.node.id {
		h.report.Node = h.node.id
		h.report.Service, h.report.Zone = h.node.settings.Service, h.node.settings.Zone
	}
	var changed []model.CustomerUsage
	for name := range h.unsentUsage {
		changed = append(changed, h.usage[name])
	}
	clear(h.unsentUsage)
	for l, sent := range h.incoming {
		var usage []model.CustomerUsage
		if h.inOwnZone(l) {
			usage = changed
		}
		if h.reportDue || len(usage) > 0 || len(sent.unsentCrashes) > 0 || h.loadChanged(l, sent) || now.Sub(sent.sentAt) >= keepAliveInterval {
			h.sendTo(l, usage)
			sent.sentAt = now
		}
	}
	h.sendToOtherZones(changed)
	if now.Sub(h.lastPingAt) >= keepAliveInterval {
		h.lastPingAt = now
		for _, l := range h.outgoing {
			l.send(frame.Ping{})
		}
	}
	h.reportDue = false
}

// loadChanged reports whether the load has changed enough since the last report on a
// link to be reported again.
func (h *peersHandler) loadChanged(l *link, sent *sentReport) bool {
	if math.Abs(h.report.ShedFraction-sent.shed) > shedChange {
		return true
	}
	change := h.report.Running + h.report.Queued - sent.load
	if h.inOwnZone(l) {
		return change != 0
	}
	return max(change, -change) > max(int(otherZoneLoadChange*float64(h.report.Limit)), 1)
}

func (h *peersHandler) sendTo(l *link, usage []model.CustomerUsage) {
	sent := h.incoming[l]
	r := h.report
	r.Usage, r.Crashes = usage, sent.unsentCrashes
	if l.send(frame.Report{Report: &r, OmitsNodeInfo: sent.info == r.NodeInfo}) {
		sent.info, sent.load, sent.shed, sent.unsentCrashes = r.NodeInfo, r.Running+r.Queued, r.ShedFraction, nil
	}
}
