package caller

import (
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// stopIdleTime is how long a stopped listener must have had no connection to
	// accept before it closes.
	stopIdleTime = 50 * time.Millisecond
	// stopTimeout bounds the time until a stopped listener closes, even if
	// callers keep connecting.
	stopTimeout = 2 * time.Second
)

// Listener accepts connections from callers. Stop closes it once no connection
// waits to be accepted, because closing a listener resets the waiting
// connections, and the requests already sent on them are lost.
type Listener struct {
	*net.TCPListener
	closeBy atomic.Pointer[time.Time] // latest time at which the listener closes; nil before Stop
}

// NewListener wraps a TCP listener.
func NewListener(l net.Listener) (*Listener, error) {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return nil, errors.Errorf("listener %s is not TCP", l.Addr())
	}
	return &Listener{TCPListener: tcp}, nil
}

// Stop closes the listener once no connection has arrived for stopIdleTime.
// Until then connections are accepted, so that their requests receive a refusal.
func (l *Listener) Stop() {
	closeBy := time.Now().Add(stopTimeout)
	l.closeBy.Store(&closeBy)
	_ = l.SetDeadline(time.Now().Add(stopIdleTime))
}

// Accept implements net.Listener. After Stop it still accepts connections until
// the listener closes, and then returns net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		closeBy := l.closeBy.Load()
		if closeBy != nil {
			_ = l.SetDeadline(earlier(time.Now().Add(stopIdleTime), *closeBy))
		}
		conn, err := l.TCPListener.Accept()
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
		// If Stop set the deadline during this Accept, closeBy is nil here and
		// the next iteration starts the wait of stopIdleTime.
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
