package agent

import (
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// relay is a TCP proxy. silenceConnections makes it drop all bytes of the open
// connections while new connections work. It simulates a network device that has
// lost its connection state.
type relay struct {
	listener    net.Listener
	upstream    string
	mu          sync.Mutex
	connections []*relayedConn
}

type relayedConn struct {
	mu     sync.Mutex
	silent bool
}

func newRelay(t *testing.T, upstream string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &relay{listener: l, upstream: upstream}
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
		out, err := net.Dial("tcp", r.upstream)
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

// silenceConnections makes the relay drop all further bytes of the connections that
// it has accepted so far, and returns their number.
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
	_, in := n.linksHandler.Sessions()
	for _, s := range in {
		s.Close()
	}
}
