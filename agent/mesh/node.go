package mesh

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"

	"github.com/oleanderworks/oleanderworks/core/duty"
	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/core/fault"
	"github.com/oleanderworks/oleanderworks/core/ring"
	"github.com/oleanderworks/oleanderworks/logservice/keyed"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/model/graph"
	"github.com/oleanderworks/oleanderworks/policy/mesh/fleet"
	"github.com/oleanderworks/oleanderworks/policy/mesh/gate"
	"github.com/oleanderworks/oleanderworks/policy/mesh/memory"
	"github.com/oleanderworks/oleanderworks/policy/mesh/poison"
	"github.com/oleanderworks/oleanderworks/transport/exchange"
	"github.com/oleanderworks/oleanderworks/transport/frame"
)

const (
	readHeaderTimeout = 5 * time.Second
	// callerIdleTimeout is how long a caller's connection may stay idle. Callers
	// stop reusing an idle connection before the configuration's idle_timeout.
	// callerIdleTimeout must be longer than that. It is fixed, since the
	// configuration is not known yet when the listener opens.
	callerIdleTimeout = 60 * time.Second
	// announceTimeout bounds the wait for the gate duty's reply to an announcement
	// or a deregistration. Targets treat a later answer as a failure.
	announceTimeout = 900 * time.Millisecond
	// confirmationStep is how much newer a peer's confirmation of the documents must be
	// to be passed to the peers duty. Each report carries one.
	confirmationStep = 100 * time.Millisecond
)

var (
	errWrongNode = errors.New("the address belongs to another node")
	errPeerLeft  = errors.New("the peer has left the fleet")
	errStopped   = errors.New("the node has stopped")
	errEntryBusy = errors.New("the entry duty's ring is full")
	errLinkBusy  = errors.New("the link's ring is full")
)

// Node is the sidecar process of one target.
type Node struct {
	settings  *Settings
	store     keyed.Log
	decoder   Decoder
	id        model.NodeID
	createdAt time.Time
	log       *event.Log
	metrics   *metrics

	entry  *duty.Duty[entryMessage]
	gate   *duty.Duty[gateMessage]
	peers  *duty.Duty[peersMessage]
	memory *duty.Duty[memoryMessage]
	client *exchange.Client

	documentsReader *logReader
	nodesReader     *logReader
	checker         *logChecker
	publisher       *addressPublisher
	poisonWriter    *poisonWriter
	rolloutLog      *rolloutLog

	configured atomic.Bool // a configuration is known
	idle       atomic.Bool // no call waits for the target or runs there
	leaving    atomic.Bool // the shutdown has begun, and the node reports that it is not ready
	lastHolder atomic.Uint64
	closing    atomic.Bool  // new requests of callers are refused unless nested, and responses tell callers to close their connections
	serving    atomic.Int64 // requests of callers in progress, until their answers are written
	writing    atomic.Int64 // answers that wait to be written to links
	running    atomic.Int64 // calls that run at the target
	queued     atomic.Int64 // calls that wait for the target
	// requestLimits are the limits of the configuration on callers' requests; nil until it is
	// known.
	requestLimits atomic.Pointer[graph.Limits]
	// documents states which documents the node needs no peer for; nil if there are none.
	documents atomic.Pointer[model.DocumentsState]
	// confirmedAt is when the log last confirmed to this node or to a peer that there
	// are no newer documents; nil until then.
	confirmedAt atomic.Pointer[time.Time]

	listener net.Listener // for links that peers open
	servers  []*http.Server
	cancel   context.CancelFunc
	tomb     tomb.Tomb
}

// New returns a node. It must be started with Start.
func New(s *Settings, store keyed.Log, d Decoder, codec exchange.Codec, out hclog.Logger) *Node {
	n := &Node{
		settings:  s,
		store:     store,
		decoder:   d,
		id:        model.NodeID{Instance: s.Instance, Incarnation: model.Incarnation(rand.Uint64())},
		createdAt: time.Now(),
		log:       event.New(out),
		metrics:   newMetrics(),
		client:    exchange.New(s.TargetAddress, codec),
	}
	n.entry = newEntryDuty(n)
	n.gate = newGateDuty(n, n.client)
	n.peers = newPeersDuty(n)
	var limits memory.Limits
	n.memory, limits = newMemoryDuty(n)
	n.checker = newLogChecker(n)
	n.publisher = newAddressPublisher(n)
	n.poisonWriter = newPoisonWriter(n)
	n.rolloutLog = newRolloutLog(n)
	n.newLogReaders()
	n.metrics.vars.Set("entry", n.entry.Vars())
	n.metrics.vars.Set("gate", n.gate.Vars())
	n.metrics.vars.Set("peers", n.peers.Vars())
	n.metrics.vars.Set("memory", n.metrics.memory.vars(limits))
	n.metrics.vars.Set("memory_duty", n.memory.Vars())
	n.metrics.vars.Set("documents_age_ms", expvar.Func(func() any { return n.documentsAge().Milliseconds() }))
	return n
}

// knownDocuments states which of the operator's documents are known.
func (n *Node) knownDocuments() model.DocumentsState {
	if state := n.documents.Load(); state != nil {
		return *state
	}
	return model.DocumentsState{}
}

// documentsConfirmedAt returns when the log last confirmed the operator's documents, or
// the start of the node if it never has.
func (n *Node) documentsConfirmedAt() time.Time {
	if at := n.confirmedAt.Load(); at != nil {
		return *at
	}
	return n.createdAt
}

// documentsAge returns the time since documentsConfirmedAt.
func (n *Node) documentsAge() time.Duration { return time.Since(n.documentsConfirmedAt()) }

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// Handlers holds the HTTP handlers for a node's addresses.
type Handlers struct {
	Calls, Ready, Announcements http.Handler
}

// Start opens the listeners and starts the duties. The error names the address on
// which the node cannot listen.
func (n *Node) Start(h Handlers) error {
	if err := fleet.CheckAddress(n.settings.Instance); err != nil {
		return err // other nodes would reject it
	}
	var err error
	if n.listener, err = net.Listen("tcp", n.settings.linkListenAddress()); err != nil {
		return fault.Wrap("listen", n.settings.linkListenAddress(), err)
	}
	n.gate.Start(&n.tomb)
	n.entry.Start(&n.tomb)
	n.peers.Start(&n.tomb)
	n.memory.Start(&n.tomb)
	endpoints := []struct {
		address string
		handler http.Handler
	}{
		{n.settings.CallAddress, h.Calls},
		{n.settings.ReadyAddress, h.Ready},
		{n.settings.AnnounceAddress, h.Announcements},
		{n.settings.MetricsAddress, n.metricsHandler()},
	}
	for _, s := range endpoints {
		if err := n.listen(s.address, s.handler); err != nil {
			return err
		}
	}
	var ctx context.Context
	ctx, n.cancel = context.WithCancel(context.Background())
	go n.accept()
	n.startLogThreads(ctx)
	n.log.Emit(event.MeshStarted, "name", n.settings.Name, "instance", n.settings.Instance, "service", n.settings.Service,
		"zone", n.settings.Zone, "calls", n.settings.CallAddress)
	return nil
}

func (n *Node) listen(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fault.Wrap("listen", address, err)
	}
	server := n.newServer(h)
	n.servers = append(n.servers, server)
	go func() {
		if err := server.Serve(&callerListener{Listener: l, node: n}); !errors.Is(err, http.ErrServerClosed) {
			n.log.Emit(event.MeshServeFailed, "address", address, "error", err)
		}
	}()
	return nil
}

func (n *Node) metricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(n.metrics.vars.String()))
	})
}

// newLogReaders sets up the readers of the log's streams.
func (n *Node) newLogReaders() {
	n.documentsReader = &logReader{
		node: n, stream: keyed.StreamOperator, readPause: operatorReadPause,
		knownEnd: func() model.LogPosition { return n.knownDocuments().End },
		deliver:  func(ctx context.Context, a logAnswer) { _ = n.peers.Ring().Put(ctx, documentsRead{answer: a}) },
	}
	n.nodesReader = &logReader{
		node: n, stream: keyed.StreamNodes, readPause: nodesReadPause, knownEnd: func() model.LogPosition { return model.LogPosition{} },
		deliver: n.deliverNodeRecords,
	}
}

func (n *Node) deliverNodeRecords(ctx context.Context, a logAnswer) {
	var refused []poison.Record
	a.records, refused = n.splitNodeRecords(a.records)
	_ = n.peers.Ring().Put(ctx, nodesRead{answer: a})
	if len(refused) > 0 || a.complete {
		_ = n.entry.Ring().Put(ctx, poisonRecordsRead{records: refused, loaded: a.complete})
	}
}

// restartReads sends the reads that wait for records again.
func (n *Node) restartReads() {
	n.documentsReader.restart()
	n.nodesReader.restart()
}

// startLogThreads starts the threads that read the log and append to it.
func (n *Node) startLogThreads(ctx context.Context) {
	go n.documentsReader.run(ctx)
	go n.nodesReader.run(ctx)
	go n.checker.run(ctx)
	n.publisher.request()
	go n.publisher.run(ctx)
	go n.poisonWriter.run(ctx)
	if n.settings.Rollouts != nil {
		go n.rolloutLog.run(ctx)
	}
}

// Serve handles a request and calls write with the answer, unless the caller disconnects
// first. It reports whether it has called write. The request counts as in progress until
// write returns, since a caller may read its answer slowly.
func (n *Node) Serve(ctx context.Context, req *model.Request, write func(*model.Answer)) bool {
	n.serving.Add(1)
	defer n.serving.Add(-1)
	answer, held := n.answer(ctx, req)
	if answer == nil {
		return false
	}
	if c := connOf(ctx); c != nil {
		c.held.adopt(held) // returned when the answer has been written
	} else {
		defer endAll(held)
	}
	write(answer)
	return true
}

// answer returns the answer to a request and what it holds of the node's account. The
// answer is nil if the caller disconnects first.
func (n *Node) answer(ctx context.Context, req *model.Request) (*model.Answer, []*holding) {
	if n.closing.Load() && req.Parent == "" {
		// The request might not finish before the node stops. Nested requests are
		// accepted, since calls that already run wait for their answers.
		return model.NewRefusal(req.ID, model.ReasonNodeBusy, "the node of the caller stops"), nil
	}
	m := &requestReceived{request: req, reply: ring.NewReply[*model.Answer]()}
	if !n.entry.Ring().Offer(m) {
		return model.NewRefusal(req.ID, model.ReasonNodeBusy, "the entry duty's ring is full"), nil
	}
	answer, err := m.reply.Wait(ctx)
	if err != nil {
		_ = n.entry.Ring().Put(context.Background(), requestCanceled{id: req.ID, received: m})
		return nil, nil
	}
	return answer, m.held
}

// Announce passes an announcement of the target to the gate duty and reports whether
// it was accepted.
func (n *Node) Announce(a gate.Announcement) bool {
	m := announcementReceived{announcement: a, reply: ring.NewReply[bool]()}
	return n.requestGate(m, m.reply)
}

// Deregister passes the target's deregistration to the gate duty and reports whether
// it was accepted.
func (n *Node) Deregister(id model.Instance, startedAtMs int64) bool {
	m := deregistrationReceived{id: id, startedAtMs: startedAtMs, reply: ring.NewReply[bool]()}
	return n.requestGate(m, m.reply)
}

// requestGate sends a message to the gate duty and returns its reply, or false if
// the duty does not reply in time.
func (n *Node) requestGate(m gateMessage, reply ring.Reply[bool]) bool {
	if !n.gate.Ring().Offer(m) {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	ok, err := reply.Wait(ctx)
	return ok && err == nil
}

// LogRejectedMessage logs a message of the target that could not be decoded.
func (n *Node) LogRejectedMessage(what, id, detail string) {
	n.log.Emit(event.MeshAnnouncementRejected, "what", what, "id", id, "detail", detail)
}

// Ready reports whether the node is ready to serve callers.
func (n *Node) Ready() bool { return n.configured.Load() && !n.leaving.Load() }

// Closing reports whether callers should close their connections.
func (n *Node) Closing() bool { return n.closing.Load() }

// accept accepts connections for the links that peers open.
func (n *Node) accept() {
	for {
		conn, err := n.listener.Accept()
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				n.log.Emit(event.MeshServeFailed, "address", n.settings.Instance, "error", err)
			}
			return
		}
		go n.acceptLink(conn)
	}
}

func (n *Node) hello() frame.Hello {
	return frame.Hello{Node: n.id, Zone: n.settings.Zone, Service: n.settings.Service}
}

func (n *Node) acceptLink(conn net.Conn) {
	peer, err := handshake(conn, n.hello())
	if err != nil {
		conn.Close()
		n.log.Emit(event.MeshDialFailed, "peer", conn.RemoteAddr(), "error", err)
		return
	}
	l := &link{peer: peer, conn: conn, sentBytes: n.metrics.sentBytes(peer.Zone == n.settings.Zone)}
	l.newHolding = n.newHolding
	l.onMessage = func(m frame.Message) { n.onIncomingFrame(l, m) }
	l.onUnsent = func(model.CallID) {}
	l.onClosed = func(err error) {
		_ = n.gate.Ring().Put(context.Background(), callerLinkClosed{link: l})
		_ = n.peers.Ring().Put(context.Background(), incomingClosed{link: l, err: err})
	}
	l.start()
	_ = n.peers.Ring().Put(context.Background(), incomingOpened{link: l})
	_ = n.entry.Ring().Put(context.Background(), peerConnected{link: l})
}

func (n *Node) dial(peer model.Instance) {
	conn, hello, err := dial(string(peer), n.hello())
	if n.peers.Ring().Put(context.Background(), dialDone{peer: peer, conn: conn, hello: hello, err: err}) != nil && conn != nil {
		conn.Close()
	}
}

// onIncomingFrame handles a frame from a link that a peer has opened.
func (n *Node) onIncomingFrame(l *link, m frame.Message) {
	switch m := m.(type) {
	case frame.Call:
		call := m.SetDeadlines(time.Now())
		held := l.takeReceived()
		if !n.gate.Ring().Offer(callArrived{call: call, callerLink: l, held: held}) {
			held.end()
			l.send(frame.Answer{Answer: model.NewRefusal(call.ID, model.ReasonNodeBusy, "the gate duty's ring is full")})
		}
	case frame.Cancel:
		_ = n.gate.Ring().Put(context.Background(), callCanceled{id: m.ID})
	case frame.DocumentsRequest:
		n.peers.Ring().Offer(documentsRequested{link: l, known: m.Known})
	}
}

// onOutgoingFrame handles a frame from a link that this node has opened.
func (n *Node) onOutgoingFrame(l *link, m frame.Message) {
	switch m := m.(type) {
	case frame.Answer:
		n.onHeldAnswer(l.peer.Node.Instance, m.Answer, l.takeReceived())
	case frame.Report:
		if m.OmitsNodeInfo {
			m.Report.NodeInfo = l.info
		}
		l.info = m.Report.NodeInfo
		n.onReport(m.Report)
		n.onPeerDocuments(l.peer.Node.Instance, m.Report)
	case frame.Usage:
		n.entry.Ring().Offer(usageReceived{node: m.Node, usage: m.Customers})
		if m.Node == l.peer.Node && l.peer.Zone != n.settings.Zone {
			n.peers.Ring().Offer(otherZoneUsage{usage: m})
		}
	case frame.Rollout:
		n.entry.Ring().Offer(rolloutReceived{report: m.Report})
		if m.Report.Node == l.peer.Node && l.peer.Zone != n.settings.Zone {
			n.peers.Ring().Offer(otherZoneRollout{rollout: m})
		}
	case frame.Crashes:
		_ = n.entry.Ring().Put(context.Background(), crashesReceived{peer: l.peer.Node.Instance, reports: m.Reports})
	case frame.Departed:
		_ = n.gate.Ring().Put(context.Background(), targetDeparted{id: m.Target})
	case frame.Documents:
		_ = n.peers.Ring().Put(context.Background(), peerDocuments{documents: m})
	}
}

// onReport passes a peer's report to the entry duty. If it has crashes, which are reported
// only once, it waits for room in the ring.
func (n *Node) onReport(r *model.NodeReport) {
	m := reportReceived{report: r}
	if len(r.Crashes) > 0 {
		_ = n.entry.Ring().Put(context.Background(), m)
		return
	}
	n.entry.Ring().Offer(m)
}

// onPeerDocuments compares a peer's documents with those of this node.
func (n *Node) onPeerDocuments(peer model.Instance, r *model.NodeReport) {
	switch known := n.knownDocuments(); {
	case known.Lacks(r.Documents) || known.Incomplete():
		n.peers.Ring().Offer(peerStatedDocuments{peer: peer, state: r.Documents})
	case r.Documents.End == known.End && r.DocumentsAge >= 0 && r.DocumentsAge+confirmationStep < n.documentsAge():
		n.peers.Ring().Offer(peerConfirmed{end: known.End, at: time.Now().Add(-r.DocumentsAge)})
	}
}

func (n *Node) onAnswer(peer model.Instance, a *model.Answer) { n.onHeldAnswer(peer, a, nil) }

// onHeldAnswer passes an answer to the entry duty with what it holds of the account, which
// may be nil.
func (n *Node) onHeldAnswer(peer model.Instance, a *model.Answer, held *holding) {
	if n.entry.Ring().Put(context.Background(), answerReceived{peer: peer, answer: a, held: held}) != nil {
		held.end()
	}
}

func (n *Node) onOutgoingClosed(l *link, err error) {
	_ = n.entry.Ring().Put(context.Background(), linkClosed{peer: l.peer.Node.Instance, link: l})
	_ = n.peers.Ring().Put(context.Background(), outgoingClosed{link: l, err: err})
}

// LogReload logs the result of reading the settings file again; err is nil if the
// file is valid. A running node keeps the settings that it was started with.
func (n *Node) LogReload(err error) {
	n.log.Emit(event.MeshReloaded, "error", err)
}
