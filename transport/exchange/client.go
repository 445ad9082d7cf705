// Package exchange hands calls to the target beside the node over HTTP/1.1
// and reads the whole answers.
//
// It keeps its own connections, since a call must know whether any of it has
// left the node, and an answer that belongs to another call must not be taken
// for its own.
package exchange

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/oleanderworks/oleanderworks/core/fault"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/transport/hop"
)

const (
	// dialTimeout bounds the opening of a connection to a target on the same
	// instance.
	dialTimeout = time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount find within 3 s a
	// connection of which something between the two ends has lost track.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// defaultIdle is how long a connection is kept whose target states no time.
	defaultIdle = 4 * time.Second
	// idleMargin is how long before the stated time an idle connection is given
	// up, so that a request does not cross the target's close.
	idleMargin = 1500 * time.Millisecond
	// maxForeign bounds the answers to other calls that are skipped on one
	// connection.
	maxForeign = 4
	// maxAnswerBytes bounds an answer's body.
	maxAnswerBytes = 64 << 20
	readBuffer     = 8 << 10
	// deadlineGrace is how long after a call's deadline its answer is awaited:
	// the target answers by itself at the deadline.
	deadlineGrace = 100 * time.Millisecond
)

// AnswerKind says what an answer from the target's address means for the call.
type AnswerKind uint8

// Kinds of answers, as Codec.Classify returns them.
const (
	AnswerOwn         AnswerKind = iota // the target's answer to the call
	AnswerToOtherCall                   // the answer to another call
	AnswerTargetFull                    // not run: the target has no room
	AnswerNotRun                        // not run for another reason
	AnswerOtherTarget                   // not run: another incarnation has the address
	AnswerCorrupt                       // not the target's own bytes
)

// Codec translates between calls and the target's HTTP messages.
type Codec interface {
	// AppendRequest appends the head of a call's request to b. The body follows.
	AppendRequest(b []byte, call *model.Call, target model.Instance, remaining time.Duration) []byte
	// Classify tells from the head of a response what kind of answer it is.
	Classify(call *model.Call, resp *http.Response) AnswerKind
	// AppendProbe appends a request for the target's health.
	AppendProbe(b []byte, path string) []byte
	// ParseHealth reads the target's health from the answer to a probe.
	ParseHealth(resp *http.Response) model.Health
}

// Client exchanges calls with one target. It is safe for use by several
// threads.
type Client struct {
	address string
	codec   Codec
	dialer  net.Dialer

	mu   sync.Mutex
	idle []*conn
}

// New returns a client for the target at an address, IP:port.
func New(address string, codec Codec) *Client {
	return &Client{
		address: address,
		codec:   codec,
		dialer: net.Dialer{
			Timeout: dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
			},
		},
	}
}

// conn is one connection to the target.
type conn struct {
	net.Conn
	r      *bufio.Reader
	reused bool
	until  time.Time // not reused after
}

// Do hands a call to the target and returns the whole answer. It ends early
// when ctx ends.
func (c *Client) Do(ctx context.Context, call *model.Call, target model.Instance) (*model.Answer, model.RunOutcome) {
	for {
		k, err := c.take(ctx)
		if err != nil {
			return c.refusal(ctx, call, err)
		}
		answer, end, again := c.exchange(ctx, k, call, target)
		if !again {
			return answer, end
		}
	}
}

func (c *Client) refusal(ctx context.Context, call *model.Call, err error) (*model.Answer, model.RunOutcome) {
	detail := fault.Wrap("connect to target", c.address, err).Error()
	switch {
	case ctx.Err() != nil:
		return model.NewRefusal(call.ID, model.ReasonCanceled, detail), model.OutcomeCanceled
	case errors.Is(err, syscall.ECONNREFUSED):
		return model.NewRefusal(call.ID, model.ReasonTargetFailed, detail), model.OutcomeConnectionRefused
	}
	return model.NewRefusal(call.ID, model.ReasonTargetFailed, detail), model.OutcomeConnectionBroken
}

// take returns an idle connection, the last one used first, or a new one.
func (c *Client) take(ctx context.Context) (*conn, error) {
	now := time.Now()
	c.mu.Lock()
	for len(c.idle) > 0 {
		k := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if now.Before(k.until) {
			c.mu.Unlock()
			k.reused = true
			return k, nil
		}
		k.Close()
	}
	c.mu.Unlock()
	raw, err := c.dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, r: bufio.NewReaderSize(raw, readBuffer)}, nil
}

func (c *Client) put(k *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, k)
}

// exchange sends a call on a connection and reads its answer. again is true
// when nothing of the call left the node because a kept connection had been
// closed.
func (c *Client) exchange(ctx context.Context, k *conn, call *model.Call, target model.Instance) (answer *model.Answer, end model.RunOutcome, again bool) {
	stop := context.AfterFunc(ctx, func() { k.Close() })
	defer stop()
	now := time.Now()
	_ = k.SetDeadline(call.Deadline.Add(deadlineGrace))
	head := make([]byte, 0, 512+len(call.Body))
	head = c.codec.AppendRequest(head, call, target, call.Deadline.Sub(now))
	head = append(head, call.Body...)
	if n, err := k.Write(head); err != nil {
		k.Close()
		if n == 0 && k.reused && ctx.Err() == nil {
			return nil, model.OutcomeConnectionBroken, true
		}
		if n == 0 {
			answer, end = c.refusal(ctx, call, err)
			return answer, end, false
		}
		return c.failure(ctx, call, "send request", err), brokenEnd(ctx, err), false
	}
	return c.receive(ctx, k, call)
}

func (c *Client) receive(ctx context.Context, k *conn, call *model.Call) (*model.Answer, model.RunOutcome, bool) {
	for range maxForeign {
		resp, err := readHead(k, call.Method)
		if err != nil {
			k.Close()
			if k.reused && call.Idempotent && errors.Is(err, io.EOF) && ctx.Err() == nil {
				return nil, model.OutcomeConnectionBroken, true
			}
			return c.failure(ctx, call, "read answer", err), brokenEnd(ctx, err), false
		}
		verdict := c.codec.Classify(call, resp)
		body, err := readBody(resp)
		if err != nil {
			k.Close()
			return c.failure(ctx, call, "read answer's body", err), brokenEnd(ctx, err), false
		}
		if verdict == AnswerToOtherCall {
			continue
		}
		if verdict == AnswerCorrupt {
			k.Close()
			return c.failure(ctx, call, "read answer", errCorrupt), model.OutcomeFailed, false
		}
		c.release(k, resp)
		trim(resp.Header, body)
		answer, end := result(call, verdict, resp, body)
		return answer, end, false
	}
	k.Close()
	return c.failure(ctx, call, "read answer", errForeign), model.OutcomeFailed, false
}

var (
	errCorrupt = errors.New("the answer is not the target's own")
	errForeign = errors.New("the connection carries answers to other calls")
)

func brokenEnd(ctx context.Context, err error) model.RunOutcome {
	var timeout net.Error
	switch {
	case ctx.Err() != nil:
		return model.OutcomeCanceled
	case errors.As(err, &timeout) && timeout.Timeout():
		return model.OutcomeFailed
	}
	return model.OutcomeConnectionBroken
}

// readHead reads the head of an answer and skips informational ones.
func readHead(k *conn, method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(k.r, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

func readBody(resp *http.Response) ([]byte, error) {
	defer resp.Body.Close()
	if n := resp.ContentLength; n >= 0 && n <= maxAnswerBytes {
		body := make([]byte, n)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	var b bytes.Buffer
	_, err := b.ReadFrom(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err == nil && b.Len() > maxAnswerBytes {
		err = errors.New("the body is too large")
	}
	return b.Bytes(), err
}

// release keeps a connection for the next call, unless the target closes it
// or has sent more than the answer.
func (c *Client) release(k *conn, resp *http.Response) {
	unframed := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	if resp.Close || unframed || k.r.Buffered() > 0 {
		k.Close()
		return
	}
	keep := defaultIdle
	if seconds, ok := keepAlive(resp.Header.Get("Keep-Alive")); ok {
		keep = seconds
	}
	if keep <= idleMargin {
		k.Close()
		return
	}
	k.until = time.Now().Add(keep - idleMargin)
	c.put(k)
}

// keepAlive reads the parameter "timeout" of a header Keep-Alive.
func keepAlive(value string) (time.Duration, bool) {
	for part := range strings.SplitSeq(value, ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}

// trim drops what concerns the connection, and the length that the body has
// anyway: headers cross links between availability zones with each answer.
func trim(h http.Header, body []byte) {
	hop.Strip(h)
	if len(body) > 0 {
		h.Del("Content-Length")
	}
}

func result(call *model.Call, v AnswerKind, resp *http.Response, body []byte) (*model.Answer, model.RunOutcome) {
	a := &model.Answer{ID: call.ID, Run: model.Completed, Status: resp.StatusCode, Header: resp.Header, Body: body}
	switch v {
	case AnswerTargetFull:
		a.Run, a.Reason, a.Detail = model.NotRun, model.ReasonShed, "the target has no room"
		return a, model.OutcomeTargetFull
	case AnswerNotRun:
		a.Run, a.Reason, a.Detail = model.NotRun, model.ReasonShed, "the target did not run the request"
		return a, model.OutcomeFailed
	case AnswerOtherTarget:
		a.Run, a.Reason, a.Detail = model.NotRun, model.ReasonTargetFailed, "another target has the address"
		return a, model.OutcomeOtherTarget
	}
	return a, model.OutcomeAnswered
}

func (c *Client) failure(ctx context.Context, call *model.Call, step string, err error) *model.Answer {
	detail := fault.Wrap(step, c.address, err).Error()
	var timeout net.Error
	switch {
	case ctx.Err() != nil:
		return model.NewFailure(call.ID, model.ReasonCanceled, detail)
	case errors.As(err, &timeout) && timeout.Timeout():
		return model.NewFailure(call.ID, model.ReasonDeadline, detail)
	}
	a := model.NewFailure(call.ID, model.ReasonAnswerCut, detail)
	a.TargetLost = true
	return a
}

// Probe asks the target for its health.
func (c *Client) Probe(ctx context.Context, path string) (model.Health, error) {
	raw, err := c.dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return model.Health{}, fault.Wrap("connect to target", c.address, err)
	}
	defer raw.Close()
	if deadline, ok := ctx.Deadline(); ok {
		_ = raw.SetDeadline(deadline)
	}
	if _, err := raw.Write(c.codec.AppendProbe(nil, path)); err != nil {
		return model.Health{}, fault.Wrap("send probe", c.address, err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(raw), &http.Request{Method: http.MethodGet})
	if err != nil {
		return model.Health{}, fault.Wrap("read probe's answer", c.address, err)
	}
	defer resp.Body.Close()
	return c.codec.ParseHealth(resp), nil
}
