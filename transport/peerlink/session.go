// Package peerlink carries calls and control messages between two nodes over
// one yamux session.
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
	// acceptBacklog bounds the streams that a peer has not accepted yet.
	acceptBacklog = 1024
	// controlCapacity bounds the control frames that wait to be written.
	controlCapacity = 1024
	// streamCloseTimeout bounds how long a closed stream may stay half open.
	streamCloseTimeout = 30 * time.Second
	// writeTimeout bounds how long a frame waits for the connection. It
	// exceeds the 4 s after which a silent connection is closed.
	writeTimeout = 5 * time.Second
)

// ControlHandler takes control frames. It runs on the session's reading
// goroutine and must not block.
type ControlHandler func(s *Session, f *wire.ControlFrame)

// CallHandler serves one call that a peer sent.
type CallHandler func(ctx context.Context, call *model.Call) *model.Answer

// Session is one connection between two nodes. Its methods are safe for use
// by several threads.
type Session struct {
	peer          model.Member
	yamux         *yamux.Session
	conn          *countingConn
	stream        net.Conn // conn, or TLS on it
	control       *yamux.Stream
	out           *ring.Ring[*wire.ControlFrame]
	clock         clock
	calls         atomic.Int64
	endpointCalls *atomic.Int64 // calls of all sessions of the endpoint
	byteBudget    *budget.Bytes
}

func yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false // silence is found by the project's heartbeats
	c.AcceptBacklog = acceptBacklog
	c.StreamCloseTimeout = streamCloseTimeout
	c.ConnectionWriteTimeout = writeTimeout
	c.LogOutput = io.Discard
	return c
}

// Peer returns the node at the other end.
func (s *Session) Peer() model.Member { return s.peer }

// BytesReceived returns the number of bytes received so far. Progress of this
// number is the sign of life of the connection.
func (s *Session) BytesReceived() int64 { return s.conn.received.Load() }

// CallsInProgress returns the number of calls in progress, in both directions.
func (s *Session) CallsInProgress() int { return int(s.calls.Load()) }

func (s *Session) addCalls(n int64) {
	s.calls.Add(n)
	s.endpointCalls.Add(n)
}

// SetClockOffset tells the session the peer's clock offset and its error bound.
func (s *Session) SetClockOffset(value, bound time.Duration) { s.clock.setOffset(value, bound) }

// Done is closed when the session has ended.
func (s *Session) Done() <-chan struct{} { return s.yamux.CloseChan() }

// Close ends the session; calls on it fail.
func (s *Session) Close() { _ = s.yamux.Close() }

// Send queues a control frame. It reports false when the queue is full; the
// frame is then dropped.
func (s *Session) Send(f *wire.ControlFrame) bool { return s.out.Offer(f) }

// startControl runs the writer and the reader of the control stream.
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

// newSession opens a session on stream, whose bytes conn counts.
func newSession(conn *countingConn, stream net.Conn, server bool, e *Endpoint) (*Session, error) {
	open := yamux.Client
	if server {
		open = yamux.Server
	}
	y, err := open(&coalescingConn{Conn: stream}, yamuxConfig())
	if err != nil {
		return nil, fault.Wrap("open session", conn.RemoteAddr().String(), err)
	}
	return &Session{
		yamux:         y,
		conn:          conn,
		stream:        stream,
		out:           ring.New[*wire.ControlFrame]("control", controlCapacity),
		clock:         clock{start: e.Start},
		endpointCalls: &e.calls,
		byteBudget:    e.ByteBudget,
	}, nil
}
