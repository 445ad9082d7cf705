package event

import (
	"context"
	"io"
	"sync/atomic"

	"github.com/oleanderworks/oleanderworks/core/ring"
)

// maxQueuedLines limits the number of lines that wait for the output.
const maxQueuedLines = 1024

// AsyncWriter writes log lines in a separate goroutine, so that a slow or closed
// output does not delay requests. Lines are dropped and counted if the queue is full,
// the writer is closed or the output returns an error.
type AsyncWriter struct {
	lines   *ring.Ring[[]byte]
	dropped atomic.Int64
	done    chan struct{}
}

// NewAsyncWriter starts a writer to out. The caller must close it.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{lines: ring.New[[]byte]("log", maxQueuedLines), done: make(chan struct{})}
	go w.run(out)
	return w
}

// Write queues a copy of a line. It never blocks and never returns an error.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	if !w.lines.Offer(append([]byte(nil), line...)) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Close stops the writer. It waits until the queued lines are written or ctx ends.
func (w *AsyncWriter) Close(ctx context.Context) {
	w.lines.Close()
	select {
	case <-w.done:
	case <-ctx.Done():
	}
}

func (w *AsyncWriter) run(out io.Writer) {
	defer close(w.done)
	batch := make([][]byte, 64)
	var buffer []byte
	for {
		n, err := w.lines.Take(batch, nil, nil)
		if err != nil {
			return
		}
		buffer = buffer[:0]
		for _, line := range batch[:n] {
			buffer = append(buffer, line...)
		}
		if _, err := out.Write(buffer); err != nil {
			w.dropped.Add(int64(n)) // a failure of the log's output cannot be logged
		}
	}
}
