// Package exchange sends calls over HTTP/1.1 to the target beside the node and
// reads complete answers. Nodes of package agent/mesh use it, through package
// platform; nodes of package agent use transport/target.
//
// It manages its own connections and does not use net/http's client, since it
// must know whether any byte of a call was sent, and must not accept the answer
// to another call.
package exchange

import (
	"context"
	"errors"
	"hash/maphash"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/oleanderworks/oleanderworks/core/budget"
	"github.com/oleanderworks/oleanderworks/core/fault"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/transport/hop"
)

const (
	// dialTimeout limits the time to connect to the target.
	dialTimeout = time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount make TCP keep-alive
	// detect a dead connection within 3 s, such as one whose state was lost by
	// connection tracking on the host or in the network.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// maxAnswersRead limits how many answers are read for one call, including
	// skipped answers that do not belong to it.
	maxAnswersRead = 4
	// deadlineGrace is how long the client waits for the answer after a call's
	// deadline, since the target itself answers at the deadline.
	deadlineGrace = 100 * time.Millisecond
)

// AnswerKind classifies the answer to a call by what it means for the call.
type AnswerKind uint8

// Kinds of answers, as Codec.Classify returns them.
const (
	AnswerOwn         AnswerKind = iota // the target ran the call
	AnswerTargetFull                    // not run: the target is at capacity
	AnswerNotRun                        // not run for another reason
	AnswerOtherTarget                   // not run: the address belongs to another target now
	AnswerCorrupt                       // altered in transit, or not sent by the target
)

// Codec encodes calls as the target's HTTP requests and interprets its
// responses.
type Codec interface {
	// AppendRequest appends the head of a call's request to b. The client appends
	// the body after it.
	AppendRequest(b []byte, call *model.Call, target model.Instance, remaining time.Duration) []byte
	// AttemptID returns the attempt id of the call that a response answers, or "" if
	// the response names none.
	AttemptID(resp *http.Response) string
	// Classify returns the kind of the answer to a call from the head of the response.
	Classify(resp *http.Response) AnswerKind
	// AppendProbe appends a request for the target's health.
	AppendProbe(b []byte, path string) []byte
	// ParseHealth reads the target's health from the answer to a probe.
	ParseHealth(resp *http.Response) model.Health
}

// Client sends calls to one target. It is safe for concurrent use.
type Client struct {
	address string
	codec   Codec
	dialer  net.Dialer
	seed    maphash.Seed // of the hashes of attempt ids

	mu   sync.Mutex
	idle []*conn
}

// New returns a client for the target at address, in the form IP:port.
func New(address string, codec Codec) *Client {
	return &Client{
		address: address,
		codec:   codec,
		seed:    maphash.MakeSeed(),
		dialer: net.Dialer{
			Timeout: dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
			},
		},
	}
}

// Do sends a call to the target and returns the complete answer. It returns
// early when ctx is canceled. The memory of the answer is acquired from the reservation
// in ctx (package budget), if there is one.
func (c *Client) Do(ctx context.Context, call *model.Call, target model.Instance) (*model.Answer, model.RunOutcome) {
	for {
		cn, err := c.acquireConn(ctx, call)
		if err != nil {
			return c.notSentRefusal(ctx, call, err)
		}
		answer, outcome, resend := c.exchange(ctx, cn, call, target)
		if !resend {
			return answer, outcome
		}
	}
}

// notSentRefusal returns the refusal of a call of which no byte was written,
// because no connection could be opened or the first write failed. The outcome
// is OutcomeConnectionBroken in both cases, unless the target refused the
// connection or ctx was canceled.
func (c *Client) notSentRefusal(ctx context.Context, call *model.Call, err error) (*model.Answer, model.RunOutcome) {
	detail := fault.Wrap("connect to target", c.address, err).Error()
	switch {
	case ctx.Err() != nil:
		return model.NewRefusal(call.ID, model.ReasonCanceled, detail), model.OutcomeCanceled
	case errors.Is(err, syscall.ECONNREFUSED):
		return model.NewRefusal(call.ID, model.ReasonTargetFailed, detail), model.OutcomeConnectionRefused
	}
	return model.NewRefusal(call.ID, model.ReasonTargetFailed, detail), model.OutcomeConnectionBroken
}

// exchange sends a call on a connection, reads its answer, and keeps or closes the
// connection. resend is true if a reused connection failed before a byte of the call was
// written.
func (c *Client) exchange(ctx context.Context, cn *conn, call *model.Call, target model.Instance) (answer *model.Answer, outcome model.RunOutcome, resend bool) {
	cn.reusableUntil = time.Time{}
	stop := context.AfterFunc(ctx, func() { cn.Close() })
	answer, outcome, resend = c.sendAndRead(ctx, cn, call, target)
	// A cancellation of this call must not close the connection once another call uses it.
	if stop() && !cn.reusableUntil.IsZero() {
		c.addIdle(cn)
	} else {
		cn.Close()
	}
	return answer, outcome, resend
}

// sendAndRead sends a call on a connection and reads its answer. Its results are those of
// exchange.
func (c *Client) sendAndRead(ctx context.Context, cn *conn, call *model.Call, target model.Instance) (answer *model.Answer, outcome model.RunOutcome, resend bool) {
	now := time.Now()
	cn.attempts = append(cn.attempts, c.hashAttempt(call))
	_ = cn.SetDeadline(call.Deadline.Add(deadlineGrace))
	head := c.codec.AppendRequest(make([]byte, 0, headBytes), call, target, call.Deadline.Sub(now))
	if n, err := cn.writeRequest(head, call.Body); err != nil {
		if n == 0 && cn.reused() && ctx.Err() == nil {
			return nil, model.OutcomeConnectionBroken, true
		}
		if n == 0 {
			answer, outcome = c.notSentRefusal(ctx, call, err)
			return answer, outcome, false
		}
		return c.exchangeFailure(ctx, call, "send request", err), failureOutcome(ctx, err), false
	}
	answer, outcome = c.readAnswer(ctx, cn, call)
	return answer, outcome, false
}

// readAnswer reads the answer to a call that was sent, and skips answers that do not
// belong to it. A call whose connection breaks is not sent again here, even if it is
// idempotent: the target may have run it or crashed on it, and only the caller's node knows
// the retry budget.
func (c *Client) readAnswer(ctx context.Context, cn *conn, call *model.Call) (*model.Answer, model.RunOutcome) {
	for range maxAnswersRead {
		resp, err := readHead(cn, call.Method)
		if err != nil {
			return c.exchangeFailure(ctx, call, "read answer", err), failureOutcome(ctx, err)
		}
		cn.answers++
		own := cn.belongsTo(call, c.codec.AttemptID(resp))
		var body []byte
		if own {
			body, err = readBody(resp, budget.FromContext(ctx))
		} else {
			err = skipBody(resp)
		}
		if err != nil {
			return c.exchangeFailure(ctx, call, "read answer's body", err), failureOutcome(ctx, err)
		}
		if !own {
			cn.faulty = true
			continue
		}
		kind := c.codec.Classify(resp)
		if kind == AnswerCorrupt {
			return c.exchangeFailure(ctx, call, "read answer", errAnswerCorrupt), model.OutcomeFailed
		}
		cn.reusableUntil = cn.reuseLimit(time.Now(), resp)
		trimHeader(resp.Header, body)
		return newAnswer(call, kind, resp, body)
	}
	return c.exchangeFailure(ctx, call, "read answer", errOtherAnswers), model.OutcomeFailed
}

var (
	errAnswerCorrupt = errors.New("the answer is not the target's own")
	errOtherAnswers  = errors.New("the connection carries answers that do not belong to the call")
)

func failureOutcome(ctx context.Context, err error) model.RunOutcome {
	var timeout net.Error
	switch {
	case ctx.Err() != nil:
		return model.OutcomeCanceled
	case errors.As(err, &timeout) && timeout.Timeout(), errors.Is(err, errHeadTooLarge),
		errors.Is(err, errImpossibleStatus), errors.Is(err, errBodyTooLarge), errors.Is(err, budget.ErrExceeded):
		return model.OutcomeFailed
	}
	return model.OutcomeConnectionBroken
}

// trimHeader removes the hop-by-hop fields, and Content-Length if there is a body,
// whose length is known anyway. This saves bytes on the links between
// availability zones.
func trimHeader(h http.Header, body []byte) {
	hop.RemoveFields(h)
	if len(body) > 0 {
		h.Del("Content-Length")
	}
}

func newAnswer(call *model.Call, kind AnswerKind, resp *http.Response, body []byte) (*model.Answer, model.RunOutcome) {
	a := &model.Answer{ID: call.ID, Run: model.Completed, Status: resp.StatusCode, Header: resp.Header, Body: body}
	switch kind {
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

func (c *Client) exchangeFailure(ctx context.Context, call *model.Call, step string, err error) *model.Answer {
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

// Probe requests the target's health at path.
func (c *Client) Probe(ctx context.Context, path string) (model.Health, error) {
	netConn, err := c.dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return model.Health{}, fault.Wrap("connect to target", c.address, err)
	}
	defer netConn.Close()
	if deadline, ok := ctx.Deadline(); ok {
		_ = netConn.SetDeadline(deadline)
	}
	if _, err := netConn.Write(c.codec.AppendProbe(nil, path)); err != nil {
		return model.Health{}, fault.Wrap("send probe", c.address, err)
	}
	resp, err := readHead(newConn(netConn), http.MethodGet)
	if err != nil {
		return model.Health{}, fault.Wrap("read probe's answer", c.address, err)
	}
	return c.codec.ParseHealth(resp), nil // the body may be endless and is not read
}
