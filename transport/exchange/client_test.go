package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
)

// testCodec is a minimal codec. Its headers carry the attempt's id (Id), the
// target's instance (Target), and whether the target is at capacity (Full).
type testCodec struct{}

func (testCodec) AppendRequest(b []byte, call *model.Call, target model.Instance, _ time.Duration) []byte {
	b = append(b, call.Method+" "+call.Path+" HTTP/1.1\r\nHost: test\r\nId: "+call.AttemptID...)
	b = append(b, "\r\nTarget: "+string(target)...)
	if len(call.Body) > 0 {
		b = append(b, "\r\nContent-Length: 4"...)
	}
	return append(b, "\r\n\r\n"...)
}

func (testCodec) AttemptID(resp *http.Response) string { return resp.Header.Get("Id") }

func (testCodec) Classify(resp *http.Response) AnswerKind {
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest:
		return AnswerOtherTarget
	case resp.Header.Get("Full") != "":
		return AnswerTargetFull
	}
	return AnswerOwn
}

func (testCodec) AppendProbe(b []byte, path string) []byte {
	return append(b, "GET "+path+" HTTP/1.1\r\nHost: test\r\n\r\n"...)
}

func (testCodec) ParseHealth(resp *http.Response) model.Health {
	return model.Health{OK: resp.StatusCode == http.StatusOK, Target: model.Instance(resp.Header.Get("Target"))}
}

// scriptedTarget answers each request with the bytes that a function returns.
// An empty answer closes the connection.
type scriptedTarget struct {
	net.Listener
	requests    atomic.Int64
	connections atomic.Int64
	answer      func(n int64, r *http.Request) string
}

func serveScript(t *testing.T, answer func(n int64, r *http.Request) string) *scriptedTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &scriptedTarget{Listener: l, answer: answer}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go s.handle(conn)
		}
	}()
	return s
}

func (s *scriptedTarget) handle(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		req.RemoteAddr = conn.RemoteAddr().String()
		text := s.answer(s.requests.Add(1), req)
		if text == "" {
			return
		}
		if _, err := io.WriteString(conn, text); err != nil || strings.Contains(text, "Connection: close") {
			return
		}
	}
}

func newCall(id string) *model.Call {
	return &model.Call{
		ID: 1, AttemptID: id, Method: http.MethodGet, Path: "/", Idempotent: true, Deadline: time.Now().Add(5 * time.Second),
	}
}

func do(t *testing.T, s *scriptedTarget, calls ...*model.Call) (*model.Answer, model.RunOutcome) {
	t.Helper()
	c := New(s.Addr().String(), testCodec{})
	var a *model.Answer
	var outcome model.RunOutcome
	for _, call := range calls {
		a, outcome = c.Do(context.Background(), call, "t1")
	}
	return a, outcome
}

func okAnswer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nKeep-Alive: timeout=10\r\nContent-Length: " +
		string(rune('0'+len(body))) + "\r\n\r\n" + body
}

// refusal returns an answer that states that a call was not run. An empty id is left out.
func refusal(status, id string) string {
	if id != "" {
		id = "Id: " + id + "\r\n"
	}
	return "HTTP/1.1 " + status + "\r\n" + id + "Full: 1\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n"
}

// Guards against opening a new connection for each call.
func TestConnectionsAreReused(t *testing.T) {
	s := serveScript(t, func(_ int64, r *http.Request) string { return okAnswer(r.Header.Get("Id"), "body") })
	a, outcome := do(t, s, newCall("a"), newCall("b"), newCall("c"))
	assert.Equal(t, outcome, model.OutcomeAnswered)
	assert.Equal(t, string(a.Body), "body")
	assert.Equal(t, s.connections.Load(), int64(1))
}

// Guards against accepting a late answer to an earlier call as the answer to
// the current one.
func TestAnswerToOtherCallIsSkipped(t *testing.T) {
	s := serveScript(t, func(n int64, r *http.Request) string {
		if n == 2 {
			return okAnswer("a", "late") + okAnswer(r.Header.Get("Id"), "mine")
		}
		return okAnswer(r.Header.Get("Id"), "first")
	})
	a, outcome := do(t, s, newCall("a"), newCall("b"))
	assert.Equal(t, outcome, model.OutcomeAnswered)
	assert.Equal(t, string(a.Body), "mine")
}

// Guards against reporting a call that runs as not run because the target repeats an
// earlier refusal on the connection.
func TestRepeatedRefusalIsNotTheAnswerToTheNextCall(t *testing.T) {
	for name, repeated := range map[string]string{
		"id of the earlier call":           refusal("503 Busy", "a"),
		"no id":                            refusal("503 Busy", ""),
		"no id, other target":              refusal("421 Misdirected Request", ""),
		"no id, twice":                     refusal("503 Busy", "") + refusal("503 Busy", ""),
		"no id, status of a completed run": "HTTP/1.1 500 Error\r\nContent-Length: 3\r\n\r\nold",
	} {
		t.Run(name, func(t *testing.T) {
			s := serveScript(t, func(n int64, r *http.Request) string {
				switch n {
				case 1:
					return refusal("503 Busy", r.Header.Get("Id"))
				case 2:
					return repeated + okAnswer(r.Header.Get("Id"), "mine")
				}
				return okAnswer(r.Header.Get("Id"), "next")
			})
			c := New(s.Addr().String(), testCodec{})
			_, outcome := c.Do(context.Background(), newCall("a"), "t1")
			assert.Equal(t, outcome, model.OutcomeTargetFull)
			call := newCall("b")
			call.Idempotent = false
			a, outcome := c.Do(context.Background(), call, "t1")
			assert.Equal(t, a.Run, model.Completed)
			assert.Equal(t, outcome, model.OutcomeAnswered)
			assert.Equal(t, string(a.Body), "mine")
			a, _ = c.Do(context.Background(), newCall("c"), "t1")
			assert.Equal(t, string(a.Body), "next")
			assert.Equal(t, s.connections.Load(), int64(2), "a connection that gave a surplus answer was reused")
		})
	}
}

// Guards against taking the repeated refusal of an attempt as the answer when the same
// attempt is sent again and runs.
func TestRepeatedRefusalIsNotTheAnswerToTheSameAttempt(t *testing.T) {
	refused := make(map[string]bool) // by connection; requests come one at a time
	s := serveScript(t, func(n int64, r *http.Request) string {
		id := r.Header.Get("Id")
		switch {
		case n == 1:
			refused[r.RemoteAddr] = true
			return refusal("503 Busy", id)
		case refused[r.RemoteAddr]:
			return refusal("503 Busy", id) + okAnswer(id, "mine")
		}
		return okAnswer(id, "mine")
	})
	a, outcome := do(t, s, newCall("a"), newCall("a"))
	assert.Equal(t, a.Run, model.Completed)
	assert.Equal(t, outcome, model.OutcomeAnswered)
	assert.Equal(t, string(a.Body), "mine")
}

// Guards against a connection whose record of attempts grows without a limit.
func TestConnectionCarriesLimitedCalls(t *testing.T) {
	s := serveScript(t, func(_ int64, r *http.Request) string { return okAnswer(r.Header.Get("Id"), "body") })
	calls := make([]*model.Call, maxCallsPerConn+1)
	for i := range calls {
		calls[i] = newCall(strconv.Itoa(i))
	}
	do(t, s, calls...)
	assert.Equal(t, s.connections.Load(), int64(2))
}

// Guards against reporting a refused call as one that may have run: the target's load
// shedding would then use up the retry budgets.
func TestRefusalWithIDOnReusedConnectionIsNotRun(t *testing.T) {
	s := serveScript(t, func(_ int64, r *http.Request) string { return refusal("503 Busy", r.Header.Get("Id")) })
	a, outcome := do(t, s, newCall("a"), newCall("b"))
	assert.Equal(t, a.Run, model.NotRun)
	assert.Equal(t, outcome, model.OutcomeTargetFull)
	assert.Equal(t, s.connections.Load(), int64(1))
}

// Guards against attributing a repeated refusal to a call without an attempt id, and
// against not recognizing the refusal of such a call.
func TestCallWithoutIDGetsItsOwnConnection(t *testing.T) {
	s := serveScript(t, func(n int64, _ *http.Request) string { return refusal("400 Bad Request", "") })
	a, _ := do(t, s, newCall("a"), newCall(""), newCall(""))
	assert.Equal(t, a.Run, model.NotRun)
	assert.Equal(t, s.connections.Load(), int64(3))
}

// Guards against surplus bytes after a complete answer that are read as the
// answer to the next call.
func TestExtraBytesCloseTheConnection(t *testing.T) {
	s := serveScript(t, func(n int64, r *http.Request) string {
		if n == 1 {
			return okAnswer(r.Header.Get("Id"), "one") + "garbage"
		}
		return okAnswer(r.Header.Get("Id"), "two")
	})
	a, _ := do(t, s, newCall("a"), newCall("b"))
	assert.Equal(t, string(a.Body), "two")
}

// Guards against sending a call on a connection on which the target has sent something,
// or which it has closed, since the answer before.
func TestConnectionThatIsNotSilentIsNotReused(t *testing.T) {
	for name, surplus := range map[string]string{
		"bytes that are no answer":     "garbage\r\n\r\n",
		"a repeated refusal":           refusal("503 Busy", "a"),
		"a refusal without an id":      refusal("503 Busy", ""),
		"the first byte of an answer":  "H",
		"the end of the connection":    "",
		"an answer to the next call":   okAnswer("b", "early"),
		"more bytes than the buffer":   strings.Repeat("x", 4*readBufferBytes),
		"answers that are not awaited": strings.Repeat(okAnswer("a", "late"), maxAnswersRead),
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer l.Close()
			proceed, surplusSent := make(chan struct{}), make(chan struct{})
			go func() {
				first, err := l.Accept()
				if err != nil {
					return
				}
				defer first.Close()
				_, _ = http.ReadRequest(bufio.NewReader(first))
				_, _ = io.WriteString(first, okAnswer("a", "one"))
				<-proceed
				if _, _ = io.WriteString(first, surplus); surplus == "" {
					first.Close()
				}
				close(surplusSent)
				second, err := l.Accept()
				if err != nil {
					return
				}
				defer second.Close()
				_, _ = http.ReadRequest(bufio.NewReader(second))
				_, _ = io.WriteString(second, okAnswer("b", "two"))
			}()
			c := New(l.Addr().String(), testCodec{})
			c.Do(context.Background(), newCall("a"), "t1")
			close(proceed)
			<-surplusSent
			time.Sleep(20 * time.Millisecond) // for the loopback interface
			call := newCall("b")
			call.Idempotent = false
			call.Deadline = time.Now().Add(time.Second)
			a, outcome := c.Do(context.Background(), call, "t1")
			assert.Equal(t, outcome, model.OutcomeAnswered, a.Detail)
			assert.Equal(t, string(a.Body), "two")
		})
	}
}

// Guards against closing a sound connection because the deadline of its latest call has
// passed.
func TestConnectionIsReusedAfterDeadlineOfLatestCall(t *testing.T) {
	s := serveScript(t, func(_ int64, r *http.Request) string { return okAnswer(r.Header.Get("Id"), "body") })
	c := New(s.Addr().String(), testCodec{})
	call := newCall("a")
	call.Deadline = time.Now().Add(50 * time.Millisecond)
	c.Do(context.Background(), call, "t1")
	time.Sleep(time.Until(call.Deadline) + deadlineGrace + 20*time.Millisecond)
	_, outcome := c.Do(context.Background(), newCall("b"), "t1")
	assert.Equal(t, outcome, model.OutcomeAnswered)
	assert.Equal(t, s.connections.Load(), int64(1))
}

// Guards against failing a HEAD request because its answer lacks the body whose length it
// gives.
func TestAnswerToHeadHasLengthWithoutBody(t *testing.T) {
	s := serveScript(t, func(_ int64, r *http.Request) string {
		return "HTTP/1.1 200 OK\r\nId: " + r.Header.Get("Id") + "\r\nContent-Length: 42\r\n\r\n"
	})
	first, second := newCall("a"), newCall("b")
	first.Method, second.Method = http.MethodHead, http.MethodHead
	a, outcome := do(t, s, first, second)
	assert.Equal(t, outcome, model.OutcomeAnswered)
	assert.Equal(t, a.Header.Get("Content-Length"), "42")
	assert.Equal(t, s.connections.Load(), int64(1))
}

// Guards against accepting a truncated answer as a complete one.
func TestTruncatedAnswerIsNotAccepted(t *testing.T) {
	for name, text := range map[string]string{
		"head":    "HTTP/1.1 200 OK\r\nContent-Le",
		"length":  "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 9\r\n\r\nbody",
		"chunked": "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
		"garbage": "these bytes are no answer\r\n\r\n",
	} {
		s := serveScript(t, func(n int64, _ *http.Request) string {
			if n == 1 {
				return text
			}
			return ""
		})
		call := newCall("a")
		call.Idempotent = false
		call.Deadline = time.Now().Add(300 * time.Millisecond)
		a, _ := do(t, s, call)
		assert.Equal(t, a.Run, model.RunUnknown, name)
	}
}

// Guards against an answer whose head the target cut off and that is taken for a whole one,
// wherever the cut is and however the body would be framed.
func TestAnswerCutInItsHeadIsNotAccepted(t *testing.T) {
	for _, framing := range []string{"Content-Length: 2\r\n", "Transfer-Encoding: chunked\r\n", "Keep-Alive: timeout=9\r\n"} {
		head := "HTTP/1.1 200 OK\r\nId: a\r\n" + framing + "\r\n"
		for cut := 1; cut < len(head); cut++ {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, head[:cut])
				}
			}()
			a, outcome := New(l.Addr().String(), testCodec{}).Do(context.Background(), newCall("a"), "t1")
			assert.Assert(t, a.FromNode() && a.Run == model.RunUnknown, "%q: %+v", head[:cut], a)
			assert.Equal(t, outcome, model.OutcomeConnectionBroken, "%q", head[:cut])
			l.Close()
		}
	}
}

// Guards against sending a call again after a reused connection broke. The target may have
// run a non-idempotent call or crashed on an idempotent one, and no retry budget would
// count the second arrival.
func TestCallIsNotResentAfterItWasWritten(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		s := serveScript(t, func(n int64, r *http.Request) string {
			if n == 2 {
				return ""
			}
			return okAnswer(r.Header.Get("Id"), "body")
		})
		second := newCall("b")
		second.Idempotent = idempotent
		a, outcome := do(t, s, newCall("a"), second)
		assert.Equal(t, a.Run, model.RunUnknown)
		assert.Equal(t, outcome, model.OutcomeConnectionBroken)
		assert.Equal(t, s.requests.Load(), int64(2))
	}
}

// Guards against reporting a call that the target refused as one that may have
// run: it could then not be sent to another target.
func TestTargetRefusalIsNotRun(t *testing.T) {
	s := serveScript(t, func(n int64, _ *http.Request) string {
		if n == 1 {
			return "HTTP/1.1 503 Service Unavailable\r\nFull: 1\r\nContent-Length: 0\r\n\r\n"
		}
		return "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
	})
	a, outcome := do(t, s, newCall("a"))
	assert.Equal(t, a.Run, model.NotRun)
	assert.Equal(t, outcome, model.OutcomeTargetFull)
	a, outcome = do(t, s, newCall("b"))
	assert.Equal(t, a.Run, model.NotRun)
	assert.Equal(t, outcome, model.OutcomeOtherTarget)
}

// Guards against reporting the outcome of a call as unknown although the target
// refused the connection.
func TestCallIsNotRunWhenConnectionIsRefused(t *testing.T) {
	s := serveScript(t, nil)
	s.Close()
	a, outcome := do(t, s, newCall("a"))
	assert.Equal(t, outcome, model.OutcomeConnectionRefused)
	assert.Equal(t, a.Run, model.NotRun)
}

// Guards against a target that continues to process a canceled call: the closed
// connection is what tells it of the cancellation.
func TestCancelClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, conn) // ends when the client closes
		close(closed)
	}()
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	a, _ := New(l.Addr().String(), testCodec{}).Do(ctx, newCall("a"), "t1")
	assert.Equal(t, a.Reason, model.ReasonCanceled)
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Fatal("the connection is still open")
	}
}

// Guards against closing the connection of another call when a call is canceled just after
// its answer.
func TestLateCancelDoesNotCloseReusedConnection(t *testing.T) {
	s := serveScript(t, func(_ int64, r *http.Request) string { return okAnswer(r.Header.Get("Id"), "body") })
	c := New(s.Addr().String(), testCodec{})
	var wg sync.WaitGroup
	var failed atomic.Int64
	for worker := range 16 {
		wg.Go(func() {
			for i := range 2000 {
				call := newCall(strconv.Itoa(worker) + "." + strconv.Itoa(i))
				call.Idempotent = false
				ctx, cancel := context.WithCancel(context.Background())
				if worker%2 == 0 {
					time.AfterFunc(time.Duration(i%200)*time.Microsecond, cancel)
				}
				if a, _ := c.Do(ctx, call, "t1"); a.Run != model.Completed && ctx.Err() == nil {
					failed.Add(1)
				}
				cancel()
			}
		})
	}
	wg.Wait()
	assert.Equal(t, failed.Load(), int64(0))
}

// Guards against a probe that does not report which target answered.
func TestProbeReportsTarget(t *testing.T) {
	s := serveScript(t, func(_ int64, r *http.Request) string {
		return "HTTP/1.1 200 OK\r\nTarget: t7\r\nContent-Length: 0\r\n\r\n"
	})
	h, err := New(s.Addr().String(), testCodec{}).Probe(context.Background(), "/healthz")
	assert.NilError(t, err)
	assert.Equal(t, h, model.Health{OK: true, Target: "t7"})
}
