// Package target sends calls over HTTP to the target beside the node. Nodes of
// package agent use it; nodes of package agent/mesh use transport/exchange.
package target

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/core/budget"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/transport/hop"
)

const (
	// HeaderContext carries the opaque id of the call in progress. The target
	// copies it to its sub-calls.
	HeaderContext = "Oleander-Context"
	// HeaderTimeout carries the time until the deadline in milliseconds.
	HeaderTimeout = "Oleander-Timeout"
	// HeaderStart carries a target's start marker, which changes when the target
	// restarts. It is optional.
	HeaderStart = "Oleander-Start"
	// HeaderRequestID carries the id of a non-idempotent request.
	HeaderRequestID = "Idempotency-Key"

	dialTimeout = time.Second
	idleTimeout = 30 * time.Second
	// maxIdleConns limits the idle connections. The dialer enforces the limit on
	// all open connections.
	maxIdleConns = 4096
	// maxHeadBytes limits the head of an answer, including the informational responses
	// before it, since the budget for bodies does not count heads.
	maxHeadBytes = 64 << 10
	// maxSends limits how often a call is sent if no byte of it was written
	// because a reused connection turned out to be closed.
	maxSends = 3
)

// credentialHeaders may hold callers' keys and are never forwarded to a target.
var credentialHeaders = []string{"Authorization", "X-Api-Key", "Proxy-Authorization"}

// Client sends calls to one target.
type Client struct {
	baseURL *url.URL
	http    *http.Client
	dialer  *dialer
}

// New returns a client for the target at baseURL that opens at most
// maxConnections connections.
func New(baseURL string, maxConnections int) (*Client, error) {
	u, err := url.Parse(baseURL)
	if err != nil {
		return nil, errors.Wrap(err, "target address")
	}
	if u.Scheme != "http" || u.Host == "" {
		return nil, errors.Errorf("target address %q: want http://host:port", baseURL)
	}
	c := &Client{baseURL: u, dialer: &dialer{Dialer: newDialer()}}
	c.SetMaxConnections(maxConnections)
	transport := &http.Transport{
		DialContext:            c.dialer.dial,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeadBytes,
		DisableCompression:     true,
	}
	c.http = &http.Client{Transport: transport, CheckRedirect: noRedirect}
	return c, nil
}

// SetMaxConnections sets the limit on open connections to the target. It is safe
// for concurrent use.
func (c *Client) SetMaxConnections(n int) { c.dialer.limit.Store(int64(n)) }

// Probe reports whether the target accepts a connection. It returns false,
// without contacting the target, if the limit on open connections is reached.
func (c *Client) Probe(ctx context.Context) bool {
	conn, err := c.dialer.dial(ctx, "tcp", c.baseURL.Host)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// TakeStartMarker removes the start marker from an answer, since callers must not
// receive it, and returns it.
func TakeStartMarker(a *model.Answer) string {
	start := a.Header.Get(HeaderStart)
	a.Header.Del(HeaderStart)
	return start
}

// noRedirect makes the client return a target's redirect instead of following
// it, so that the caller receives it.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Do sends a call to the target and returns the complete answer. contextID is
// sent to the target in HeaderContext. The call fails if its connection stalls:
// it has received no bytes for stallTimeout, since the last byte or since the call
// began, although the target has answered a call that started in that time. With
// a stallTimeout of 0 the client waits until the deadline.
func (c *Client) Do(ctx context.Context, call *model.Call, contextID string, stallTimeout time.Duration) *model.Answer {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	var answer *model.Answer
	for range maxSends {
		var stale bool
		answer, stale = c.doOnce(ctx, call, contextID, stallTimeout)
		if !stale {
			break
		}
	}
	return answer
}

// doOnce sends a call once. stale is true if no byte of it was written because
// a reused connection had been closed.
func (c *Client) doOnce(ctx context.Context, call *model.Call, contextID string, stallTimeout time.Duration) (answer *model.Answer, stale bool) {
	req, err := c.newRequest(ctx, call, contextID)
	if err != nil {
		return model.NewRefusal(call.ID, model.ReasonBadRequest, err.Error()), false
	}
	resp, a, err := c.send(ctx, req, stallTimeout)
	if err != nil {
		sent := a.closeAndCheckSent()
		stale = !sent && a.usedReusedConn() && ctx.Err() == nil
		return failedCallAnswer(ctx, call.ID, err, sent), stale
	}
	defer resp.Body.Close()
	body, err := readBody(resp, budget.FromContext(ctx))
	if err != nil {
		a.closeAndCheckSent() // the rest of the answer must not be read as the answer to another call
		return incompleteAnswer(ctx, call.ID, err), false
	}
	return &model.Answer{
		ID:     call.ID,
		Run:    model.Completed,
		Status: resp.StatusCode,
		Header: withoutHopByHopHeaders(resp.Header),
		Body:   body,
	}, false
}

func (c *Client) newRequest(ctx context.Context, call *model.Call, contextID string) (*http.Request, error) {
	rawURL := strings.TrimSuffix(c.baseURL.String(), "/") + call.Path
	req, err := http.NewRequestWithContext(ctx, call.Method, rawURL, nonRewindableBody{bytes.NewReader(call.Body)})
	if err != nil {
		return nil, errors.Wrap(err, "build target request")
	}
	req.ContentLength = int64(len(call.Body))
	req.Header = withoutHopByHopHeaders(call.Header)
	for _, name := range credentialHeaders {
		req.Header.Del(name)
	}
	req.Header.Set(HeaderContext, contextID)
	req.Header.Set(HeaderTimeout, formatMillis(time.Until(call.Deadline)))
	if !call.Idempotent {
		req.Header.Set(HeaderRequestID, call.RequestID.String())
	}
	return req, nil
}

// nonRewindableBody hides the type of its reader from net/http, which could
// otherwise rewind the body and resend the request on its own when a reused
// connection breaks. A non-idempotent call could then run twice.
type nonRewindableBody struct{ io.Reader }

func (nonRewindableBody) Close() error { return nil }

// failedCallAnswer returns the answer to a call that failed with err: a refusal if
// no byte of the call was sent, otherwise a failure, since the outcome is unknown.
func failedCallAnswer(ctx context.Context, id model.CallID, err error, sent bool) *model.Answer {
	newAnswer := model.NewFailure
	if !sent {
		newAnswer = model.NewRefusal
	}
	switch {
	case errors.Is(err, errConnectionLimit):
		return newAnswer(id, model.ReasonShed, err.Error())
	case errors.Is(err, errStalled), errors.Is(err, syscall.ETIMEDOUT):
		return newAnswer(id, model.ReasonTargetFailed, err.Error())
	case errors.Is(ctx.Err(), context.Canceled):
		return newAnswer(id, model.ReasonCanceled, "the caller has gone")
	case ctx.Err() != nil:
		return newAnswer(id, model.ReasonDeadline, "the target did not answer in time: "+err.Error())
	}
	a := newAnswer(id, model.ReasonTargetFailed, err.Error())
	a.TargetLost = true
	return a
}

// incompleteAnswer returns the failure of a call whose answer was not received
// completely.
func incompleteAnswer(ctx context.Context, id model.CallID, err error) *model.Answer {
	switch {
	case errors.Is(err, errTooLarge), errors.Is(err, budget.ErrExceeded):
		return model.NewFailure(id, model.ReasonTooLarge, err.Error())
	case errors.Is(err, errNoLength):
		return model.NewFailure(id, model.ReasonAnswerCut, err.Error())
	case ctx.Err() != nil, errors.Is(err, errStalled), errors.Is(err, syscall.ETIMEDOUT):
		return failedCallAnswer(ctx, id, err, true)
	}
	a := model.NewFailure(id, model.ReasonAnswerCut, err.Error())
	a.TargetLost = true
	return a
}

func withoutHopByHopHeaders(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = make(http.Header)
	}
	hop.RemoveFields(out)
	return out
}

func formatMillis(d time.Duration) string {
	return strconv.FormatInt(max(d.Milliseconds(), 0), 10)
}
