package admission

import (
	"slices"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// queueFactor is the queue limit as a multiple of the current limit of running
	// calls. A longer queue adds waiting time but no throughput.
	queueFactor = 2
	// minQueueLimit is the least queue limit, in calls. It leaves room for several
	// customers at targets with few slots.
	minQueueLimit = 64
	// reservedSlotSuspension is the time after a call of a higher class was shed
	// in which reserved slots serve no lower class.
	reservedSlotSuspension = time.Second
)

// queue holds the queued calls by class in shedding order, and inside a class
// by customer. Under overload it sheds calls of the lowest classes first, and
// inside a class those of the customers that send the most.
//
// To shed a call is to refuse it because it gets no slot, or none before its
// deadline. A lower class is one that is shed earlier. A queued call is evicted
// when it is shed to make room for another one.
type queue struct {
	classNames      []model.Class // in shedding order
	classes         []*classQueue // by rank; the first is shed first
	length          int
	onReservedSlots int          // running calls that started on reserved slots
	overallSojourn  dequeueOrder // over all classes; only its minimum sojourn time is used, in load reports
}

// classQueue holds the queued calls of one class.
type classQueue struct {
	rank        int
	customers   map[model.Customer]*customerQueue
	current     *customerQueue // customer whose turn it is, in a circular list; nil when empty
	totalWeight float64        // of the customers with queued calls
	length      int
	lastStart   time.Time // last start of a queued call, or when the queue last became non-empty
	lastShed    time.Time // when a call of this class was last shed
}

// starved reports whether calls of the class are queued and none has started
// for minStandingQueueWait.
func (q *classQueue) starved(now time.Time) bool {
	return q.length > 0 && now.Sub(q.lastStart) > minStandingQueueWait
}

// setClasses sets the shedding order of an empty queue.
func (q *queue) setClasses(classes []model.Class) {
	q.classNames = classes
	q.classes = nil
	for rank := range max(len(classes), 1) {
		q.classes = append(q.classes, &classQueue{rank: rank, customers: make(map[model.Customer]*customerQueue)})
	}
}

func (q *queue) classesDiffer(other []model.Class) bool { return !slices.Equal(q.classNames, other) }

// queueLimit returns the number of calls that may be queued. It is zero for a
// lost target and for one in trial, so that entry nodes use other targets.
func (c *Core) queueLimit() int {
	if c.currentLimit() == 0 || c.target.inTrial() {
		return 0
	}
	return max(queueFactor*c.currentLimit(), minQueueLimit)
}

// add appends a call to its customer's queue.
func (q *queue) add(e *execution, weight float64) {
	class := q.classes[e.classRank]
	customer := class.customerInRound(e.call.Customer, weight)
	customer.listFor(e.call).append(e)
	if class.length == 0 {
		class.lastStart = e.now
	}
	class.length++
	q.length++
}

// remove removes a queued call from any position.
func (q *queue) remove(e *execution) {
	class := q.classes[e.classRank]
	customer := e.list.customer
	e.list.remove(e)
	class.length--
	q.length--
	if customer.length() == 0 {
		class.removeFromRound(customer)
	}
	if q.length == 0 {
		q.overallSojourn.reset()
	}
}

// next returns the queued call that gets the next free slot and leaves it in
// the queue. reservedSlots is the number of slots that a lower class may get
// although calls of a higher class are queued.
func (q *queue) next(now time.Time, reservedSlots int) *execution {
	top := q.highestQueuedClass()
	class := top
	if q.onReservedSlots < reservedSlots {
		if lower := q.classForReservedSlot(now, top.rank); lower != nil {
			class = lower
		}
	}
	customer := class.nextCustomer()
	sojourn := now.Sub(customer.nextInFIFO().arrived)
	q.overallSojourn.observe(now, sojourn)
	e := customer.pick(customer.order.observe(now, sojourn))
	e.onReservedSlot = class != top
	return e
}

// highestQueuedClass returns the class with queued calls that is shed last.
func (q *queue) highestQueuedClass() *classQueue {
	for i := len(q.classes) - 1; i >= 0; i-- {
		if q.classes[i].length > 0 {
			return q.classes[i]
		}
	}
	return nil
}

// classForReservedSlot returns the lowest class below rank top with queued calls
// that a reserved slot may serve, or nil. Reserved slots serve a class only
// while no call of the classes above it is shed: otherwise each call of the
// lower class would displace one of a higher class.
func (q *queue) classForReservedSlot(now time.Time, top int) *classQueue {
	var found *classQueue
	for rank := top; rank > 0 && !q.shedRecently(now, rank); rank-- {
		if class := q.classes[rank-1]; class.length > 0 {
			found = class
		}
	}
	return found
}

// shedRecently reports whether a call of a class was shed within
// reservedSlotSuspension.
func (q *queue) shedRecently(now time.Time, rank int) bool {
	last := q.classes[rank].lastShed
	return !last.IsZero() && now.Sub(last) < reservedSlotSuspension
}

func (q *queue) onShed(now time.Time, rank int) { q.classes[rank].lastShed = now }

func (q *queue) onStart(e *execution) {
	if e.onReservedSlot {
		q.onReservedSlots++
	}
}

func (q *queue) onEnd(e *execution) {
	if e.onReservedSlot {
		q.onReservedSlots--
	}
}

// reservedSlots returns the number of slots that may serve lower classes while
// calls of a higher class are queued, so that lower classes do not starve. It is
// 5% of the current limit, and at least one if the limit is two or more.
func (c *Core) reservedSlots() int {
	slots := c.currentLimit()
	if slots < 2 {
		return 0
	}
	return max(slots/20, 1)
}

// sojourn returns the minimum sojourn time over all classes in the previous
// interval.
func (q *queue) sojourn() time.Duration { return q.overallSojourn.previousMinSojourn }

// all returns the queued calls by class and customer, the oldest first in each
// list of a customer.
func (q *queue) all() []*execution {
	if q.length == 0 {
		return nil
	}
	out := make([]*execution, 0, q.length)
	for _, class := range q.classes {
		class.forEachCustomer(func(c *customerQueue) {
			for _, l := range []*executionList{&c.subCalls, &c.first, &c.retries} {
				for e := l.head; e != nil; e = e.next {
					out = append(out, e)
				}
			}
		})
	}
	return out
}
