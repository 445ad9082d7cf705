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
	// lingerTime lets the last answers reach their peers before the
	// connections are closed.
	closeDelay = 100 * time.Millisecond
	// stopMargin is what a shutdown may take beyond the drain time.
	stopMargin = 2 * time.Second
)

// leaving is the part of a shutdown that connections' goroutines look at.
type shutdownState struct {
	announced      atomic.Bool  // answers close their connections
	refusingCalls  atomic.Bool  // new calls are refused
	callerRequests atomic.Int64 // callers' requests in progress
	done           chan struct{}
}

// Stop ends the node gracefully and waits until its threads have ended.
// Without a drain time it ends at once.
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

// shutdown carries out a step of the shutdown. It runs on the membership
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
		// The server itself goes on: http.Server.Shutdown drops requests that
		// it has just read, without an answer.
		n.callerListener.Stop()
	case drain.Close:
		n.log.Emit(event.DrainEnded, "in_flight", n.inFlight())
		go n.closeCallers()
	}
}

// leaveDuties tells the duties that the node leaves. It waits for room in
// their rings: a lost message would let new calls run, or keep a lease from
// the other members until it lapses.
func (n *Node) drainDuties() {
	ctx := n.tomb.Context(context.Background())
	_ = n.admission.Ring().Put(ctx, &admissionduty.BeginDrain{})
	_ = n.quorum.Ring().Put(ctx, &quorum.ReleaseLeases{})
}

// closeCallers ends the callers' connections, which are idle by now, unless
// the drain time is over.
func (n *Node) closeCallers() {
	ctx, cancel := context.WithTimeout(context.Background(), closeDelay)
	defer cancel()
	_ = n.callerServer.Shutdown(ctx)
	<-ctx.Done()
	close(n.shutdownState.done)
}

// inFlight counts the calls in progress with peers and callers.
func (n *Node) inFlight() int {
	return n.endpoint.CallsInProgress() + int(n.shutdownState.callerRequests.Load())
}

// serve answers a request unless the node is leaving or holds too many bytes.
func (n *Node) serve(ctx context.Context, req *model.Request) *model.Answer {
	if n.shutdownState.refusingCalls.Load() && !req.FromTarget {
		return model.NewRefusal(req.ID, model.ReasonTargetLeaving, "the node is shutting down")
	}
	if !n.heldBytes.HasRoom() {
		return model.NewRefusal(req.ID, model.ReasonNodeBusy, budget.ErrExceeded.Error())
	}
	return n.entry.Serve(ctx, req)
}

// closing counts callers' requests. Once the node is leaving, it makes answers
// close their connections, so that callers go elsewhere before the listener
// is closed.
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
