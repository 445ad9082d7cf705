// Package agent builds a node: its duties, the rings between them and its
// listeners.
package agent

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"gopkg.in/tomb.v2"

	admissionduty "github.com/oleanderworks/oleanderworks/agent/admission"
	"github.com/oleanderworks/oleanderworks/agent/entry"
	"github.com/oleanderworks/oleanderworks/agent/links"
	"github.com/oleanderworks/oleanderworks/agent/local"
	"github.com/oleanderworks/oleanderworks/agent/quarantine"
	"github.com/oleanderworks/oleanderworks/agent/quorum"
	routingduty "github.com/oleanderworks/oleanderworks/agent/routing"
	"github.com/oleanderworks/oleanderworks/core/duty"
	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/core/fault"
	"github.com/oleanderworks/oleanderworks/core/invariant"
	"github.com/oleanderworks/oleanderworks/logservice"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/admission"
	"github.com/oleanderworks/oleanderworks/policy/link"
	"github.com/oleanderworks/oleanderworks/policy/routing"
	"github.com/oleanderworks/oleanderworks/settings"
	"github.com/oleanderworks/oleanderworks/transport/caller"
	"github.com/oleanderworks/oleanderworks/transport/peerlink"
	"github.com/oleanderworks/oleanderworks/transport/target"
	"github.com/oleanderworks/oleanderworks/transport/wire"
)

const (
	// targetConnections bounds the connections to the target until the
	// configuration gives the service's number.
	targetConnections = 2048
	readHeaderTimeout = 5 * time.Second
)

// Node is one oleanderworks process beside one target.
type Node struct {
	settings *settings.Node
	self     model.Member
	log      *event.Log
	service  logservice.Log
	vars     *expvar.Map
	checker  *invariant.Checker

	routing   *duty.Duty[routingduty.Message]
	quorum    *duty.Duty[quorum.Message]
	admission *duty.Duty[admissionduty.Message]
	links     *duty.Duty[links.Message]

	quorumVars    *expvar.Map
	configuration configuration

	endpoint  *peerlink.Endpoint
	entry     *entry.Entry
	listeners listeners
	tomb      tomb.Tomb
}

// listeners hold the node's addresses. They are open before the node starts,
// so that its addresses are known when it announces itself.
type listeners struct {
	call, sub, peer, ops net.Listener
}

// New builds a node and opens its listeners. Start runs it.
func New(s *settings.Node, log logservice.Log, out hclog.Logger) (*Node, error) {
	n := &Node{
		settings: s,
		service:  log,
		log:      event.New(out.Named(s.Instance)),
		vars:     new(expvar.Map).Init(),
	}
	if err := n.listen(); err != nil {
		return nil, err
	}
	n.self = model.Member{
		NodeID: model.NodeID{
			Instance:    model.Instance(s.Instance),
			Incarnation: model.Incarnation(rand.Uint64()),
		},
		Service:     model.Service(s.Service),
		Zone:        model.Zone(s.Zone),
		Region:      model.Region(s.Region),
		PeerAddress: n.listeners.peer.Addr().String(),
	}
	if err := n.build(); err != nil {
		n.closeListeners()
		return nil, err
	}
	return n, nil
}

func (n *Node) build() error {
	client, err := target.New(n.settings.Target, targetConnections)
	if err != nil {
		return err
	}
	ctx := n.tomb.Context(context.Background())
	dispatcher := links.NewDispatcher(n.log)
	n.endpoint = &peerlink.Endpoint{Self: n.self, Control: controlHandler(dispatcher)}
	var sessions *links.Handler
	n.links, sessions = links.New(ctx, n.self, link.New(newRand()), n.endpoint, n.log)
	n.endpoint.Accepted = sessions.Accept

	n.checker = invariant.New(n.log, nil)
	table := n.newQuarantine(sessions, dispatcher)
	admissionCore := admission.New(n.self, admission.Options{Rand: newRand(), Check: n.checker, Quarantine: table})
	var targetVars *expvar.Map
	n.admission, targetVars = admissionduty.New(ctx, admissionCore, client, table, n.log)
	n.buildQuorum(sessions, dispatcher)
	var decisions *routingduty.Handler
	n.routing, decisions = routingduty.New(routing.New(n.self, newRand(), n.checker), n.quorum.Ring(), n.log)
	server := &local.Server{Admission: n.admission.Ring(), Target: client, Parents: n.routing.Ring()}
	n.endpoint.Calls = server.Serve
	n.entry = &entry.Entry{Self: n.self, Routing: n.routing.Ring(), Sessions: sessions, Local: server.Serve}
	n.buildConfiguration(sessions, dispatcher)
	n.vars.Set("routing", n.routing.Vars())
	n.vars.Set("calls", decisions.Vars())
	n.vars.Set("invariant_breaches", expvar.Func(func() any { return n.checker.Breaches() }))
	n.vars.Set("quorum", n.quorumVars)
	n.vars.Set("admission", n.admission.Vars())
	n.vars.Set("target", targetVars)
	n.vars.Set("links", n.links.Vars())
	return nil
}

// newQuarantine returns the quarantine table of the admission duty, which
// talks to the other nodes of the service.
func (n *Node) newQuarantine(s *links.Handler, d *links.Dispatcher) *quarantine.Table {
	table := quarantine.New(n.self, s, n.log)
	n.vars.Set("quarantine", table.Vars())
	quarantine.Register(d, n.log, func(news quarantine.News) bool {
		return n.admission.Ring().Offer(&admissionduty.QuarantineNews{News: news})
	})
	return table
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// controlHandler passes the frames of a control stream to their duties.
func controlHandler(d *links.Dispatcher) peerlink.ControlHandler {
	return func(s *peerlink.Session, f *wire.ControlFrame) {
		if p := f.GetPayload(); p != nil {
			d.Dispatch(s, p)
		}
	}
}

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
			return fault.At("listen", a.address, err)
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

// Start runs the duties and listeners and announces the target.
func (n *Node) Start() {
	n.admission.Start(&n.tomb)
	n.routing.Start(&n.tomb)
	n.quorum.Start(&n.tomb)
	n.links.Start(&n.tomb)
	n.startConfiguration(n.tomb.Context(context.Background()))
	n.tomb.Go(func() error { return n.endpoint.Serve(&n.tomb, n.listeners.peer) })
	n.serveHTTP(n.listeners.call, caller.NewHandler(n.entry.Serve, false))
	n.serveHTTP(n.listeners.sub, caller.NewHandler(n.entry.Serve, true))
	n.serveHTTP(n.listeners.ops, n.operatorsHandler())
	n.announce()
	n.log.Emit(event.NodeStarted, "instance", n.self.Instance, "service", n.self.Service, "zone", n.self.Zone,
		"calls", n.CallAddress(), "peers", n.self.PeerAddress, "operators", n.OpsAddress())
}

func (n *Node) serveHTTP(l net.Listener, h http.Handler) {
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	context.AfterFunc(n.tomb.Context(context.Background()), func() { server.Close() })
	n.tomb.Go(func() error {
		if err := server.Serve(l); err != http.ErrServerClosed {
			return fault.At("serve HTTP", l.Addr().String(), err)
		}
		return nil
	})
}

// CallAddress returns the address for callers, IP:port.
func (n *Node) CallAddress() string { return n.listeners.call.Addr().String() }

// SubAddress returns the loopback address for the node's own target, IP:port.
func (n *Node) SubAddress() string { return n.listeners.sub.Addr().String() }

// OpsAddress returns the address for operators, IP:port.
func (n *Node) OpsAddress() string { return n.listeners.ops.Addr().String() }

// Stop ends the node and waits until its threads have ended.
func (n *Node) Stop() error {
	n.tomb.Kill(nil)
	err := n.tomb.Wait()
	n.log.Emit(event.NodeStopped, "instance", n.self.Instance)
	return err
}
