package gate

import (
	"slices"

	"github.com/oleanderworks/oleanderworks/model"
)

// rotation holds calls of which customers take turns in round-robin order.
type rotation struct {
	length     int
	order      []*customerQueue // non-empty queues in round-robin order
	byCustomer map[model.Customer]*customerQueue
}

// customerQueue holds the calls made by a customer, or on its behalf, in the order of their
// arrival.
type customerQueue struct {
	customer model.Customer
	calls    []*trackedCall
}

// front returns the call whose turn it is, or nil.
func (r *rotation) front() *trackedCall {
	if len(r.order) == 0 {
		return nil
	}
	return r.order[0].calls[0]
}

func (r *rotation) add(tc *trackedCall) {
	customer := tc.call.OnBehalfOf
	cq := r.byCustomer[customer]
	if cq == nil {
		cq = &customerQueue{customer: customer}
		if r.byCustomer == nil {
			r.byCustomer = make(map[model.Customer]*customerQueue)
		}
		r.byCustomer[customer] = cq
		r.order = append(r.order, cq)
	}
	cq.calls = append(cq.calls, tc)
	r.length++
}

// remove removes a call and moves its customer to the end of the round robin.
func (r *rotation) remove(tc *trackedCall) {
	cq := r.byCustomer[tc.call.OnBehalfOf]
	i := slices.Index(cq.calls, tc)
	cq.calls = slices.Delete(cq.calls, i, i+1)
	r.length--
	position := slices.Index(r.order, cq)
	r.order = slices.Delete(r.order, position, position+1)
	if len(cq.calls) == 0 {
		delete(r.byCustomer, cq.customer)
		return
	}
	r.order = append(r.order, cq)
}

// appendAll appends the calls to list.
func (r *rotation) appendAll(list []*trackedCall) []*trackedCall {
	for _, cq := range r.order {
		list = append(list, cq.calls...)
	}
	return list
}
