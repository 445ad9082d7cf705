package bench

import (
	"math/rand/v2"
	"time"

	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/core/invariant"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/admission"
)

// admissionPolicy decides at a target's node which calls run and when. It has the
// methods of admission.Core that the simulation uses.
type admissionPolicy interface {
	OnSnapshot(now time.Time, s *model.Snapshot)
	OnArrival(now time.Time, call *model.Call)
	OnFinished(now time.Time, o admission.Outcome)
	OnCanceled(now time.Time, id model.CallID)
	OnProbe(now time.Time, ok bool)
	Tick(now time.Time) time.Time
	Decisions() []admission.Decision
	Signals() []admission.Signal
	Load() model.Load
}

// variant is a policy to measure: the full policy or a baseline.
type variant struct {
	name            string
	newPolicy       func(self model.Member, spec *serviceSpec, rng *rand.Rand) admissionPolicy
	newEntryLimiter func(d *deployment) entryLimiter // nil for no limit at the entry nodes
}

// entryLimiter decides at an entry node whether a request of a customer is accepted.
type entryLimiter interface {
	allow(now time.Duration, node int, service int, customer int) bool
}

// invariantCheck is a checker that panics if an invariant of a policy is violated.
var invariantCheck = invariant.New(event.Discard(), func(name, detail string) { panic("invariant " + name + ": " + detail) })

// variants returns the full policy and the baselines. Their names appear in results and
// plots.
func variants() []variant {
	return []variant{
		{name: "full", newPolicy: func(self model.Member, _ *serviceSpec, rng *rand.Rand) admissionPolicy {
			return admission.New(self, admission.Options{Rand: rng, Check: invariantCheck})
		}},
		{name: "none", newPolicy: func(model.Member, *serviceSpec, *rand.Rand) admissionPolicy { return newFIFO(0) }},
		{name: "fifo", newPolicy: func(_ model.Member, spec *serviceSpec, _ *rand.Rand) admissionPolicy { return newFIFO(spec.slots) }},
		{name: "shares", newPolicy: func(model.Member, *serviceSpec, *rand.Rand) admissionPolicy { return newFIFO(0) }, newEntryLimiter: newFixedRates},
	}
}

// fifoPolicy is a baseline: a fixed concurrency limit with one FIFO queue. With limit 0,
// every call runs on arrival.
type fifoPolicy struct {
	limit     int
	running   map[model.CallID]bool
	queue     []*model.Call
	canceled  map[model.CallID]bool
	decisions []admission.Decision
}

// fifoQueueFactor is the ratio of the queue's capacity to the concurrency limit.
const fifoQueueFactor = 20

func newFIFO(limit int) *fifoPolicy {
	return &fifoPolicy{limit: limit, running: make(map[model.CallID]bool), canceled: make(map[model.CallID]bool)}
}

func (f *fifoPolicy) OnSnapshot(time.Time, *model.Snapshot) {}
func (f *fifoPolicy) OnProbe(time.Time, bool)               {}
func (f *fifoPolicy) Signals() []admission.Signal           { return nil }

func (f *fifoPolicy) OnArrival(now time.Time, call *model.Call) {
	if f.limit == 0 || (len(f.running) < f.limit && len(f.queue) == 0) {
		f.admit(call)
		return
	}
	if len(f.queue) >= fifoQueueFactor*f.limit {
		refusal := model.NewRefusal(call.ID, model.ReasonShed, "the queue is full")
		f.decisions = append(f.decisions, admission.Decision{CallID: call.ID, Answer: refusal})
		return
	}
	f.queue = append(f.queue, call)
}

// admit decides that a call runs.
func (f *fifoPolicy) admit(call *model.Call) {
	f.running[call.ID] = true
	f.decisions = append(f.decisions, admission.Decision{CallID: call.ID, Run: true})
}

func (f *fifoPolicy) OnFinished(now time.Time, o admission.Outcome) {
	delete(f.running, o.CallID)
	f.admitQueued(now)
}

// admitQueued admits queued calls while the limit allows it, and drops canceled ones.
func (f *fifoPolicy) admitQueued(now time.Time) {
	for len(f.queue) > 0 && len(f.running) < f.limit {
		call := f.queue[0]
		f.queue = f.queue[1:]
		if f.canceled[call.ID] {
			delete(f.canceled, call.ID)
			continue
		}
		f.admit(call)
	}
}

func (f *fifoPolicy) OnCanceled(_ time.Time, id model.CallID) {
	if f.running[id] {
		f.decisions = append(f.decisions, admission.Decision{CallID: id, Cancel: true})
		return
	}
	f.canceled[id] = true
}

func (f *fifoPolicy) Tick(now time.Time) time.Time { f.admitQueued(now); return time.Time{} }

func (f *fifoPolicy) Decisions() []admission.Decision {
	out := f.decisions
	f.decisions = nil
	return out
}

func (f *fifoPolicy) Load() model.Load {
	return model.Load{InFlight: len(f.running), Queued: len(f.queue), Limit: f.limit}
}

// fixedRates is a baseline: each entry node limits each customer to an equal part of
// the customer's rate. The targets' capacity is divided into these rates in proportion
// to the customers' demand without a trigger.
type fixedRates struct {
	rates   []float64          // per service: rate of all customers at each entry node
	buckets map[[3]int]*bucket // by entry node, service and customer
}

// bucket is a token bucket.
type bucket struct {
	tokens    float64
	updatedAt time.Duration
}

func newFixedRates(d *deployment) entryLimiter {
	r := &fixedRates{buckets: make(map[[3]int]*bucket)}
	for i, rate := range d.arrivalRates(1) {
		r.rates = append(r.rates, rate/float64(d.services[i].targets))
	}
	return r
}

func (r *fixedRates) allow(now time.Duration, node, service, customer int) bool {
	key := [3]int{node, service, customer}
	b := r.buckets[key]
	rate := r.rates[service] * customerShares[customer]
	burst := max(rate/2, 2)
	if b == nil {
		b = &bucket{tokens: burst, updatedAt: now}
		r.buckets[key] = b
	}
	b.tokens = min(b.tokens+(now-b.updatedAt).Seconds()*rate, burst)
	b.updatedAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
