package peerlink

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/oleanderworks/oleanderworks/core/budget"
	"github.com/oleanderworks/oleanderworks/core/fault"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/transport/wire"
)

const (
	dialTimeout      = 2 * time.Second
	handshakeTimeout = 2 * time.Second
)

// Endpoint opens sessions to peers and accepts sessions from them.
type Endpoint struct {
	// Self returns the node's own member record, which is sent in hellos.
	Self          func() model.Member
	HandleCall    CallHandler
	HandleControl ControlHandler
	// OnAccepted is called for each session that a peer opened.
	OnAccepted func(s *Session)
	// TLS holds the files for mutual TLS between nodes; nil for plain TCP.
	TLS *TLSFiles
	// ByteBudget bounds the bytes of calls and answers; nil for no bound.
	ByteBudget *budget.Bytes
	// OnRefused is called for each connection that was refused because of an
	// error. It is not called for a connection that is closed because its handshake
	// succeeded too late, after handshakeTimeout.
	OnRefused func(address string, err error)
	// Start is the zero point of the monotonic clock used in calls and heartbeats.
	Start time.Time

	calls atomic.Int64
}

// CallsInProgress returns the number of calls in progress on all sessions, in
// both directions.
func (e *Endpoint) CallsInProgress() int { return int(e.calls.Load()) }

// Dial opens a session to a peer. It fails if another instance answers. If
// peer.Instance is empty, any instance is accepted; with TLS, the certificate must
// be issued for the instance that the peer's hello names.
func (e *Endpoint) Dial(ctx context.Context, peer model.Member) (*Session, error) {
	s, r, err := e.connect(ctx, peer, false)
	if err != nil {
		return nil, err
	}
	s.startControl(r, e.HandleControl)
	go s.serveCalls(e.HandleCall)
	return s, nil
}

// Probe returns nil if the given incarnation of a peer answers.
func (e *Endpoint) Probe(ctx context.Context, peer model.Member) error {
	s, _, err := e.connect(ctx, peer, true)
	if err != nil {
		return err
	}
	defer s.Close()
	if s.peer.Incarnation != peer.Incarnation {
		return fault.New("probe peer", string(peer.Instance), "another incarnation answers")
	}
	return nil
}

func (e *Endpoint) connect(ctx context.Context, peer model.Member, probe bool) (*Session, *bufio.Reader, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", peer.PeerAddress)
	if err != nil {
		return nil, nil, fault.Wrap("dial peer", instanceOrAddress(peer), err)
	}
	s, err := e.newOutgoingSession(ctx, conn, peer.Instance)
	if err != nil {
		conn.Close()
		return nil, nil, err
	}
	r, err := e.openControl(s, peer, probe)
	if err != nil {
		s.Close()
		return nil, nil, fault.Wrap("open control stream", instanceOrAddress(peer), err)
	}
	return s, r, nil
}

func instanceOrAddress(peer model.Member) string {
	if peer.Instance == "" {
		return peer.PeerAddress
	}
	return string(peer.Instance)
}

// newOutgoingSession starts a session on a connection that this node opened,
// with TLS if e.TLS is set.
func (e *Endpoint) newOutgoingSession(ctx context.Context, conn net.Conn, peer model.Instance) (*Session, error) {
	counting := &countingConn{Conn: conn}
	if e.TLS == nil {
		return newSession(counting, counting, false, e)
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	tlsConn, err := e.TLS.clientHandshake(ctx, counting, peer)
	if err != nil {
		return nil, err
	}
	return newSession(counting, tlsConn, false, e)
}

// openControl opens the control stream of a session that this node opened, and
// exchanges hellos.
func (e *Endpoint) openControl(s *Session, peer model.Member, probe bool) (*bufio.Reader, error) {
	stream, err := s.yamux.OpenStream()
	if err != nil {
		return nil, err
	}
	s.control = stream
	_ = stream.SetDeadline(time.Now().Add(handshakeTimeout))
	if err := wire.WriteFrame(stream, newHello(e.Self(), probe)); err != nil {
		return nil, err
	}
	r := bufio.NewReader(stream)
	if _, err := s.readHello(r); err != nil {
		return nil, err
	}
	if peer.Instance != "" && s.peer.Instance != peer.Instance {
		return nil, fault.New("check peer", string(peer.Instance), "instance %s answers at %s", s.peer.Instance, peer.PeerAddress)
	}
	return r, stream.SetDeadline(time.Time{})
}

// readHello reads the peer's hello, stores its member record and verifies its
// instance.
func (s *Session) readHello(r *bufio.Reader) (*wire.Hello, error) {
	var f wire.ControlFrame
	if err := wire.ReadFrame(r, &f); err != nil {
		return nil, err
	}
	hello := f.GetHello()
	if hello == nil {
		return nil, fault.New("read hello", "", "the first frame is not a hello")
	}
	s.peer = memberFromHello(hello)
	err := verifyInstance(s.transportConn, s.peer.Instance)
	return hello, fault.Wrap("check certificate", string(s.peer.Instance), err)
}

// Serve accepts sessions on l until t is dying.
func (e *Endpoint) Serve(t *tomb.Tomb, l net.Listener) error {
	context.AfterFunc(t.Context(context.Background()), func() { l.Close() })
	for {
		conn, err := l.Accept()
		if err != nil {
			if !t.Alive() {
				return nil
			}
			return fault.Wrap("accept peer", l.Addr().String(), err)
		}
		go e.accept(conn)
	}
}

func (e *Endpoint) accept(conn net.Conn) {
	s, err := e.newIncomingSession(conn)
	if err != nil {
		e.refuse(conn, err)
		return
	}
	handshakeTimer := time.AfterFunc(handshakeTimeout, s.Close)
	r, probe, err := e.acceptControl(s)
	if err != nil || !handshakeTimer.Stop() {
		e.refuse(conn, err)
		s.Close()
		return
	}
	if probe {
		// The probing node closes the session once it has read the hello.
		time.AfterFunc(handshakeTimeout, s.Close)
		return
	}
	s.startControl(r, e.HandleControl)
	if e.OnAccepted != nil {
		e.OnAccepted(s)
	}
	s.serveCalls(e.HandleCall)
}

func (e *Endpoint) refuse(conn net.Conn, err error) {
	conn.Close()
	if e.OnRefused != nil && err != nil {
		e.OnRefused(conn.RemoteAddr().String(), err)
	}
}

// newIncomingSession starts a session on a connection that a peer opened, with
// TLS if e.TLS is set.
func (e *Endpoint) newIncomingSession(conn net.Conn) (*Session, error) {
	counting := &countingConn{Conn: conn}
	if e.TLS == nil {
		return newSession(counting, counting, true, e)
	}
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	tlsConn, err := e.TLS.serverHandshake(ctx, counting)
	if err != nil {
		return nil, err
	}
	return newSession(counting, tlsConn, true, e)
}

// acceptControl accepts the control stream of a session that a peer opened, and
// exchanges hellos. It reports whether the session is only a probe.
func (e *Endpoint) acceptControl(s *Session) (*bufio.Reader, bool, error) {
	stream, err := s.yamux.AcceptStream()
	if err != nil {
		return nil, false, err
	}
	s.control = stream
	r := bufio.NewReader(stream)
	hello, err := s.readHello(r)
	if err != nil {
		return nil, false, err
	}
	s.clock.setHelloSent(time.Now())
	return r, hello.GetProbe(), wire.WriteFrame(stream, newHello(e.Self(), false))
}

func newHello(m model.Member, probe bool) *wire.ControlFrame {
	h := &wire.Hello{
		Node:    wire.FromNodeID(m.NodeID),
		Service: string(m.Service),
		Zone:    string(m.Zone),
		Region:  string(m.Region),
		Address: m.PeerAddress,
		Probe:   probe,
	}
	return &wire.ControlFrame{Kind: &wire.ControlFrame_Hello{Hello: h}}
}

func memberFromHello(h *wire.Hello) model.Member {
	return model.Member{
		NodeID:      wire.ToNodeID(h.GetNode()),
		Service:     model.Service(h.GetService()),
		Zone:        model.Zone(h.GetZone()),
		Region:      model.Region(h.GetRegion()),
		PeerAddress: h.GetAddress(),
	}
}
