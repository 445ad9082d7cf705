// Package agent builds a node: its duties, the rings between them and its
// listeners.
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
	"github.com/oleanderworks/oleanderworks/agent/follower"
	"github.com/oleanderworks/oleanderworks/agent/links"
	"github.com/oleanderworks/oleanderworks/agent/local"
	membershipduty "github.com/oleanderworks/oleanderworks/agent/membership"
	routingduty "github.com/oleanderworks/oleanderworks/agent/routing"
	"github.com/oleanderworks/oleanderworks/core/budget"
	"github.com/oleanderworks/oleanderworks/core/duty"
	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/core/fault"
	"github.com/oleanderworks/oleanderworks/logservice"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/admission"
	"github.com/oleanderworks/oleanderworks/policy/link"
	"github.com/oleanderworks/oleanderworks/policy/routing"
	"github.com/oleanderworks/oleanderworks/settings"
	"github.com/oleanderworks/oleanderworks/transport/caller"
	"github.com/oleanderworks/oleanderworks/transport/peerlink"
	"github.com/oleanderworks/oleanderworks/transport/target"
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
	security *peerlink.Security           // nil for plain TCP
	self     atomic.Pointer[model.Member] // changes when others removed the node
	log      *event.Log
	service  logservice.Log
	vars     *expvar.Map
	held     *budget.Bytes

	routing    *duty.Duty[routingduty.Message]
	admission  *duty.Duty[admissionduty.Message]
	membership *duty.Duty[membershipduty.Message]
	follower   *duty.Duty[follower.Message]
	links      *duty.Duty[links.Message]

	endpoint *peerlink.Endpoint
	sessions *links.Handler
	entry    *entry.Entry
	local    *local.Server
	callers  *http.Server

	callersListener *caller.Listener
	listeners       listeners
	leaving         leaving
	tomb            tomb.Tomb
}

// listeners hold the node's addresses. They are open before the node starts,
// so that its addresses are known when it announces itself.
type listeners struct {
	call, sub, peer, ops net.Listener
}

// New builds a node and opens its listeners. Start runs it.
func New(s *settings.Node, log logservice.Log, out hclog.Logger) (*Node, error) {
	security, err := newSecurity(s)
	if err != nil {
		return nil, err
	}
	n := &Node{
		settings: s,
		security: security,
		service:  log,
		log:      event.New(out.Named(s.Instance)),
		vars:     new(expvar.Map).Init(),
		held:     budget.NewBytes(s.HeldBytes),
		leaving:  leaving{done: make(chan struct{})},
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
	client, err := target.New(n.settings.Target, targetConnections)
	if err != nil {
		return err
	}
	self := *n.self.Load()
	if n.callersListener, err = caller.NewListener(n.listeners.call); err != nil {
		return err
	}
	n.admission = admissionduty.New(admission.New(self), n.log)
	n.routing = routingduty.New(routing.New(self, newRand()), n.log)
	n.local = &local.Server{Admission: n.admission.Ring(), Target: client, Held: n.held}
	dispatcher := links.NewDispatcher(n.log)
	start := time.Now()
	n.endpoint = &peerlink.Endpoint{Self: n.member, Calls: n.local.Serve, Start: start, Security: n.security, Held: n.held, Refused: n.onPeerRefused}
	n.links, n.sessions = links.New(n.tomb.Context(context.Background()), self, link.New(newRand(), start), n.endpoint, n.onHeard, n.log)
	n.endpoint.Accepted = n.sessions.Accept
	n.endpoint.Control = n.sessions.Control(dispatcher, n.onGoodbye)
	n.buildMembership(dispatcher)
	n.entry = &entry.Entry{Self: self, Routing: n.routing.Ring(), Sessions: n.sessions, Local: n.local.Serve}
	n.follower = follower.New(n.log, []follower.Subscriber{
		func(s *model.Snapshot) bool { return n.routing.Ring().Offer(&routingduty.SnapshotChanged{Snapshot: s}) },
		func(s *model.Snapshot) bool {
			return n.admission.Ring().Offer(&admissionduty.SnapshotChanged{Snapshot: s})
		},
		func(s *model.Snapshot) bool {
			return n.membership.Ring().Offer(&membershipduty.SnapshotChanged{Snapshot: s})
		},
		func(s *model.Snapshot) bool { return n.links.Ring().Offer(&links.SnapshotChanged{Snapshot: s}) },
	})
	n.setVars()
	return nil
}

func (n *Node) setVars() {
	n.vars.Set("routing", n.routing.Vars())
	n.vars.Set("admission", n.admission.Vars())
	n.vars.Set("follower", n.follower.Vars())
	n.vars.Set("links", n.links.Vars())
	n.vars.Set("held_bytes", n.held.Var())
	n.vars.Set("membership", n.membership.Vars())
}

// member returns the member as which the node speaks now.
func (n *Node) member() model.Member { return *n.self.Load() }

// newSecurity returns the node's proof of identity. The error says why the
// node must not start.
func newSecurity(s *settings.Node) (*peerlink.Security, error) {
	if err := s.CheckSecurity(); err != nil {
		return nil, fault.At("check settings", s.Instance, err)
	}
	if s.Insecure {
		return nil, nil
	}
	security := &peerlink.Security{Certificate: s.TLS.Certificate, Key: s.TLS.Key, Authority: s.TLS.Authority}
	return security, fault.At("check certificate", s.Instance, security.Check(model.Instance(s.Instance)))
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
	n.links.Start(&n.tomb)
	n.membership.Start(&n.tomb)
	n.follower.Start(&n.tomb)
	ctx := n.tomb.Context(context.Background())
	log := &observedLog{Log: n.service, read: n.onLogRead}
	for _, stream := range n.streams() {
		n.tomb.Go(func() error {
			follower.Read(ctx, log, stream, n.follower.Ring(), n.log)
			return nil
		})
	}
	n.tomb.Go(func() error { return n.endpoint.Serve(&n.tomb, n.listeners.peer) })
	n.callers = n.serveHTTP(n.callersListener, n.closing(caller.NewHandler(n.serve, false, n.held)))
	n.serveHTTP(n.listeners.sub, caller.NewHandler(n.serve, true, n.held))
	n.serveHTTP(n.listeners.ops, n.operatorsHandler())
	n.tomb.Go(func() error {
		n.watchTarget(ctx)
		return nil
	})
	self := n.member()
	n.log.Emit(event.NodeStarted, "instance", self.Instance, "service", self.Service, "zone", self.Zone,
		"calls", n.CallAddress(), "peers", self.PeerAddress, "operators", n.OpsAddress())
}

// streams lists the streams that the node follows.
func (n *Node) streams() []string {
	streams := []string{model.ConfigStream, model.MemberStream(model.Service(n.settings.Service))}
	for _, s := range n.settings.Entry {
		if s != n.settings.Service {
			streams = append(streams, model.MemberStream(model.Service(s)))
		}
	}
	return streams
}

// CallAddress returns the address for callers, IP:port.
func (n *Node) CallAddress() string { return n.listeners.call.Addr().String() }

// SubAddress returns the loopback address for the node's own target, IP:port.
func (n *Node) SubAddress() string { return n.listeners.sub.Addr().String() }

// OpsAddress returns the address for operators, IP:port.
func (n *Node) OpsAddress() string { return n.listeners.ops.Addr().String() }
