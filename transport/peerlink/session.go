// Package peerlink carries calls and control messages between two nodes over
// one yamux session.
package peerlink

import (
	"bufio"
	"context"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"

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
)

// ControlHandler takes control frames. It runs on the session's reading
// goroutine and must not block.
type ControlHandler func(s *Session, f *wire.ControlFrame)

// CallHandler serves one call that a peer sent.
type CallHandler func(ctx context.Context, call *model.Call) *model.Answer

// Session is one connection between two nodes. Its methods are safe for use
// by several threads.
type Session struct {
	peer    model.Member
	yamux   *yamux.Session
	conn    *countingConn
	control *yamux.Stream
	out     *ring.Ring[*wire.ControlFrame]
}

func yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false // silence is found by the project's heartbeats
	c.AcceptBacklog = acceptBacklog
	c.StreamCloseTimeout = streamCloseTimeout
	c.LogOutput = io.Discard
	return c
}

// Peer returns the node at the other end.
func (s *Session) Peer() model.Member { return s.peer }

// Received returns the number of bytes received so far. Progress of this
// number is the sign of life of the connection.
func (s *Session) Received() int64 { return s.conn.received.Load() }

// Done is closed when the session has ended.
func (s *Session) Done() <-chan struct{} { return s.yamux.CloseChan() }

// Close ends the session; calls on it fail.
func (s *Session) Close() { _ = s.yamux.Close() }

// Send queues a control frame. It reports false when the queue is full; the
// frame is then dropped.
func (s *Session) Send(f *wire.ControlFrame) bool { return s.out.Offer(f) }

// Call sends a call and waits for its whole answer. It never returns nil: a
// failure of the session is an answer that says whether the call may have
// run.
func (s *Session) Call(ctx context.Context, call *model.Call) *model.Answer {
	stream, err := s.yamux.OpenStream()
	if err != nil {
		detail := fault.At("open call stream", string(s.peer.Instance), err).Error()
		return model.Refusal(call.ID, model.ReasonPeerUnreachable, detail)
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { abort(stream) })
	defer stop()

	answer, err := exchange(stream, call)
	if err != nil {
		return s.failure(ctx, call.ID, err)
	}
	return answer
}

func exchange(stream *yamux.Stream, call *model.Call) (*model.Answer, error) {
	w := bufio.NewWriter(stream)
	if err := wire.WriteCall(w, call, time.Now()); err != nil {
		return nil, err
	}
	if err := w.Flush(); err != nil {
		return nil, fault.At("send call", "", err)
	}
	return wire.ReadAnswer(bufio.NewReader(stream), call.ID)
}

func (s *Session) failure(ctx context.Context, id model.CallID, err error) *model.Answer {
	detail := fault.At("call", string(s.peer.Instance), err).Error()
	if ctx.Err() != nil {
		return model.Failure(id, model.ReasonDeadline, detail)
	}
	return model.Failure(id, model.ReasonAnswerCut, detail)
}

// abort unblocks pending reads and writes and tells the peer that the caller
// has gone.
func abort(stream *yamux.Stream) {
	_ = stream.SetDeadline(time.Now())
	_ = stream.Close()
}

// serveCalls accepts call streams until the session ends.
func (s *Session) serveCalls(handle CallHandler) {
	for {
		stream, err := s.yamux.AcceptStream()
		if err != nil {
			return
		}
		go serveCall(stream, handle)
	}
}

func serveCall(stream *yamux.Stream, handle CallHandler) {
	defer stream.Close()
	r := bufio.NewReader(stream)
	call, err := wire.ReadCall(r, time.Now())
	if err != nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		// The caller sends nothing more; the read ends when it goes away.
		_, _ = r.ReadByte()
		cancel()
	}()
	answer := handle(ctx, call)
	w := bufio.NewWriter(stream)
	if err := wire.WriteAnswer(w, answer); err != nil {
		return
	}
	_ = w.Flush()
}

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

func newSession(conn net.Conn, server bool) (*Session, error) {
	counting := &countingConn{Conn: conn}
	open := yamux.Client
	if server {
		open = yamux.Server
	}
	y, err := open(counting, yamuxConfig())
	if err != nil {
		return nil, fault.At("open session", conn.RemoteAddr().String(), err)
	}
	return &Session{
		yamux: y,
		conn:  counting,
		out:   ring.New[*wire.ControlFrame]("control", controlCapacity),
	}, nil
}
