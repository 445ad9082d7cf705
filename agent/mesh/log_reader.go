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
	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// readWait is how long a read of the log waits for records. It is long
	// because the log service charges for each read. TCP keep-alives detect
	// dead connections during the wait; policy/mesh/freshness bounds the time for which
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
	end        model.LogPosition
	complete   bool // records holds the newest record of each key
	answeredAt time.Time
}

// logReader reads one stream of the log on its own thread and delivers the answers.
type logReader struct {
	node      *Node
	stream    string
	readPause time.Duration // after a read that returned records
	// knownEnd returns the position up to which the node has the stream from another
	// source.
	knownEnd func() model.LogPosition
	deliver  func(ctx context.Context, a logAnswer)

	next        model.LogPosition
	synced      bool // the newest record of each key has been delivered
	reloaded    bool // no read has been answered since the newest records were loaded again
	calledAt    time.Time
	cancelRead  atomic.Pointer[context.CancelFunc] // of the read in progress
	inDoubt     atomic.Bool                        // the log may have been restored since it answered last
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
		if err != nil {
			r.inDoubt.Store(true)
		}
		if errors.Is(err, errReadRestarted) {
			continue
		}
		if positionLost(err) {
			r.synced = false
			if !r.reloaded {
				r.reloaded = true
				continue
			}
		}
		r.logAvailability(err)
		if err != nil {
			r.sleepBackoff(ctx)
			continue
		}
		r.backoff = initialBackoff
	}
}

// positionLost reports whether the newest records must be loaded again.
func positionLost(err error) bool {
	return errors.Is(err, keyed.ErrExpired) || errors.Is(err, keyed.ErrOtherEra)
}

func (r *logReader) step(ctx context.Context) error {
	r.calledAt = time.Now()
	if !r.synced {
		r.inDoubt.Store(false)
		records, end, err := r.node.store.Newest(ctx, r.stream)
		if err != nil {
			return err
		}
		r.next, r.synced = end, true
		r.deliver(ctx, logAnswer{records: records, end: end, complete: true, answeredAt: time.Now()})
		return nil
	}
	records, err := r.read(ctx)
	if err != nil {
		return err
	}
	r.reloaded = false
	r.deliver(ctx, logAnswer{records: records, end: r.next, answeredAt: time.Now()})
	if len(records) > 0 {
		sleep(ctx, r.readPause)
	}
	return nil
}

// read waits for records from the next position on. It returns errReadRestarted if restart
// ends it. It does not wait if the log may have been restored, since it would wait for a
// record at an offset that the log gives out again.
func (r *logReader) read(ctx context.Context) ([]keyed.Record, error) {
	readCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.cancelRead.Store(&cancel)
	if known := r.knownEnd(); r.next.Before(known) {
		r.next = known
	}
	wait := readWait
	if r.inDoubt.Swap(false) {
		wait = 0
	}
	records, end, err := r.node.store.Read(readCtx, r.stream, r.next, wait)
	if err != nil && readCtx.Err() != nil {
		return nil, errReadRestarted
	}
	if err == nil {
		r.next = end
	}
	return records, err
}

// restart sends the read in progress again, from the end of the records that the node
// has. It is safe for concurrent use.
func (r *logReader) restart() {
	r.inDoubt.Store(true)
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
		r.node.log.Emit(event.MeshLogLost, "stream", r.stream, "era", r.next.Era, "offset", r.next.Offset, "waited", time.Since(r.calledAt), "error", err)
	case err == nil && r.unavailable:
		r.unavailable = false
		r.node.log.Emit(event.MeshLogRegained, "stream", r.stream, "era", r.next.Era, "offset", r.next.Offset)
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
