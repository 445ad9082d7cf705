package admission

import (
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

// customerQueue holds the queued calls of one customer in one class.
//
// Under overload a FIFO queue serves each customer in proportion to the calls
// that it sends, so that the customer that sends the most displaces all others.
// Deficit round robin serves the customers with queued calls in proportion to
// their weights, and divides the share of an idle customer among the others
// (max-min fairness).
type customerQueue struct {
	name       model.Customer
	weight     float64
	deficit    float64       // calls that the customer may still start in its turn
	subCalls   executionList // the work of their parents is wasted if they are shed
	first      executionList // first attempts
	retries    executionList // retries by the customer's clients
	order      dequeueOrder
	prev, next *customerQueue
}

const (
	// Bounds of a weight. Each turn adds the weight to the deficit, and each call
	// subtracts 1, so a weight far below 1 would need many rounds for one call.
	minWeight = 0.1
	maxWeight = 100
)

func (c *customerQueue) length() int { return c.subCalls.length + c.first.length + c.retries.length }

// listFor returns the list for a call of the customer.
func (c *customerQueue) listFor(call *model.Call) *executionList {
	switch {
	case call.Depth > 0:
		return &c.subCalls
	case call.ClientRetry:
		return &c.retries
	default:
		return &c.first
	}
}

// pick returns the call that starts next. Sub-calls start first, since the work
// that their parents have done is wasted if they are shed. Client retries start
// last, since they must not displace new requests.
func (c *customerQueue) pick(newestFirst bool) *execution {
	l := &c.subCalls
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

// nextInFIFO returns the call that would start next in FIFO order.
func (c *customerQueue) nextInFIFO() *execution { return c.pick(false) }

// evictionCandidate returns the newest call of the lowest start priority, which
// is evicted first.
func (c *customerQueue) evictionCandidate() *execution {
	for _, l := range []*executionList{&c.retries, &c.first} {
		if l.length > 0 {
			return l.tail
		}
	}
	return c.subCalls.tail
}

// customerInRound returns the queue of a customer. It adds a customer without
// queued calls to the round, with the given weight.
func (q *classQueue) customerInRound(name model.Customer, weight float64) *customerQueue {
	c := q.customers[name]
	if c == nil {
		c = &customerQueue{name: name}
		c.subCalls.customer, c.first.customer, c.retries.customer = c, c, c
		q.customers[name] = c
	}
	if c.length() == 0 {
		c.weight = min(max(weight, minWeight), maxWeight)
		q.addToRound(c)
	}
	return c
}

// addToRound adds a customer at the end of the round.
func (q *classQueue) addToRound(c *customerQueue) {
	c.deficit = 0
	q.totalWeight += c.weight
	if q.current == nil {
		c.prev, c.next = c, c
		q.current = c
		return
	}
	last := q.current.prev
	c.prev, c.next = last, q.current
	last.next, q.current.prev = c, c
}

// removeFromRound removes a customer without queued calls. Its deficit is
// discarded, since an idle customer must not accumulate credit. Its entry is
// deleted, so that memory use depends only on the customers with queued calls.
func (q *classQueue) removeFromRound(c *customerQueue) {
	q.totalWeight -= c.weight
	delete(q.customers, c.name)
	if c.next == c {
		q.current, q.totalWeight = nil, 0
		return
	}
	c.prev.next, c.next.prev = c.next, c.prev
	if q.current == c {
		q.current = c.next
	}
}

// nextCustomer returns the customer whose call starts next. The class must have
// a queued call.
func (q *classQueue) nextCustomer() *customerQueue {
	c := q.current
	for c.deficit < 1 {
		if c.deficit += c.weight; c.deficit >= 1 {
			break
		}
		c = c.next
	}
	q.current = c
	return c
}

// chargeDeficit subtracts a queued call that starts from its customer's deficit
// and records the start for its class. When the deficit is used up, the turn
// passes to the next customer.
func (q *queue) chargeDeficit(now time.Time, e *execution) {
	class, c := q.classes[e.classRank], e.list.customer
	class.lastStart = now
	if c.deficit--; c.deficit < 1 {
		class.current = c.next
	}
}

func (q *classQueue) forEachCustomer(f func(*customerQueue)) {
	if q.current == nil {
		return
	}
	for c := q.current; ; c = c.next {
		f(c)
		if c.next == q.current {
			return
		}
	}
}

// hasFairShareLeft reports whether the customer of a call has fewer queued
// calls than its weighted share of the queue limit, which is at least one call.
// Each class divides the whole limit among its customers with queued calls, by
// the weights that they had when they were added to the round.
func (q *queue) hasFairShareLeft(e *execution, _ float64, queueLimit int) bool {
	class := q.classes[e.classRank]
	own := class.customers[e.call.Customer]
	if own == nil {
		return queueLimit > 0
	}
	share := float64(queueLimit) * own.weight / class.totalWeight
	return float64(own.length()) < max(share, 1)
}

// victimOfLongestQueue returns the queued call that is evicted to make room for
// e. It is the eviction candidate of the customer with the longest queue relative
// to its weight, in the class with queued calls that is shed first. It returns
// nil when that class is shed after the class of e. When the customer of e has
// the longest queue itself, only one of its own calls of lower start priority is
// evicted.
func (q *queue) victimOfLongestQueue(e *execution) *execution {
	for _, class := range q.classes[:e.classRank+1] {
		if class.length == 0 {
			continue
		}
		longest := class.longestQueue()
		if class.rank == e.classRank && longest.name == e.call.Customer {
			return q.victimOfSameCustomer(e)
		}
		return longest.evictionCandidate()
	}
	return nil
}

// victimOfSameCustomer returns the newest queued call of the same customer and
// class that has a lower start priority than e, or nil.
func (q *queue) victimOfSameCustomer(e *execution) *execution {
	own := q.classes[e.classRank].customers[e.call.Customer]
	if own == nil {
		return nil
	}
	newest := own.evictionCandidate()
	if startPriority(newest.call) < startPriority(e.call) {
		return newest
	}
	return nil
}

// startPriority returns a call's priority among the calls of its customer: those
// of higher priority start first.
func startPriority(call *model.Call) int {
	switch {
	case call.Depth > 0:
		return 2
	case call.ClientRetry:
		return 0
	default:
		return 1
	}
}

func (q *classQueue) longestQueue() *customerQueue {
	longest := q.current
	q.forEachCustomer(func(c *customerQueue) {
		if float64(c.length())/c.weight > float64(longest.length())/longest.weight {
			longest = c
		}
	})
	return longest
}
