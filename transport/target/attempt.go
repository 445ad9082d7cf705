package target

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// silenceCheck is how often a connection without progress is looked at.
const silenceCheck = 250 * time.Millisecond

// attempt follows one request on its connection.
type attempt struct {
	dialer *dialer
	cancel context.CancelCauseFunc

	mu     sync.Mutex
	conn   *conn // nil until net/http has one for the request
	start  int64 // bytes written on it before the request
	since  time.Time
	reused bool
	left   bool // bytes left the node on an earlier connection
}

// send performs one request. The attempt tells afterwards whether any of it
// left the node.
func (c *Client) send(ctx context.Context, req *http.Request, silence time.Duration) (*http.Response, *attempt, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	a := &attempt{dialer: c.dialer, cancel: cancel}
	trace := &httptrace.ClientTrace{GotConn: a.onConn}
	stop := a.watch(ctx, silence)
	resp, err := c.http.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		stop()
		cancel(nil)
		return nil, a, cause(ctx, err)
	}
	a.noteAnswer()
	resp.Body = &watchedBody{ReadCloser: resp.Body, stop: func() { stop(); cancel(nil) }, ctx: ctx}
	return resp, a, nil
}

// cause prefers the reason for which an attempt was given up over the error
// that net/http made of it.
func cause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c == errSilent {
		return c
	}
	return err
}

func (a *attempt) onConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil && a.conn.seal() > a.start {
		a.left = true
	}
	a.conn, a.start, a.since, a.reused = conn, conn.position(), time.Now(), info.Reused
}

// handedOver reports whether any byte of the request was written. It closes
// the connection, so that the answer stays true and a late answer cannot
// reach another call.
func (a *attempt) handedOver() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return (a.conn != nil && a.conn.seal() > a.start) || a.left
}

func (a *attempt) onReused() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reused
}

// noteAnswer records that a call that began with this attempt was answered.
func (a *attempt) noteAnswer() {
	a.mu.Lock()
	defer a.mu.Unlock()
	since := a.since.UnixNano()
	for {
		latest := a.dialer.answered.Load()
		if since <= latest || a.dialer.answered.CompareAndSwap(latest, since) {
			return
		}
	}
}

// watch gives the attempt up when its connection has been silent for too long
// while calls that began later were answered. Something between the two ends
// may have lost track of a connection; new ones work then.
func (a *attempt) watch(ctx context.Context, silence time.Duration) (stop func()) {
	if silence <= 0 {
		return func() {}
	}
	var timer *time.Timer
	var mu sync.Mutex
	check := func() {
		if a.silent(time.Now(), silence) {
			a.cancel(errSilent)
			return
		}
		mu.Lock()
		defer mu.Unlock()
		if ctx.Err() == nil {
			timer.Reset(silenceCheck)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(silence, check)
	return func() { timer.Stop() }
}

// silent reports whether the attempt's connection had no byte for the time,
// while a later call was answered. A target whose calls are all slow is not
// silent.
func (a *attempt) silent(now time.Time, silence time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn == nil {
		return false
	}
	last := max(a.conn.read.Load(), a.since.UnixNano())
	return now.UnixNano()-last >= int64(silence) && a.dialer.answered.Load() > last
}
