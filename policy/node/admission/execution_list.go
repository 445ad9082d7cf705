package admission

// executionList is an intrusive doubly linked list of executions. A call can be
// removed from any position without a search or an allocation.
type executionList struct {
	customer   *customerQueue
	head, tail *execution
	length     int
}

func (l *executionList) append(e *execution) {
	e.list, e.prev, e.next = l, l.tail, nil
	if l.tail == nil {
		l.head = e
	} else {
		l.tail.next = e
	}
	l.tail = e
	l.length++
}

func (l *executionList) remove(e *execution) {
	if e.prev == nil {
		l.head = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		l.tail = e.prev
	} else {
		e.next.prev = e.prev
	}
	e.list, e.prev, e.next = nil, nil, nil
	l.length--
}
