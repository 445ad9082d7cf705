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
	// linkRingCapacity bounds the frames that wait to be written to a link.
	// Calls that find the ring full are refused as not run.
	linkRingCapacity = 4096
	// maxWriteBatch bounds the frames in one write.
	maxWriteBatch = 64
	// readBufferSize is the size of a link's read buffer. It is small, since a
	// node has some hundred links; larger bodies bypass the buffer.
	readBufferSize = 8 << 10
	// dialTimeout bounds the connect and the exchange of hellos, each.
	dialTimeout = time.Second
	// writeTimeout bounds a write to a peer that does not read.
	writeTimeout = 2 * time.Second
	// silenceTimeout is the longest time without any received frame after which
	// a link is closed; the shortest is three quarters of it, since the deadline
	// is not moved for each frame. Reports and pings are sent at least once a
	// second.
	silenceTimeout = 2500 * time.Millisecond
)

// link is one connection between two nodes. Two nodes have two links, one opened
// by each. The end that opened a link sends calls, cancellations, pings and
// requests for documents on it; the other end sends answers, reports, usage and
// documents. Each link has a reader and a writer thread, joined to the duties by
// rings.
type link struct {
	peer  frame.Hello
	info  model.NodeInfo // as last reported; used by the reader thread only
	conn  net.Conn
	queue *ring.Ring[frame.Message]

	onMessage func(frame.Message)   // called for each received message
	onUnsent  func(id model.CallID) // called for each queued call that was not written
	onClosed  func(error)           // called once, after all other callbacks
	sentBytes *expvar.Map           // bytes by kind of frame; shared by all links within the zone, or by all to other zones
	threads   sync.WaitGroup
	once      sync.Once
	cause     error
}

// start starts the link's threads.
func (l *link) start() {
	l.queue = ring.New[frame.Message]("link "+string(l.peer.Node.Instance), linkRingCapacity)
	l.threads.Add(2)
	go l.runReader()
	go l.runWriter()
	go func() {
		l.threads.Wait()
		l.onClosed(l.cause)
	}()
}

// send queues a message and reports whether there was room.
func (l *link) send(m frame.Message) bool { return l.queue.Offer(m) }

// close closes the link. Of several causes the first is reported.
func (l *link) close(cause error) {
	l.once.Do(func() {
		l.cause = cause
		l.conn.Close()
		l.queue.Close()
	})
}

func (l *link) runReader() {
	defer l.threads.Done()
	r := bufio.NewReaderSize(l.conn, readBufferSize)
	var deadline time.Time
	for {
		// Setting the deadline for each frame would cost more than reading it.
		if now := time.Now(); deadline.Sub(now) < silenceTimeout*3/4 {
			deadline = now.Add(silenceTimeout)
			_ = l.conn.SetReadDeadline(deadline)
		}
		m, err := frame.Read(r)
		if err != nil {
			l.close(fault.Wrap("read from link", string(l.peer.Node.Instance), err))
			return
		}
		l.onMessage(m)
	}
}

func (l *link) runWriter() {
	defer l.threads.Done()
	batch := make([]frame.Message, maxWriteBatch)
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
			buffer = frame.Append(buffer, withRemainingTime(now, m))
			l.sentBytes.Add(frame.KindOf(m).String(), int64(len(buffer)-before))
		}
		_ = l.conn.SetWriteDeadline(now.Add(writeTimeout))
		if _, err := l.conn.Write(buffer); err != nil {
			l.close(fault.Wrap("write to link", string(l.peer.Node.Instance), err))
			l.reportUnsent(batch)
			return
		}
		clear(batch[:n])
		if cap(buffer) > 1<<20 {
			buffer = nil
		}
	}
}

// withRemainingTime sets a call's remaining time, as of now, just before the
// call is written.
func withRemainingTime(now time.Time, m frame.Message) frame.Message {
	if c, ok := m.(frame.Call); ok {
		return frame.NewCall(now, c.Call)
	}
	return m
}

// reportUnsent reports the calls that are still in the queue: none of their
// bytes was sent.
func (l *link) reportUnsent(batch []frame.Message) {
	for {
		n, err := l.queue.Take(batch, nil, nil)
		if err != nil {
			return
		}
		for _, m := range batch[:n] {
			if c, ok := m.(frame.Call); ok {
				l.onUnsent(c.Call.ID)
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
	peer, err := exchangeHellos(conn, own)
	if err != nil {
		conn.Close()
		return nil, frame.Hello{}, fault.Wrap("greet node", address, err)
	}
	return conn, peer, nil
}

// exchangeHellos sends the node's hello and reads the peer's.
func exchangeHellos(conn net.Conn, own frame.Hello) (frame.Hello, error) {
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
