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
	// errConnections reports that the target has as many connections as it
	// accepts.
	errConnectionLimit = errors.New("the target has no connection left")
	errConnClosed      = errors.New("the connection was given up")
	errSilent          = errors.New("the connection to the target is silent")
)

const (
	// probeInterval and probeCount find within 4 s a connection of which
	// something between the two ends has lost track. The target's kernel
	// answers the probes also while the target works on a slow call.
	probeInterval = time.Second
	probeCount    = 3
)

func newDialer() net.Dialer {
	return net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     probeInterval,
			Interval: probeInterval,
			Count:    probeCount,
		},
	}
}

// dialer opens connections up to a limit.
type dialer struct {
	net.Dialer
	limit          atomic.Int64
	open           atomic.Int64
	latestAnswered atomic.Int64 // latest start, as Unix time in ns, of a call that got an answer
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

// conn counts what was written, so that a call that never left the node can
// be told from one whose outcome is unknown.
type conn struct {
	net.Conn
	dialer   *dialer
	closed   atomic.Bool
	lastRead atomic.Int64 // Unix time in ns of the latest byte

	mu           sync.Mutex
	writesClosed bool
	written      int64
}

// Write writes unless the connection was sealed. net/http writes on its own
// goroutine, also after the call was cancelled.
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

// Read notes the progress of the connection.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

// Close frees the connection's place.
func (c *conn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.dialer.open.Add(-1)
	}
	return c.Conn.Close()
}

// position returns the number of bytes written so far.
func (c *conn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal closes the connection for good and returns the number of bytes
// written. Nothing is written after it returns. Closing first ends a write
// that is in progress.
func (c *conn) closeForWrites() int64 {
	_ = c.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesClosed = true
	return c.written
}
