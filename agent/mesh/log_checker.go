package mesh

import (
	"context"
	"runtime"
	"time"

	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/core/ring"
	"github.com/oleanderworks/oleanderworks/logservice/keyed"
	"github.com/oleanderworks/oleanderworks/model"
)

// checkRingCapacity bounds the checks that wait: one, while another is in progress.
const checkRingCapacity = 1

// checkRequest asks whether the log has operator's documents from a position on.
type checkRequest struct {
	from    model.LogPosition
	timeout time.Duration
}

// logChecker checks the end of the stream of the operator's documents on its own thread
// and passes the results to the peers duty.
type logChecker struct {
	node     *Node
	requests *ring.Ring[checkRequest]
}

func newLogChecker(n *Node) *logChecker {
	return &logChecker{node: n, requests: ring.New[checkRequest]("log checks", checkRingCapacity)}
}

// run serves requests until ctx ends.
func (c *logChecker) run(ctx context.Context) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	batch := make([]checkRequest, checkRingCapacity)
	for ctx.Err() == nil {
		n, err := c.requests.Take(batch, nil, ctx.Done())
		if err != nil {
			return
		}
		for _, request := range batch[:n] {
			_ = c.node.peers.Ring().Put(ctx, c.check(ctx, request)) // fails only when the node stops
		}
	}
}

// check reads without waiting for records. The time at which it was sent counts as the
// time of its answer, since the answer may be late.
func (c *logChecker) check(ctx context.Context, request checkRequest) logChecked {
	ctx, cancel := context.WithTimeout(ctx, request.timeout)
	defer cancel()
	c.node.metrics.logChecks.Add(1)
	sentAt := time.Now()
	records, end, err := c.node.store.Read(ctx, keyed.StreamOperator, request.from, 0)
	if err != nil {
		c.node.log.Emit(event.MeshLogCheckFailed, "era", request.from.Era, "offset", request.from.Offset, "documents_age", c.node.documentsAge(),
			"waited", time.Since(sentAt), "error", err)
	}
	return logChecked{answer: logAnswer{records: records, end: end, answeredAt: sentAt}, err: err}
}
