package admission

// assert reports a breach of the named invariant unless ok. The message is
// formatted only on a breach, since assert runs for each call.
func (e *execution) assert(ok bool, name string) {
	if ok {
		return
	}
	c := e.core
	c.check.Assert(false, name, "call %d: decided to run %t, answered %t; %d calls running, limit %d",
		e.call.ID, e.runDecided, e.answered, c.running, c.currentLimit())
}

// checkInvariants recounts the calls and compares the result with the counters.
func (c *Core) checkInvariants() {
	if c.check == nil {
		return
	}
	queued, onReservedSlots := 0, 0
	for _, e := range c.executions {
		if e.list != nil {
			queued++
		} else if e.onReservedSlot {
			onReservedSlots++
		}
	}
	running := len(c.executions) - queued
	c.check.Assert(running == c.running, "admission_running_counted", "%d running found, counter says %d", running, c.running)
	c.check.Assert(queued == c.queue.length, "admission_queue_counted", "%d queued found, counter says %d", queued, c.queue.length)
	c.check.Assert(onReservedSlots == c.queue.onReservedSlots, "admission_share_counted", "%d on reserved slots found, counter says %d", onReservedSlots, c.queue.onReservedSlots)
	c.queue.checkInvariants(c)
}

func (q *queue) checkInvariants(c *Core) {
	total := 0
	for _, class := range q.classes {
		inClass := 0
		class.forEachCustomer(func(customer *customerQueue) { inClass += customer.length() })
		c.check.Assert(inClass == class.length, "admission_class_counted",
			"rank %d: %d queued found, counter says %d", class.rank, inClass, class.length)
		total += inClass
	}
	c.check.Assert(total == q.length, "admission_classes_add_up", "%d queued found in all classes, counter says %d", total, q.length)
}
