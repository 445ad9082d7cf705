package target

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

var (
	// errConnectionLimit reports that the limit on open connections is reached.
	errConnectionLimit = errors.New("the target has no connection left")
	errConnClosed      = errors.New("the connection was given up")
	errStalled         = errors.New("the connection to the target is silent")
)

const (
	// keepAliveInterval and keepAliveCount make TCP keep-alive detect a dead
	// connection within 4 s, such as one whose state was lost by connection
	// tracking on the host or in the network. The target's kernel answers the
	// keep-alive probes even during a slow call.
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

func newDialer() net.Dialer {
	return net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveInterval,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
}

// dialer opens connections up to a limit.
type dialer struct {
	net.Dialer
	limit               atomic.Int64
	open                atomic.Int64
	latestAnsweredStart atomic.Int64 // of the attempts that were answered, the latest start, as Unix time in ns
}

func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if d.open.Add(1) > d.limit.Load() {
		d.open.Add(-1)
		return nil, errConnectionLimit
	}
	inner, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		d.open.Add(-1)
		return nil, err
	}
	return &conn{Conn: inner, dialer: d}, nil
}

// conn counts the bytes written, so that a call that was never sent can be
// distinguished from one whose outcome is unknown.
type conn struct {
	net.Conn
	dialer   *dialer
	closed   atomic.Bool
	lastRead atomic.Int64 // Unix time in ns at which bytes were last received

	mu           sync.Mutex
	writesClosed bool
	written      int64
}

// Write fails after closeAndCountWritten. net/http writes on its own goroutine,
// which may continue after the call was canceled.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writesClosed {
		return 0, errConnClosed
	}
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

// Read records when bytes were last received.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

// Close closes the connection, which then no longer counts against the limit.
func (c *conn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.dialer.open.Add(-1)
	}
	return c.Conn.Close()
}

// bytesWritten returns the number of bytes written so far.
func (c *conn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// closeAndCountWritten closes the connection and returns the number of bytes
// written. Nothing is written after it returns. It closes the connection before
// it takes the lock, which a write in progress holds until the close ends it.
func (c *conn) closeAndCountWritten() int64 {
	_ = c.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesClosed = true
	return c.written
}
