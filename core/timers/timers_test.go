package timers

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against items that are returned early, late, twice or out of order after a
// random sequence of Set and Remove.
func TestQueueAgreesWithSortedList(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	start := time.Unix(0, 0)
	q, want := New[int](), make(map[int]time.Time)
	for range 5000 {
		item := rng.IntN(50)
		switch rng.IntN(3) {
		case 0, 1:
			at := start.Add(time.Duration(rng.IntN(1000)))
			q.Set(item, at)
			want[item] = at
		case 2:
			q.Remove(item)
			delete(want, item)
		}
		assert.Equal(t, q.Len(), len(want))
	}
	var dueTimes []time.Time
	for _, at := range want {
		dueTimes = append(dueTimes, at)
	}
	slices.SortFunc(dueTimes, time.Time.Compare)
	_, ok := q.PopDue(start.Add(-1))
	assert.Assert(t, !ok)
	for _, at := range dueTimes {
		assert.Equal(t, q.NextDue(), at)
		item, ok := q.PopDue(at)
		assert.Assert(t, ok && want[item].Equal(at))
	}
	assert.Assert(t, q.NextDue().IsZero())
}
