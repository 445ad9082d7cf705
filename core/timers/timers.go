// Package timers provides a queue of items ordered by due time, so that a duty
// need not scan all of its items to find those that are due.
package timers

import (
	"cmp"
	"container/heap"
	"time"
)

// Earlier returns the earlier of two due times. The zero time means that there is no
// due time; it counts as later than any other.
func Earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// Queue holds at most one due time for each item. Items with equal due times are
// returned in the order of their calls of Set. The zero value is not usable; use New.
type Queue[T comparable] struct {
	entries  entries[T]
	index    map[T]*entry[T]
	sequence uint64
}

type entry[T comparable] struct {
	item      T
	due       time.Time
	sequence  uint64
	heapIndex int
}

// New returns an empty queue.
func New[T comparable]() *Queue[T] { return &Queue[T]{index: make(map[T]*entry[T])} }

// Set sets or replaces the due time of an item.
func (q *Queue[T]) Set(item T, due time.Time) {
	q.sequence++
	if e := q.index[item]; e != nil {
		e.due, e.sequence = due, q.sequence
		heap.Fix(&q.entries, e.heapIndex)
		return
	}
	e := &entry[T]{item: item, due: due, sequence: q.sequence}
	q.index[item] = e
	heap.Push(&q.entries, e)
}

// Remove removes an item from the queue, if present.
func (q *Queue[T]) Remove(item T) {
	if e := q.index[item]; e != nil {
		heap.Remove(&q.entries, e.heapIndex)
		delete(q.index, item)
	}
}

// PopDue removes and returns the item with the earliest due time, if that time
// is not after now.
func (q *Queue[T]) PopDue(now time.Time) (T, bool) {
	if len(q.entries) == 0 || q.entries[0].due.After(now) {
		var zero T
		return zero, false
	}
	e := heap.Pop(&q.entries).(*entry[T])
	delete(q.index, e.item)
	return e.item, true
}

// NextDue returns the earliest due time, or the zero time if the queue is empty.
func (q *Queue[T]) NextDue() time.Time {
	if len(q.entries) == 0 {
		return time.Time{}
	}
	return q.entries[0].due
}

// Len returns the number of items.
func (q *Queue[T]) Len() int { return len(q.entries) }

// entries implements heap.Interface.
type entries[T comparable] []*entry[T]

func (h entries[T]) Len() int { return len(h) }

func (h entries[T]) Less(i, j int) bool {
	return cmp.Or(h[i].due.Compare(h[j].due), cmp.Compare(h[i].sequence, h[j].sequence)) < 0
}

func (h entries[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *entries[T]) Push(x any) {
	e := x.(*entry[T])
	e.heapIndex = len(*h)
	*h = append(*h, e)
}

func (h *entries[T]) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
