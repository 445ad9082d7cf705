package admission

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/oleanderworks/oleanderworks/model"
)

// Guards against wrong counts of slots and queued calls, calls that are answered
// twice or never, an exceeded limit, and "not run" answered after the handoff,
// in any order of events. The core's invariants and the fixture check this.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(t, rapid.IntRange(1, 20).Draw(t, "slots"))
		f.config.ColdFloor = rapid.IntRange(0, 5).Draw(t, "cold floor")
		f.config.RampTime = model.Duration(rapid.IntRange(0, 2).Draw(t, "ramp seconds")) * model.Duration(time.Second)
		f.publishConfig()
		t.Repeat(map[string]func(*rapid.T){
			"arrive":             func(t *rapid.T) { randomArrival(t, f) },
			"burst":              func(t *rapid.T) { randomBurst(t, f) },
			"finish":             func(t *rapid.T) { randomFinish(t, f) },
			"cancel":             func(t *rapid.T) { randomCancel(t, f) },
			"advance":            func(t *rapid.T) { f.advance(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond) },
			"set out of service": func(t *rapid.T) { randomOutOfService(t, f) },
			"withdraw":           func(t *rapid.T) { randomWithdrawal(t, f) },
			"probe":              func(t *rapid.T) { f.core.OnProbe(f.now, rapid.Bool().Draw(t, "ok")); f.collect() },
			"classes":            func(t *rapid.T) { randomClasses(t, f) },
		})
		drainAndCheck(f)
	})
}

func randomArrival(t *rapid.T, f *fixture) {
	class := rapid.SampledFrom([]model.Class{"browse", "lookup", "filing", "unknown"}).Draw(t, "class")
	timeToDeadline := time.Duration(rapid.IntRange(1, 500).Draw(t, "ms to deadline")) * time.Millisecond
	retry := rapid.Bool().Draw(t, "retry")
	f.arrive(customerName(rapid.IntRange(0, 3).Draw(t, "customer")), class, func(c *model.Call) {
		c.Deadline, c.ClientRetry = f.now.Add(timeToDeadline), retry
		if retry { // some calls need a token; that these are the retries is arbitrary
			c.Token = &model.Token{Expiry: f.now.Add(timeToDeadline / 2)}
		}
	})
}

func randomBurst(t *rapid.T, f *fixture) {
	for range rapid.IntRange(1, 60).Draw(t, "size") {
		randomArrival(t, f)
	}
}

func (f *fixture) runningIDs() []model.CallID {
	var ids []model.CallID
	for id := range f.running {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func randomFinish(t *rapid.T, f *fixture) {
	ids := f.runningIDs()
	if len(ids) == 0 {
		return
	}
	results := []Result{ResultOK, ResultOK, ResultOK, ResultOverloaded, ResultTimeout, ResultConnectionReset, ResultConnectionRefused, ResultIgnored}
	f.finishWith(Outcome{
		CallID:      rapid.SampledFrom(ids).Draw(t, "id"),
		Result:      rapid.SampledFrom(results).Draw(t, "result"),
		StartMarker: rapid.SampledFrom([]string{"", "", "a", "b"}).Draw(t, "start"),
	})
}

func randomCancel(t *rapid.T, f *fixture) {
	id := model.CallID(rapid.Uint64Range(1, uint64(f.nextID)+1).Draw(t, "id"))
	f.core.OnCanceled(f.now, id)
	f.collect()
}

func randomOutOfService(t *rapid.T, f *fixture) {
	f.docs["zone/"+string(testZone)] = model.AvailabilityConfig{OutOfService: rapid.Bool().Draw(t, "zone out")}
	f.docs["target/"+string(testInstance)] = model.AvailabilityConfig{OutOfService: rapid.Bool().Draw(t, "target out")}
	f.publishConfig()
}

func randomWithdrawal(t *rapid.T, f *fixture) {
	customer := customerName(rapid.IntRange(0, 3).Draw(t, "customer"))
	f.docs["key/"+keyOf(customer).String()] = model.KeyConfig{Customer: customer, Withdrawn: rapid.Bool().Draw(t, "withdrawn")}
	f.publishConfig()
}

func randomClasses(t *rapid.T, f *fixture) {
	order := rapid.Permutation([]model.Class{"browse", "lookup", "filing"}).Draw(t, "order")
	f.docs[model.FleetDocument] = model.FleetConfig{Classes: order[:rapid.IntRange(0, 3).Draw(t, "classes")]}
	f.publishConfig()
}

// drainAndCheck drains the target and checks that every call has ended.
func drainAndCheck(f *fixture) {
	f.core.OnDrain(f.now)
	for range 1000 {
		f.collect()
		for _, id := range f.runningIDs() {
			f.finish(id, ResultOK)
		}
		f.advance(10 * time.Millisecond)
		if len(f.core.executions) == 0 {
			break
		}
	}
	if len(f.core.executions) != 0 || f.core.running != 0 || f.core.queue.length != 0 {
		f.t.Fatalf("%d calls left after the drain, %d running, %d queued", len(f.core.executions), f.core.running, f.core.queue.length)
	}
	if f.state() != "drained" {
		f.t.Fatalf("state %s after the drain", f.state())
	}
}
