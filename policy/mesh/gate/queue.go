package gate

import (
	"slices"
	"time"
)

// urgencyStep is the difference of due times within which nested calls are equally urgent,
// so that their customers take turns. It is about the run time of a nested call; the order
// within so short a time hardly changes which calls end in time.
const urgencyStep = 100 * time.Millisecond

// queue holds the waiting calls by priority, of which 0 is the highest. Within a
// priority, nested calls go first, the most urgent before others. Otherwise customers take
// turns, so that a customer with many calls does not delay other customers' calls.
type queue struct {
	length int
	levels []*priorityLevel // highest priority, that is, lowest number first
}

type priorityLevel struct {
	priority int
	external rotation
	nested   urgencyQueue
}

func (q *queue) levelFor(priority int) *priorityLevel {
	i, found := slices.BinarySearchFunc(q.levels, priority, func(level *priorityLevel, p int) int { return level.priority - p })
	if !found {
		q.levels = slices.Insert(q.levels, i, &priorityLevel{priority: priority})
	}
	return q.levels[i]
}

func (q *queue) add(tc *trackedCall) {
	q.length++
	level := q.levelFor(tc.call.Priority)
	if tc.call.Nested {
		level.nested.add(tc)
	} else {
		level.external.add(tc)
	}
}

// remove removes a call from the queue and moves its customer to the end of the round
// robin, whether the call runs or was refused or canceled.
func (q *queue) remove(tc *trackedCall) {
	q.length--
	level := q.levelFor(tc.call.Priority)
	if tc.call.Nested {
		level.nested.remove(tc)
	} else {
		level.external.remove(tc)
	}
}

// next returns the call to run next, or nil if none may run, and leaves it in the
// queue. mayRun reports whether external calls of a priority may run now; nested calls
// always may.
func (q *queue) next(mayRun func(priority int) bool) *trackedCall {
	for _, level := range q.levels {
		if tc := level.nested.front(); tc != nil {
			return tc
		}
		if tc := level.external.front(); tc != nil && mayRun(level.priority) {
			return tc
		}
	}
	return nil
}

// nextExternal returns the external call of the highest priority that may run and satisfies
// the condition, or nil.
func (q *queue) nextExternal(mayRun func(priority int) bool, condition func(*trackedCall) bool) *trackedCall {
	for _, level := range q.levels {
		if tc := level.external.front(); tc != nil && condition(tc) && mayRun(level.priority) {
			return tc
		}
	}
	return nil
}

// countBeforeNested returns the number of waiting calls that go before a nested call.
func (q *queue) countBeforeNested(tc *trackedCall, mayRun func(priority int) bool) int {
	n := 0
	for _, level := range q.levels {
		switch {
		case level.priority == tc.call.Priority:
			return n + level.nested.countUntil(tc.urgency)
		case level.priority > tc.call.Priority:
			return n
		}
		n += level.nested.length
		if level.external.length > 0 && mayRun(level.priority) {
			n += level.external.length
		}
	}
	return n
}

// all returns the waiting calls in a new slice.
func (q *queue) all() []*trackedCall {
	waiting := make([]*trackedCall, 0, q.length)
	for _, level := range q.levels {
		for _, class := range level.nested.classes {
			waiting = class.appendAll(waiting)
		}
		waiting = level.external.appendAll(waiting)
	}
	return waiting
}

// urgencyOf returns the class of a nested call in the order of due times. A call is due at its
// deadline, or earlier by the fraction of its parent's calls that have ended: a late end
// wastes the more work, the more of them have. Due times are fixed, so that each call
// goes first at the latest when its deadline is next.
func (c *Core) urgencyOf(tc *trackedCall) int64 {
	if c.epoch.IsZero() {
		c.epoch = tc.arrived
	}
	left := float64(tc.call.Deadline.Sub(tc.arrived)) * (1 - min(max(tc.call.Progress, 0), 1))
	return int64((tc.arrived.Sub(c.epoch) + time.Duration(left)) / urgencyStep)
}

// urgencyQueue holds nested calls by urgency.
type urgencyQueue struct {
	length  int
	classes []*urgencyClass // most urgent first, none empty
}

type urgencyClass struct {
	urgency int64
	rotation
}

func (q *urgencyQueue) find(urgency int64) (int, bool) {
	return slices.BinarySearchFunc(q.classes, urgency, func(class *urgencyClass, u int64) int { return int(class.urgency - u) })
}

func (q *urgencyQueue) add(tc *trackedCall) {
	i, found := q.find(tc.urgency)
	if !found {
		q.classes = slices.Insert(q.classes, i, &urgencyClass{urgency: tc.urgency})
	}
	q.classes[i].add(tc)
	q.length++
}

func (q *urgencyQueue) remove(tc *trackedCall) {
	i, _ := q.find(tc.urgency)
	q.classes[i].remove(tc)
	if q.classes[i].length == 0 {
		q.classes = slices.Delete(q.classes, i, i+1)
	}
	q.length--
}

func (q *urgencyQueue) front() *trackedCall {
	if len(q.classes) == 0 {
		return nil
	}
	return q.classes[0].front()
}

// countUntil returns the number of calls that are at least as urgent.
func (q *urgencyQueue) countUntil(urgency int64) int {
	n := 0
	for _, class := range q.classes {
		if class.urgency > urgency {
			break
		}
		n += class.length
	}
	return n
}
