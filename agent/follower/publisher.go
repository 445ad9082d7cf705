package follower

// publisher offers the newest value to each subscriber until the subscriber accepts
// it. A subscriber that has no room gets the newest value later and may miss older
// ones.
type publisher[T any] struct {
	current     *T
	subscribers []func(*T) bool
	pending     []bool
}

func newPublisher[T any, F ~func(*T) bool](subscribers []F) publisher[T] {
	p := publisher[T]{pending: make([]bool, len(subscribers))}
	for _, s := range subscribers {
		p.subscribers = append(p.subscribers, s)
	}
	return p
}

// publish replaces the current value and offers it to all subscribers.
func (p *publisher[T]) publish(v *T) {
	p.current = v
	for i := range p.pending {
		p.pending[i] = true
	}
	p.offerPending()
}

// offerPending offers the current value to the subscribers that have not accepted it
// yet.
func (p *publisher[T]) offerPending() {
	for i, subscriber := range p.subscribers {
		if p.pending[i] && subscriber(p.current) {
			p.pending[i] = false
		}
	}
}
