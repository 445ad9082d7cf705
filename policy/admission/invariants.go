package admission

// assert reports a breach of the named property by a call. The arguments of
// the message are only put together when there is one, since this runs for
// each call.
func (e *execution) assert(ok bool, name string) {
	if ok {
		return
	}
	c := e.core
	c.check.Assert(false, name, "call %d: handed over %t, answered %t; %d calls run, limit %d",
		e.call.ID, e.handedOver, e.answered, c.running, c.slots())
}

// checkInvariants compares the counters with what they count.
func (c *Core) checkInvariants() {
	if c.check == nil {
		return
	}
	waiting, share := 0, 0
	for _, e := range c.executions {
		if e.list != nil {
			waiting++
		} else if e.fromShare {
			share++
		}
	}
	running := len(c.executions) - waiting
	c.check.Assert(running == c.running, "admission_running_counted", "%d run, counted %d", running, c.running)
	c.check.Assert(waiting == c.queue.length, "admission_queue_counted", "%d wait, counted %d", waiting, c.queue.length)
	c.check.Assert(share == c.queue.fromShare, "admission_share_counted", "%d run, counted %d", share, c.queue.fromShare)
	c.queue.checkInvariants(c)
}

func (q *queue) checkInvariants(c *Core) {
	total := 0
	for _, class := range q.classes {
		inClass := 0
		class.each(func(customer *customerQueue) { inClass += customer.length() })
		c.check.Assert(inClass == class.length, "admission_class_counted",
			"rank %d: %d wait, counted %d", class.rank, inClass, class.length)
		total += inClass
	}
	c.check.Assert(total == q.length, "admission_classes_add_up", "%d wait, counted %d", total, q.length)
}
