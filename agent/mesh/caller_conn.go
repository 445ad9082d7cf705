package mesh

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/core/ring"
	"github.com/oleanderworks/oleanderworks/policy/mesh/memory"
)

const (
	// defaultHeaderBytes is the limit on a request's head if the configuration sets none.
	defaultHeaderBytes = 16 << 10
	// serverHeaderBytes is the limit of net/http, which is fixed when the listener opens. The
	// limit of the configuration is enforced by callerConn.
	serverHeaderBytes = 1 << 20
	// maxFields limits the fields of a head. Many short fields take many times their bytes
	// in memory.
	maxFields = 256
	// fieldBytes is the memory of a field besides its bytes, and headFactor the number of
	// copies of these.
	fieldBytes, headFactor = 192, 2
	// serverBufferBytes is the size of net/http's read buffer, which may hold the begin of a
	// body or of the next request when the head is read.
	serverBufferBytes = 4 << 10
	// writePiece is the size of the pieces in which answers are written, so that a sample of
	// the connection shows whether its caller reads.
	writePiece = 64 << 10

	headTooLargeAnswer = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

var errHeadTooLarge = errors.New("the head of the request is too large")

// maxHeadBytes returns the limit on a request's head, with room for differences in what
// counts as the head.
func (n *Node) maxHeadBytes() int64 {
	limit := int64(defaultHeaderBytes)
	if l := n.requestLimits.Load(); l != nil && l.HeaderBytes > 0 {
		limit = int64(l.HeaderBytes)
	}
	return limit + limit/4 + serverBufferBytes
}

// callerListener registers each connection with the memory duty before it is served.
type callerListener struct {
	net.Listener
	node *Node
}

// Accept implements net.Listener. Connections for which there is no room are closed.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newCallerConn(l.node, conn)
		m := connOpened{conn: c, reply: ring.NewReply[bool]()}
		ctx, cancel := context.WithTimeout(context.Background(), chargeTimeout)
		admitted := false
		if l.node.memory.Ring().Offer(m) {
			admitted, _ = m.reply.Wait(ctx) // not admitted if the duty has ended
		}
		cancel()
		if admitted {
			return c, nil
		}
		c.Close()
		l.node.metrics.limits.Add("connections_refused", 1)
		l.node.log.Emit(event.MeshConnectionRefused, "caller", conn.RemoteAddr(), "connections", l.node.metrics.memory.connections.Value(),
			"account", l.node.metrics.memory.held.Value())
	}
}

// callerConn is a connection of a caller. It measures what the caller sends and reads, and
// limits the heads of requests.
type callerConn struct {
	net.Conn
	node  *Node
	held  *holding
	state atomic.Uint32 // memory.State
	moved atomic.Int64  // bytes received and sent

	inHead     atomic.Bool // the head of a request is being read, or awaited
	headBytes  int64       // of the current head; used by the reading goroutine in the head only
	headFields int         // lines
	headLine   int         // bytes of the last line so far, without a carriage return
	headEnded  bool        // what follows belongs to the body
	headHeld   int64       // bytes acquired for it

	closeOnce sync.Once
}

func newCallerConn(n *Node, conn net.Conn) *callerConn {
	c := &callerConn{Conn: conn, node: n, held: n.newHolding()}
	c.held.connection = true
	c.inHead.Store(true)
	c.setState(memory.StateReading)
	return c
}

func (c *callerConn) setState(s memory.State)    { c.state.Store(uint32(s)) }
func (c *callerConn) currentState() memory.State { return memory.State(c.state.Load()) }

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.moved.Add(int64(n))
	if n > 0 && c.inHead.Load() {
		c.setState(memory.StateReading)
		if headErr := c.countHead(p[:n]); headErr != nil {
			return 0, &net.OpError{Op: "read", Net: "tcp", Err: headErr} // net/http answers no such error
		}
	}
	return n, err
}

// countHead counts the bytes and fields of a head and acquires its memory.
func (c *callerConn) countHead(p []byte) error {
	c.headBytes += int64(len(p))
	c.countFields(p)
	if c.headBytes > c.node.maxHeadBytes() || c.headFields > maxFields {
		_, _ = c.Conn.Write([]byte(headTooLargeAnswer)) // the connection is closed anyway
		c.node.metrics.limits.Add("head_too_large", 1)
		c.node.log.Emit(event.MeshRequestTooLarge, "caller", c.RemoteAddr(), "what", "head", "bytes", c.headBytes, "fields", c.headFields)
		return errHeadTooLarge
	}
	needed := c.headBytes*headFactor + int64(c.headFields)*fieldBytes
	c.setState(memory.StateRunning) // if it must wait, the caller is not to blame
	err := c.held.acquire(needed-c.headHeld, memory.UseSmall)
	c.setState(memory.StateReading)
	if err != nil {
		c.node.logShort(c, "head", c.headBytes)
		return err
	}
	c.headHeld = needed
	return nil
}

// countFields counts the lines of a head up to the empty one that ends it. The begin of the
// body may come together with the head.
func (c *callerConn) countFields(p []byte) {
	for !c.headEnded {
		line, rest, ended := bytes.Cut(p, []byte{'\n'})
		c.headLine += len(bytes.TrimSuffix(line, []byte{'\r'}))
		if !ended {
			return
		}
		c.headEnded = c.headLine == 0
		c.headFields++
		c.headLine, p = 0, rest
	}
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	before := c.currentState()
	c.setState(memory.StateWriting)
	defer c.setState(before)
	written := 0
	for {
		n, err := c.Conn.Write(p[written:min(written+writePiece, len(p))])
		written += n
		c.moved.Add(int64(n))
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.closeOnce.Do(c.held.end)
	return c.Conn.Close()
}

// CloseWrite closes the sending side. net/http does so before it closes a connection whose
// caller may still send.
func (c *callerConn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// interrupt makes the connection end if it is still in a state: a request may have come after
// the sample in which it was. A caller that sends its body too slowly can still be answered.
func (c *callerConn) interrupt(s memory.State, force bool) {
	switch {
	case c.currentState() != s:
	case force || s == memory.StateWriting:
		c.Conn.Close()
	default:
		_ = c.SetReadDeadline(time.Now()) // an error means that the connection has ended
	}
}

// beginHead returns what the last request held.
func (c *callerConn) beginHead() {
	c.held.reset()
	c.headBytes, c.headFields, c.headLine, c.headEnded, c.headHeld = 0, 0, 0, false, 0
	c.setState(memory.StateIdle)
	c.inHead.Store(true)
}

type connKey struct{}

// connOf returns the connection of a request, or nil.
func connOf(ctx context.Context) *callerConn {
	c, _ := ctx.Value(connKey{}).(*callerConn)
	return c
}

// newServer returns the server of one of the node's addresses.
func (n *Node) newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           trackHandler(h),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    serverHeaderBytes,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
		ConnState: func(conn net.Conn, s http.ConnState) {
			if c, ok := conn.(*callerConn); ok && s == http.StateIdle {
				c.beginHead()
			}
		},
	}
}

// trackHandler tells a connection when a request's head has been read and when its handler
// has ended. What is left of the body is read after that.
func trackHandler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := connOf(r.Context()); c != nil {
			c.inHead.Store(false)
			c.setState(memory.StateRunning)
			defer c.setState(memory.StateReading)
		}
		h.ServeHTTP(w, r)
	})
}
