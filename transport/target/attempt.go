package target

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// silenceCheck is how often a connection without progress is looked at.
const silenceCheckInterval = 250 * time.Millisecond

// attempt follows one request on its connection.
type attempt struct {
	dialer *dialer
	cancel context.CancelCauseFunc

	mu          sync.Mutex
	conn        *conn // nil until net/http has one for the request
	startOffset int64 // bytes written on it before the request
	startedAt   time.Time
	reused      bool
	sentEarlier bool // bytes left the node on an earlier connection
}

// send performs one request. The attempt tells afterwards whether any of it
// left the node.
func (c *Client) send(ctx context.Context, req *http.Request, silenceLimit time.Duration) (*http.Response, *attempt, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	a := &attempt{dialer: c.dialer, cancel: cancel}
	trace := &httptrace.ClientTrace{GotConn: a.onConn}
	stop := a.watch(ctx, silenceLimit)
	resp, err := c.http.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		stop()
		cancel(nil)
		return nil, a, cancelCause(ctx, err)
	}
	a.recordAnswer()
	resp.Body = &watchedBody{ReadCloser: resp.Body, stop: func() { stop(); cancel(nil) }, ctx: ctx}
	return resp, a, nil
}

// cause prefers the reason for which an attempt was given up over the error
// that net/http made of it.
func cancelCause(ctx context.Context, err error) error {
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
	if a.conn != nil && a.conn.closeForWrites() > a.startOffset {
		a.sentEarlier = true
	}
	a.conn, a.startOffset, a.startedAt, a.reused = conn, conn.bytesWritten(), time.Now(), info.Reused
}

// handedOver reports whether any byte of the request was written. It closes
// the connection, so that the answer stays true and a late answer cannot
// reach another call.
func (a *attempt) closeAndCheckSent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return (a.conn != nil && a.conn.closeForWrites() > a.startOffset) || a.sentEarlier
}

func (a *attempt) usedReusedConn() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reused
}

// noteAnswer records that a call that began with this attempt was answered.
func (a *attempt) recordAnswer() {
	a.mu.Lock()
	defer a.mu.Unlock()
	startedAt := a.startedAt.UnixNano()
	for {
		latest := a.dialer.latestAnswered.Load()
		if startedAt <= latest || a.dialer.latestAnswered.CompareAndSwap(latest, startedAt) {
			return
		}
	}
}

// watch gives the attempt up when its connection has been silent for too long
// while calls that began later were answered. Something between the two ends
// may have lost track of a connection; new ones work then.
func (a *attempt) watch(ctx context.Context, silenceLimit time.Duration) (stop func()) {
	if silenceLimit <= 0 {
		return func() {}
	}
	var timer *time.Timer
	var mu sync.Mutex
	check := func() {
		if a.silent(time.Now(), silenceLimit) {
			a.cancel(errSilent)
			return
		}
		mu.Lock()
		defer mu.Unlock()
		if ctx.Err() == nil {
			timer.Reset(silenceCheckInterval)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(silenceLimit, check)
	return func() { timer.Stop() }
}

// silent reports whether the attempt's connection had no byte for the time,
// while a later call was answered. A target whose calls are all slow is not
// silent.
func (a *attempt) silent(now time.Time, silenceLimit time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn == nil {
		return false
	}
	last := max(a.conn.lastRead.Load(), a.startedAt.UnixNano())
	return now.UnixNano()-last >= int64(silenceLimit) && a.dialer.latestAnswered.Load() > last
}
