package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
)

// testCodec uses plain headers.
type testCodec struct{}

func (testCodec) AppendRequest(b []byte, call *model.Call, target model.Instance, _ time.Duration) []byte {
	b = append(b, call.Method+" "+call.Path+" HTTP/1.1\r\nHost: test\r\nId: "+call.AttemptID...)
	b = append(b, "\r\nTarget: "+string(target)...)
	if len(call.Body) > 0 {
		b = append(b, "\r\nContent-Length: 4"...)
	}
	return append(b, "\r\n\r\n"...)
}

func (testCodec) Classify(call *model.Call, resp *http.Response) AnswerKind {
	switch {
	case resp.Header.Get("Id") != "" && resp.Header.Get("Id") != call.AttemptID:
		return AnswerToOtherCall
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

// target serves each connection with a script: for each request the bytes of
// the answer. An empty answer closes the connection.
type scripted struct {
	net.Listener
	requests    atomic.Int64
	connections atomic.Int64
	answer      func(n int64, r *http.Request) string
}

func serve(t *testing.T, answer func(n int64, r *http.Request) string) *scripted {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &scripted{Listener: l, answer: answer}
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

func (s *scripted) handle(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
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

func do(t *testing.T, s *scripted, calls ...*model.Call) (*model.Answer, model.RunOutcome) {
	t.Helper()
	c := New(s.Addr().String(), testCodec{})
	var a *model.Answer
	var e model.RunOutcome
	for _, call := range calls {
		a, e = c.Do(context.Background(), call, "t1")
	}
	return a, e
}

func ok(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nKeep-Alive: timeout=10\r\nContent-Length: " +
		string(rune('0'+len(body))) + "\r\n\r\n" + body
}

// Guards against a new connection for each call.
func TestConnectionsAreReused(t *testing.T) {
	s := serve(t, func(_ int64, r *http.Request) string { return ok(r.Header.Get("Id"), "body") })
	a, e := do(t, s, newCall("a"), newCall("b"), newCall("c"))
	assert.Equal(t, e, model.OutcomeAnswered)
	assert.Equal(t, string(a.Body), "body")
	assert.Equal(t, s.connections.Load(), int64(1))
}

// Guards against a late answer to an earlier call that is taken for the answer
// to the current one.
func TestForeignAnswerIsSkipped(t *testing.T) {
	s := serve(t, func(n int64, r *http.Request) string {
		if n == 2 {
			return ok("a", "late") + ok(r.Header.Get("Id"), "mine")
		}
		return ok(r.Header.Get("Id"), "first")
	})
	a, e := do(t, s, newCall("a"), newCall("b"))
	assert.Equal(t, e, model.OutcomeAnswered)
	assert.Equal(t, string(a.Body), "mine")
}

// Guards against bytes after a complete answer that reach the next call.
func TestExtraBytesCloseTheConnection(t *testing.T) {
	s := serve(t, func(n int64, r *http.Request) string {
		if n == 1 {
			return ok(r.Header.Get("Id"), "one") + "garbage"
		}
		return ok(r.Header.Get("Id"), "two")
	})
	a, _ := do(t, s, newCall("a"), newCall("b"))
	assert.Equal(t, string(a.Body), "two")
}

// Guards against a cut answer that is taken for a whole one.
func TestCutAnswers(t *testing.T) {
	for name, text := range map[string]string{
		"head":    "HTTP/1.1 200 OK\r\nContent-Le",
		"length":  "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 9\r\n\r\nbody",
		"chunked": "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
		"garbage": "these bytes are no answer\r\n\r\n",
	} {
		s := serve(t, func(n int64, _ *http.Request) string {
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

// Guards against a call that must not be repeated and is sent again on a new
// connection after the kept one broke.
func TestOnceOnlyIsNotSentAgain(t *testing.T) {
	s := serve(t, func(n int64, r *http.Request) string {
		if n == 2 {
			return ""
		}
		return ok(r.Header.Get("Id"), "body")
	})
	once := newCall("b")
	once.Idempotent = false
	a, e := do(t, s, newCall("a"), once)
	assert.Equal(t, a.Run, model.RunUnknown)
	assert.Equal(t, e, model.OutcomeConnectionBroken)
	assert.Equal(t, s.requests.Load(), int64(2))
}

// Guards against a target's refusal that is taken for a failure, so that the
// call cannot go elsewhere.
func TestTargetsRefusals(t *testing.T) {
	s := serve(t, func(n int64, _ *http.Request) string {
		if n == 1 {
			return "HTTP/1.1 503 Service Unavailable\r\nFull: 1\r\nContent-Length: 0\r\n\r\n"
		}
		return "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
	})
	a, e := do(t, s, newCall("a"))
	assert.Equal(t, a.Run, model.NotRun)
	assert.Equal(t, e, model.OutcomeTargetFull)
	a, e = do(t, s, newCall("b"))
	assert.Equal(t, a.Run, model.NotRun)
	assert.Equal(t, e, model.OutcomeOtherTarget)
}

// Guards against a target that is down and not noticed.
func TestNoListener(t *testing.T) {
	s := serve(t, nil)
	s.Close()
	a, e := do(t, s, newCall("a"))
	assert.Equal(t, e, model.OutcomeConnectionRefused)
	assert.Equal(t, a.Run, model.NotRun)
}

// Guards against a target that works on for a caller that has gone.
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

// Guards against a probe that takes a wrong target for healthy.
func TestProbe(t *testing.T) {
	s := serve(t, func(_ int64, r *http.Request) string {
		return "HTTP/1.1 200 OK\r\nTarget: t7\r\nContent-Length: 0\r\n\r\n"
	})
	h, err := New(s.Addr().String(), testCodec{}).Probe(context.Background(), "/healthz")
	assert.NilError(t, err)
	assert.Equal(t, h, model.Health{OK: true, Target: "t7"})
}
