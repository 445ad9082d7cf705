package target

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// silenceCheckInterval is how often an attempt's connection is checked for
// progress.
const silenceCheckInterval = 250 * time.Millisecond

// attempt tracks one request and the connections on which net/http sends it.
type attempt struct {
	dialer *dialer
	cancel context.CancelCauseFunc

	mu          sync.Mutex
	conn        *conn // nil until net/http has one for the request
	startOffset int64 // bytes written on conn before the request
	startedAt   time.Time
	reused      bool
	sentEarlier bool // bytes of the request were written on an earlier connection
}

// send sends one request. The returned attempt reports whether any byte of it
// was written.
func (c *Client) send(ctx context.Context, req *http.Request, stallTimeout time.Duration) (*http.Response, *attempt, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	a := &attempt{dialer: c.dialer, cancel: cancel}
	trace := &httptrace.ClientTrace{GotConn: a.onConn}
	stop := a.watch(ctx, stallTimeout)
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

// cancelCause returns errSilent if the attempt was canceled for that reason,
// since err, from net/http, does not say so. Otherwise it returns err.
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
	if a.conn != nil && a.conn.closeAndCountWritten() > a.startOffset {
		a.sentEarlier = true
	}
	a.conn, a.startOffset, a.startedAt, a.reused = conn, conn.bytesWritten(), time.Now(), info.Reused
}

// closeAndCheckSent closes the connection and reports whether any byte of the
// request was written. Closing it ensures that nothing is written later, and
// that a late answer cannot reach another call.
func (a *attempt) closeAndCheckSent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return (a.conn != nil && a.conn.closeAndCountWritten() > a.startOffset) || a.sentEarlier
}

func (a *attempt) usedReusedConn() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reused
}

// recordAnswer records at the dialer that this attempt was answered.
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

// watch cancels the attempt when silent reports true for it. A connection
// tracker of the host or of the network may have lost the state of one
// connection while others work.
func (a *attempt) watch(ctx context.Context, stallTimeout time.Duration) (stop func()) {
	if stallTimeout <= 0 {
		return func() {}
	}
	var timer *time.Timer
	var mu sync.Mutex
	check := func() {
		if a.silent(time.Now(), stallTimeout) {
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
	timer = time.AfterFunc(stallTimeout, check)
	return func() { timer.Stop() }
}

// silent reports whether the attempt's connection has received nothing for
// stallTimeout while a call was answered that started after the last byte was
// received on this connection, or, if none was since, after this attempt
// started. If all of a target's calls are slow, its connections do not count as
// silent.
func (a *attempt) silent(now time.Time, stallTimeout time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn == nil {
		return false
	}
	last := max(a.conn.lastRead.Load(), a.startedAt.UnixNano())
	return now.UnixNano()-last >= int64(stallTimeout) && a.dialer.latestAnswered.Load() > last
}
