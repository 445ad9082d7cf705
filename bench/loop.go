// Package bench measures the policies of admission and routing in virtual
// time, against targets whose service time grows beyond their slots, beside
// baselines. It has no network and never sleeps.
package bench

import (
	"container/heap"
	"time"
)

// epoch is the wall time of virtual time zero.
var startTime = time.Unix(1_700_000_000, 0)

// loop runs events in the order of their virtual time.
type loop struct {
	now       time.Duration
	events    eventHeap
	scheduled uint64
}

type timer struct {
	at   time.Duration
	seq  uint64 // order of events at the same time
	call func()
}

// clock returns the virtual time as the policies take it.
func (l *loop) clock() time.Time { return startTime.Add(l.now) }

// after runs f when d has passed.
func (l *loop) after(d time.Duration, f func()) {
	l.scheduled++
	heap.Push(&l.events, timer{at: l.now + max(d, 0), seq: l.scheduled, call: f})
}

// run handles events until virtual time end.
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
