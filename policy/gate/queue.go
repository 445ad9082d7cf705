package gate

import (
	"slices"

	"github.com/oleanderworks/oleanderworks/model"
)

// queue holds the waiting calls by priority. Within a priority customers take
// turns, so that one that sends much delays only itself. What callers send and
// what targets send for a customer take turns as well.
type queue struct {
	length int
	ranks  []*rank // best priority first
}

type rank struct {
	priority int
	length   int
	turns    []*line // customers with waiting calls, in order of their turn
	lines    map[lineKey]*line
}

type lineKey struct {
	customer model.Customer
	inner    bool
}

type line struct {
	key   lineKey
	calls []*call
}

func keyOf(l *call) lineKey { return lineKey{customer: l.call.OnBehalfOf, inner: l.call.Nested} }

func (q *queue) rank(priority int) *rank {
	i, found := slices.BinarySearchFunc(q.ranks, priority, func(r *rank, p int) int { return r.priority - p })
	if !found {
		r := &rank{priority: priority, lines: make(map[lineKey]*line)}
		q.ranks = slices.Insert(q.ranks, i, r)
	}
	return q.ranks[i]
}

func (q *queue) add(l *call) {
	r := q.rank(l.call.Priority)
	key := keyOf(l)
	n := r.lines[key]
	if n == nil {
		n = &line{key: key}
		r.lines[key] = n
		r.turns = append(r.turns, n)
	}
	n.calls = append(n.calls, l)
	r.length++
	q.length++
}

// next returns the call whose turn it is, or nil. mayRun tells whether fresh
// calls of a priority may run now; calls that targets make always may. The
// customer's turn passes when the call leaves the queue.
func (q *queue) next(mayRun func(priority int) bool) *call {
	for _, r := range q.ranks {
		if r.length == 0 {
			continue
		}
		fresh := mayRun(r.priority)
		for _, n := range r.turns {
			if fresh || n.key.inner {
				return n.calls[0]
			}
		}
	}
	return nil
}

func (q *queue) remove(l *call) {
	r := q.rank(l.call.Priority)
	n := r.lines[keyOf(l)]
	i := slices.Index(n.calls, l)
	n.calls = slices.Delete(n.calls, i, i+1)
	r.length--
	q.length--
	place := slices.Index(r.turns, n)
	r.turns = slices.Delete(r.turns, place, place+1)
	if len(n.calls) == 0 {
		delete(r.lines, n.key)
		return
	}
	r.turns = append(r.turns, n)
}

// ahead returns how many calls of this or a better priority wait.
func (q *queue) ahead(priority int) int {
	n := 0
	for _, r := range q.ranks {
		if r.priority <= priority {
			n += r.length
		}
	}
	return n
}

// all returns the waiting calls in a list of its own.
func (q *queue) all() []*call {
	out := make([]*call, 0, q.length)
	for _, r := range q.ranks {
		for _, n := range r.turns {
			out = append(out, n.calls...)
		}
	}
	return out
}
