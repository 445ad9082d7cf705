package mesh

import (
	"context"
	"time"

	"github.com/oleanderworks/oleanderworks/core/event"
)

const (
	// notReadyPeriod is how long the node still serves normally after it has
	// started to report that it is not ready. Callers detect the shutdown by two
	// readiness checks, one second apart. The target still accepts calls in this
	// period; otherwise the other targets would have to take over its load.
	notReadyPeriod = 2300 * time.Millisecond
	// answerMargin is how long before the end of the grace period the requests
	// that are still in progress are answered with a failure. A failure tells the
	// caller more than a connection that is closed without an answer.
	answerMargin = 800 * time.Millisecond
	// writeTimeAtEnd is how much longer callers may read these failures and the answers that
	// they read slowly.
	writeTimeAtEnd = 250 * time.Millisecond
	// closeTimeout bounds the wait for connections that are in use without a request in
	// progress, such as one whose caller stopped in the middle of a request.
	closeTimeout = 200 * time.Millisecond
	// idleCheckInterval is the time between checks whether all requests have ended.
	idleCheckInterval = 20 * time.Millisecond
)

// Stop shuts the node down gracefully. The node first reports that it is not ready
// and waits notReadyPeriod for callers to switch to other nodes. From the start it sends a
// request only if that can be expected to end before the grace period does. It then refuses new
// calls to its target and new requests of callers, except nested ones, and stops when
// all requests and calls have ended, with their answers written, or the grace period is
// almost over. Requests that are still in progress then are answered with a failure.
func (n *Node) Stop() error {
	began := time.Now()
	n.leaving.Store(true)
	n.log.Emit(event.MeshStopping, "requests", n.serving.Load())
	endsAt := began.Add(n.settings.GracePeriod - answerMargin)
	_ = n.entry.Ring().Put(context.Background(), nodeStopping{endsAt: endsAt})
	time.Sleep(notReadyPeriod)
	n.closing.Store(true)
	_ = n.gate.Ring().Put(context.Background(), refuseCalls{})
	ctx, cancel := context.WithDeadline(context.Background(), endsAt)
	defer cancel()
	n.waitIdle(ctx)
	_ = n.entry.Ring().Put(context.Background(), failRequests{})
	ctx, cancel = context.WithTimeout(context.Background(), writeTimeAtEnd)
	defer cancel()
	n.waitWritten(ctx)
	ctx, cancel = context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, s := range n.servers {
		_ = s.Shutdown(ctx) // returns after closeTimeout at the latest
	}
	err := n.Close()
	n.log.Emit(event.MeshStopped, "took", time.Since(began), "requests", n.serving.Load())
	return err
}

// Close stops the node immediately.
func (n *Node) Close() error {
	for _, s := range n.servers {
		s.Close()
	}
	n.cancel()
	n.listener.Close()
	n.peers.Ring().Offer(closeAllLinks{})
	n.tomb.Kill(nil)
	return n.tomb.Wait()
}

// waitWritten waits until the answers to all requests and calls are written.
func (n *Node) waitWritten(ctx context.Context) {
	for ctx.Err() == nil && n.serving.Load()+n.writing.Load() > 0 {
		sleep(ctx, idleCheckInterval)
	}
}

// waitIdle waits until no request of a caller and no call at the target is in
// progress, and the answers to all are written.
func (n *Node) waitIdle(ctx context.Context) {
	for ctx.Err() == nil && (n.serving.Load()+n.writing.Load() > 0 || !n.idle.Load()) {
		sleep(ctx, idleCheckInterval)
	}
}
