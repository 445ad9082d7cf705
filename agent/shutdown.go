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
	"github.com/oleanderworks/oleanderworks/policy/drain"
)

const (
	// closeDelay bounds the closing of the callers' connections, and gives the last
	// answers on links the time to reach the peers.
	closeDelay = 100 * time.Millisecond
	// stopMargin is the time that a shutdown may take beyond the setting drain_time,
	// which bounds the announcement and the draining together.
	stopMargin = 2 * time.Second
)

// shutdownState is the state that a shutdown shares with the goroutines of
// connections and with Stop.
type shutdownState struct {
	announced      atomic.Bool   // answers tell callers to close their connections
	refusingCalls  atomic.Bool   // new calls are refused
	callerRequests atomic.Int64  // requests from callers in progress, counted at all times
	done           chan struct{} // closed when the callers' connections are closed
}

// Stop shuts the node down gracefully and waits until its threads have ended.
// Without a drain time the node stops at once.
func (n *Node) Stop() error {
	if n.settings.DrainTime > 0 && n.tomb.Alive() {
		n.log.Emit(event.ShutdownBegun, "instance", n.settings.Instance)
		n.membership.Ring().Offer(&membershipduty.BeginShutdown{})
		select {
		case <-n.shutdownState.done:
		case <-n.tomb.Dying():
		case <-time.After(n.settings.DrainTime + stopMargin):
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
		n.sessions.SendGoodbye()
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

// drainDuties tells the admission and quorum duties that the node drains. It
// waits for room in their rings: a lost message would let new calls run, or keep
// a lease from the other members until it expires.
func (n *Node) drainDuties() {
	ctx := n.tomb.Context(context.Background())
	_ = n.admission.Ring().Put(ctx, &admissionduty.BeginDrain{})
	_ = n.quorum.Ring().Put(ctx, &quorum.ReleaseLeases{})
}

// closeCallers closes the callers' connections. They are idle by now, unless the
// drain time has run out.
func (n *Node) closeCallers() {
	ctx, cancel := context.WithTimeout(context.Background(), closeDelay)
	defer cancel()
	_ = n.callerServer.Shutdown(ctx)
	<-ctx.Done()
	close(n.shutdownState.done)
}

// inFlight returns the number of calls in progress with peers and callers. A
// caller's request that is sent on to a peer counts twice.
func (n *Node) inFlight() int {
	return n.endpoint.CallsInProgress() + int(n.shutdownState.callerRequests.Load())
}

// serve answers a request. A request is refused once the node drains, unless it
// comes from the node's own target, or if the node holds too many bytes. While the
// node only announces its shutdown, requests are still served.
func (n *Node) serve(ctx context.Context, req *model.Request) *model.Answer {
	if n.shutdownState.refusingCalls.Load() && !req.FromTarget {
		return model.NewRefusal(req.ID, model.ReasonTargetLeaving, "the node is shutting down")
	}
	if !n.heldBytes.MayStartCall() {
		return model.NewRefusal(req.ID, model.ReasonNodeBusy, budget.ErrExceeded.Error())
	}
	return n.entry.Serve(ctx, req)
}

// trackCallers counts the callers' requests in progress. Once the node has
// announced its shutdown, answers carry "Connection: close", so that callers
// connect to other nodes before the listener is closed.
func (n *Node) trackCallers(h http.Handler) http.Handler {
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
