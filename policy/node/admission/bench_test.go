package admission

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

// benchCalls is the number of model.Call values that a benchmark reuses in turn.
// It must exceed the number of calls that a core holds.
const benchCalls = 4096

// newBenchFixture returns a fixture with a warm target and n customers, and
// benchCalls calls of these customers in turn.
func newBenchFixture(b *testing.B, slots, n int) (*fixture, []*model.Call) {
	f := newFixture(b, slots)
	for i := range n {
		f.addCustomer(customerName(i), 1)
	}
	f.publishConfig()
	f.setWarm()
	calls := make([]*model.Call, benchCalls)
	for i := range calls {
		name := customerName(i % n)
		calls[i] = &model.Call{
			Service: testService, Customer: name, KeyHash: keyOf(name), Class: "lookup",
			Deadline: f.now.Add(time.Hour),
		}
	}
	return f, calls
}

// BenchmarkAdmission measures one arrival and one finish. In "free" each call
// finds a free slot. In "full" all slots are in use and the queue is full, so
// that a finish starts a queued call and an arrival replaces it.
func BenchmarkAdmission(b *testing.B) {
	for _, n := range []int{1, 8, 64, 1000} {
		b.Run(fmt.Sprintf("free/customers=%d", n), func(b *testing.B) {
			f, calls := newBenchFixture(b, 100, n)
			f.core.check = nil
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				call := calls[i%benchCalls]
				call.ID = model.CallID(i + 1)
				f.core.OnArrival(f.now, call)
				f.core.Decisions()
				f.core.OnFinished(f.now, Outcome{CallID: call.ID})
				f.core.Decisions()
			}
		})
		b.Run(fmt.Sprintf("full/customers=%d", n), func(b *testing.B) { benchmarkFull(b, n) })
	}
}

func benchmarkFull(b *testing.B, n int) {
	f, calls := newBenchFixture(b, 100, n)
	f.core.check = nil
	var running []model.CallID
	next := 0
	arrive := func() {
		call := calls[next%benchCalls]
		next++
		call.ID = model.CallID(next)
		f.core.OnArrival(f.now, call)
	}
	collect := func() {
		for _, d := range f.core.Decisions() {
			if d.Run {
				running = append(running, d.CallID)
			}
		}
	}
	// Enough arrivals to fill the slots and the queue.
	for range 10 * 100 {
		arrive()
		collect()
	}
	b.ReportAllocs()
	for b.Loop() {
		f.core.OnFinished(f.now, Outcome{CallID: running[0]})
		running = running[1:]
		collect()
		arrive()
		collect()
	}
}

// BenchmarkQueuedMemory measures the memory of a queued call, without the
// model.Call itself.
func BenchmarkQueuedMemory(b *testing.B) {
	const slots = 20_000
	f, calls := newBenchFixture(b, slots, 8)
	var before, after runtime.MemStats
	held := make([]*model.Call, 2*slots)
	for i := range held {
		call := *calls[i%len(calls)]
		call.ID = model.CallID(i + 1)
		held[i] = &call
	}
	for _, call := range held[:slots] {
		f.core.OnArrival(f.now, call)
		f.core.Decisions()
	}
	runtime.GC()
	runtime.ReadMemStats(&before)
	for _, call := range held[slots:] {
		f.core.OnArrival(f.now, call)
		f.core.Decisions()
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	// The memory has been measured above; the loop only satisfies the benchmark.
	for b.Loop() {
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(f.core.queue.length), "B/queued-call")
	b.ReportMetric(0, "ns/op")
	runtime.KeepAlive(held)
}
