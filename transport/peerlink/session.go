// Package peerlink transports calls and control messages between two nodes of
// package agent over one yamux session, encoded by transport/wire.
package peerlink

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/oleanderworks/oleanderworks/core/budget"
	"github.com/oleanderworks/oleanderworks/core/fault"
	"github.com/oleanderworks/oleanderworks/core/ring"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/transport/wire"
)

const (
	// acceptBacklog limits the opened streams that the peer has not accepted yet.
	acceptBacklog = 1024
	// controlRingCapacity is the capacity of the ring of outgoing control frames.
	controlRingCapacity = 1024
	// streamCloseTimeout bounds how long a closed stream may stay half-open.
	streamCloseTimeout = 30 * time.Second
	// writeTimeout bounds how long a frame waits to be written. It exceeds the
	// 4 s after which a session without received bytes is closed
	// (link.SilenceLimit and link.SilentGracePeriod).
	writeTimeout = 5 * time.Second
)

// ControlHandler handles a control frame. It runs on the session's reader
// goroutine and must not block.
type ControlHandler func(s *Session, f *wire.ControlFrame)

// CallHandler runs a call from a peer and returns its answer.
type CallHandler func(ctx context.Context, call *model.Call) *model.Answer

// Session is a yamux session between two nodes, over one TCP connection. It is
// safe for concurrent use.
type Session struct {
	peer            model.Member
	yamux           *yamux.Session
	conn            *countingConn
	transportConn   net.Conn // the connection that yamux uses: conn, or TLS over conn
	control         *yamux.Stream
	out             *ring.Ring[*wire.ControlFrame]
	clock           clock
	calls           atomic.Int64
	allSessionCalls *atomic.Int64 // calls in progress on all sessions of the endpoint
	byteBudget      *budget.Bytes
}

func yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false // the nodes' heartbeats detect dead connections
	c.AcceptBacklog = acceptBacklog
	c.StreamCloseTimeout = streamCloseTimeout
	c.ConnectionWriteTimeout = writeTimeout
	c.LogOutput = io.Discard
	return c
}

// Peer returns the node at the other end.
func (s *Session) Peer() model.Member { return s.peer }

// BytesReceived returns the number of bytes received so far. The session is
// considered alive while this number grows.
func (s *Session) BytesReceived() int64 { return s.conn.received.Load() }

// CallsInProgress returns the number of calls in progress, in both directions.
func (s *Session) CallsInProgress() int { return int(s.calls.Load()) }

func (s *Session) addCalls(n int64) {
	s.calls.Add(n)
	s.allSessionCalls.Add(n)
}

// SetClockOffset sets the estimated offset of the peer's clock and the bound on
// its error.
func (s *Session) SetClockOffset(value, bound time.Duration) { s.clock.setOffset(value, bound) }

// Done returns a channel that is closed when the session ends.
func (s *Session) Done() <-chan struct{} { return s.yamux.CloseChan() }

// Close ends the session. Its calls in progress fail.
func (s *Session) Close() { _ = s.yamux.Close() }

// Send adds a control frame to the ring of outgoing frames. If the ring is full,
// it drops the frame and returns false.
func (s *Session) Send(f *wire.ControlFrame) bool { return s.out.Offer(f) }

// startControl starts the goroutines that write and read the control stream.
func (s *Session) startControl(r *bufio.Reader, handle ControlHandler) {
	go s.writeControl()
	go s.readControl(r, handle)
}

func (s *Session) writeControl() {
	batch := make([]*wire.ControlFrame, 64)
	w := bufio.NewWriter(s.control)
	for {
		n, err := s.out.Take(batch, nil, s.Done())
		if err != nil || n == 0 {
			return
		}
		for _, f := range batch[:n] {
			if err := wire.WriteFrame(w, f); err != nil {
				s.Close()
				return
			}
		}
		if err := w.Flush(); err != nil {
			s.Close()
			return
		}
	}
}

func (s *Session) readControl(r *bufio.Reader, handle ControlHandler) {
	defer s.Close()
	for {
		f := new(wire.ControlFrame)
		if err := wire.ReadFrame(r, f); err != nil {
			return
		}
		handle(s, f)
	}
}

// newSession opens a session on transportConn, which is conn or TLS over conn.
// conn counts the received bytes.
func newSession(conn *countingConn, transportConn net.Conn, server bool, e *Endpoint) (*Session, error) {
	open := yamux.Client
	if server {
		open = yamux.Server
	}
	y, err := open(&coalescingConn{Conn: transportConn}, yamuxConfig())
	if err != nil {
		return nil, fault.Wrap("open session", conn.RemoteAddr().String(), err)
	}
	return &Session{
		yamux:           y,
		conn:            conn,
		transportConn:   transportConn,
		out:             ring.New[*wire.ControlFrame]("control", controlRingCapacity),
		clock:           clock{start: e.Start},
		allSessionCalls: &e.calls,
		byteBudget:      e.ByteBudget,
	}, nil
}
