package soak

import (
	"net"
	"sync"
	"time"
)

// direction is the direction in which a proxy forwards bytes.
type direction int

const (
	forward  direction = iota // from the client to the server
	backward                  // from the server to the client
)

// proxy forwards TCP connections to an address and injects faults. Blocked bytes are
// delivered when the block ends, as after a network partition. A silenced connection
// stays open and delivers nothing until it is closed.
type proxy struct {
	listener  net.Listener
	forwardTo string

	mu      sync.Mutex
	delay   time.Duration      // before bytes are forwarded
	blocked [2]bool            // by direction
	changed chan struct{}      // closed and replaced at each change of the faults
	conns   map[*connPair]bool // open connections
	closed  bool
}

// connPair is one connection through a proxy.
type connPair struct {
	client, server net.Conn
	silenced       bool // delivers nothing until it is closed
}

func newProxy(listen, forwardTo string) (*proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, forwardTo: forwardTo, changed: make(chan struct{}), conns: make(map[*connPair]bool)}
	go p.accept()
	return p, nil
}

// accept serves connections until the listener is closed.
func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

// serve forwards a connection in both directions until it ends. If the server cannot be
// reached, it resets the connection.
func (p *proxy) serve(client net.Conn) {
	server, err := net.DialTimeout("tcp", p.forwardTo, time.Second)
	if err != nil {
		resetConn(client)
		return
	}
	c := &connPair{client: client, server: server}
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		c.reset()
		return
	}
	p.conns[c] = true
	p.mu.Unlock()
	var relays sync.WaitGroup
	relays.Add(2)
	go func() { defer relays.Done(); p.relay(c, forward, client, server) }()
	go func() { defer relays.Done(); p.relay(c, backward, server, client) }()
	relays.Wait()
	client.Close()
	server.Close()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// relay copies bytes in one direction until the connection ends.
func (p *proxy) relay(c *connPair, d direction, from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !p.waitUntilAllowed(c, d) {
				c.reset()
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				c.reset()
				return
			}
		}
		if err != nil {
			// Forwards the close of one direction; the other may stay open.
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
	}
}

// waitUntilAllowed waits for the delay and until the direction is not blocked. It returns
// false if the proxy has been closed.
func (p *proxy) waitUntilAllowed(c *connPair, d direction) bool {
	p.mu.Lock()
	delay := p.delay
	p.mu.Unlock()
	time.Sleep(delay)
	for {
		p.mu.Lock()
		blocked, closed, changed := p.blocked[d] || c.silenced, p.closed, p.changed
		p.mu.Unlock()
		if closed || !blocked {
			return !closed
		}
		<-changed
	}
}

// update changes the faults and wakes the relays that wait.
func (p *proxy) update(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *proxy) setDelay(d time.Duration) { p.update(func() { p.delay = d }) }

// block sets for each direction whether bytes are held back.
func (p *proxy) block(forward, backward bool) {
	p.update(func() { p.blocked = [2]bool{forward, backward} })
}

func (p *proxy) blockAll() { p.block(true, true) }
func (p *proxy) addDelay() { p.setDelay(100 * time.Millisecond) }

// heal ends delays and blocks.
func (p *proxy) heal() { p.setDelay(0); p.block(false, false) }

// silenceAll silences the open connections.
func (p *proxy) silenceAll() { p.update(func() { p.forEach(func(c *connPair) { c.silenced = true }) }) }

// resetAll resets the open connections.
func (p *proxy) resetAll() { p.update(func() { p.forEach((*connPair).reset) }) }

func (p *proxy) forEach(f func(*connPair)) {
	for c := range p.conns {
		f(c)
	}
}

// close closes the listener and resets the open connections.
func (p *proxy) close() {
	p.listener.Close()
	p.update(func() { p.closed = true; p.forEach((*connPair).reset) })
}

func (c *connPair) reset() {
	resetConn(c.client)
	resetConn(c.server)
}

// resetConn closes a connection with a TCP reset.
func resetConn(conn net.Conn) {
	if t, ok := conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	conn.Close()
}
