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

// Call sends a call and waits for its whole answer. It never returns nil: a
// failure of the session is an answer that says whether the call may have
// run. It returns when ctx ends, also when a write is stuck on a dead
// connection.
func (s *Session) Call(ctx context.Context, call *model.Call) *model.Answer {
	s.addCalls(1)
	a := &attempt{session: s, call: call, answer: make(chan *model.Answer, 1)}
	go a.run(ctx)
	select {
	case answer := <-a.answer:
		return answer
	case <-ctx.Done():
		return a.failure(ctx, ctx.Err())
	}
}

// attempt is one call on a session. yamux does not stop a write when its
// stream's deadline passes, so that the exchange has its own goroutine.
type attempt struct {
	session *Session
	call    *model.Call
	answer  chan *model.Answer
	// phase decides between the end frame and giving up: the peer runs no
	// call without an end frame, so that a call given up before is not run.
	phase atomic.Int32
}

// Values of attempt.phase.
const (
	phasePreparing int32 = iota
	phaseSent
	phaseAbandoned
)

var errAbandoned = errors.New("the caller has gone")

// commit is called before the end frame is written.
func (a *attempt) commitSend() error {
	if !a.phase.CompareAndSwap(phasePreparing, phaseSent) {
		return errAbandoned
	}
	return nil
}

// notRun gives the attempt up and reports whether the peer cannot run it.
func (a *attempt) abandon() bool {
	a.phase.CompareAndSwap(phasePreparing, phaseAbandoned)
	return a.phase.Load() == phaseAbandoned
}

func (a *attempt) run(ctx context.Context) {
	defer a.session.addCalls(-1)
	stream, err := a.session.yamux.OpenStream()
	if err != nil {
		a.answer <- a.failure(ctx, fault.Wrap("open call stream", "", err))
		return
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { abort(stream) })
	defer stop()
	answer, err := a.exchange(stream, budget.FromContext(ctx))
	if err != nil {
		answer = a.failure(ctx, err)
	}
	a.answer <- answer
}

func (a *attempt) exchange(stream *yamux.Stream, reservation *budget.Reservation) (*model.Answer, error) {
	w := bufio.NewWriter(stream)
	now := time.Now()
	sent := a.session.clock.sinceStart(now)
	if err := wire.WriteCall(w, a.call, now, sent, a.commitSend); err != nil {
		return nil, err
	}
	if err := w.Flush(); err != nil {
		return nil, fault.Wrap("send call", "", err)
	}
	return wire.ReadAnswer(bufio.NewReader(stream), a.call.ID, reservation.Acquire)
}

// failure says honestly whether the call may have run.
func (a *attempt) failure(ctx context.Context, err error) *model.Answer {
	detail := fault.Wrap("call", string(a.session.peer.Instance), err).Error()
	notRun := a.abandon()
	reason := model.ReasonAnswerCut
	switch {
	case ctx.Err() != nil:
		reason = model.ReasonDeadline
	case notRun:
		reason = model.ReasonPeerUnreachable
	}
	if notRun {
		return model.NewRefusal(a.call.ID, reason, detail)
	}
	return model.NewFailure(a.call.ID, reason, detail)
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
		return // a peer may speak only for its own instance
	}
	ctx, cancel := context.WithCancel(budget.NewContext(context.Background(), reservation))
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
