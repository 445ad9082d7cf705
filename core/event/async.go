package event

import (
	"context"
	"io"
	"sync/atomic"

	"github.com/oleanderworks/oleanderworks/core/ring"
)

// asyncLines bounds the lines that wait for a slow reader of the log.
const asyncLines = 1024

// AsyncWriter writes lines on a thread of its own, so that a reader that is
// slow or gone holds up no request. Lines beyond its bound are dropped and
// counted.
type AsyncWriter struct {
	lines   *ring.Ring[[]byte]
	dropped atomic.Int64
	done    chan struct{}
}

// NewAsyncWriter returns a writer to out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{lines: ring.New[[]byte]("log", asyncLines), done: make(chan struct{})}
	go w.run(out)
	return w
}

// Write queues a line. It never blocks and never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	if !w.lines.Offer(append([]byte(nil), line...)) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were not written.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes what is queued, until ctx ends.
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
			w.dropped.Add(int64(n)) // there is no other place to report it
		}
	}
}
