package mesh

import (
	"context"
	"math/rand/v2"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/logservice/keyed"
)

const (
	// readWait is how long a read of the log waits for records. It is long
	// because the log service charges for each read. TCP keep-alives detect
	// dead connections during the wait; policy/freshness bounds the time for which
	// a lost read goes unnoticed.
	readWait = 25 * time.Second
	// operatorReadPause and nodesReadPause are the pauses after a read that
	// returned records. Each new record ends the pending reads of all nodes, and
	// each read is charged; after a pause one read returns several records.
	// Documents must be in force within two seconds. The nodes' records may take
	// longer, since a node that starts dials the nodes that it finds in the log.
	operatorReadPause = 400 * time.Millisecond
	nodesReadPause    = 2 * time.Second
	// initialBackoff and maxBackoff bound the exponential backoff after a failed
	// call of the log service, which prevents a retry storm during an outage.
	// With jitter, the actual pause is 0.5 to 1.5 times the backoff.
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = time.Second
)

// logAnswer is the log's answer to a read of one stream.
type logAnswer struct {
	records    []keyed.Record
	end        int64
	complete   bool // records holds the newest record of each key
	answeredAt time.Time
}

// logReader reads one stream of the log on its own thread and delivers the answers.
type logReader struct {
	node      *Node
	stream    string
	readPause time.Duration // after a read that returned records
	// knownEnd returns the offset up to which the node has the stream from another
	// source.
	knownEnd func() int64
	deliver  func(ctx context.Context, a logAnswer)

	nextOffset  int64
	synced      bool // the newest record of each key has been delivered
	calledAt    time.Time
	cancelRead  atomic.Pointer[context.CancelFunc] // of the read in progress
	unavailable bool
	backoff     time.Duration
}

// errReadRestarted reports that restart has ended a read.
var errReadRestarted = errors.New("the read was restarted")

// run reads the stream until ctx ends.
func (r *logReader) run(ctx context.Context) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	r.backoff = initialBackoff
	for ctx.Err() == nil {
		err := r.step(ctx)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errReadRestarted) {
			continue
		}
		if errors.Is(err, keyed.ErrExpired) {
			r.synced = false
			continue
		}
		r.logAvailability(err)
		if err != nil {
			r.sleepBackoff(ctx)
			continue
		}
		r.backoff = initialBackoff
	}
}

func (r *logReader) step(ctx context.Context) error {
	r.calledAt = time.Now()
	if !r.synced {
		records, end, err := r.node.store.Newest(ctx, r.stream)
		if err != nil {
			return err
		}
		r.nextOffset, r.synced = end, true
		r.deliver(ctx, logAnswer{records: records, end: end, complete: true, answeredAt: time.Now()})
		return nil
	}
	records, err := r.read(ctx)
	if err != nil {
		return err
	}
	r.deliver(ctx, logAnswer{records: records, end: r.nextOffset, answeredAt: time.Now()})
	if len(records) > 0 {
		sleep(ctx, r.readPause)
	}
	return nil
}

// read waits for records from the next offset on. It returns errReadRestarted if restart
// ends it.
func (r *logReader) read(ctx context.Context) ([]keyed.Record, error) {
	readCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.cancelRead.Store(&cancel)
	r.nextOffset = max(r.nextOffset, r.knownEnd())
	records, end, err := r.node.store.Read(readCtx, r.stream, r.nextOffset, readWait)
	if err != nil && readCtx.Err() != nil {
		return nil, errReadRestarted
	}
	if err == nil {
		r.nextOffset = end
	}
	return records, err
}

// restart sends the read in progress again, from the end of the records that the node
// has. It is safe for concurrent use.
func (r *logReader) restart() {
	if cancel := r.cancelRead.Load(); cancel != nil {
		(*cancel)()
	}
}

// logAvailability logs when the stream becomes unavailable and when it is available
// again.
func (r *logReader) logAvailability(err error) {
	switch {
	case err != nil && !r.unavailable:
		r.unavailable = true
		r.node.log.Emit(event.MeshLogLost, "stream", r.stream, "offset", r.nextOffset, "waited", time.Since(r.calledAt), "error", err)
	case err == nil && r.unavailable:
		r.unavailable = false
		r.node.log.Emit(event.MeshLogRegained, "stream", r.stream, "offset", r.nextOffset)
	}
}

func (r *logReader) sleepBackoff(ctx context.Context) {
	jitter := time.Duration(rand.Float64() * float64(r.backoff))
	sleep(ctx, r.backoff/2+jitter)
	r.backoff = min(2*r.backoff, maxBackoff)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// publishAddress appends the node's address to the stream of nodes. An append
// whose answer was lost can be repeated safely, since a second record with the
// same key replaces the first.
func (n *Node) publishAddress(ctx context.Context) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	backoff := initialBackoff
	value := []byte(`{"zone":"` + string(n.settings.Zone) + `"}`)
	for ctx.Err() == nil {
		err := n.store.Append(ctx, keyed.StreamNodes, string(n.settings.Instance), value)
		if err == nil {
			n.log.Emit(event.MeshAnnounced, "address", n.settings.Instance)
			return
		}
		n.log.Emit(event.MeshAnnounceFailed, "error", err)
		sleep(ctx, backoff/2+time.Duration(rand.Float64()*float64(backoff)))
		backoff = min(2*backoff, maxBackoff)
	}
}
