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
	// linkRingCapacity bounds the frames that wait to be written to a link. A
	// call is refused as not run if the ring is full.
	linkRingCapacity = 4096
	// maxFramesPerWrite bounds the frames in one write.
	maxFramesPerWrite = 64
	// readBufferSize is the size of a link's read buffer. It is small, since a
	// node has about a hundred links. Larger bodies bypass the buffer.
	readBufferSize = 8 << 10
	// dialTimeout bounds the connect and the handshake, each.
	dialTimeout = time.Second
	// writeTimeout bounds one write, in case the peer does not read.
	writeTimeout = 2 * time.Second
	// silenceTimeout is the read timeout of a link. A link without received
	// frames is closed after 75 to 100 % of it, since the deadline is not
	// extended for each frame. Reports and pings are sent about once a second.
	silenceTimeout = 2500 * time.Millisecond
)

// link is one connection between two nodes. Two nodes have two links, one opened
// by each. The node that opened a link sends calls, cancellations, pings and
// requests for documents on it; the other node sends answers, reports, usage and
// documents. Each link has a reader and a writer goroutine, joined to the duties by
// rings.
type link struct {
	peer  frame.Hello
	info  model.NodeInfo // as last reported; used by the reader goroutine only
	conn  net.Conn
	queue *ring.Ring[frame.Message]

	onMessage  func(frame.Message)   // called for each received message
	onUnsent   func(id model.CallID) // called for each queued call that was not written
	onClosed   func(error)           // called once, after all other callbacks
	sentBytes  *expvar.Map           // bytes by kind of frame; one map for all links within the zone, another for those to other zones
	goroutines sync.WaitGroup
	closeOnce  sync.Once
	cause      error
}

// start starts the link's goroutines.
func (l *link) start() {
	l.queue = ring.New[frame.Message]("link "+string(l.peer.Node.Instance), linkRingCapacity)
	l.goroutines.Add(2)
	go l.runReader()
	go l.runWriter()
	go func() {
		l.goroutines.Wait()
		l.onClosed(l.cause)
	}()
}

// send queues a message and reports whether the ring had room.
func (l *link) send(m frame.Message) bool { return l.queue.Offer(m) }

// close closes the link. Only the cause of the first call is reported.
func (l *link) close(cause error) {
	l.closeOnce.Do(func() {
		l.cause = cause
		l.conn.Close()
		l.queue.Close()
	})
}

func (l *link) runReader() {
	defer l.goroutines.Done()
	r := bufio.NewReaderSize(l.conn, readBufferSize)
	var deadline time.Time
	for {
		// Setting the deadline for each frame would cost more than reading the frame.
		if now := time.Now(); deadline.Sub(now) < silenceTimeout*3/4 {
			deadline = now.Add(silenceTimeout)
			_ = l.conn.SetReadDeadline(deadline)
		}
		var err error
		panicked := fault.Catch(func() {
			var m frame.Message
			if m, err = frame.Read(r); err == nil {
				l.onMessage(m)
			}
		})
		if err == nil {
			err = panicked // costs this link only
		}
		if err != nil {
			l.close(fault.Wrap("read from link", string(l.peer.Node.Instance), err))
			return
		}
	}
}

func (l *link) runWriter() {
	defer l.goroutines.Done()
	batch := make([]frame.Message, maxFramesPerWrite)
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

// withRemainingTime sets the remaining time of a call just before it is written.
func withRemainingTime(now time.Time, m frame.Message) frame.Message {
	if c, ok := m.(frame.Call); ok {
		return frame.NewCall(now, c.Call)
	}
	return m
}

// reportUnsent reports the calls that are still in the queue. Nothing of them was
// sent, so they did not run.
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

// dial connects to a peer and performs the handshake.
func dial(address string, own frame.Hello) (net.Conn, frame.Hello, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, frame.Hello{}, fault.Wrap("connect to node", address, err)
	}
	peer, err := handshake(conn, own)
	if err != nil {
		conn.Close()
		return nil, frame.Hello{}, fault.Wrap("handshake with node", address, err)
	}
	return conn, peer, nil
}

// handshake sends the node's hello and reads the peer's.
func handshake(conn net.Conn, own frame.Hello) (frame.Hello, error) {
	_ = conn.SetDeadline(time.Now().Add(dialTimeout))
	if _, err := conn.Write(frame.Append(nil, own)); err != nil {
		return frame.Hello{}, err
	}
	peer, err := frame.ReadHello(conn)
	if err != nil {
		return frame.Hello{}, fault.Wrap("read hello", "", err)
	}
	return peer, conn.SetDeadline(time.Time{})
}
