package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/oleanderworks/oleanderworks/platform/standin"
)

const (
	// routeTime is the time limit of the routes, callerTime that of callers.
	routeTime  = 2 * time.Second
	callerTime = 3 * time.Second
	// lateAnswer is how long after the route's limit an undisturbed node may
	// take to answer.
	lateAnswer = 500 * time.Millisecond
	// sendPause separates the requests of one caller.
	sendPause = 40 * time.Millisecond
	// exportPause is that of the customer that asks for more than its rate.
	exportPause = 10 * time.Millisecond
)

// caller sends requests to the node of its machine, on connections that it
// keeps until the node is gone.
type caller struct {
	m      *machine
	rng    *rand.Rand
	client *http.Client
	export bool // asks for more than its customer's rate
}

func newCaller(m *machine, seed uint64, export bool) *caller {
	return &caller{
		m: m, rng: rand.New(rand.NewPCG(seed, 11)), export: export,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
	}
}

func (c *caller) run(ctx context.Context) {
	pause := sendPause
	if c.export {
		pause = exportPause
	}
	for ctx.Err() == nil {
		q := c.next()
		c.send(q)
		time.Sleep(time.Duration((0.5 + c.rng.Float64()) * float64(pause)))
		if q.status == 0 {
			time.Sleep(sendPause)
		}
	}
	c.client.CloseIdleConnections()
}

func (c *caller) next() *request {
	q := &request{id: fmt.Sprintf("a%d", c.m.fleet.book.nextID()), m: c.m, method: http.MethodGet}
	service := services[c.rng.IntN(len(services))]
	q.path, q.idempotent = "/"+service+"/x", true
	if c.rng.IntN(2) == 0 {
		q.path, q.method, q.idempotent = "/"+service+"/once/x", http.MethodPost, false
		q.body = strings.Repeat("b", 1+c.rng.IntN(2000))
	}
	q.key = []string{"k-herders", "k-herders", "k-guest-kept", "k-guest"}[c.rng.IntN(4)]
	if c.export {
		q.key = "k-export"
	}
	return q
}

// send sends a request and enters what came of it.
func (c *caller) send(q *request) {
	ctx, cancel := context.WithTimeout(context.Background(), callerTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, q.method, "http://"+c.m.outbound+q.path, bytes.NewReader([]byte(q.body)))
	if err != nil {
		c.m.fleet.book.broken("caller: %v", err)
		return
	}
	req.Host = host
	// The transport would send it again by itself on another connection.
	req.GetBody = nil
	standin.SetRequestHeaders(req, q.id, q.key, callerTime)
	q.sent = time.Now()
	keyHeld := c.m.fleet.keyHeld(q.key)
	c.m.fleet.book.onSend(q)
	resp, err := c.client.Do(req)
	var text []byte
	if err == nil {
		text, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	if err != nil {
		c.judgeEnd(q, err)
		return
	}
	c.judgeTime(q)
	c.judgeKey(q, resp.StatusCode, keyHeld)
	c.m.fleet.book.onAnswer(q, resp.StatusCode, standin.Signature(resp), string(text))
}

// judgeEnd looks at a request without an answer. A node that is only told to
// stop, or not disturbed at all, answers what it has read.
func (c *caller) judgeEnd(q *request, err error) {
	c.m.fleet.book.mu.Lock()
	defer c.m.fleet.book.mu.Unlock()
	c.m.fleet.book.failed++
	if errors.Is(err, syscall.ECONNREFUSED) || !c.m.quiet.calm(q.sent, contactTime) || !c.m.quiet.calm(time.Now(), 0) {
		return
	}
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		c.m.fleet.book.note("CONFIG: %s has no answer from %s after %v", q.id, c.m.name, time.Since(q.sent))
	case q.runs > 0:
		c.m.fleet.book.note("LOST: %s has run and its connection to %s ended after %v: %v", q.id, c.m.name, time.Since(q.sent), err)
	}
}

func (c *caller) judgeTime(q *request) {
	if took := time.Since(q.sent); took > routeTime+lateAnswer+clockSlack && c.m.quiet.calm(q.sent, contactTime) && c.m.quiet.calm(time.Now(), 0) {
		c.m.fleet.book.broken("CONFIG: %s was answered by %s after %v, its route has %v", q.id, c.m.name, took, routeTime)
	}
}

// judgeKey looks for a withdrawn key that still works.
func (c *caller) judgeKey(q *request, status int, held time.Time) {
	if held.IsZero() || !c.m.quiet.calm(q.sent, contactTime) {
		return
	}
	if since := q.sent.Sub(held); since > applyTime+outerTime && status != http.StatusUnauthorized && status != http.StatusServiceUnavailable {
		c.m.fleet.book.broken("CONFIG: %s got %d at %s %v after its key was withdrawn", q.id, status, c.m.name, since)
	}
}
