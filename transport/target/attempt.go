package target

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// stallCheckInterval is how often an attempt checks whether its connection has
// stalled.
const stallCheckInterval = 250 * time.Millisecond

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

// send sends a request once. The returned attempt tells whether any byte of the
// request was written.
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

// cancelCause returns errStalled if the attempt was canceled because its
// connection stalled, which err, from net/http, does not tell. Otherwise it
// returns err.
func cancelCause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c == errStalled {
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

// recordAnswer updates the dialer's latestAnsweredStart with this attempt.
func (a *attempt) recordAnswer() {
	a.mu.Lock()
	defer a.mu.Unlock()
	startedAt := a.startedAt.UnixNano()
	for {
		latest := a.dialer.latestAnsweredStart.Load()
		if startedAt <= latest || a.dialer.latestAnsweredStart.CompareAndSwap(latest, startedAt) {
			return
		}
	}
}

// watch cancels the attempt when its connection has stalled. Connection tracking
// on the host or in the network may have lost the state of one connection while
// others work.
func (a *attempt) watch(ctx context.Context, stallTimeout time.Duration) (stop func()) {
	if stallTimeout <= 0 {
		return func() {}
	}
	var timer *time.Timer
	var mu sync.Mutex
	check := func() {
		if a.stalled(time.Now(), stallTimeout) {
			a.cancel(errStalled)
			return
		}
		mu.Lock()
		defer mu.Unlock()
		if ctx.Err() == nil {
			timer.Reset(stallCheckInterval)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(stallTimeout, check)
	return func() { timer.Stop() }
}

// stalled reports whether the attempt's connection has received no bytes for
// stallTimeout although the target has answered a call that started later. The
// reference is the last byte received on this connection, or the start of this
// attempt if that is later. While all calls to the target are slow, no
// connection counts as stalled.
func (a *attempt) stalled(now time.Time, stallTimeout time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn == nil {
		return false
	}
	last := max(a.conn.lastRead.Load(), a.startedAt.UnixNano())
	return now.UnixNano()-last >= int64(stallTimeout) && a.dialer.latestAnsweredStart.Load() > last
}
