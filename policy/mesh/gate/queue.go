package gate

import (
	"slices"

	"github.com/oleanderworks/oleanderworks/model"
)

// queue holds the waiting calls by priority, of which 0 is the highest. Within a
// priority, flows are served in round-robin order, so that a customer with many calls
// does not delay other customers' calls.
type queue struct {
	length int
	levels []*priorityLevel // highest priority, that is, lowest number first
}

type priorityLevel struct {
	priority int
	length   int
	rotation []*flowQueue // non-empty queues in round-robin order
	byFlow   map[flow]*flowQueue
}

// flow identifies the calls that share one queue in the round robin: the external
// calls of a customer, or the nested calls made on its behalf.
type flow struct {
	customer model.Customer
	nested   bool
}

type flowQueue struct {
	key   flow
	calls []*trackedCall
}

func flowOf(tc *trackedCall) flow { return flow{customer: tc.call.OnBehalfOf, nested: tc.call.Nested} }

func (q *queue) levelFor(priority int) *priorityLevel {
	i, found := slices.BinarySearchFunc(q.levels, priority, func(level *priorityLevel, p int) int { return level.priority - p })
	if !found {
		level := &priorityLevel{priority: priority, byFlow: make(map[flow]*flowQueue)}
		q.levels = slices.Insert(q.levels, i, level)
	}
	return q.levels[i]
}

func (q *queue) add(tc *trackedCall) {
	level := q.levelFor(tc.call.Priority)
	key := flowOf(tc)
	fq := level.byFlow[key]
	if fq == nil {
		fq = &flowQueue{key: key}
		level.byFlow[key] = fq
		level.rotation = append(level.rotation, fq)
	}
	fq.calls = append(fq.calls, tc)
	level.length++
	q.length++
}

// next returns the call to run next, or nil if none may run, and leaves it in the
// queue. mayRun reports whether external calls of a priority may run now; nested calls
// always may.
func (q *queue) next(mayRun func(priority int) bool) *trackedCall {
	for _, level := range q.levels {
		if level.length == 0 {
			continue
		}
		external := mayRun(level.priority)
		for _, fq := range level.rotation {
			if external || fq.key.nested {
				return fq.calls[0]
			}
		}
	}
	return nil
}

// remove removes a call from the queue and moves its flow to the end of the round
// robin, whether the call runs or was refused or canceled.
func (q *queue) remove(tc *trackedCall) {
	level := q.levelFor(tc.call.Priority)
	fq := level.byFlow[flowOf(tc)]
	i := slices.Index(fq.calls, tc)
	fq.calls = slices.Delete(fq.calls, i, i+1)
	level.length--
	q.length--
	position := slices.Index(level.rotation, fq)
	level.rotation = slices.Delete(level.rotation, position, position+1)
	if len(fq.calls) == 0 {
		delete(level.byFlow, fq.key)
		return
	}
	level.rotation = append(level.rotation, fq)
}

// countAhead returns the number of waiting calls of the given or a higher priority.
func (q *queue) countAhead(priority int) int {
	n := 0
	for _, level := range q.levels {
		if level.priority <= priority {
			n += level.length
		}
	}
	return n
}

// all returns the waiting calls in a new slice.
func (q *queue) all() []*trackedCall {
	waiting := make([]*trackedCall, 0, q.length)
	for _, level := range q.levels {
		for _, fq := range level.rotation {
			waiting = append(waiting, fq.calls...)
		}
	}
	return waiting
}
