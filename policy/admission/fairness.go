package admission

import (
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

// customerQueue holds the waiting calls of one customer in one class.
//
// Under overload a queue by order of arrival gives each customer slots in
// proportion to what it sends, so that the one that sends the most takes from
// all others. Deficit round robin gives each waiting customer its weight, and
// leaves the part of an idle customer to the others (max-min fairness).
type customerQueue struct {
	name       model.Customer
	weight     float64
	deficit    float64 // calls that the customer may still start in its turn
	subs       list    // sub-calls: their parents' work is lost when they are
	first      list    // first attempts
	retries    list    // client retries
	order      order
	prev, next *customerQueue
}

const (
	// Bounds of a weight. A turn gives weight calls, so a weight far below 1
	// would need many rounds for one call.
	minWeight = 0.1
	maxWeight = 100
)

func (c *customerQueue) length() int { return c.subs.length + c.first.length + c.retries.length }

// list returns the list in which a call waits.
func (c *customerQueue) list(call *model.Call) *list {
	switch {
	case call.Depth > 0:
		return &c.subs
	case call.ClientRetry:
		return &c.retries
	default:
		return &c.first
	}
}

// pick returns the call that starts next. Sub-calls come first, since the
// work of their parents would be lost with them, and client retries last,
// since they must not displace new work.
func (c *customerQueue) pick(newestFirst bool) *execution {
	l := &c.subs
	if l.length == 0 {
		l = &c.first
	}
	if l.length == 0 {
		l = &c.retries
	}
	if newestFirst {
		return l.tail
	}
	return l.head
}

// oldest returns the call that would start next by order of arrival.
func (c *customerQueue) oldest() *execution { return c.pick(false) }

// newest returns the call that is dropped first: the newest of the calls that
// would start last.
func (c *customerQueue) newest() *execution {
	for _, l := range []*list{&c.retries, &c.first} {
		if l.length > 0 {
			return l.tail
		}
	}
	return c.subs.tail
}

// customer returns the queue of a customer and puts it into the ring.
func (q *classQueue) customer(name model.Customer, weight float64) *customerQueue {
	c := q.customers[name]
	if c == nil {
		c = &customerQueue{name: name}
		c.subs.customer, c.first.customer, c.retries.customer = c, c, c
		q.customers[name] = c
	}
	if c.length() == 0 {
		c.weight = min(max(weight, minWeight), maxWeight)
		q.join(c)
	}
	return c
}

// join puts a customer at the end of the round.
func (q *classQueue) join(c *customerQueue) {
	c.deficit = 0
	q.weights += c.weight
	if q.ring == nil {
		c.prev, c.next = c, c
		q.ring = c
		return
	}
	last := q.ring.prev
	c.prev, c.next = last, q.ring
	last.next, q.ring.prev = c, c
}

// leave takes a customer without waiting calls out of the round. Its deficit
// is lost: an idle customer saves nothing up. It is forgotten, so that the
// memory follows the customers that wait.
func (q *classQueue) leave(c *customerQueue) {
	q.weights -= c.weight
	delete(q.customers, c.name)
	if c.next == c {
		q.ring, q.weights = nil, 0
		return
	}
	c.prev.next, c.next.prev = c.next, c.prev
	if q.ring == c {
		q.ring = c.next
	}
}

// turn returns the customer that starts the next call. The class must have a
// waiting call.
func (q *classQueue) turn() *customerQueue {
	c := q.ring
	for c.deficit < 1 {
		if c.deficit += c.weight; c.deficit >= 1 {
			break
		}
		c = c.next
	}
	q.ring = c
	return c
}

// charge books a waiting call that starts. A customer without deficit left
// goes to the end of the round.
func (q *queue) charge(now time.Time, e *execution) {
	class, c := q.classes[e.rank], e.list.customer
	class.lastStart = now
	if c.deficit--; c.deficit < 1 {
		class.ring = c.next
	}
}

func (q *classQueue) each(f func(*customerQueue)) {
	if q.ring == nil {
		return
	}
	for c := q.ring; ; c = c.next {
		f(c)
		if c.next == q.ring {
			return
		}
	}
}

// belowPart reports whether the customer of a call has room in its part of
// the budget. Customers that do not wait leave their parts to the others.
func (q *queue) belowPart(e *execution, weight float64, budget int) bool {
	class := q.classes[e.rank]
	own := class.customers[e.call.Customer]
	if own == nil {
		return budget > 0
	}
	part := float64(budget) * own.weight / class.weights
	return float64(own.length()) < max(part, 1)
}

// victim returns the waiting call that makes room for e: the newest of the
// longest queue, in relation to its weight, of the class shed first. It is
// nil when that class is shed after the class of e, or when the customer of e
// has the longest queue itself.
func (q *queue) victim(e *execution) *execution {
	for _, class := range q.classes[:e.rank+1] {
		if class.length == 0 {
			continue
		}
		longest := class.longest()
		if class.rank == e.rank && longest.name == e.call.Customer {
			return q.ownLater(e)
		}
		return longest.newest()
	}
	return nil
}

// ownLater returns the newest waiting call of the same customer and class
// that would start after e in any case, or nil: a sub-call replaces a first
// attempt, and that replaces a retry.
func (q *queue) ownLater(e *execution) *execution {
	own := q.classes[e.rank].customers[e.call.Customer]
	if own == nil {
		return nil
	}
	newest := own.newest()
	if urgency(newest.call) < urgency(e.call) {
		return newest
	}
	return nil
}

// urgency orders the calls of one customer: higher starts first.
func urgency(call *model.Call) int {
	switch {
	case call.Depth > 0:
		return 2
	case call.ClientRetry:
		return 0
	default:
		return 1
	}
}

func (q *classQueue) longest() *customerQueue {
	longest := q.ring
	q.each(func(c *customerQueue) {
		if float64(c.length())/c.weight > float64(longest.length())/longest.weight {
			longest = c
		}
	})
	return longest
}
