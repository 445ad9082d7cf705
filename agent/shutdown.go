package agent

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	membershipduty "github.com/oleanderworks/oleanderworks/agent/membership"
	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/core/fault"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/drain"
)

const (
	// lingerTime lets the last answers reach their peers before the
	// connections are closed.
	lingerTime = 100 * time.Millisecond
	// stopMargin is what a shutdown may take beyond the drain time.
	stopMargin = 2 * time.Second
)

// leaving is the part of a shutdown that connections' goroutines look at.
type leaving struct {
	announced atomic.Bool // answers close their connections
	refusing  atomic.Bool // new calls are refused
	callers   atomic.Bool // the callers' connections have ended
	done      chan struct{}
}

// Stop ends the node gracefully and waits until its threads have ended.
// Without a drain time it ends at once.
func (n *Node) Stop() error {
	if n.settings.DrainTime > 0 && n.tomb.Alive() {
		n.log.Emit(event.ShutdownBegun, "instance", n.settings.Instance)
		n.membership.Ring().Offer(&membershipduty.Stop{})
		select {
		case <-n.leaving.done:
		case <-n.tomb.Dying():
		case <-time.After(n.settings.DrainTime + stopMargin):
		}
	}
	n.tomb.Kill(nil)
	err := n.tomb.Wait()
	n.log.Emit(event.NodeStopped, "instance", n.settings.Instance)
	return err
}

// shutdown carries out a step of the shutdown. It runs on the membership
// thread and does not block.
func (n *Node) shutdown(a drain.Action) {
	switch a {
	case drain.Announce:
		n.leaving.announced.Store(true)
		n.sessions.Goodbye()
	case drain.RefuseNew:
		n.log.Emit(event.DrainBegun, "in_flight", n.inFlight())
		n.leaving.refusing.Store(true)
		n.local.Leaving.Store(true)
		go n.closeCallers()
	case drain.Close:
		n.log.Emit(event.DrainEnded, "in_flight", n.inFlight())
		time.AfterFunc(lingerTime, func() { close(n.leaving.done) })
	}
}

// closeCallers stops accepting callers and waits for their answers. The
// target's own listener stays open, since running calls may call on.
func (n *Node) closeCallers() {
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.DrainTime)
	defer cancel()
	if n.callers.Shutdown(ctx) == nil {
		n.leaving.callers.Store(true)
	}
}

// inFlight counts the calls in progress with peers, and one more while there
// are callers' connections with a request.
func (n *Node) inFlight() int {
	calls := n.endpoint.InProgress()
	if !n.leaving.callers.Load() {
		calls++
	}
	return calls
}

// serve answers a request unless the node is leaving.
func (n *Node) serve(ctx context.Context, req *model.Request) *model.Answer {
	if n.leaving.refusing.Load() && !req.FromTarget {
		return model.Refusal(req.ID, model.ReasonTargetLeaving, "the node is shutting down")
	}
	return n.entry.Serve(ctx, req)
}

// closing makes answers close their connections once the node is leaving, so
// that callers go elsewhere before the listener is closed.
func (n *Node) closing(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.leaving.announced.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

func (n *Node) serveHTTP(l net.Listener, h http.Handler) *http.Server {
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	context.AfterFunc(n.tomb.Context(context.Background()), func() { server.Close() })
	n.tomb.Go(func() error {
		if err := server.Serve(l); err != http.ErrServerClosed {
			return fault.At("serve HTTP", l.Addr().String(), err)
		}
		return nil
	})
	return server
}
