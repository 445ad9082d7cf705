package follower

// publisher offers the newest value to each subscriber until it has taken it. A
// subscriber without room gets the newest value later and may miss older ones.
type publisher[T any] struct {
	current     *T
	subscribers []func(*T) bool
	pending     []bool
}

func newPublisher[T any, F ~func(*T) bool](subscribers []F) publisher[T] {
	o := publisher[T]{pending: make([]bool, len(subscribers))}
	for _, s := range subscribers {
		o.subscribers = append(o.subscribers, s)
	}
	return o
}

// publish replaces the current value and offers it to all subscribers.
func (o *publisher[T]) publish(v *T) {
	o.current = v
	for i := range o.pending {
		o.pending[i] = true
	}
	o.offerPending()
}

// offerPending offers the current value to the subscribers that do not have it.
func (o *publisher[T]) offerPending() {
	for i, subscriber := range o.subscribers {
		if o.pending[i] && subscriber(o.current) {
			o.pending[i] = false
		}
	}
}
