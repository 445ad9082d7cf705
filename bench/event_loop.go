// Package bench measures the admission and routing policies in a discrete-event
// simulation and compares them with baselines. The service time of the simulated
// targets grows when more calls are in flight than their capacity allows. The
// simulation runs in virtual time: it uses no network and never sleeps.
package bench

import (
	"container/heap"
	"time"
)

// startTime is the wall time at virtual time zero.
var startTime = time.Unix(1_700_000_000, 0)

// eventLoop runs events in the order of their virtual time.
type eventLoop struct {
	now     time.Duration
	events  eventHeap
	lastSeq uint64
}

type scheduledEvent struct {
	at       time.Duration
	seq      uint64 // breaks ties between events at the same time
	callback func()
}

// wallTime returns the virtual time as a time.Time, as the policies need it.
func (l *eventLoop) wallTime() time.Time { return startTime.Add(l.now) }

// after schedules f to run after d of virtual time.
func (l *eventLoop) after(d time.Duration, f func()) {
	l.lastSeq++
	heap.Push(&l.events, scheduledEvent{at: l.now + max(d, 0), seq: l.lastSeq, callback: f})
}

// runUntil runs the events before the virtual time end and advances the time to it.
func (l *eventLoop) runUntil(end time.Duration) {
	for len(l.events) > 0 && l.events[0].at < end {
		e := heap.Pop(&l.events).(scheduledEvent)
		l.now = e.at
		e.callback()
	}
	l.now = end
}

type eventHeap []scheduledEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(scheduledEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = scheduledEvent{}
	*h = old[:len(old)-1]
	return e
}
