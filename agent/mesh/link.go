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
	"github.com/oleanderworks/oleanderworks/policy/mesh/memory"
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
	// bytes is closed after 75 to 100 % of it, since the deadline is not
	// extended for each read. Reports and pings are sent about once a second.
	silenceTimeout = 2500 * time.Millisecond
	// maxUnchargedBytes is the size up to which a frame is read without a charge to the
	// node's account. Calls of this size are bounded in number.
	maxUnchargedBytes = 64 << 10
	// linkWritePiece is the size of the pieces in which a large body is written. Each must be
	// written within writeTimeout.
	linkWritePiece = 1 << 20
)

// trackedMessage is a message with a function that is called once it is written or
// discarded.
type trackedMessage struct {
	frame.Message
	done func()
}

// unwrap returns the message to be written.
func unwrap(m frame.Message) frame.Message {
	if tracked, ok := m.(trackedMessage); ok {
		return tracked.Message
	}
	return m
}

// finish calls the functions of the messages that have them.
func finish(batch []frame.Message) {
	for _, m := range batch {
		if tracked, ok := m.(trackedMessage); ok {
			tracked.done()
		}
	}
}

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

	newHolding func() *holding       // for a large frame that is read
	received   *holding              // of the frame that onMessage handles; used by the reader goroutine only
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

// sendThen queues a message and calls done once it is written or discarded.
func (l *link) sendThen(m frame.Message, done func()) {
	if !l.send(trackedMessage{Message: m, done: done}) {
		done()
	}
}

// takeReceived returns what the frame that onMessage handles holds of the node's account;
// it may be nil. The caller of takeReceived must end it.
func (l *link) takeReceived() *holding {
	held := l.received
	l.received = nil
	return held
}

// close closes the link. Only the cause of the first call is reported.
func (l *link) close(cause error) {
	l.closeOnce.Do(func() {
		l.cause = cause
		l.conn.Close()
		l.queue.Close()
	})
}

// progressReader extends the read deadline of a connection while bytes arrive.
type progressReader struct {
	conn     net.Conn
	deadline time.Time
}

// Read implements io.Reader.
func (r *progressReader) Read(p []byte) (int, error) {
	// Setting the deadline for each read would cost more than some reads.
	if now := time.Now(); r.deadline.Sub(now) < silenceTimeout*3/4 {
		r.deadline = now.Add(silenceTimeout)
		_ = r.conn.SetReadDeadline(r.deadline) // an error shows in Read
	}
	return r.conn.Read(p)
}

func (l *link) runReader() {
	defer l.goroutines.Done()
	r := bufio.NewReaderSize(&progressReader{conn: l.conn}, readBufferSize)
	for {
		var err error
		panicked := fault.Catch(func() { err = l.readFrame(r) })
		if err == nil {
			err = panicked // costs this link only
		}
		if err != nil {
			l.close(fault.Wrap("read from link", string(l.peer.Node.Instance), err))
			return
		}
	}
}

// readFrame reads a frame and passes its message on. The memory of a large one is acquired
// before it is read; if there is none, the call or the answer is replaced by a refusal or a
// failure.
func (l *link) readFrame(r *bufio.Reader) error {
	h, err := frame.ReadHeader(r)
	if err != nil {
		return err
	}
	var held *holding
	if h.PayloadBytes > maxUnchargedBytes && (h.Kind == frame.KindCall || h.Kind == frame.KindAnswer) {
		held = l.newHolding()
		if held.acquire(int64(h.PayloadBytes), memory.UseAnswer) != nil {
			held.end()
			return l.skipFrame(r, h)
		}
	}
	m, err := h.ReadPayload(r)
	if err != nil {
		held.end()
		return err
	}
	l.received = held
	l.onMessage(m)
	l.takeReceived().end()
	return nil
}

// skipFrame discards a call or an answer for which the node has no memory.
func (l *link) skipFrame(r *bufio.Reader, h frame.Header) error {
	id, err := h.SkipPayload(r)
	if err != nil {
		return err
	}
	if h.Kind == frame.KindCall {
		l.send(frame.Answer{Answer: model.NewRefusal(id, model.ReasonNodeBusy, "the target's node has no memory for the call")})
		return nil
	}
	l.onMessage(frame.Answer{Answer: model.NewFailure(id, model.ReasonTooLarge, "the caller's node has no memory for the answer")})
	return nil
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
		if buffer, err = l.writeBatch(batch[:n], buffer[:0]); err != nil {
			l.close(fault.Wrap("write to link", string(l.peer.Node.Instance), err))
			finish(batch[:n])
			l.reportUnsent(batch)
			return
		}
		finish(batch[:n])
		clear(batch[:n])
		if cap(buffer) > 1<<20 {
			buffer = nil
		}
	}
}

// writeBatch writes messages by way of a buffer, which it returns. Large bodies are written
// from where they are.
func (l *link) writeBatch(batch []frame.Message, buffer []byte) ([]byte, error) {
	now := time.Now()
	for _, queued := range batch {
		m := unwrap(queued)
		before := len(buffer)
		var body []byte
		buffer, body = frame.AppendSplit(buffer, withRemainingTime(now, m))
		l.sentBytes.Add(frame.KindOf(m).String(), int64(len(buffer)-before+len(body)))
		if len(body) <= maxUnchargedBytes {
			buffer = append(buffer, body...)
			continue
		}
		if err := l.writePieces(buffer); err != nil {
			return buffer, err
		}
		buffer = buffer[:0]
		if err := l.writePieces(body); err != nil {
			return buffer, err
		}
	}
	return buffer, l.writePieces(buffer)
}

// writePieces writes bytes, with a time limit for each piece.
func (l *link) writePieces(b []byte) error {
	for len(b) > 0 {
		_ = l.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // an error shows in Write
		n, err := l.conn.Write(b[:min(len(b), linkWritePiece)])
		if err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
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
		finish(batch[:n])
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
