package agent

import (
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// relay forwards TCP connections to an address. silenceConnections makes it drop
// all bytes of the open connections while new ones work, as a network device does
// that lost the state of its connections.
type relay struct {
	listener    net.Listener
	to          string
	mu          sync.Mutex
	connections []*relayedConn
}

type relayedConn struct {
	mu     sync.Mutex
	silent bool
}

func newRelay(t *testing.T, to string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &relay{listener: l, to: to}
	t.Cleanup(func() { l.Close() })
	go r.serve()
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) serve() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.to)
		if err != nil {
			in.Close()
			continue
		}
		p := new(relayedConn)
		r.mu.Lock()
		r.connections = append(r.connections, p)
		r.mu.Unlock()
		go p.copy(in, out)
		go p.copy(out, in)
	}
}

func (p *relayedConn) copy(from, to net.Conn) {
	defer to.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if p.isSilent() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (p *relayedConn) isSilent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent
}

// silenceConnections drops the bytes of all open connections from now on and
// returns the number of connections so far.
func (r *relay) silenceConnections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.connections {
		p.mu.Lock()
		p.silent = true
		p.mu.Unlock()
	}
	return len(r.connections)
}

func (r *relay) connectionCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.connections)
}

// closeInboundSessions closes the sessions that peers opened, so that they dial
// again.
func (n *Node) closeInboundSessions() {
	_, in := n.sessions.Sessions()
	for _, s := range in {
		s.Close()
	}
}
