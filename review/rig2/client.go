package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// request is a request of a client and what became of it.
type request struct {
	id, method, path string
	m                *machine // whose node it is sent to
	sent, ended      time.Time
	status           int // 0 without a complete answer
	signed           bool
	err              error
}

var lastID atomic.Int64

// send sends a request on a connection of its own and waits for the answer.
func (r *rig) send(m *machine, method, path, body string, timeout time.Duration) *request {
	q := &request{id: fmt.Sprintf("a%06d", lastID.Add(1)), method: method, path: path, m: m, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, method, "http://"+m.address(portOutbound)+path, strings.NewReader(body))
	if err != nil {
		panic(err) // the rig's own fault
	}
	httpRequest.Host = routeHost
	httpRequest.Header.Set(headerAttempt, q.id)
	httpRequest.Header.Set(headerDeadline, fmt.Sprint(timeout.Milliseconds()))
	httpRequest.Header.Set(headerKey, tenantKey)
	r.rec.addAt(q.sent, "client sends %s %s %s to node %s", q.id, method, path, m.name)
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	resp, err := transport.RoundTrip(httpRequest)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	q.ended, q.err = time.Now(), err
	if err == nil {
		q.status, q.signed = resp.StatusCode, resp.Header.Get(headerSignature) != ""
	}
	r.rec.addAt(q.ended, "client got %d for %s (signed %v, error %v)", q.status, q.id, q.signed, err)
	return q
}
