package ring

import (
	"context"

	"github.com/pkg/errors"
)

// Reply carries the answer to one request message. The duty that handles the
// message sends exactly one answer.
type Reply[T any] struct {
	answer chan T
}

// NewReply returns an empty reply.
func NewReply[T any]() Reply[T] {
	return Reply[T]{answer: make(chan T, 1)}
}

// Send delivers the answer without blocking. It returns false and drops v if an
// answer is waiting to be received, or if the reply is the zero value.
func (r Reply[T]) Send(v T) bool {
	select {
	case r.answer <- v:
		return true
	default:
		return false
	}
}

// Wait blocks until the answer arrives or ctx ends. In the latter case it
// returns the context's error.
func (r Reply[T]) Wait(ctx context.Context) (T, error) {
	select {
	case v := <-r.answer:
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, errors.Wrap(ctx.Err(), "wait for reply")
	}
}

// Chan returns the channel on which the answer arrives, for use in a select
// statement.
func (r Reply[T]) Chan() <-chan T { return r.answer }
