package admission

import (
	"slices"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// queueFactor is the room for waiting calls as a multiple of the limit. A
	// longer queue adds waiting time and no throughput.
	queueFactor = 2
	// minBudget keeps room for some customers at targets with few slots.
	minBudget = 64
	// shareHold is how long the unallocated share stays suspended after a
	// call of a class that is shed later was dropped.
	shareHold = time.Second
)

// queue holds the waiting calls by class in shedding order, and inside a
// class by customer. Overload has to cost the classes that are shed first,
// and inside a class the customers that ask for the most.
type queue struct {
	names     []model.Class
	classes   []*classQueue // by rank; the first is shed first
	length    int
	fromShare int   // running calls on the unallocated share
	standing  order // over all classes, for the load report
}

// classQueue holds the waiting calls of one class.
type classQueue struct {
	rank      int
	customers map[model.Customer]*customerQueue
	ring      *customerQueue // whose turn it is; nil when none waits
	weights   float64        // sum over the customers that wait
	length    int
	lastStart time.Time // last start of a waiting call, or begin of the waiting
	lastShed  time.Time // last drop of a call of this class
}

// starved reports whether calls of the class wait and none of them starts.
func (q *classQueue) starved(now time.Time) bool {
	return q.length > 0 && now.Sub(q.lastStart) > maxStanding
}

// setClasses sets the shedding order of an empty queue.
func (q *queue) setClasses(classes []model.Class) {
	q.names = classes
	q.classes = nil
	for rank := range max(len(classes), 1) {
		q.classes = append(q.classes, &classQueue{rank: rank, customers: make(map[model.Customer]*customerQueue)})
	}
}

func (q *queue) classesDiffer(classes []model.Class) bool { return !slices.Equal(q.names, classes) }

// budget is the number of calls that may wait. A lost target holds none, so
// that entry nodes can use the others.
func (c *Core) budget() int {
	if c.slots() == 0 || c.target.tried() {
		return 0
	}
	return max(queueFactor*c.slots(), minBudget)
}

// add appends a call to its customer's queue.
func (q *queue) add(e *execution, weight float64) {
	class := q.classes[e.rank]
	customer := class.customer(e.call.Customer, weight)
	customer.list(e.call).append(e)
	if class.length == 0 {
		class.lastStart = e.now
	}
	class.length++
	q.length++
}

// remove takes a waiting call out, wherever it stands.
func (q *queue) remove(e *execution) {
	class := q.classes[e.rank]
	customer := e.list.customer
	e.list.remove(e)
	class.length--
	q.length--
	if customer.length() == 0 {
		class.leave(customer)
	}
	if q.length == 0 {
		q.standing.reset()
	}
}

// next returns the waiting call that gets the next free slot and leaves it in
// the queue. reserve is the number of slots that are not given away by class.
func (q *queue) next(now time.Time, reserve int) *execution {
	top := q.top()
	class := top
	if q.fromShare < reserve {
		if lower := q.lower(now, top.rank); lower != nil {
			class = lower
		}
	}
	customer := class.turn()
	sojourn := now.Sub(customer.oldest().arrived)
	q.standing.observe(now, sojourn)
	e := customer.pick(customer.order.observe(now, sojourn))
	e.fromShare = class != top
	return e
}

// top returns the waiting class that is shed last.
func (q *queue) top() *classQueue {
	for i := len(q.classes) - 1; i >= 0; i-- {
		if q.classes[i].length > 0 {
			return q.classes[i]
		}
	}
	return nil
}

// lower returns the lowest waiting class that the unallocated share may serve
// instead of top, or nil. The share is for the time in which the classes
// above are within what the target bears: beyond it, each lookup in the share
// would cost a filing.
func (q *queue) lower(now time.Time, top int) *classQueue {
	var found *classQueue
	for rank := top; rank > 0 && !q.shedRecently(now, rank); rank-- {
		if class := q.classes[rank-1]; class.length > 0 {
			found = class
		}
	}
	return found
}

// shedRecently reports whether calls of a class were dropped a short time
// ago.
func (q *queue) shedRecently(now time.Time, rank int) bool {
	last := q.classes[rank].lastShed
	return !last.IsZero() && now.Sub(last) < shareHold
}

func (q *queue) onShed(now time.Time, rank int) { q.classes[rank].lastShed = now }

func (q *queue) onStart(e *execution) {
	if e.fromShare {
		q.fromShare++
	}
}

func (q *queue) onEnd(e *execution) {
	if e.fromShare {
		q.fromShare--
	}
}

// reserve returns the slots that are not given away by class: 5%, at least
// one when there are several.
func (c *Core) reserve() int {
	slots := c.slots()
	if slots < 2 {
		return 0
	}
	return max(slots/20, 1)
}

// sojourn returns the shortest time in queue lately.
func (q *queue) sojourn() time.Duration { return q.standing.last }

// all returns the waiting calls, oldest first inside each customer.
func (q *queue) all() []*execution {
	if q.length == 0 {
		return nil
	}
	out := make([]*execution, 0, q.length)
	for _, class := range q.classes {
		class.each(func(c *customerQueue) {
			for _, l := range []*list{&c.subs, &c.first, &c.retries} {
				for e := l.head; e != nil; e = e.next {
					out = append(out, e)
				}
			}
		})
	}
	return out
}
