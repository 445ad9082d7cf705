package soak

import (
	"net"
	"sync"
	"time"
)

// direction of bytes through a proxy.
type direction int

const (
	forward  direction = iota // from the side that has connected
	backward                  // to it
)

// proxy passes connections on to an address and disturbs them. What it holds up
// is delivered later, like bytes behind a partition, unless the connection was
// silenced for good.
type proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	delay   time.Duration
	blocked [2]bool
	changed chan struct{} // closed at each change
	conns   map[*pair]bool
	closed  bool
}

// pair is one connection through a proxy.
type pair struct {
	client, server net.Conn
	silent         bool // for good
}

func newProxy(listen, target string) (*proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, changed: make(chan struct{}), conns: make(map[*pair]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

func (p *proxy) serve(client net.Conn) {
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		reset(client)
		return
	}
	c := &pair{client: client, server: server}
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		c.reset()
		return
	}
	p.conns[c] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); p.pump(c, forward, client, server) }()
	go func() { defer both.Done(); p.pump(c, backward, server, client) }()
	both.Wait()
	client.Close()
	server.Close()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

func (p *proxy) pump(c *pair, d direction, from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !p.pass(c, d) {
				c.reset()
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				c.reset()
				return
			}
		}
		if err != nil {
			// Half a connection that has ended well is passed on as such.
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
	}
}

// pass waits until bytes may go on. It returns false when the proxy closes.
func (p *proxy) pass(c *pair, d direction) bool {
	p.mu.Lock()
	delay := p.delay
	p.mu.Unlock()
	time.Sleep(delay)
	for {
		p.mu.Lock()
		blocked, closed, changed := p.blocked[d] || c.silent, p.closed, p.changed
		p.mu.Unlock()
		if closed || !blocked {
			return !closed
		}
		<-changed
	}
}

func (p *proxy) change(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *proxy) setDelay(d time.Duration) { p.change(func() { p.delay = d }) }
func (p *proxy) block(forward, backward bool) {
	p.change(func() { p.blocked = [2]bool{forward, backward} })
}
func (p *proxy) cutBoth()  { p.block(true, true) }
func (p *proxy) slowDown() { p.setDelay(100 * time.Millisecond) }
func (p *proxy) heal()     { p.setDelay(0); p.block(false, false) }
func (p *proxy) silence()  { p.change(func() { p.each(func(c *pair) { c.silent = true }) }) }
func (p *proxy) resetAll() { p.change(func() { p.each((*pair).reset) }) }
func (p *proxy) each(f func(*pair)) {
	for c := range p.conns {
		f(c)
	}
}
func (p *proxy) close() {
	p.listener.Close()
	p.change(func() { p.closed = true; p.each((*pair).reset) })
}

func (c *pair) reset() {
	reset(c.client)
	reset(c.server)
}

func reset(conn net.Conn) {
	if t, ok := conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	conn.Close()
}
