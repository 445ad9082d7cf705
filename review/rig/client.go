package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

const clientKey = "6wsjnbanfqasnmgkcuyj"

var lastAttempt atomic.Int64

// client holds one connection to a machine's address for clients.
type client struct {
	conn net.Conn
	r    *bufio.Reader
	rec  *record
}

// result is what a client has got for one attempt.
type result struct {
	attempt  string
	sent     time.Time // when the last byte was sent
	ended    time.Time
	status   int   // 0 without an answer
	received int   // bytes of the body
	complete bool  // the whole body has come
	err      error // why there is no complete answer
	sig      string
}

// dialClient connects to a machine. receiveBuffer sets the size of the socket's receive
// buffer; 0 keeps the system's.
func dialClient(m *machine, receiveBuffer int) (*client, error) {
	conn, err := net.DialTimeout("tcp", m.address(outboundPort), time.Second)
	if err != nil {
		return nil, err
	}
	if receiveBuffer > 0 {
		if err := conn.(*net.TCPConn).SetReadBuffer(receiveBuffer); err != nil {
			conn.Close()
			return nil, err
		}
	}
	return &client{conn: conn, r: bufio.NewReader(conn), rec: m.fleet.rec}, nil
}

func (c *client) close() { c.conn.Close() }

// request is one attempt to be sent.
type request struct {
	method, path  string
	body          []byte
	timeout       time.Duration
	sendPerSecond int // bytes of the body; 0 for no limit
	readPerSecond int // bytes of the answer; 0 for no limit
}

const paceStep = 50 * time.Millisecond

// do sends an attempt and reads its answer until the deadline.
func (c *client) do(q request) result {
	res := result{attempt: fmt.Sprintf("%016x", lastAttempt.Add(1)+1<<40)}
	_ = c.conn.SetDeadline(time.Now().Add(q.timeout))
	c.rec.add("client sends %s: %s %s, body of %d bytes, deadline %v", res.attempt, q.method, q.path, len(q.body), q.timeout)
	head := q.method + " " + q.path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Oleanderworks-Key: " + clientKey +
		"\r\n" + headerAttempt + ": " + res.attempt + "\r\n" + headerDeadline + ": " + strconv.FormatInt(q.timeout.Milliseconds(), 10) + "\r\n"
	if len(q.body) > 0 {
		head += "Content-Length: " + strconv.Itoa(len(q.body)) + "\r\n"
	}
	_, res.err = io.WriteString(c.conn, head+"\r\n")
	if res.err == nil {
		_, res.err = io.Copy(c.conn, pace(bytes.NewReader(q.body), q.sendPerSecond))
	}
	res.sent = time.Now()
	if res.err == nil {
		c.read(&res, q)
	}
	res.ended = time.Now()
	c.rec.add("client got for %s: status %d, %d bytes, complete %v, %v", res.attempt, res.status, res.received, res.complete, res.err)
	return res
}

func (c *client) read(res *result, q request) {
	resp, err := http.ReadResponse(c.r, &http.Request{Method: q.method})
	if err != nil {
		res.err = err
		return
	}
	defer resp.Body.Close()
	res.status, res.sig = resp.StatusCode, resp.Header.Get(headerSig)
	n, err := io.Copy(io.Discard, pace(resp.Body, q.readPerSecond))
	res.received, res.err = int(n), err
	res.complete = err == nil
}

// pace returns a reader that delivers about bytesPerSecond, or r itself if that is 0.
func pace(r io.Reader, bytesPerSecond int) io.Reader {
	if bytesPerSecond == 0 {
		return r
	}
	return &pacedReader{r: r, step: bytesPerSecond / int(time.Second/paceStep)}
}

type pacedReader struct {
	r    io.Reader
	step int // bytes
	left int // bytes of this step
}

// Read implements io.Reader.
func (p *pacedReader) Read(b []byte) (int, error) {
	if p.left <= 0 {
		time.Sleep(paceStep)
		p.left = p.step
	}
	n, err := p.r.Read(b[:min(len(b), p.left)])
	p.left -= n
	return n, err
}
