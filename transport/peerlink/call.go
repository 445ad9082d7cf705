package peerlink

import (
	"bufio"
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/core/budget"
	"github.com/oleanderworks/oleanderworks/core/fault"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/transport/wire"
)

// Call sends a call and waits for the complete answer. It never returns nil: if
// the session fails, it returns an answer that says whether the call may have
// run. It returns when ctx is done, even if a write is blocked on a dead
// connection.
func (s *Session) Call(ctx context.Context, call *model.Call) *model.Answer {
	s.addCalls(1)
	o := &outgoingCall{session: s, call: call, answer: make(chan *model.Answer, 1)}
	go o.run(ctx)
	select {
	case answer := <-o.answer:
		return answer
	case <-ctx.Done():
		return o.failedCallAnswer(ctx, ctx.Err())
	}
}

// outgoingCall sends one call on a session and reads its answer. It runs on its
// own goroutine, since yamux does not interrupt a blocked write when the stream's
// deadline passes.
type outgoingCall struct {
	session *Session
	call    *model.Call
	answer  chan *model.Answer
	// phase determines which comes first: sending the end frame or abandoning
	// the call. The peer runs no call without an end frame, so that a call
	// abandoned first is certain not to run.
	phase atomic.Int32
}

// Values of outgoingCall.phase.
const (
	phasePreparing int32 = iota
	phaseSent
	phaseAbandoned
)

// errAbandoned ends a call whose ctx was done before the end frame was sent:
// the caller disconnected or the deadline passed.
var errAbandoned = errors.New("the caller has gone")

// commitSend is called before the end frame is written and returns errAbandoned if
// the call was abandoned. Otherwise the peer may run the call from then on.
func (o *outgoingCall) commitSend() error {
	if !o.phase.CompareAndSwap(phasePreparing, phaseSent) {
		return errAbandoned
	}
	return nil
}

// abandon abandons the call unless the end frame was sent. It reports whether it
// is certain that the peer does not run the call.
func (o *outgoingCall) abandon() bool {
	o.phase.CompareAndSwap(phasePreparing, phaseAbandoned)
	return o.phase.Load() == phaseAbandoned
}

func (o *outgoingCall) run(ctx context.Context) {
	defer o.session.addCalls(-1)
	stream, err := o.session.yamux.OpenStream()
	if err != nil {
		o.answer <- o.failedCallAnswer(ctx, fault.Wrap("open call stream", "", err))
		return
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { abort(stream) })
	defer stop()
	answer, err := o.exchange(stream, budget.FromContext(ctx))
	if err != nil {
		answer = o.failedCallAnswer(ctx, err)
	}
	o.answer <- answer
}

func (o *outgoingCall) exchange(stream *yamux.Stream, reservation *budget.Reservation) (*model.Answer, error) {
	w := bufio.NewWriter(stream)
	now := time.Now()
	sent := o.session.clock.sinceStart(now)
	if err := wire.WriteCall(w, o.call, now, sent, o.commitSend); err != nil {
		return nil, err
	}
	if err := w.Flush(); err != nil {
		return nil, fault.Wrap("send call", "", err)
	}
	return wire.ReadAnswer(bufio.NewReader(stream), o.call.ID, reservation.Acquire)
}

// failedCallAnswer returns the answer to a call that failed: a refusal if it is
// certain that the call does not run, otherwise a failure. If ctx is done, the
// reason is ReasonDeadline, even if ctx was canceled because the caller
// disconnected.
func (o *outgoingCall) failedCallAnswer(ctx context.Context, err error) *model.Answer {
	detail := fault.Wrap("call", string(o.session.peer.Instance), err).Error()
	notRun := o.abandon()
	reason := model.ReasonAnswerCut
	switch {
	case ctx.Err() != nil:
		reason = model.ReasonDeadline
	case notRun:
		reason = model.ReasonPeerUnreachable
	}
	if notRun {
		return model.NewRefusal(o.call.ID, reason, detail)
	}
	return model.NewFailure(o.call.ID, reason, detail)
}

// abort unblocks pending reads and writes, and closes the stream so that the
// peer cancels the call.
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
		go s.serveCall(stream, handle)
	}
}

func (s *Session) serveCall(stream *yamux.Stream, handle CallHandler) {
	s.addCalls(1)
	defer s.addCalls(-1)
	defer stream.Close()
	reservation := s.byteBudget.NewReservation()
	defer reservation.Release()
	r := bufio.NewReader(stream)
	call, err := wire.ReadCall(r, s.clock.arrival, reservation.Acquire)
	if err != nil {
		return
	}
	if call.EntryNode.Instance != s.peer.Instance {
		return // a peer may only send calls that entered at its own instance
	}
	ctx, cancel := context.WithCancel(budget.NewContext(context.Background(), reservation))
	defer cancel()
	go func() {
		// The peer sends nothing more, so that the read returns only when the
		// peer closes the stream or the session ends.
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
