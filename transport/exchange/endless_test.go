package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/core/budget"
	"github.com/oleanderworks/oleanderworks/model"
)

// endlessTarget reads a request and then sends start, and part again and again, waiting
// for pause before each part, until the client closes the connection.
type endlessTarget struct {
	address string
	sent    chan int // bytes that were sent when the client had closed the connection
}

func serveEndless(t *testing.T, start, part string, pause time.Duration) *endlessTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	e := &endlessTarget{address: l.Addr().String(), sent: make(chan int, 1)}
	go func() {
		netConn, err := l.Accept()
		if err != nil {
			return
		}
		defer netConn.Close()
		_, _ = http.ReadRequest(bufio.NewReader(netConn))
		sent, err := io.WriteString(netConn, start)
		for err == nil {
			time.Sleep(pause)
			var n int
			n, err = io.WriteString(netConn, part)
			sent += n
		}
		e.sent <- sent
	}()
	return e
}

// bytesSent waits until the client has closed the connection and returns the bytes that
// were sent by then.
func (e *endlessTarget) bytesSent(t *testing.T) int {
	t.Helper()
	select {
	case n := <-e.sent:
		return n
	case <-time.After(2 * time.Second):
		t.Fatal("the connection is still open")
		return 0
	}
}

const (
	okHead = "HTTP/1.1 200 OK\r\nId: a\r\n"
	// socketBufferBytes bounds the bytes that the kernel holds for a connection, which
	// the target has sent and the client has not read.
	socketBufferBytes = 40 << 20
)

// endlessHeads are heads that never end: what is sent once, and what is repeated.
var endlessHeads = map[string][2]string{
	"bytes without a line end": {"", strings.Repeat("x", 64<<10)},
	"name of one field":        {okHead, strings.Repeat("x", 64<<10)},
	"fields":                   {okHead, strings.Repeat("Field: value\r\n", 4<<10)},
	"value of one field":       {okHead + "Field: ", strings.Repeat("v", 64<<10)},
	"informational responses":  {"", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 2<<10)},
}

// Guards against a head without end that fills the node's memory until the call's deadline.
func TestEndlessHeadEndsTheCall(t *testing.T) {
	for name, text := range endlessHeads {
		t.Run(name, func(t *testing.T) {
			target := serveEndless(t, text[0], text[1], 0)
			call := newCall("a")
			call.Deadline = time.Now().Add(3 * time.Second)
			start := time.Now()
			a, outcome := New(target.address, testCodec{}).Do(context.Background(), call, "t1")
			assert.Assert(t, time.Since(start) < time.Second, "the call took %v", time.Since(start))
			assert.Equal(t, a.Run, model.RunUnknown)
			assert.Equal(t, a.Reason, model.ReasonAnswerCut)
			assert.Equal(t, outcome, model.OutcomeFailed)
			assert.Assert(t, target.bytesSent(t) < socketBufferBytes)
		})
	}
}

// Guards against an answer to a probe without end that fills the node's memory.
func TestEndlessHeadEndsTheProbe(t *testing.T) {
	for name, text := range endlessHeads {
		t.Run(name, func(t *testing.T) {
			target := serveEndless(t, text[0], text[1], 0)
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			start := time.Now()
			_, err := New(target.address, testCodec{}).Probe(ctx, "/healthz")
			assert.Assert(t, err != nil)
			assert.Assert(t, time.Since(start) < time.Second, "the probe took %v", time.Since(start))
			assert.Assert(t, target.bytesSent(t) < socketBufferBytes)
		})
	}
}

// Guards against a probe that reads a body without end until its deadline.
func TestEndlessBodyEndsTheProbe(t *testing.T) {
	target := serveEndless(t, "HTTP/1.1 200 OK\r\nTarget: t7\r\nContent-Length: 99999999999\r\n\r\n", strings.Repeat("b", 1<<20), 0)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	start := time.Now()
	h, err := New(target.address, testCodec{}).Probe(ctx, "/healthz")
	assert.NilError(t, err)
	assert.Equal(t, h, model.Health{OK: true, Target: "t7"})
	assert.Assert(t, time.Since(start) < time.Second, "the probe took %v", time.Since(start))
	assert.Assert(t, target.bytesSent(t) < socketBufferBytes)
}

// Guards against a limit on the head that also cuts the body, and against one that adds up
// over the answers of a connection.
func TestLargeAnswersAreReadOnOneConnection(t *testing.T) {
	body := strings.Repeat("b", 4<<20)
	head := strings.Repeat("Field: "+strings.Repeat("v", 100)+"\r\n", 50)
	s := serveScript(t, func(_ int64, r *http.Request) string {
		return "HTTP/1.1 103 Early Hints\r\n" + head + "\r\nHTTP/1.1 200 OK\r\nId: " + r.Header.Get("Id") + "\r\n" + head +
			"Transfer-Encoding: chunked\r\n\r\n400000\r\n" + body + "\r\n0\r\n\r\n"
	})
	a, outcome := do(t, s, newCall("a"), newCall("b"), newCall("c"))
	assert.Equal(t, outcome, model.OutcomeAnswered)
	assert.Equal(t, len(a.Body), len(body))
	assert.Equal(t, s.connections.Load(), int64(1))
}

// Guards against a body without end that fills the node's memory.
func TestEndlessBodyEndsTheCall(t *testing.T) {
	// Long enough to read maxAnswerBytes on a busy machine.
	const timeout = time.Minute
	megabyte := strings.Repeat("b", 1<<20)
	for name, text := range map[string][2]string{
		"until the connection ends": {okHead + "\r\n", megabyte},
		"length beyond the limit":   {okHead + "Content-Length: 99999999999\r\n\r\n", megabyte},
		"one chunk":                 {okHead + "Transfer-Encoding: chunked\r\n\r\nfffffffff\r\n", megabyte},
		"chunks":                    {okHead + "Transfer-Encoding: chunked\r\n\r\n", "100000\r\n" + megabyte + "\r\n"},
		"length of a chunk":         {okHead + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 64<<10)},
		"extension of a chunk":      {okHead + "Transfer-Encoding: chunked\r\n\r\n1;", megabyte},
		"trailers":                  {okHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("T: v\r\n", 8<<10)},
		"answer to another call":    {"HTTP/1.1 200 OK\r\nId: z\r\n\r\n", megabyte},
	} {
		t.Run(name, func(t *testing.T) {
			target := serveEndless(t, text[0], text[1], 0)
			call := newCall("a")
			call.Deadline = time.Now().Add(timeout)
			start := time.Now()
			a, _ := New(target.address, testCodec{}).Do(context.Background(), call, "t1")
			assert.Assert(t, time.Since(start) < timeout/2, "the call took %v", time.Since(start))
			assert.Equal(t, a.Run, model.RunUnknown)
			assert.Equal(t, a.Reason, model.ReasonAnswerCut)
			assert.Assert(t, target.bytesSent(t) < maxAnswerBytes+socketBufferBytes)
		})
	}
}

// Guards against an answer that arrives slowly and without end, and holds its call's slot
// beyond the call's deadline.
func TestEndlessTrickleEndsAtTheDeadline(t *testing.T) {
	for name, text := range map[string][2]string{
		"head":                    {okHead, "F: v\r\n"},
		"informational responses": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"body without length":     {okHead + "\r\n", "b"},
		"chunks":                  {okHead + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nb\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			target := serveEndless(t, text[0], text[1], 5*time.Millisecond)
			call := newCall("a")
			call.Deadline = time.Now().Add(200 * time.Millisecond)
			a, _ := New(target.address, testCodec{}).Do(context.Background(), call, "t1")
			late := time.Since(call.Deadline)
			assert.Assert(t, late < deadlineGrace+200*time.Millisecond, "ended %v after the deadline", late)
			assert.Equal(t, a.Run, model.RunUnknown)
			assert.Equal(t, a.Reason, model.ReasonDeadline)
			target.bytesSent(t)
		})
	}
}

// Guards against a length without a body that takes the node's memory.
func TestAnnouncedLengthTakesNoMemory(t *testing.T) {
	const calls = 64
	var before, during runtime.MemStats
	runtime.ReadMemStats(&before)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	arrived := make(chan struct{}, calls)
	head := okHead + "Content-Length: " + strconv.Itoa(maxAnswerBytes) + "\r\n\r\nbody"
	s := serveScript(t, func(int64, *http.Request) string { arrived <- struct{}{}; return head })
	c := New(s.Addr().String(), testCodec{})
	var wg sync.WaitGroup
	for range calls {
		wg.Go(func() { c.Do(ctx, newCall("a"), "t1") })
	}
	for range calls {
		<-arrived
	}
	time.Sleep(200 * time.Millisecond) // until the heads have been read
	runtime.ReadMemStats(&during)
	cancel()
	wg.Wait()
	growth := int64(during.HeapAlloc) - int64(before.HeapAlloc)
	assert.Assert(t, growth < 64<<20, "%d calls hold %d bytes", calls, growth)
}

// Guards against buffers that are discarded faster than the runtime collects them, so that
// bodies without end fill the node's memory although each of them is limited.
func TestEndlessBodyDiscardsNoMemory(t *testing.T) {
	const calls = 8
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	part := make([]byte, 1<<20)
	go func() {
		for {
			netConn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(netConn))
			_, err = netConn.Write([]byte(okHead + "\r\n"))
			for err == nil {
				_, err = netConn.Write(part)
			}
			netConn.Close()
		}
	}()
	c := New(l.Addr().String(), testCodec{})
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range calls {
		a, _ := c.Do(context.Background(), newCall("a"), "t1")
		assert.Equal(t, a.Reason, model.ReasonAnswerCut)
	}
	runtime.ReadMemStats(&after)
	allocated := after.TotalAlloc - before.TotalAlloc
	assert.Assert(t, allocated <= calls*2*maxAnswerBytes, "%d calls have allocated %d MiB", calls, allocated>>20)
}

// Guards against answers that are read at the same time and together fill the node's
// memory.
func TestAnswersReadTogetherStayWithinBudget(t *testing.T) {
	const calls, limit = 16, 8 << 20
	body := strings.Repeat("b", 4<<20)
	framings := map[string]string{
		"length": okHead + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body,
		"chunks": okHead + "Transfer-Encoding: chunked\r\n\r\n400000\r\n" + body + "\r\n0\r\n\r\n",
		"close":  okHead + "Connection: close\r\n\r\n" + body,
	}
	for name, text := range framings {
		t.Run(name, func(t *testing.T) {
			bytes := budget.NewBytes(limit)
			s := serveScript(t, func(int64, *http.Request) string { return text })
			c := New(s.Addr().String(), testCodec{})
			reservations := make([]*budget.Reservation, calls)
			answers := make([]*model.Answer, calls)
			var wg sync.WaitGroup
			for i := range calls {
				reservations[i] = bytes.NewReservation()
				wg.Go(func() {
					answers[i], _ = c.Do(budget.NewContext(context.Background(), reservations[i]), newCall("a"), "t1")
				})
			}
			wg.Wait()
			complete := 0
			for i, a := range answers {
				switch {
				case a.Run == model.Completed:
					complete++
					assert.Equal(t, len(a.Body), len(body))
				default:
					assert.Equal(t, a.Run, model.RunUnknown)
					assert.Equal(t, a.Reason, model.ReasonAnswerCut)
				}
				reservations[i].Release()
			}
			assert.Assert(t, complete*len(body) <= limit, "%d answers of %d bytes were held", complete, len(body))
			assert.Equal(t, bytes.Held(), int64(0))
			reservation := bytes.NewReservation()
			a, outcome := c.Do(budget.NewContext(context.Background(), reservation), newCall("a"), "t1")
			assert.Equal(t, outcome, model.OutcomeAnswered, a.Detail)
		})
	}
}

// Guards against cutting an answer that is large or arrives slowly.
func TestLargeSlowAnswersAreComplete(t *testing.T) {
	const size = 3<<20 + 1
	for name, head := range map[string]string{
		"length": okHead + "Content-Length: " + strconv.Itoa(size) + "\r\n\r\n",
		"close":  okHead + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer l.Close()
			go func() {
				netConn, err := l.Accept()
				if err != nil {
					return
				}
				defer netConn.Close()
				_, _ = http.ReadRequest(bufio.NewReader(netConn))
				_, _ = io.WriteString(netConn, head)
				for range 3 {
					_, _ = io.WriteString(netConn, strings.Repeat("b", 1<<20))
					time.Sleep(50 * time.Millisecond)
				}
				_, _ = io.WriteString(netConn, "b")
			}()
			a, outcome := New(l.Addr().String(), testCodec{}).Do(context.Background(), newCall("a"), "t1")
			assert.Equal(t, outcome, model.OutcomeAnswered, a.Detail)
			assert.Equal(t, len(a.Body), size)
		})
	}
}
