package gate

import (
	"slices"

	"github.com/oleanderworks/oleanderworks/model"
)

// queue holds the waiting calls by priority. Within a priority customers take
// turns, so that one that sends much delays only itself. The calls that
// targets make count as one customer.
type queue struct {
	length int
	ranks  []*rank // best priority first
}

type rank struct {
	priority int
	length   int
	turns    []*line // customers with waiting calls, in order of their turn
	lines    map[model.Customer]*line
}

type line struct {
	customer model.Customer
	calls    []*call
}

func (q *queue) rank(priority int) *rank {
	i, found := slices.BinarySearchFunc(q.ranks, priority, func(r *rank, p int) int { return r.priority - p })
	if !found {
		r := &rank{priority: priority, lines: make(map[model.Customer]*line)}
		q.ranks = slices.Insert(q.ranks, i, r)
	}
	return q.ranks[i]
}

func (q *queue) add(l *call) {
	r := q.rank(l.call.Priority)
	n := r.lines[l.call.Customer]
	if n == nil {
		n = &line{customer: l.call.Customer}
		r.lines[l.call.Customer] = n
		r.turns = append(r.turns, n)
	}
	n.calls = append(n.calls, l)
	r.length++
	q.length++
}

// next returns the call whose turn it is. The customer's turn passes when the
// call leaves the queue.
func (q *queue) next() *call {
	for _, r := range q.ranks {
		if r.length > 0 {
			return r.turns[0].calls[0]
		}
	}
	return nil
}

func (q *queue) remove(l *call) {
	r := q.rank(l.call.Priority)
	n := r.lines[l.call.Customer]
	i := slices.Index(n.calls, l)
	n.calls = slices.Delete(n.calls, i, i+1)
	r.length--
	q.length--
	place := slices.Index(r.turns, n)
	r.turns = slices.Delete(r.turns, place, place+1)
	if len(n.calls) == 0 {
		delete(r.lines, n.customer)
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
