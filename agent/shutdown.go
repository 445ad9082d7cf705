package agent

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	admissionduty "github.com/oleanderworks/oleanderworks/agent/admission"
	membershipduty "github.com/oleanderworks/oleanderworks/agent/membership"
	"github.com/oleanderworks/oleanderworks/agent/quorum"
	"github.com/oleanderworks/oleanderworks/core/budget"
	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/core/fault"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/drain"
)

const (
	// closeTimeout bounds the closing of the callers' connections. The node always
	// waits this long, so that the last answers on links reach the peers.
	closeTimeout = 100 * time.Millisecond
	// shutdownMargin is the time that a shutdown may take beyond the setting
	// drain_time, which bounds the announcement and the draining together.
	shutdownMargin = 2 * time.Second
)

// shutdownState is the state that the shutdown shares with the goroutines that serve
// connections and with Stop.
type shutdownState struct {
	announced      atomic.Bool   // responses tell callers to close their connections
	refusingCalls  atomic.Bool   // new calls are refused
	callerRequests atomic.Int64  // requests from callers in progress, also counted before a shutdown
	done           chan struct{} // closed when the callers' connections are closed
}

// Stop shuts the node down gracefully and waits until its threads have ended.
// Without a drain time the node stops immediately.
func (n *Node) Stop() error {
	if n.settings.DrainTime > 0 && n.tomb.Alive() {
		n.log.Emit(event.ShutdownBegun, "instance", n.settings.Instance)
		n.membership.Ring().Offer(&membershipduty.BeginShutdown{})
		select {
		case <-n.shutdownState.done:
		case <-n.tomb.Dying():
		case <-time.After(n.settings.DrainTime + shutdownMargin):
		}
	}
	n.tomb.Kill(nil)
	err := n.tomb.Wait()
	n.log.Emit(event.NodeStopped, "instance", n.settings.Instance)
	return err
}

// runShutdownStep performs a step of the shutdown. It runs on the membership
// thread and does not block.
func (n *Node) runShutdownStep(a drain.Action) {
	switch a {
	case drain.Announce:
		n.shutdownState.announced.Store(true)
		n.linksHandler.SendGoodbye()
	case drain.RefuseNew:
		n.log.Emit(event.DrainBegun, "in_flight", n.inFlight())
		n.shutdownState.refusingCalls.Store(true)
		go n.drainDuties()
		// The server keeps running, since http.Server.Shutdown drops requests
		// that it has just read and gives no answer to them.
		n.callerListener.Stop()
	case drain.Close:
		n.log.Emit(event.DrainEnded, "in_flight", n.inFlight())
		go n.closeCallers()
	}
}

// drainDuties tells the admission and quorum duties that the node drains. It waits
// for room in their rings: without these messages new calls would still run, and the
// other members of its quorum groups could not get the node's leases until they
// expire.
func (n *Node) drainDuties() {
	ctx := n.tomb.Context(context.Background())
	_ = n.admission.Ring().Put(ctx, &admissionduty.BeginDrain{})
	_ = n.quorum.Ring().Put(ctx, &quorum.ReleaseLeases{})
}

// closeCallers closes the callers' connections. They are idle unless the drain time
// ended before the last request.
func (n *Node) closeCallers() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = n.callerServer.Shutdown(ctx)
	<-ctx.Done()
	close(n.shutdownState.done)
}

// inFlight returns the number of calls in progress with peers and callers. A
// caller's request that was forwarded to a peer counts twice.
func (n *Node) inFlight() int {
	return n.endpoint.CallsInProgress() + int(n.shutdownState.callerRequests.Load())
}

// serve answers a request. It refuses the request if the byte budget is used up, or
// if the node drains and the request does not come from the node's own target. A
// node that has announced its shutdown but does not drain yet still serves requests.
func (n *Node) serve(ctx context.Context, req *model.Request) *model.Answer {
	if n.shutdownState.refusingCalls.Load() && !req.FromTarget {
		return model.NewRefusal(req.ID, model.ReasonTargetLeaving, "the node is shutting down")
	}
	if !n.byteBudget.MayStartCall() {
		return model.NewRefusal(req.ID, model.ReasonNodeBusy, budget.ErrExceeded.Error())
	}
	return n.entry.Serve(ctx, req)
}

// trackCallerRequests wraps a handler to count the callers' requests in progress.
// Once the node has announced its shutdown, responses carry "Connection: close", so
// that callers connect to other nodes before the listener is closed.
func (n *Node) trackCallerRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.shutdownState.callerRequests.Add(1)
		defer n.shutdownState.callerRequests.Add(-1)
		if n.shutdownState.announced.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

func (n *Node) serveHTTP(l net.Listener, h http.Handler) *http.Server {
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	context.AfterFunc(n.tomb.Context(context.Background()), func() { server.Close() })
	n.tomb.Go(func() error {
		err := server.Serve(l)
		if err != http.ErrServerClosed && !errors.Is(err, net.ErrClosed) {
			return fault.Wrap("serve HTTP", l.Addr().String(), err)
		}
		return nil
	})
	return server
}
