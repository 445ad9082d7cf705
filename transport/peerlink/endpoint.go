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
	Self    model.Member
	Calls   CallHandler
	Control ControlHandler
	// Accepted is called for each session that a peer opened.
	Accepted func(s *Session)
}

// Dial opens a session to a peer.
func (e *Endpoint) Dial(ctx context.Context, peer model.Member) (*Session, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", peer.PeerAddress)
	if err != nil {
		return nil, fault.At("dial peer", string(peer.Instance), err)
	}
	s, err := newSession(conn, false)
	if err != nil {
		conn.Close()
		return nil, err
	}
	s.peer = peer
	if err := e.openControl(s); err != nil {
		s.Close()
		return nil, fault.At("open control stream", string(peer.Instance), err)
	}
	go s.serveCalls(e.Calls)
	return s, nil
}

func (e *Endpoint) openControl(s *Session) error {
	stream, err := s.yamux.OpenStream()
	if err != nil {
		return err
	}
	s.control = stream
	if err := wire.WriteFrame(stream, hello(e.Self)); err != nil {
		return err
	}
	s.startControl(bufio.NewReader(stream), e.Control)
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
	s, err := newSession(conn, true)
	if err != nil {
		conn.Close()
		return
	}
	timeout := time.AfterFunc(handshakeTimeout, s.Close)
	stream, err := s.yamux.AcceptStream()
	if err != nil {
		s.Close()
		return
	}
	r := bufio.NewReader(stream)
	var f wire.ControlFrame
	if err := wire.ReadFrame(r, &f); err != nil || f.GetHello() == nil {
		s.Close()
		return
	}
	if !timeout.Stop() {
		return
	}
	s.control = stream
	s.peer = fromHello(f.GetHello())
	s.startControl(r, e.Control)
	if e.Accepted != nil {
		e.Accepted(s)
	}
	s.serveCalls(e.Calls)
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
