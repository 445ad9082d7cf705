package peerlink

import (
	"net"
	"sync/atomic"
)

// countingConn counts the bytes that a connection delivers.
type countingConn struct {
	net.Conn
	received atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}
