package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
)

// startedBy lets n slots become free, one a millisecond, and counts the
// started calls by customer and class.
func startedBy(f *fixture, n int) map[string]int {
	names := make(map[model.CallID]string)
	for id, e := range f.core.executions {
		names[id] = string(e.call.Customer) + "/" + string(e.call.Class)
	}
	counts := make(map[string]int)
	for range n {
		before := f.runningIDs()
		f.now = f.now.Add(time.Millisecond)
		f.finish(before[0], ResultOK)
		for _, id := range f.runningIDs() {
			if !containsID(before, id) {
				counts[names[id]]++
			}
		}
	}
	return counts
}

func containsID(ids []model.CallID, id model.CallID) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}

func fill(f *fixture, customer model.Customer, class model.Class, n int) (ids []model.CallID) {
	for range n {
		ids = append(ids, f.arrive(customer, class))
	}
	return ids
}

// Guards against a customer that gets more slots by sending more, and against
// weights that are not kept.
func TestSlotsFollowWeights(t *testing.T) {
	f := newFixture(t, 10)
	f.addCustomer("c3", 2)
	f.configure()
	f.warm()
	fill(f, "c0", "lookup", 40)
	for _, c := range []model.Customer{"c1", "c2", "c3"} {
		fill(f, c, "lookup", 8)
	}
	assert.DeepEqual(t, startedBy(f, 10), map[string]int{"c0/lookup": 2, "c1/lookup": 2, "c2/lookup": 2, "c3/lookup": 4})
}

// Guards against lookups before filings, and against lookups that starve
// while filings are within what the target bears.
func TestClassOrderWithShare(t *testing.T) {
	f := newFixture(t, 20)
	f.warm()
	fill(f, "c0", "filing", 20)
	fill(f, "c1", "lookup", 10)
	fill(f, "c0", "filing", 10)
	assert.DeepEqual(t, startedBy(f, 8), map[string]int{"c1/lookup": 1, "c0/filing": 7})
}

// Guards against the share for lookups while filings are dropped: a slot for
// a lookup would then cost a filing.
func TestShareIsSuspendedWhileFilingsAreShed(t *testing.T) {
	f := newFixture(t, 20)
	f.warm()
	fill(f, "c0", "filing", 20)
	fill(f, "c1", "lookup", 10)
	dropped := fill(f, "c0", "filing", 100)
	assert.Equal(t, reasonOf(t, f, dropped[99]), model.ReasonShed)
	assert.DeepEqual(t, startedBy(f, 8), map[string]int{"c0/filing": 8})
}

// Guards against a push-out of a higher class for a lower one, and against a
// customer that loses calls while another has the longer queue.
func TestPushOut(t *testing.T) {
	f := newFixture(t, 10)
	f.warm()
	fill(f, "c0", "filing", 10)
	budget := f.core.budget()
	long := fill(f, "c0", "lookup", budget*3/4)
	short := fill(f, "c1", "lookup", budget/4)
	assert.Equal(t, f.core.queue.length, budget)

	refused := f.arrive("c2", "browse")
	assert.Equal(t, reasonOf(t, f, refused), model.ReasonShed)
	f.arrive("c2", "filing")
	assert.Equal(t, reasonOf(t, f, long[len(long)-1]), model.ReasonShed)
	assert.Assert(t, f.ended[short[len(short)-1]] == nil)
}

// Guards against retries that displace first attempts.
func TestRetriesWaitBehindFirstAttempts(t *testing.T) {
	f := newFixture(t, 2)
	f.warm()
	fill(f, "c0", "lookup", 2)
	retry := f.arrive("c0", "lookup", func(c *model.Call) { c.ClientRetry = true })
	first := f.arrive("c0", "lookup")
	startedBy(f, 1)
	assert.Assert(t, f.running[first] && !f.running[retry])
}

// Guards against a standing queue served by order of arrival, in which every
// call ends late, and against newest first in a short queue.
func TestNewestFirstInStandingQueue(t *testing.T) {
	f := newFixture(t, 1)
	f.warm()
	fill(f, "c0", "lookup", 21)
	order := func() model.CallID {
		f.advance(15 * time.Millisecond)
		f.finish(f.runningIDs()[0], ResultOK)
		return f.runningIDs()[0]
	}
	assert.Equal(t, order(), model.CallID(2))
	for range 6 {
		order()
	}
	assert.Equal(t, order(), model.CallID(21))
}

// Guards against work that is started although it cannot end in time.
func TestDeadlineAtDequeue(t *testing.T) {
	f := newFixture(t, 1)
	f.warm()
	f.core.latency.class(1).usual = 300 * time.Millisecond
	first := f.arrive("c0", "lookup")
	f.core.latency.lastTrial = f.now.Add(100 * time.Millisecond)
	late := f.arrive("c0", "lookup", func(c *model.Call) { c.Deadline = f.now.Add(350 * time.Millisecond) })
	f.advance(100 * time.Millisecond)
	f.finish(first, ResultOK)
	assert.Equal(t, reasonOf(t, f, late), model.ReasonDeadline)
}
