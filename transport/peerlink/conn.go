package peerlink

import (
	"encoding/binary"
	"net"
	"sync/atomic"
)

// countingConn counts the bytes received on a connection.
type countingConn struct {
	net.Conn
	received atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

const (
	// yamuxHeaderBytes is the size of a yamux frame header. Its first two bytes
	// are the version and the type, its last four the length.
	yamuxHeaderBytes = 12
	yamuxTypeData    = 0
)

// coalescingConn writes the header of a yamux data frame together with its
// body. yamux writes them separately, which would cost an additional TLS record,
// with an overhead of 22 bytes, and an additional packet for each frame. Only
// yamux's sending goroutine writes.
type coalescingConn struct {
	net.Conn
	pendingHeader []byte // data frame header that waits for its body
}

// Write implements net.Conn. It reports a header as written while it is pending.
// If the later write of header and body fails, yamux ends the session.
func (c *coalescingConn) Write(p []byte) (int, error) {
	if len(c.pendingHeader) == 0 {
		if isDataHeader(p) {
			c.pendingHeader = append(c.pendingHeader, p...)
			return len(p), nil
		}
		return c.Conn.Write(p)
	}
	c.pendingHeader = append(c.pendingHeader, p...)
	_, err := c.Conn.Write(c.pendingHeader)
	c.pendingHeader = c.pendingHeader[:0]
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

func isDataHeader(p []byte) bool {
	return len(p) == yamuxHeaderBytes && p[1] == yamuxTypeData && binary.BigEndian.Uint32(p[8:]) > 0
}
