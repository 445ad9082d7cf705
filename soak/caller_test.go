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
	// routeTimeout is the time limit of the routes, callerTimeout that of the callers.
	routeTimeout  = 2 * time.Second
	callerTimeout = 3 * time.Second
	// answerTolerance is the time by which an answer may exceed the route's time limit
	// if no fault affects the node.
	answerTolerance = 500 * time.Millisecond
	// sendPause is the mean pause between two requests of a caller.
	sendPause = 40 * time.Millisecond
	// exportPause is the mean pause of the caller that exceeds its customer's rate.
	exportPause = 10 * time.Millisecond
)

// caller sends requests to the node of its instance and keeps its connections open
// between them.
type caller struct {
	inst        *instance
	rng         *rand.Rand
	client      *http.Client
	exceedsRate bool // sends more than its customer's rate
}

func newCaller(inst *instance, seed uint64, exceedsRate bool) *caller {
	return &caller{
		inst: inst, rng: rand.New(rand.NewPCG(seed, 11)), exceedsRate: exceedsRate,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
	}
}

// run sends requests one after the other until ctx is done. It pauses longer after a
// request without an answer.
func (c *caller) run(ctx context.Context) {
	pause := sendPause
	if c.exceedsRate {
		pause = exportPause
	}
	for ctx.Err() == nil {
		req := c.newRequest()
		c.send(req)
		time.Sleep(time.Duration((0.5 + c.rng.Float64()) * float64(pause)))
		if req.status == 0 {
			time.Sleep(sendPause)
		}
	}
	c.client.CloseIdleConnections()
}

// newRequest returns a random request: an idempotent GET or a non-idempotent POST with a
// body, to either service, with the key of a random customer.
func (c *caller) newRequest() *request {
	req := &request{id: fmt.Sprintf("a%d", c.inst.fleet.recorder.nextID()), inst: c.inst, method: http.MethodGet}
	service := services[c.rng.IntN(len(services))]
	req.path, req.idempotent = "/"+service+"/x", true
	if c.rng.IntN(2) == 0 {
		req.path, req.method, req.idempotent = "/"+service+"/once/x", http.MethodPost, false
		req.body = strings.Repeat("b", 1+c.rng.IntN(2000))
	}
	req.key = []string{"k-herders", "k-herders", "k-guest-kept", "k-guest"}[c.rng.IntN(4)]
	if c.exceedsRate {
		req.key = "k-export"
	}
	return req
}

// send sends a request, and records and checks its result.
func (c *caller) send(req *request) {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	httpReq, err := http.NewRequestWithContext(ctx, req.method, "http://"+c.inst.callAddress+req.path, bytes.NewReader([]byte(req.body)))
	if err != nil {
		c.inst.fleet.recorder.report("create request: %v", err)
		return
	}
	httpReq.Host = host
	// With GetBody, the transport could resend a request with a body on another
	// connection. Without a body it still can, so that a GET may arrive twice.
	httpReq.GetBody = nil
	standin.SetRequestHeaders(httpReq, req.id, req.key, callerTimeout)
	req.sent = time.Now()
	keyWithdrawnSince := c.inst.fleet.keyWithdrawnSince(req.key)
	c.inst.fleet.recorder.recordSent(req)
	resp, err := c.client.Do(httpReq)
	var text []byte
	if err == nil {
		text, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	if err != nil {
		c.checkFailure(req, err)
		return
	}
	c.checkAnswerTime(req)
	c.checkWithdrawnKey(req, resp.StatusCode, keyWithdrawnSince)
	c.inst.fleet.recorder.checkAnswer(req, resp.StatusCode, standin.Signature(resp), string(text))
}

// checkFailure reports a request without an answer if it timed out, or if a target ran it
// and the connection failed, and no fault affected the node. A SIGTERM is not such a
// fault until the node has exited. Refused connections, and failed connections with a
// request that no target ran, are no violations.
func (c *caller) checkFailure(req *request, err error) {
	c.inst.fleet.recorder.mu.Lock()
	defer c.inst.fleet.recorder.mu.Unlock()
	c.inst.fleet.recorder.failed++
	if errors.Is(err, syscall.ECONNREFUSED) || !c.inst.faultState.unaffectedFor(req.sent, settleTime) || !c.inst.faultState.unaffectedFor(time.Now(), 0) {
		return
	}
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		c.inst.fleet.recorder.reportLocked("CONFIG: %s got no answer from %s within %v", req.id, c.inst.name, time.Since(req.sent))
	case req.runs > 0:
		c.inst.fleet.recorder.reportLocked("LOST: %s ran, but its connection to %s failed after %v: %v", req.id, c.inst.name, time.Since(req.sent), err)
	}
}

// checkAnswerTime reports an answer after the route's time limit if no fault affected
// the node.
func (c *caller) checkAnswerTime(req *request) {
	if took := time.Since(req.sent); took > routeTimeout+answerTolerance+recordingSlack && c.inst.faultState.unaffectedFor(req.sent, settleTime) && c.inst.faultState.unaffectedFor(time.Now(), 0) {
		c.inst.fleet.recorder.report("CONFIG: %s was answered by %s after %v; the route's time limit is %v", req.id, c.inst.name, took, routeTimeout)
	}
}

// checkWithdrawnKey reports a withdrawn key that is still accepted long after its
// withdrawal. Any status other than 401 and 503 counts as accepted.
func (c *caller) checkWithdrawnKey(req *request, status int, withdrawnSince time.Time) {
	if withdrawnSince.IsZero() || !c.inst.faultState.unaffectedFor(req.sent, settleTime) {
		return
	}
	if since := req.sent.Sub(withdrawnSince); since > configApplyTime+propagationTime && status != http.StatusUnauthorized && status != http.StatusServiceUnavailable {
		c.inst.fleet.recorder.report("CONFIG: %s got status %d from %s %v after its key was withdrawn", req.id, status, c.inst.name, since)
	}
}
