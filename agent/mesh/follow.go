package mesh

import (
	"context"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/logservice/keyed"
)

const (
	// readWait is how long a read of the log waits for records. It is long
	// because the log service charges for each read; TCP keep-alive detects
	// dead connections meanwhile.
	readWait = 25 * time.Second
	// operatorReadPause and nodesReadPause are the pauses after a read that
	// found records. Each new record ends the reads of all nodes, and each read
	// is charged; with a pause one read returns several records. Documents must
	// be in force within two seconds. The nodes' records may take longer, since
	// a node that starts opens links to the known ones by itself.
	operatorReadPause = 400 * time.Millisecond
	nodesReadPause    = 2 * time.Second
	// firstRetryPause and maxRetryPause bound the mean pause after a failed call
	// of the log service, so that an outage does not cause a retry storm. The
	// actual pause is 0.5 to 1.5 times as long.
	firstRetryPause = 200 * time.Millisecond
	maxRetryPause   = time.Second
)

// follower reads one stream of the log on its own thread and delivers the
// records.
type follower struct {
	node      *Node
	stream    string
	readPause time.Duration // after a read that found records
	deliver   func(records []keyed.Record, end int64, complete bool)

	nextOffset  int64
	synced      bool // the newest record of each key has been read
	unavailable bool
	retryPause  time.Duration
}

// run follows the stream until ctx ends.
func (f *follower) run(ctx context.Context) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	f.retryPause = firstRetryPause
	for ctx.Err() == nil {
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, keyed.ErrExpired) {
			f.synced = false
			continue
		}
		f.logAvailability(err)
		if err != nil {
			f.backOff(ctx)
			continue
		}
		f.retryPause = firstRetryPause
	}
}

func (f *follower) step(ctx context.Context) error {
	if !f.synced {
		records, end, err := f.node.store.Newest(ctx, f.stream)
		if err != nil {
			return err
		}
		f.nextOffset, f.synced = end, true
		f.deliver(records, end, true)
		return nil
	}
	records, end, err := f.node.store.Read(ctx, f.stream, f.nextOffset, readWait)
	if err != nil {
		return err
	}
	f.nextOffset = end
	if len(records) > 0 {
		f.deliver(records, end, false)
		sleep(ctx, f.readPause)
	}
	return nil
}

// logAvailability logs that the stream became unavailable or available again.
func (f *follower) logAvailability(err error) {
	switch {
	case err != nil && !f.unavailable:
		f.unavailable = true
		f.node.log.Emit(event.MeshLogLost, "stream", f.stream, "error", err)
	case err == nil && f.unavailable:
		f.unavailable = false
		f.node.log.Emit(event.MeshLogRegained, "stream", f.stream, "offset", f.nextOffset)
	}
}

func (f *follower) backOff(ctx context.Context) {
	spread := time.Duration(rand.Float64() * float64(f.retryPause))
	sleep(ctx, f.retryPause/2+spread)
	f.retryPause = min(2*f.retryPause, maxRetryPause)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// announceSelf appends the node's address to the stream of nodes. An append
// whose answer was lost can be repeated safely, since a second record with the
// same key replaces the first.
func (n *Node) announceSelf(ctx context.Context) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	pause := firstRetryPause
	value := []byte(`{"zone":"` + string(n.settings.Zone) + `"}`)
	for ctx.Err() == nil {
		err := n.store.Append(ctx, keyed.StreamNodes, string(n.settings.Instance), value)
		if err == nil {
			n.log.Emit(event.MeshAnnounced, "address", n.settings.Instance)
			return
		}
		n.log.Emit(event.MeshAnnounceFailed, "error", err)
		sleep(ctx, pause/2+time.Duration(rand.Float64()*float64(pause)))
		pause = min(2*pause, maxRetryPause)
	}
}
