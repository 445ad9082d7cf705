package exchange

import (
	"bufio"
	"context"
	"errors"
	"hash/maphash"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// defaultIdleTimeout is the idle timeout that the client assumes of a
	// target that sends no timeout in Keep-Alive.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is how long before the target's idle timeout a connection is
	// no longer used, so that the target does not close it while a request is
	// on the way.
	idleMargin = 1500 * time.Millisecond
	// maxCallsPerConn limits the calls on one connection, and so the memory for their
	// attempts.
	maxCallsPerConn = 1024
	// headBytes is the usual size of a request's head.
	headBytes = 512
	// maxCopiedBytes is the size up to which a body is copied behind the head of its request.
	// Larger ones are written from where they are.
	maxCopiedBytes = 16 << 10
)

// conn is one connection to the target.
type conn struct {
	net.Conn
	received      *limitedReader
	r             *bufio.Reader // of received
	attempts      []uint64      // hashes of the attempt ids of the calls sent
	answers       int           // answers read, including skipped ones
	faulty        bool          // an answer arrived that belongs to no call in progress
	reusableUntil time.Time     // set after an answer; zero if the connection must be closed
}

func newConn(netConn net.Conn) *conn {
	received := &limitedReader{reader: netConn}
	return &conn{Conn: netConn, received: received, r: bufio.NewReaderSize(received, readBufferBytes)}
}

// writeRequest writes a request and returns the number of bytes written.
func (cn *conn) writeRequest(head, body []byte) (int64, error) {
	if len(body) <= maxCopiedBytes {
		n, err := cn.Write(append(head, body...))
		return int64(n), err
	}
	buffers := net.Buffers{head, body}
	return buffers.WriteTo(cn.Conn)
}

// reused reports whether the connection carried another call before the latest one.
func (cn *conn) reused() bool { return len(cn.attempts) > 1 }

// belongsTo reports whether the answer that was read last is the answer to the latest
// call. The connection has carried no other call with its attempt id (acquireConn). An
// answer without an attempt id may be a late or repeated answer to any earlier call,
// unless the connection carried only this call and this answer.
func (cn *conn) belongsTo(call *model.Call, attemptID string) bool {
	if attemptID == "" {
		return !cn.reused() && cn.answers == 1
	}
	return attemptID == call.AttemptID
}

// silent reports whether the target has sent nothing and has not closed the connection
// since the last answer. Bytes that arrive while no call is in progress answer no call.
func (cn *conn) silent() bool {
	socket, ok := cn.Conn.(syscall.Conn)
	if !ok || cn.r.Buffered() > 0 {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	// Control, unlike Read, also works after the deadline of the latest call.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && errors.Is(peekErr, syscall.EAGAIN)
}

// acquireConn returns the most recently used idle connection, or a new one. A call
// without an attempt id gets a new one, since its answer is recognized only there. A call
// whose attempt was sent before gets a connection that did not carry it, since answers to
// both have the same attempt id.
func (c *Client) acquireConn(ctx context.Context, call *model.Call) (*conn, error) {
	if call.AttemptID != "" {
		if cn := c.takeIdle(time.Now(), c.hashAttempt(call)); cn != nil {
			return cn, nil
		}
	}
	netConn, err := c.dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, err
	}
	return newConn(netConn), nil
}

func (c *Client) hashAttempt(call *model.Call) uint64 { return maphash.String(c.seed, call.AttemptID) }

// takeIdle removes the most recently used idle connection that is silent and has not
// carried an attempt from the pool and returns it. It returns nil if there is none.
func (c *Client) takeIdle(now time.Time, attempt uint64) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(c.idle) - 1; i >= 0; i-- {
		cn := c.idle[i]
		if slices.Contains(cn.attempts, attempt) {
			continue
		}
		c.idle = slices.Delete(c.idle, i, i+1)
		if now.Before(cn.reusableUntil) && cn.silent() {
			return cn
		}
		cn.Close()
	}
	return nil
}

func (c *Client) addIdle(cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, cn)
}

// reuseLimit returns until when another call may be sent on the connection after an answer.
// It returns the zero time if the target will close the connection soon or has sent anything
// beyond the answer, or if the connection has carried maxCallsPerConn calls.
func (cn *conn) reuseLimit(now time.Time, resp *http.Response) time.Time {
	closeDelimited := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	if resp.Close || closeDelimited || cn.faulty || cn.r.Buffered() > 0 || len(cn.attempts) >= maxCallsPerConn {
		return time.Time{}
	}
	idleTimeout := defaultIdleTimeout
	if advertised, ok := parseKeepAlive(resp.Header.Get("Keep-Alive")); ok {
		idleTimeout = advertised
	}
	if idleTimeout <= idleMargin {
		return time.Time{}
	}
	return now.Add(idleTimeout - idleMargin)
}

// parseKeepAlive parses the parameter "timeout" of the Keep-Alive header.
func parseKeepAlive(value string) (time.Duration, bool) {
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
