// Package target hands calls to the target beside the node over HTTP.
package target

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/core/budget"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/transport/wire"
)

const (
	// ContextHeader carries the opaque id of the running call. The target
	// copies it to its sub-calls.
	ContextHeader = "Oleander-Context"
	// DeadlineHeader carries the remaining time in milliseconds.
	DeadlineHeader = "Oleander-Timeout"
	// StartHeader is the start marker of a target that sends one. It changes
	// when the target restarts.
	StartHeader = "Oleander-Start"
	// RequestIDHeader carries the id of a non-idempotent request.
	RequestIDHeader = "Idempotency-Key"

	dialTimeout = time.Second
	idleTimeout = 30 * time.Second
)

// secretHeaders hold callers' keys and are never passed to a target.
var secretHeaders = []string{"Authorization", "X-Api-Key", "Proxy-Authorization"}

// hopHeaders concern one connection and are not passed on (RFC 9110, 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Connection",
}

// Client sends calls to one target.
type Client struct {
	base *url.URL
	http *http.Client
}

// New returns a client for the target at base with at most connections open
// connections.
func New(base string, connections int) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, errors.Wrap(err, "target address")
	}
	if u.Scheme != "http" || u.Host == "" {
		return nil, errors.Errorf("target address %q: want http://host:port", base)
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	client := &http.Client{Transport: transport, CheckRedirect: noRedirect}
	return &Client{base: u, http: client}, nil
}

// Probe reports whether the target takes a connection.
func (c *Client) Probe(ctx context.Context) bool {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", c.base.Host)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// TakeStart returns the start marker that came with an answer and removes it,
// since it is no concern of the caller.
func TakeStart(a *model.Answer) string {
	start := a.Header.Get(StartHeader)
	a.Header.Del(StartHeader)
	return start
}

// noRedirect passes a target's redirect on to the caller.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Do hands a call to the target and returns the whole answer. contextID goes
// to the target in ContextHeader.
func (c *Client) Do(ctx context.Context, call *model.Call, contextID string) *model.Answer {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	var written atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaders: func() { written.Store(true) },
	})
	req, err := c.request(ctx, call, contextID)
	if err != nil {
		return model.Refusal(call.ID, model.ReasonBadRequest, err.Error())
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return failure(ctx, call.ID, err, written.Load())
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(&leasedReader{resp.Body, budget.From(ctx)}, wire.MaxBodyBytes+1))
	if errors.Is(err, budget.ErrExceeded) {
		return model.Failure(call.ID, model.ReasonTooLarge, err.Error())
	}
	if err != nil {
		return failure(ctx, call.ID, err, true)
	}
	if len(body) > wire.MaxBodyBytes {
		return model.Failure(call.ID, model.ReasonTooLarge, "the target's answer is too large")
	}
	return &model.Answer{
		ID:     call.ID,
		Run:    model.Completed,
		Status: resp.StatusCode,
		Header: withoutHopHeaders(resp.Header),
		Body:   body,
	}
}

// leasedReader takes room for each byte that it reads.
type leasedReader struct {
	io.Reader
	lease *budget.Lease
}

// Read implements io.Reader. It fails with budget.ErrExceeded.
func (r *leasedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if taken := r.lease.Take(n); taken != nil {
		return 0, taken
	}
	return n, err
}

func (c *Client) request(ctx context.Context, call *model.Call, contextID string) (*http.Request, error) {
	path := strings.TrimSuffix(c.base.String(), "/") + call.Path
	req, err := http.NewRequestWithContext(ctx, call.Method, path, onceBody{bytes.NewReader(call.Body)})
	if err != nil {
		return nil, errors.Wrap(err, "build target request")
	}
	req.ContentLength = int64(len(call.Body))
	req.Header = withoutHopHeaders(call.Header)
	for _, name := range secretHeaders {
		req.Header.Del(name)
	}
	req.Header.Set(ContextHeader, contextID)
	req.Header.Set(DeadlineHeader, millis(time.Until(call.Deadline)))
	if !call.Idempotent {
		req.Header.Set(RequestIDHeader, call.RequestID.String())
	}
	return req, nil
}

// onceBody hides the type of its reader from net/http, which would otherwise
// keep a copy of the body and send the request again by itself when a reused
// connection breaks. A non-idempotent call would then run twice.
type onceBody struct{ io.Reader }

func (onceBody) Close() error { return nil }

// failure tells apart a call that never left the node from one whose outcome
// is unknown.
func failure(ctx context.Context, id model.CallID, err error, written bool) *model.Answer {
	if !written {
		a := model.Refusal(id, model.ReasonTargetFailed, err.Error())
		a.TargetLost = ctx.Err() == nil
		return a
	}
	if ctx.Err() != nil {
		return model.Failure(id, model.ReasonDeadline, "the target did not answer in time: "+err.Error())
	}
	a := model.Failure(id, model.ReasonTargetFailed, err.Error())
	a.TargetLost = true
	return a
}

func withoutHopHeaders(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = make(http.Header)
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

func millis(d time.Duration) string {
	return strconv.FormatInt(max(d.Milliseconds(), 0), 10)
}
