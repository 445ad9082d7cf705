package caller

import (
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// quietAccept is how long no connection may wait before a stopped
	// listener closes.
	acceptIdleTime = 50 * time.Millisecond
	// maxAccept bounds the time to the close when callers keep connecting.
	maxAcceptTime = 2 * time.Second
)

// Listener accepts callers. Stop closes it when no connection waits: closing
// a listener resets those that wait to be accepted, with the requests that
// their callers have sent.
type Listener struct {
	*net.TCPListener
	closeBy atomic.Pointer[time.Time] // latest time of the close; nil before Stop
}

// NewListener wraps a TCP listener.
func NewListener(l net.Listener) (*Listener, error) {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return nil, errors.Errorf("listener %s is not TCP", l.Addr())
	}
	return &Listener{TCPListener: tcp}, nil
}

// Stop closes the listener once no connection has waited for a moment. Until
// then connections are accepted, and their requests get their refusal.
func (l *Listener) Stop() {
	closeBy := time.Now().Add(maxAcceptTime)
	l.closeBy.Store(&closeBy)
	_ = l.SetDeadline(time.Now().Add(acceptIdleTime))
}

// Accept implements net.Listener. It returns net.ErrClosed after Stop.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		closeBy := l.closeBy.Load()
		if closeBy != nil {
			_ = l.SetDeadline(earlier(time.Now().Add(acceptIdleTime), *closeBy))
		}
		conn, err := l.TCPListener.Accept()
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
		// A deadline that Stop set while this attempt waited starts the wait.
		if closeBy != nil {
			l.Close()
			return nil, net.ErrClosed
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
