package target

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
)

// rawTarget accepts connections and calls serve for each request. n counts the
// requests on the connection from 0. serve reports whether to keep the connection
// open.
func rawTarget(t *testing.T, serve func(c net.Conn, r *http.Request, n int) bool) (url string, requests *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	requests = new(atomic.Int64)
	var conns sync.Map
	t.Cleanup(func() {
		l.Close()
		conns.Range(func(c, _ any) bool { c.(net.Conn).Close(); return true })
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Store(c, true)
			go serveRaw(c, requests, serve)
		}
	}()
	return "http://" + l.Addr().String(), requests
}

func serveRaw(c net.Conn, requests *atomic.Int64, serve func(net.Conn, *http.Request, int) bool) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		requests.Add(1)
		if !serve(c, r, n) {
			return
		}
	}
}

func writeText(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

const completeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func newClient(t *testing.T, url string, connections int) *Client {
	t.Helper()
	c, err := New(url, connections)
	assert.NilError(t, err)
	return c
}

func newCall(method, body string) *model.Call {
	return &model.Call{
		ID: 1, Method: method, Path: "/x", Body: []byte(body), Header: make(http.Header),
		RequestID: uuid.Must(uuid.NewV7()), Deadline: time.Now().Add(5 * time.Second),
	}
}

func do(c *Client, call *model.Call) *model.Answer {
	return c.Do(context.Background(), call, "context", 0)
}

// Guards against net/http resending a request on its own when a reused
// connection breaks: a target that closes it after reading the request must
// see each request once.
func TestRequestIsNotResentAfterClose(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			url, requests := rawTarget(t, func(c net.Conn, _ *http.Request, n int) bool {
				return n == 0 && writeText(c, completeAnswer)
			})
			c := newClient(t, url, 4)
			assert.Equal(t, do(c, newCall(method, "")).Run, model.Completed)
			secondCall := newCall(method, "")
			secondCall.Header.Set(HeaderRequestID, secondCall.RequestID.String())
			answer := do(c, secondCall)
			assert.Equal(t, answer.Run, model.RunUnknown)
			assert.Equal(t, answer.Reason, model.ReasonTargetFailed)
			assert.Assert(t, answer.TargetLost)
			assert.Equal(t, requests.Load(), int64(2))
		})
	}
}

// Guards against forwarding an answer as complete that is or may be truncated.
func TestIncompleteAnswerIsAFailure(t *testing.T) {
	for name, text := range map[string]string{
		"shorter than its length":       "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
		"truncated between chunks":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
		"truncated in a chunk":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nbody",
		"delimited by connection close": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nmaybe cut",
	} {
		t.Run(name, func(t *testing.T) {
			url, _ := rawTarget(t, func(c net.Conn, _ *http.Request, _ int) bool { writeText(c, text); return false })
			answer := do(newClient(t, url, 4), newCall(http.MethodGet, ""))
			assert.Equal(t, answer.Run, model.RunUnknown)
			assert.Equal(t, answer.Reason, model.ReasonAnswerCut)
			assert.Equal(t, len(answer.Body), 0)
		})
	}
}

// Guards against a head without end that fills the node's memory: a head is not counted
// against the budget for bodies.
func TestEndlessHeadEndsTheCall(t *testing.T) {
	for name, text := range map[string][2]string{
		"fields":                  {"HTTP/1.1 200 OK\r\n", strings.Repeat("Field: value\r\n", 100)},
		"one line":                {"HTTP/1.1 200 OK\r\nField: ", strings.Repeat("v", 1000)},
		"informational responses": {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\nField: value\r\n\r\n", 100)},
	} {
		t.Run(name, func(t *testing.T) {
			sent := make(chan int, 1)
			url, _ := rawTarget(t, func(c net.Conn, _ *http.Request, _ int) bool {
				_ = c.(*net.TCPConn).SetWriteBuffer(4 << 10)
				n := 0
				for ok := writeText(c, text[0]); ok; n += len(text[1]) {
					ok = writeText(c, text[1])
				}
				sent <- n
				return false
			})
			answer := do(newClient(t, url, 4), newCall(http.MethodGet, ""))
			assert.Equal(t, answer.Run, model.RunUnknown)
			n := <-sent
			assert.Assert(t, n < 4<<20, "%d bytes were sent", n)
		})
	}
}

// Guards against surplus bytes after a complete answer that are read as the
// answer to the next call on the connection.
func TestExtraBytesReachNoOtherCall(t *testing.T) {
	url, _ := rawTarget(t, func(c net.Conn, r *http.Request, _ int) bool {
		if r.Header.Get("Extra") != "" {
			return writeText(c, completeAnswer+"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")
		}
		return writeText(c, completeAnswer)
	})
	c := newClient(t, url, 4)
	withExtra := newCall(http.MethodGet, "")
	withExtra.Header.Set("Extra", "1")
	assert.Equal(t, string(do(c, withExtra).Body), "ok")
	for range 5 {
		assert.Equal(t, string(do(c, newCall(http.MethodGet, "")).Body), "ok")
	}
}

// Guards against a late answer to a canceled call that is delivered to the next
// call.
func TestConnectionOfCanceledCallIsNotReused(t *testing.T) {
	release := make(chan struct{})
	url, _ := rawTarget(t, func(c net.Conn, r *http.Request, n int) bool {
		if r.Header.Get("Slow") != "" {
			<-release
			writeText(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
			return false
		}
		return writeText(c, completeAnswer)
	})
	c := newClient(t, url, 4)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	slow := newCall(http.MethodGet, "")
	slow.Header.Set("Slow", "1")
	answer := c.Do(ctx, slow, "context", 0)
	assert.Equal(t, answer.Reason, model.ReasonCanceled)
	assert.Equal(t, answer.Run, model.RunUnknown)
	close(release)
	for range 5 {
		assert.Equal(t, string(do(c, newCall(http.MethodGet, "")).Body), "ok")
	}
}

// Guards against reporting the outcome of a call as unknown although the target
// refused the connection.
func TestCallIsNotRunWhenConnectionIsRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	l.Close()
	c := newClient(t, "http://"+address, 4)
	answer := do(c, newCall(http.MethodPost, "body"))
	assert.Equal(t, answer.Run, model.NotRun)
	assert.Assert(t, answer.TargetLost)
	assert.Assert(t, !c.Probe(context.Background()))
}

// Guards against opening more connections than the limit.
func TestConnectionLimit(t *testing.T) {
	arrived, release := make(chan struct{}, 2), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-release
	}))
	t.Cleanup(server.Close)
	c := newClient(t, server.URL, 2)
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() { do(c, newCall(http.MethodGet, "")) })
	}
	<-arrived
	<-arrived
	answer := do(c, newCall(http.MethodGet, ""))
	assert.Equal(t, answer.Run, model.NotRun)
	assert.Equal(t, answer.Reason, model.ReasonShed)
	close(release)
	wg.Wait()
	assert.Equal(t, do(c, newCall(http.MethodGet, "")).Run, model.Completed)
}

// Guards against calls that wait until the deadline on a connection whose state
// connection tracking has lost, and against calls that fail early although the
// target is only slow.
func TestCallOnStalledConnectionFails(t *testing.T) {
	url, _ := rawTarget(t, func(c net.Conn, r *http.Request, _ int) bool {
		if r.Header.Get("Silent") != "" {
			return true
		}
		return writeText(c, completeAnswer)
	})
	c := newClient(t, url, 4)
	stalled := newCall(http.MethodGet, "")
	stalled.Header.Set("Silent", "1")
	onlyCall := newCall(http.MethodGet, "")
	onlyCall.Header.Set("Silent", "1")
	onlyCall.Deadline = time.Now().Add(600 * time.Millisecond)
	answer := c.Do(context.Background(), onlyCall, "context", 50*time.Millisecond)
	assert.Equal(t, answer.Reason, model.ReasonDeadline)

	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
				do(c, newCall(http.MethodGet, ""))
			}
		}
	})
	answer = c.Do(context.Background(), stalled, "context", 50*time.Millisecond)
	close(stop)
	wg.Wait()
	assert.Equal(t, answer.Reason, model.ReasonTargetFailed)
	assert.Equal(t, answer.Run, model.RunUnknown)
	assert.Assert(t, strings.Contains(answer.Detail, "silent"), answer.Detail)
	assert.Assert(t, !answer.TargetLost)
}
