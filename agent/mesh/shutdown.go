package mesh

import (
	"context"
	"time"

	"github.com/oleanderworks/oleanderworks/core/event"
)

const (
	// serveTime is how long the node serves as before. Callers are told by two
	// readiness checks, one second apart, that it leaves; the target takes calls
	// meanwhile, since it runs on and the others would have to bear its part.
	serveTime = 2300 * time.Millisecond
	// answerMargin is how long before the end of the grace period the requests
	// that are still in progress are answered: a connection that closes without
	// an answer tells its caller less.
	answerMargin = 800 * time.Millisecond
	// answerTime bounds the writing of these answers.
	answerTime = 300 * time.Millisecond
	// idleCheck is how often the node looks whether its last requests have
	// ended.
	idleCheck = 20 * time.Millisecond
)

// Stop shuts the node down without cutting requests: it says that it is not
// ready, lets callers and peers go elsewhere, and ends when its requests have
// ended or the grace period is over.
func (n *Node) Stop() error {
	began := time.Now()
	n.leaving.Store(true)
	n.log.Emit(event.MeshStopping, "requests", n.serving.Load())
	time.Sleep(serveTime)
	n.closing.Store(true)
	_ = n.gate.Ring().Put(context.Background(), stopping{})
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(n.settings.GracePeriod-answerMargin))
	defer cancel()
	n.waitIdle(ctx)
	_ = n.entry.Ring().Put(context.Background(), giveUp{})
	ctx, cancel = context.WithTimeout(context.Background(), answerTime)
	defer cancel()
	for _, s := range n.servers {
		_ = s.Shutdown(ctx) // ends after answerTime at the latest
	}
	err := n.Close()
	n.log.Emit(event.MeshStopped, "took", time.Since(began), "requests", n.serving.Load())
	return err
}

// Close ends the node at once.
func (n *Node) Close() error {
	for _, s := range n.servers {
		s.Close()
	}
	n.cancel()
	n.listener.Close()
	n.peers.Ring().Offer(ended{})
	n.tomb.Kill(nil)
	return n.tomb.Wait()
}

// waitIdle waits until no request of a caller and no call at the target is in
// progress.
func (n *Node) waitIdle(ctx context.Context) {
	for ctx.Err() == nil && (n.serving.Load() > 0 || !n.idle.Load()) {
		sleep(ctx, idleCheck)
	}
}
