package peerlink

import (
	"bufio"
	"context"
	"net"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/oleanderworks/oleanderworks/core/fault"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/transport/wire"
)

const (
	dialTimeout      = 2 * time.Second
	handshakeTimeout = 2 * time.Second
)

// Endpoint dials peers and accepts their connections.
type Endpoint struct {
	// Self returns the member as which the node speaks now.
	Self    func() model.Member
	Calls   CallHandler
	Control ControlHandler
	// Accepted is called for each session that a peer opened.
	Accepted func(s *Session)
	// Start is the zero of the monotonic clock in calls and heartbeats.
	Start time.Time
}

// Dial opens a session to a peer. It fails when another instance answers.
func (e *Endpoint) Dial(ctx context.Context, peer model.Member) (*Session, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", peer.PeerAddress)
	if err != nil {
		return nil, fault.At("dial peer", string(peer.Instance), err)
	}
	s, err := newSession(conn, false, e.Start)
	if err != nil {
		conn.Close()
		return nil, err
	}
	if err := e.greet(s, peer); err != nil {
		s.Close()
		return nil, fault.At("open control stream", string(peer.Instance), err)
	}
	go s.serveCalls(e.Calls)
	return s, nil
}

// greet exchanges hellos on a session that this node opened.
func (e *Endpoint) greet(s *Session, peer model.Member) error {
	stream, err := s.yamux.OpenStream()
	if err != nil {
		return err
	}
	s.control = stream
	_ = stream.SetDeadline(time.Now().Add(handshakeTimeout))
	if err := wire.WriteFrame(stream, hello(e.Self())); err != nil {
		return err
	}
	r := bufio.NewReader(stream)
	if err := s.readHello(r); err != nil {
		return err
	}
	if s.peer.Instance != peer.Instance {
		return fault.New("check peer", string(peer.Instance), "instance %s answers at %s", s.peer.Instance, peer.PeerAddress)
	}
	_ = stream.SetDeadline(time.Time{})
	s.startControl(r, e.Control)
	return nil
}

// readHello reads the peer's first frame and notes who it is.
func (s *Session) readHello(r *bufio.Reader) error {
	var f wire.ControlFrame
	if err := wire.ReadFrame(r, &f); err != nil {
		return err
	}
	if f.GetHello() == nil {
		return fault.New("read hello", "", "first frame is no hello")
	}
	s.peer = fromHello(f.GetHello())
	return nil
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
			return fault.At("accept peer", l.Addr().String(), err)
		}
		go e.accept(conn)
	}
}

func (e *Endpoint) accept(conn net.Conn) {
	s, err := newSession(conn, true, e.Start)
	if err != nil {
		conn.Close()
		return
	}
	timeout := time.AfterFunc(handshakeTimeout, s.Close)
	r, err := e.welcome(s)
	if err != nil || !timeout.Stop() {
		s.Close()
		return
	}
	s.startControl(r, e.Control)
	if e.Accepted != nil {
		e.Accepted(s)
	}
	s.serveCalls(e.Calls)
}

// welcome exchanges hellos on a session that the peer opened.
func (e *Endpoint) welcome(s *Session) (*bufio.Reader, error) {
	stream, err := s.yamux.AcceptStream()
	if err != nil {
		return nil, err
	}
	s.control = stream
	r := bufio.NewReader(stream)
	if err := s.readHello(r); err != nil {
		return nil, err
	}
	s.clock.greeted(time.Now())
	return r, wire.WriteFrame(stream, hello(e.Self()))
}

func hello(m model.Member) *wire.ControlFrame {
	h := &wire.Hello{
		Node:    wire.FromNodeID(m.NodeID),
		Service: string(m.Service),
		Zone:    string(m.Zone),
		Region:  string(m.Region),
		Address: m.PeerAddress,
	}
	return &wire.ControlFrame{Kind: &wire.ControlFrame_Hello{Hello: h}}
}

func fromHello(h *wire.Hello) model.Member {
	return model.Member{
		NodeID:      wire.ToNodeID(h.GetNode()),
		Service:     model.Service(h.GetService()),
		Zone:        model.Zone(h.GetZone()),
		Region:      model.Region(h.GetRegion()),
		PeerAddress: h.GetAddress(),
	}
}
