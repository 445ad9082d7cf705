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
	// readWait is how long a read of the log waits for records. Reads are
	// priced, and TCP keep-alive finds connections that have gone silent.
	readWait = 25 * time.Second
	// operatorPause and nodesPause are the least times between two reads of a
	// stream that find records. Each record wakes every node, and reads are
	// priced; a pause lets one read bring several. Documents have two seconds to
	// be in force. Nodes that start open links to the known ones by themselves.
	operatorPause = 400 * time.Millisecond
	nodesPause    = 2 * time.Second
	// firstReadPause and maxReadPause bound the pause after a failed call of
	// the log. An outage must not be met by a storm of calls.
	firstReadPause = 200 * time.Millisecond
	maxReadPause   = time.Second
)

// follower reads one stream of the log on a thread of its own and passes on
// what it reads.
type follower struct {
	node    *Node
	stream  string
	spacing time.Duration // after a read that found records
	deliver func(records []keyed.Record, end int64, whole bool)

	from  int64
	whole bool // the newest records were read
	lost  bool
	pause time.Duration
}

// run follows the stream until ctx ends.
func (f *follower) run(ctx context.Context) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	f.pause = firstReadPause
	for ctx.Err() == nil {
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, keyed.ErrExpired) {
			f.whole = false
			continue
		}
		f.note(err)
		if err != nil {
			f.rest(ctx)
			continue
		}
		f.pause = firstReadPause
	}
}

func (f *follower) step(ctx context.Context) error {
	if !f.whole {
		records, end, err := f.node.store.Newest(ctx, f.stream)
		if err != nil {
			return err
		}
		f.from, f.whole = end, true
		f.deliver(records, end, true)
		return nil
	}
	records, end, err := f.node.store.Read(ctx, f.stream, f.from, readWait)
	if err != nil {
		return err
	}
	f.from = end
	if len(records) > 0 {
		f.deliver(records, end, false)
		sleep(ctx, f.spacing)
	}
	return nil
}

// note logs a lost or regained stream.
func (f *follower) note(err error) {
	switch {
	case err != nil && !f.lost:
		f.lost = true
		f.node.log.Emit(event.MeshLogLost, "stream", f.stream, "error", err)
	case err == nil && f.lost:
		f.lost = false
		f.node.log.Emit(event.MeshLogRegained, "stream", f.stream, "offset", f.from)
	}
}

func (f *follower) rest(ctx context.Context) {
	spread := time.Duration(rand.Float64() * float64(f.pause))
	sleep(ctx, f.pause/2+spread)
	f.pause = min(2*f.pause, maxReadPause)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// announceSelf writes the node's address to the stream of nodes. A lost answer
// is no harm: a second record with the same key replaces the first.
func (n *Node) announceSelf(ctx context.Context) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	pause := firstReadPause
	value := []byte(`{"zone":"` + string(n.settings.Zone) + `"}`)
	for ctx.Err() == nil {
		err := n.store.Append(ctx, keyed.StreamNodes, string(n.settings.Instance), value)
		if err == nil {
			n.log.Emit(event.MeshAnnounced, "address", n.settings.Instance)
			return
		}
		n.log.Emit(event.MeshAnnounceFailed, "error", err)
		sleep(ctx, pause/2+time.Duration(rand.Float64()*float64(pause)))
		pause = min(2*pause, maxReadPause)
	}
}
