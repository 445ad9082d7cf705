package mesh

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/mesh/dispatch"
	"github.com/oleanderworks/oleanderworks/policy/mesh/gate"
	"github.com/oleanderworks/oleanderworks/transport/exchange"
)

// plainCodec sends calls without any header fields of a platform.
type plainCodec struct{}

func (plainCodec) AppendRequest(b []byte, call *model.Call, _ model.Instance, _ time.Duration) []byte {
	return append(b, call.Method+" "+call.Path+" HTTP/1.1\r\nHost: test\r\n\r\n"...)
}
func (plainCodec) AttemptID(*http.Response) string                { return "" }
func (plainCodec) Classify(*http.Response) exchange.AnswerKind    { return exchange.AnswerOwn }
func (plainCodec) AppendProbe(b []byte, _ string) []byte          { return b }
func (plainCodec) ParseHealth(*http.Response) (none model.Health) { return none }

// newAnsweringTarget returns the address of a target that answers each request with a body
// of size bytes.
func newAnsweringTarget(t *testing.T, size int) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(size) + "\r\n\r\n" + strings.Repeat("x", size)))
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against an answer that was too large and whose memory is still held when its
// caller sends the next call.
func TestMemoryOfFailedAnswerIsReleasedFirst(t *testing.T) {
	const memory = 256 << 10
	target := newAnsweringTarget(t, memory)
	n := New(&Settings{Instance: "10.0.0.1:7000", Service: "s", Zone: "z", TargetAddress: target, MemoryBytes: memory},
		nil, versionDecoder{}, plainCodec{}, hclog.NewNullLogger())
	n.memory.Start(&n.tomb)
	t.Cleanup(func() { n.tomb.Kill(nil) })
	for n.entry.Ring().Offer(failRequests{}) { // nobody takes the answer
	}
	h := &gateHandler{node: n, client: n.client}
	call := &model.Call{ID: 1, Method: "GET", Path: "/x", Deadline: time.Now().Add(time.Minute)}
	ctx, cancel := context.WithCancel(context.Background())
	go h.performCall(ctx, cancel, gate.Decision{ID: call.ID, Run: call}, &dispatch.Parent{Call: call}, nil, n.newHolding())
	deadline := time.Now().Add(10 * time.Second)
	held := &n.metrics.memory.held
	for dropped := false; !dropped || held.Value() > 0; time.Sleep(time.Millisecond) {
		dropped = n.metrics.limits.Get("answers_dropped") != nil
		assert.Assert(t, time.Now().Before(deadline), "%d bytes are held, dropped: %t", held.Value(), dropped)
	}
}
