package mesh

import (
	"context"
	"runtime"

	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/core/ring"
	"github.com/oleanderworks/oleanderworks/logservice/keyed"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/mesh/rollout"
)

// rolloutLogCapacity bounds the tasks that wait: one for each order, of which few are in
// progress at once.
const rolloutLogCapacity = 32

var errRolloutLogBusy = errors.New("too many states of orders wait to be read or written")

// rolloutLog reads the states of orders from the log and writes them, on its own thread. The
// results go to the entry duty, which decides what follows.
type rolloutLog struct {
	node  *Node
	tasks *ring.Ring[rollout.Task]
}

func newRolloutLog(n *Node) *rolloutLog {
	return &rolloutLog{node: n, tasks: ring.New[rollout.Task]("rollout tasks", rolloutLogCapacity)}
}

// run performs tasks until ctx ends.
func (r *rolloutLog) run(ctx context.Context) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	batch := make([]rollout.Task, 1)
	for ctx.Err() == nil {
		if _, err := r.tasks.Take(batch, nil, ctx.Done()); err != nil {
			return
		}
		var result entryMessage
		if batch[0].Read {
			result = r.read(ctx, batch[0])
		} else {
			result = r.append(ctx, batch[0])
		}
		_ = r.node.entry.Ring().Put(ctx, result) // fails only when the node stops
	}
}

func (r *rolloutLog) read(ctx context.Context, t rollout.Task) entryMessage {
	records, end, err := r.node.store.Newest(ctx, keyed.StreamStatus)
	result := rolloutStatusRead{task: t, statuses: r.node.decoder.RolloutStatuses(records), end: end, err: err}
	var found model.RolloutStatus
	for _, s := range result.statuses {
		if s.Service == t.Order.Service {
			found = s
		}
	}
	r.node.log.Emit(event.MeshRolloutRecorded, "service", t.Order.Service, "action", "read", "version", found.Version, "state", found.State,
		"era", end.Era, "offset", end.Offset, "error", err)
	return result
}

// append appends a state on condition that the stream ends where it was read. If the log has
// been restored meanwhile, the condition was met by chance, and the stream is read again.
func (r *rolloutLog) append(ctx context.Context, t rollout.Task) entryMessage {
	key, value, err := r.node.decoder.EncodeRolloutStatus(t.Status)
	if err != nil {
		return rolloutStatusAppended{task: t, err: err}
	}
	era, err := r.node.store.AppendAt(ctx, keyed.StreamStatus, key, value, t.End)
	conflict := errors.Is(err, keyed.ErrConflict) || err == nil && era != t.End.Era
	r.node.log.Emit(event.MeshRolloutRecorded, "service", t.Order.Service, "action", "append", "version", t.Status.Version,
		"state", t.Status.State, "era", t.End.Era, "offset", t.End.Offset, "conflict", conflict, "error", err)
	if err == nil && !conflict {
		r.node.metrics.rolloutWrites.Add(1)
	}
	return rolloutStatusAppended{task: t, conflict: conflict, err: err}
}
