package exchange

import (
	"context"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

// Guards against bytes from a faulty target that crash the node, or that are
// accepted as a complete answer although they are truncated.
func FuzzReceive(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nId: a1\r\nContent-Length: 4\r\n\r\nbody")
	f.Add("HTTP/1.1 200 OK\r\nId: a1\r\nContent-Length: 9\r\n\r\nbody")
	f.Add("HTTP/1.1 200 OK\r\nId: a2\r\nContent-Length: 4\r\n\r\nbodyHTTP/1.1 200 OK\r\nId: a1\r\nContent-Length: 0\r\n\r\n")
	f.Add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n")
	f.Add("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Busy\r\nFull: 1\r\n\r\n")
	f.Add("HTTP/1.0 200\r\n\r\nunframed")
	f.Add("\x00\x01")
	f.Fuzz(func(t *testing.T, text string) {
		local, remote := net.Pipe()
		go func() {
			_, _ = io.Copy(remote, strings.NewReader(text)) // ends when the client closes
			remote.Close()
		}()
		defer local.Close()
		cn := newConn(local)
		call := &model.Call{ID: 1, AttemptID: "a1", Method: "GET", Deadline: time.Now().Add(time.Second)}
		a, _ := New("test", testCodec{}).readAnswer(context.Background(), cn, call)
		if a == nil || a.ID != call.ID {
			t.Fatalf("answer %+v", a)
		}
		length := a.Header.Get("Content-Length")
		if n, err := strconv.Atoi(length); a.Run == model.Completed && err == nil && n != len(a.Body) {
			t.Fatalf("answer with a body of %d bytes and Content-Length %d was accepted", len(a.Body), n)
		}
	})
}
