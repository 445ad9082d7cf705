package budget

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against reservations that together exceed the budget's limit, and against
// bytes that are not returned, or returned twice, when a call ends.
func TestReservationsStayWithinLimit(t *testing.T) {
	b := NewBytes(100)
	first, second := b.NewReservation(), b.NewReservation()
	assert.NilError(t, first.Acquire(40))
	assert.Assert(t, b.MayStartCall())
	assert.NilError(t, second.Acquire(60))
	assert.Assert(t, !b.MayStartCall())
	assert.ErrorIs(t, second.Acquire(1), ErrExceeded)
	second.Release()
	second.Release()
	assert.Assert(t, second.Acquire(1) != nil, "an abandoned call must not hold bytes")
	assert.Equal(t, b.Held(), int64(40))
	FromContext(NewContext(context.Background(), first)).Release()
	assert.Equal(t, b.Held(), int64(0))
	assert.NilError(t, FromContext(context.Background()).Acquire(1000))
}
