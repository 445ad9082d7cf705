package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
)

// countStarts frees n slots, one per millisecond, and counts the calls that start
// by customer and class.
func countStarts(f *fixture, n int) map[string]int {
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

func arriveMany(f *fixture, customer model.Customer, class model.Class, n int) (ids []model.CallID) {
	for range n {
		ids = append(ids, f.arrive(customer, class))
	}
	return ids
}

// Guards against a customer that gets more slots by sending more calls, and
// against slots that are not shared in proportion to the weights.
func TestSlotsFollowWeights(t *testing.T) {
	f := newFixture(t, 10)
	f.addCustomer("c3", 2)
	f.publishConfig()
	f.setWarm()
	arriveMany(f, "c0", "lookup", 40)
	for _, c := range []model.Customer{"c1", "c2", "c3"} {
		arriveMany(f, c, "lookup", 8)
	}
	assert.DeepEqual(t, countStarts(f, 10), map[string]int{"c0/lookup": 2, "c1/lookup": 2, "c2/lookup": 2, "c3/lookup": 4})
}

// Guards against calls of a lower class (lookup) that start before those of a
// higher one (filing), and against a lower class that starves although no call
// of the higher one is shed.
func TestClassOrderWithReservedSlots(t *testing.T) {
	f := newFixture(t, 20)
	f.setWarm()
	arriveMany(f, "c0", "filing", 20)
	arriveMany(f, "c1", "lookup", 10)
	arriveMany(f, "c0", "filing", 10)
	assert.DeepEqual(t, countStarts(f, 8), map[string]int{"c1/lookup": 1, "c0/filing": 7})
}

// Guards against reserved slots that serve a lower class while calls of a higher
// one are shed: each lookup would displace a filing.
func TestReservedSlotsAreSuspendedWhileHigherClassIsShed(t *testing.T) {
	f := newFixture(t, 20)
	f.setWarm()
	arriveMany(f, "c0", "filing", 20)
	arriveMany(f, "c1", "lookup", 10)
	shed := arriveMany(f, "c0", "filing", 100)
	assert.Equal(t, refusalReasonOf(t, f, shed[99]), model.ReasonShed)
	assert.DeepEqual(t, countStarts(f, 8), map[string]int{"c0/filing": 8})
}

// Guards against evicting a call of a higher class for one of a lower class,
// and against evicting a call of a customer while another customer has a longer
// queue.
func TestEvictionPrefersLowerClassAndLongestQueue(t *testing.T) {
	f := newFixture(t, 10)
	f.setWarm()
	arriveMany(f, "c0", "filing", 10)
	queueLimit := f.core.queueLimit()
	long := arriveMany(f, "c0", "lookup", queueLimit*3/4)
	short := arriveMany(f, "c1", "lookup", queueLimit/4)
	assert.Equal(t, f.core.queue.length, queueLimit)

	refused := f.arrive("c2", "browse")
	assert.Equal(t, refusalReasonOf(t, f, refused), model.ReasonShed)
	f.arrive("c2", "filing")
	assert.Equal(t, refusalReasonOf(t, f, long[len(long)-1]), model.ReasonShed)
	assert.Assert(t, f.refusals[short[len(short)-1]] == nil)
}

// Guards against client retries that start before first attempts.
func TestRetriesWaitBehindFirstAttempts(t *testing.T) {
	f := newFixture(t, 2)
	f.setWarm()
	arriveMany(f, "c0", "lookup", 2)
	retry := f.arrive("c0", "lookup", func(c *model.Call) { c.ClientRetry = true })
	first := f.arrive("c0", "lookup")
	countStarts(f, 1)
	assert.Assert(t, f.running[first] && !f.running[retry])
}

// Guards against serving a standing queue in order of arrival, in which every
// call would end after its deadline, and against newest-first order without a
// standing queue.
func TestNewestFirstInStandingQueue(t *testing.T) {
	f := newFixture(t, 1)
	f.setWarm()
	arriveMany(f, "c0", "lookup", 21)
	nextStarted := func() model.CallID {
		f.advance(15 * time.Millisecond)
		f.finish(f.runningIDs()[0], ResultOK)
		return f.runningIDs()[0]
	}
	assert.Equal(t, nextStarted(), model.CallID(2))
	for range 6 {
		nextStarted()
	}
	assert.Equal(t, nextStarted(), model.CallID(21))
}

// Guards against starting a call that is not expected to end before its deadline.
func TestDeadlineIsCheckedAtDequeue(t *testing.T) {
	f := newFixture(t, 1)
	f.setWarm()
	f.core.serviceTimes.class(1).meanElapsed = 300 * time.Millisecond // rank 1 is the class lookup
	first := f.arrive("c0", "lookup")
	f.core.serviceTimes.lastOptimisticStart = f.now.Add(100 * time.Millisecond)
	late := f.arrive("c0", "lookup", func(c *model.Call) { c.Deadline = f.now.Add(350 * time.Millisecond) })
	f.advance(100 * time.Millisecond)
	f.finish(first, ResultOK)
	assert.Equal(t, refusalReasonOf(t, f, late), model.ReasonDeadline)
}
