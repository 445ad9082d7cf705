package mesh

import (
	"context"
	"io"
	"net"

	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/core/budget"
	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/policy/mesh/memory"
)

const (
	// defaultBodyBytes is the limit on a request's body if the configuration sets none, and
	// the largest that it may set, since a body must fit into a frame.
	defaultBodyBytes = 64 << 20
	// firstBufferBytes is the size of the first buffer of a body, and bufferGrowth the factor
	// by which the next is larger. A length in the head does not show that as many bytes will
	// come. A body is copied while it grows, a third of its bytes in all.
	firstBufferBytes, bufferGrowth = 16 << 10, 4
	// exactFromBytes is how many bytes of a body must have come before a buffer for the
	// announced length is taken.
	exactFromBytes = 1 << 20
)

// Errors of ReadBody.
var (
	ErrBodyTooLarge = errors.New("the body of the request is too large")
	ErrMemoryShort  = errors.New("the node has no memory for the body of the request")
	ErrBodyTooSlow  = errors.New("the body of the request came too slowly while memory was short")
	ErrBodyCut      = errors.New("the body of the request could not be read")
)

// maxBodyBytes returns the limit on a request's body.
func (n *Node) maxBodyBytes() int64 {
	if l := n.requestLimits.Load(); l != nil && l.BodyBytes > 0 {
		return min(l.BodyBytes, defaultBodyBytes)
	}
	return defaultBodyBytes
}

// bodyBuffer is the buffer of a body that is being read.
type bodyBuffer struct {
	conn   *callerConn // nil without an account
	length int64       // announced; negative if it is not known
	limit  int64
	body   []byte
}

// ReadBody reads the body of a caller's request with the announced length, negative if it
// is not known. Its memory is acquired before it is read, and held until the request ends.
func (n *Node) ReadBody(ctx context.Context, r io.Reader, length int64) ([]byte, error) {
	b := bodyBuffer{conn: connOf(ctx), length: length, limit: n.maxBodyBytes()}
	body, err := b.read(r)
	switch {
	case err == nil:
		return body, nil
	case errors.Is(err, ErrBodyTooLarge):
		n.metrics.limits.Add("body_too_large", 1)
		n.log.Emit(event.MeshRequestTooLarge, "caller", b.caller(), "what", "body", "bytes", max(length, int64(len(b.body))))
	case errors.Is(err, budget.ErrExceeded):
		n.logShort(b.conn, "body", max(length, int64(len(b.body))))
		return nil, ErrMemoryShort
	case isTimeout(err):
		n.metrics.limits.Add("body_too_slow", 1)
		return nil, ErrBodyTooSlow
	default:
		return nil, ErrBodyCut
	}
	return nil, err
}

// logShort counts and logs a request that is refused for lack of memory.
func (n *Node) logShort(c *callerConn, what string, bytes int64) {
	n.metrics.limits.Add("memory_short", 1)
	n.log.Emit(event.MeshMemoryShort, "caller", c.RemoteAddr(), "what", what, "bytes", bytes,
		"account", n.metrics.memory.held.Value(), "connections", n.metrics.memory.connections.Value())
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

func (b *bodyBuffer) caller() net.Addr {
	if b.conn == nil {
		return nil
	}
	return b.conn.RemoteAddr()
}

func (b *bodyBuffer) read(r io.Reader) ([]byte, error) {
	switch {
	case b.length > b.limit:
		return nil, ErrBodyTooLarge
	case b.length == 0:
		return nil, nil
	}
	b.setState(memory.StateReading)
	defer b.setState(memory.StateRunning)
	for {
		if len(b.body) == cap(b.body) {
			if err := b.grow(); err != nil {
				return nil, err
			}
		}
		n, err := r.Read(b.body[len(b.body):cap(b.body)])
		b.body = b.body[:len(b.body)+n]
		switch {
		case int64(len(b.body)) > b.limit:
			return nil, ErrBodyTooLarge
		case err == io.EOF:
			return b.body, nil
		case err != nil:
			return nil, err
		}
	}
}

// grow replaces the buffer by a larger one.
func (b *bodyBuffer) grow() error {
	old := int64(cap(b.body))
	size := b.nextSize(old)
	if b.conn != nil {
		b.setState(memory.StateRunning) // the caller waits, not the node
		err := b.conn.held.acquire(size, memory.UseBody)
		b.setState(memory.StateReading)
		if err != nil {
			return err
		}
		defer b.conn.held.release(old)
	}
	b.body = append(make([]byte, 0, size), b.body...)
	return nil
}

// nextSize returns the size of the buffer after one of a size. It has room for one byte
// beyond the limit, or beyond the announced length, by which the end of the body is seen.
func (b *bodyBuffer) nextSize(old int64) int64 {
	end := b.limit + 1
	if b.length >= 0 {
		end = b.length + 1
	}
	if old >= exactFromBytes && b.length >= 0 {
		return end
	}
	size := max(old*bufferGrowth, firstBufferBytes)
	if size > end/2 { // another step would need the memory twice
		return end
	}
	return size
}

func (b *bodyBuffer) setState(s memory.State) {
	if b.conn != nil {
		b.conn.setState(s)
	}
}
