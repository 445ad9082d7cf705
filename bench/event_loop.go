// Package bench measures the admission and routing policies in a simulation with
// virtual time and compares them with baselines. The service time of the simulated
// targets grows when more calls are in flight than their capacity allows. The simulation uses no
// network and never sleeps.
package bench

import (
	"container/heap"
	"time"
)

// startTime is the wall time at virtual time zero.
var startTime = time.Unix(1_700_000_000, 0)

// loop runs events in the order of their virtual time.
type loop struct {
	now     time.Duration
	events  eventHeap
	lastSeq uint64
}

type timer struct {
	at   time.Duration
	seq  uint64 // orders events at the same time
	call func()
}

// clock returns the virtual time in the type that the policies use.
func (l *loop) clock() time.Time { return startTime.Add(l.now) }

// after schedules f to run when d has passed.
func (l *loop) after(d time.Duration, f func()) {
	l.lastSeq++
	heap.Push(&l.events, timer{at: l.now + max(d, 0), seq: l.lastSeq, call: f})
}

// run handles the events before virtual time end.
func (l *loop) run(end time.Duration) {
	for len(l.events) > 0 && l.events[0].at < end {
		e := heap.Pop(&l.events).(timer)
		l.now = e.at
		e.call()
	}
	l.now = end
}

type eventHeap []timer

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return e
}
