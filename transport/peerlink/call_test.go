package peerlink

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/core/budget"
	"github.com/oleanderworks/oleanderworks/model"
)

func dial(t *testing.T, e *Endpoint, peer model.Member) *Session {
	t.Helper()
	s, err := e.Dial(context.Background(), peer)
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	return s
}

func newCall(id model.CallID, body string) *model.Call {
	call := &model.Call{ID: id, Body: []byte(body), Deadline: time.Now().Add(10 * time.Second)}
	call.EntryNode.Instance = "registry-1"
	return call
}

// Guards against an answer that arrives after its call was canceled and is
// delivered to another call on the same session.
func TestLateAnswerReachesNoOtherCall(t *testing.T) {
	release := make(chan struct{})
	peer := newEndpoint("tally-1", nil)
	peer.HandleCall = func(ctx context.Context, call *model.Call) *model.Answer {
		if call.ID == 1 {
			<-release
		}
		return echo(ctx, call)
	}
	member, _ := listen(t, peer)
	s := dial(t, newEndpoint("registry-1", nil), member)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	late := s.Call(ctx, newCall(1, "first"))
	assert.Equal(t, late.Reason, model.ReasonDeadline)
	assert.Equal(t, late.Run, model.RunUnknown)
	close(release)
	for id := model.CallID(2); id < 50; id++ {
		answer := s.Call(context.Background(), newCall(id, "second"))
		assert.Equal(t, answer.ID, id)
		assert.Equal(t, string(answer.Body), "second")
	}
}

// Guards against answers that are delivered to the wrong call when many calls
// share a session.
func TestConcurrentAnswersReachTheirCalls(t *testing.T) {
	peer := newEndpoint("tally-1", nil)
	peer.HandleCall = func(ctx context.Context, call *model.Call) *model.Answer {
		time.Sleep(time.Duration(call.ID%7) * time.Millisecond)
		return echo(ctx, call)
	}
	member, _ := listen(t, peer)
	s := dial(t, newEndpoint("registry-1", nil), member)
	var wg sync.WaitGroup
	for id := model.CallID(1); id <= 200; id++ {
		wg.Go(func() {
			body := bytes.Repeat([]byte{byte(id)}, int(id)*300)
			answer := s.Call(context.Background(), newCall(id, string(body)))
			assert.Check(t, bytes.Equal(answer.Body, body))
		})
	}
	wg.Wait()
}

// Guards against calls that hang when the peer stops reading from the connection,
// and against reporting that a call may have run although its end frame was not
// sent.
func TestBlockedWriteDoesNotHangCalls(t *testing.T) {
	peer := newEndpoint("tally-1", nil)
	member, _ := listen(t, peer)
	relay := newStallingRelay(t, member.PeerAddress)
	s := dial(t, newEndpoint("registry-1", nil), testMember("tally-1", relay.address))
	assert.Equal(t, callOnce(t, s, "registry-1").Run, model.Completed)
	relay.stall()
	body := string(make([]byte, 4<<20))
	var wg sync.WaitGroup
	for id := model.CallID(1); id <= 8; id++ {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			begin := time.Now()
			answer := s.Call(ctx, newCall(id, body))
			assert.Check(t, time.Since(begin) < time.Second)
			assert.Check(t, answer.Run == model.NotRun, "run state is not NotRun: the body of 4 MiB exceeds the window of 256 KiB, so that the end frame was not sent")
		})
	}
	wg.Wait()
}

// Guards against answers that exceed the node's byte budget.
func TestAnswersStayWithinTheBudget(t *testing.T) {
	peer := newEndpoint("tally-1", nil)
	peer.HandleCall = func(_ context.Context, call *model.Call) *model.Answer {
		return &model.Answer{ID: call.ID, Run: model.Completed, Status: 200, Body: make([]byte, 1<<20)}
	}
	member, _ := listen(t, peer)
	s := dial(t, newEndpoint("registry-1", nil), member)
	byteBudget := budget.NewBytes(512 << 10)
	reservation := byteBudget.NewReservation()
	answer := s.Call(budget.NewContext(context.Background(), reservation), newCall(1, ""))
	assert.Equal(t, answer.Reason, model.ReasonAnswerCut)
	assert.Equal(t, answer.Run, model.RunUnknown)
	reservation.Release()
	assert.Equal(t, byteBudget.Held(), int64(0))
}

// stallingRelay forwards bytes in both directions until stall is called.
type stallingRelay struct {
	address string
	stalled sync.RWMutex
}

func newStallingRelay(t *testing.T, to string) *stallingRelay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &stallingRelay{address: l.Addr().String()}
	t.Cleanup(func() { l.Close() })
	go func() {
		in, err := l.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", to)
		if err != nil {
			return
		}
		go r.copy(in, out)
		r.copy(out, in)
	}()
	return r
}

func (r *stallingRelay) copy(to io.Writer, from io.Reader) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		r.stalled.RLock()
		_, _ = to.Write(buffer[:n])
		r.stalled.RUnlock()
	}
}

func (r *stallingRelay) stall() { r.stalled.Lock() }
