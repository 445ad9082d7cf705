package budget

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a budget that is exceeded, or not given back.
func TestLeasesStayWithinLimit(t *testing.T) {
	b := NewBytes(100)
	first, second := b.Lease(), b.Lease()
	assert.NilError(t, first.Take(40))
	assert.Assert(t, b.HasRoom())
	assert.NilError(t, second.Take(60))
	assert.Assert(t, !b.HasRoom())
	assert.ErrorIs(t, second.Take(1), ErrExceeded)
	second.Release()
	second.Release()
	assert.Assert(t, second.Take(1) != nil, "an abandoned call must not hold bytes")
	assert.Equal(t, b.Held(), int64(40))
	From(With(context.Background(), first)).Release()
	assert.Equal(t, b.Held(), int64(0))
	assert.NilError(t, From(context.Background()).Take(1000))
}
