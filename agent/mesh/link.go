package mesh

import (
	"bufio"
	"expvar"
	"net"
	"sync"
	"time"

	"github.com/oleanderworks/oleanderworks/core/fault"
	"github.com/oleanderworks/oleanderworks/core/ring"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/transport/frame"
)

const (
	// linkRing bounds the frames that wait for a link. Calls beyond it are
	// refused as not run.
	linkRing = 4096
	// writeBatch bounds the frames that one write carries.
	writeBatch = 64
	// linkBuffer is the room for what arrives on a link; larger bodies are read
	// past it. A node has some hundred links.
	linkBuffer = 8 << 10
	// dialTimeout bounds the opening of a link, with the exchange of hellos.
	dialTimeout = time.Second
	// writeTimeout bounds a write to a peer that does not read.
	writeTimeout = 2 * time.Second
	// silence is how long nothing may arrive on a link. Reports and pings come
	// at least once a second.
	silence = 2500 * time.Millisecond
)

// link is one connection between two nodes. One end has opened it and sends
// calls; the other end answers and reports. A reader and a writer thread serve
// it, joined to the duties by rings.
type link struct {
	peer  frame.Hello
	place model.NodeInfo // as last reported; the reader's
	conn  net.Conn
	queue *ring.Ring[frame.Message]

	read    func(frame.Message)   // takes each message that arrives
	unsent  func(id model.CallID) // takes each call that was not written
	closed  func(error)           // called once, after everything else
	sent    *expvar.Map           // bytes by kind of frame; shared by all links of a class
	threads sync.WaitGroup
	once    sync.Once
	cause   error
}

// start runs the link's threads.
func (l *link) start() {
	l.queue = ring.New[frame.Message]("link "+string(l.peer.Node.Instance), linkRing)
	l.threads.Add(2)
	go l.runReader()
	go l.runWriter()
	go func() {
		l.threads.Wait()
		l.closed(l.cause)
	}()
}

// send queues a message and reports whether there was room.
func (l *link) send(m frame.Message) bool { return l.queue.Offer(m) }

// close ends the link. The first cause is the one that is reported.
func (l *link) close(cause error) {
	l.once.Do(func() {
		l.cause = cause
		l.conn.Close()
		l.queue.Close()
	})
}

func (l *link) runReader() {
	defer l.threads.Done()
	r := bufio.NewReaderSize(l.conn, linkBuffer)
	var limit time.Time
	for {
		// Setting the deadline for each frame would cost more than the frame.
		if now := time.Now(); limit.Sub(now) < silence*3/4 {
			limit = now.Add(silence)
			_ = l.conn.SetReadDeadline(limit)
		}
		m, err := frame.Read(r)
		if err != nil {
			l.close(fault.Wrap("read from link", string(l.peer.Node.Instance), err))
			return
		}
		l.read(m)
	}
}

func (l *link) runWriter() {
	defer l.threads.Done()
	batch := make([]frame.Message, writeBatch)
	var buffer []byte
	for {
		n, err := l.queue.Take(batch, nil, nil)
		if err != nil {
			return
		}
		buffer = buffer[:0]
		now := time.Now()
		for _, m := range batch[:n] {
			before := len(buffer)
			buffer = frame.Append(buffer, stamp(now, m))
			l.sent.Add(frame.KindOf(m).String(), int64(len(buffer)-before))
		}
		_ = l.conn.SetWriteDeadline(now.Add(writeTimeout))
		if _, err := l.conn.Write(buffer); err != nil {
			l.close(fault.Wrap("write to link", string(l.peer.Node.Instance), err))
			l.drain(batch)
			return
		}
		clear(batch[:n])
		if cap(buffer) > 1<<20 {
			buffer = nil
		}
	}
}

// stamp gives a call its remaining time at the moment it is written.
func stamp(now time.Time, m frame.Message) frame.Message {
	if c, ok := m.(frame.Call); ok {
		return frame.NewCall(now, c.Call)
	}
	return m
}

// drain reports the calls that were still queued: no byte of them has left.
func (l *link) drain(batch []frame.Message) {
	for {
		n, err := l.queue.Take(batch, nil, nil)
		if err != nil {
			return
		}
		for _, m := range batch[:n] {
			if c, ok := m.(frame.Call); ok {
				l.unsent(c.Call.ID)
			}
		}
	}
}

// dial opens a link to a peer and exchanges hellos.
func dial(address string, own frame.Hello) (net.Conn, frame.Hello, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, frame.Hello{}, fault.Wrap("connect to node", address, err)
	}
	peer, err := greet(conn, own)
	if err != nil {
		conn.Close()
		return nil, frame.Hello{}, fault.Wrap("greet node", address, err)
	}
	return conn, peer, nil
}

// greet sends the own hello and reads the peer's.
func greet(conn net.Conn, own frame.Hello) (frame.Hello, error) {
	_ = conn.SetDeadline(time.Now().Add(dialTimeout))
	if _, err := conn.Write(frame.Append(nil, own)); err != nil {
		return frame.Hello{}, err
	}
	m, err := frame.Read(conn)
	if err != nil {
		return frame.Hello{}, err
	}
	peer, ok := m.(frame.Hello)
	if !ok {
		return frame.Hello{}, fault.New("read hello", "", "the first frame is %T", m)
	}
	return peer, conn.SetDeadline(time.Time{})
}
