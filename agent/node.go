// Package agent builds and runs a node: its duties, the rings between them and
// its listeners.
package agent

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"gopkg.in/tomb.v2"

	admissionduty "github.com/oleanderworks/oleanderworks/agent/admission"
	"github.com/oleanderworks/oleanderworks/agent/entry"
	"github.com/oleanderworks/oleanderworks/agent/links"
	"github.com/oleanderworks/oleanderworks/agent/local"
	membershipduty "github.com/oleanderworks/oleanderworks/agent/membership"
	"github.com/oleanderworks/oleanderworks/agent/quarantine"
	"github.com/oleanderworks/oleanderworks/agent/quorum"
	routingduty "github.com/oleanderworks/oleanderworks/agent/routing"
	"github.com/oleanderworks/oleanderworks/core/budget"
	"github.com/oleanderworks/oleanderworks/core/duty"
	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/core/fault"
	"github.com/oleanderworks/oleanderworks/core/invariant"
	"github.com/oleanderworks/oleanderworks/logservice"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/admission"
	"github.com/oleanderworks/oleanderworks/policy/node/link"
	"github.com/oleanderworks/oleanderworks/policy/node/routing"
	"github.com/oleanderworks/oleanderworks/settings"
	"github.com/oleanderworks/oleanderworks/transport/caller"
	"github.com/oleanderworks/oleanderworks/transport/peerlink"
	"github.com/oleanderworks/oleanderworks/transport/target"
)

const (
	// defaultTargetConnections bounds the connections to the target until the
	// configuration sets a limit for the service.
	defaultTargetConnections = 2048
	readHeaderTimeout        = 5 * time.Second
)

// Node is the sidecar process of one target.
type Node struct {
	settings   *settings.Node
	tls        *peerlink.TLSFiles           // nil for plain TCP
	self       atomic.Pointer[model.Member] // replaced by a new incarnation after peers removed the node
	log        *event.Log
	logService logservice.Log
	vars       *expvar.Map
	byteBudget *budget.Bytes
	checker    *invariant.Checker

	routing    *duty.Duty[routingduty.Message]
	admission  *duty.Duty[admissionduty.Message]
	membership *duty.Duty[membershipduty.Message]
	links      *duty.Duty[links.Message]
	quorum     *duty.Duty[quorum.Message]

	quorumVars *expvar.Map
	logDuties  logDuties

	endpoint     *peerlink.Endpoint
	linksHandler *links.Handler
	entry        *entry.Entry
	callerServer *http.Server

	callerListener *caller.Listener
	listeners      listeners
	shutdownState  shutdownState
	tomb           tomb.Tomb
}

// listeners holds the node's listeners. They are opened before the node starts, so
// that its peer address is known when it joins the members of its service.
type listeners struct {
	call, sub, peer, ops net.Listener
}

// New builds a node and opens its listeners. It must be started with Start.
func New(s *settings.Node, logService logservice.Log, logger hclog.Logger) (*Node, error) {
	tls, err := newTLS(s)
	if err != nil {
		return nil, err
	}
	n := &Node{
		settings:      s,
		tls:           tls,
		logService:    logService,
		log:           event.New(logger.Named(s.Instance)),
		vars:          new(expvar.Map).Init(),
		byteBudget:    budget.NewBytes(s.ByteBudget),
		shutdownState: shutdownState{done: make(chan struct{})},
	}
	if err := n.listen(); err != nil {
		return nil, err
	}
	n.self.Store(&model.Member{
		NodeID: model.NodeID{
			Instance:    model.Instance(s.Instance),
			Incarnation: model.Incarnation(rand.Uint64()),
		},
		Service:     model.Service(s.Service),
		Zone:        model.Zone(s.Zone),
		Region:      model.Region(s.Region),
		PeerAddress: n.listeners.peer.Addr().String(),
	})
	if err := n.build(); err != nil {
		n.closeListeners()
		return nil, err
	}
	return n, nil
}

func (n *Node) build() error {
	client, err := target.New(n.settings.TargetURL, defaultTargetConnections)
	if err != nil {
		return err
	}
	if n.callerListener, err = caller.NewListener(n.listeners.call); err != nil {
		return err
	}
	ctx := n.tomb.Context(context.Background())
	self := n.member()
	dispatcher := links.NewDispatcher(n.log)
	n.buildLinks(ctx, dispatcher)

	n.checker = invariant.New(n.log, nil)
	quarantineTable := n.newQuarantine(n.linksHandler, dispatcher)
	admissionCore := admission.New(self, admission.Options{Rand: newRand(), Check: n.checker, Quarantine: quarantineTable})
	var targetVars *expvar.Map
	n.admission, targetVars = admissionduty.New(ctx, admissionCore, client, quarantineTable, n.log)
	n.buildQuorum(n.linksHandler, dispatcher)
	var routingHandler *routingduty.Handler
	n.routing, routingHandler = routingduty.New(routing.New(self, newRand(), n.checker), n.quorum.Ring(), n.log)
	server := &local.Server{Admission: n.admission.Ring(), Target: client, Routing: n.routing.Ring(), ByteBudget: n.byteBudget}
	n.endpoint.HandleCall = server.Serve
	n.entry = &entry.Entry{Self: self, Routing: n.routing.Ring(), Sessions: n.linksHandler, Local: server.Serve}
	n.buildMembership(dispatcher)
	n.buildLogDuties(n.linksHandler, dispatcher)
	n.vars.Set("calls", routingHandler.Vars())
	n.vars.Set("target", targetVars)
	n.publishVars()
	return nil
}

// buildLinks builds the links duty and the endpoint for links to peers.
func (n *Node) buildLinks(ctx context.Context, dispatcher *links.Dispatcher) {
	start := time.Now()
	n.endpoint = &peerlink.Endpoint{Self: n.member, TLS: n.tls, ByteBudget: n.byteBudget, OnRefused: n.onPeerRefused, Start: start}
	n.links, n.linksHandler = links.New(ctx, n.member(), link.New(newRand(), start), n.endpoint, n.onHeartbeat, n.log)
	n.endpoint.OnAccepted = n.linksHandler.Accept
	n.endpoint.HandleControl = n.linksHandler.ControlHandler(dispatcher, n.onGoodbye)
}

func (n *Node) publishVars() {
	n.vars.Set("routing", n.routing.Vars())
	n.vars.Set("invariant_breaches", expvar.Func(func() any { return n.checker.Violations() }))
	n.vars.Set("quorum", n.quorumVars)
	n.vars.Set("admission", n.admission.Vars())
	n.vars.Set("membership", n.membership.Vars())
	n.vars.Set("links", n.links.Vars())
	n.vars.Set("held_bytes", n.byteBudget.Var())
}

// member returns the node's member entry with its current incarnation.
func (n *Node) member() model.Member { return *n.self.Load() }

// newQuarantine returns the admission duty's quarantine table, which exchanges
// crash marks with the other nodes of the service.
func (n *Node) newQuarantine(linksHandler *links.Handler, dispatcher *links.Dispatcher) *quarantine.Table {
	table := quarantine.New(n.member(), linksHandler, n.log)
	n.vars.Set("quarantine", table.Vars())
	quarantine.Register(dispatcher, n.log, func(update quarantine.MarkUpdate) bool {
		return n.admission.Ring().Offer(&admissionduty.QuarantineUpdate{Update: update})
	})
	return table
}

// newTLS returns the node's checked TLS settings, or nil for plain TCP. It
// returns an error if TLS is required and the files are missing or invalid.
func newTLS(s *settings.Node) (*peerlink.TLSFiles, error) {
	if err := s.CheckSecurity(); err != nil {
		return nil, fault.Wrap("check settings", s.Instance, err)
	}
	if s.Insecure {
		return nil, nil
	}
	tls := &peerlink.TLSFiles{Certificate: s.TLS.Certificate, Key: s.TLS.Key, Authority: s.TLS.Authority}
	return tls, fault.Wrap("check certificate", s.Instance, tls.Check(model.Instance(s.Instance)))
}

func (n *Node) onPeerRefused(address string, err error) {
	n.log.Emit(event.PeerRefused, "address", address, "error", err)
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func (n *Node) listen() error {
	addresses := []struct {
		address string
		l       *net.Listener
	}{
		{n.settings.CallAddress, &n.listeners.call},
		{n.settings.SubAddress, &n.listeners.sub},
		{n.settings.PeerAddress, &n.listeners.peer},
		{n.settings.OpsAddress, &n.listeners.ops},
	}
	for _, a := range addresses {
		l, err := net.Listen("tcp", a.address)
		if err != nil {
			n.closeListeners()
			return fault.Wrap("listen", a.address, err)
		}
		*a.l = l
	}
	return nil
}

func (n *Node) closeListeners() {
	for _, l := range []net.Listener{n.listeners.call, n.listeners.sub, n.listeners.peer, n.listeners.ops} {
		if l != nil {
			l.Close()
		}
	}
}

// Start starts the duties and servers. The node joins the members of its service
// once its target accepts connections.
func (n *Node) Start() {
	n.admission.Start(&n.tomb)
	n.routing.Start(&n.tomb)
	n.quorum.Start(&n.tomb)
	n.links.Start(&n.tomb)
	n.membership.Start(&n.tomb)
	ctx := n.tomb.Context(context.Background())
	n.startLogDuties(ctx)
	n.tomb.Go(func() error { return n.endpoint.Serve(&n.tomb, n.listeners.peer) })
	n.callerServer = n.serveHTTP(n.callerListener, n.trackCallerRequests(caller.NewHandler(n.serve, false, n.byteBudget)))
	n.serveHTTP(n.listeners.sub, caller.NewHandler(n.serve, true, n.byteBudget))
	n.serveHTTP(n.listeners.ops, n.opsHandler())
	n.tomb.Go(func() error {
		n.waitForTarget(ctx)
		return nil
	})
	self := n.member()
	n.log.Emit(event.NodeStarted, "instance", self.Instance, "service", self.Service, "zone", self.Zone,
		"calls", n.CallAddress(), "peers", self.PeerAddress, "operators", n.OpsAddress())
}

// CallAddress returns the address for callers in the form IP:port.
func (n *Node) CallAddress() string { return n.listeners.call.Addr().String() }

// SubAddress returns the loopback address for sub-calls of the node's own target in
// the form IP:port.
func (n *Node) SubAddress() string { return n.listeners.sub.Addr().String() }

// OpsAddress returns the address for operators in the form IP:port.
func (n *Node) OpsAddress() string { return n.listeners.ops.Addr().String() }
