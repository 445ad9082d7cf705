package bench

import (
	"math/rand/v2"
	"time"

	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/core/invariant"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/admission"
)

// gate is the admission policy at a target's node.
type policy interface {
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

// variant is a policy under measurement.
type variant struct {
	name            string
	newPolicy       func(self model.Member, size *serviceSpec, rng *rand.Rand) policy
	newEntryLimiter func(d *deployment) entryLimiter // nil limits nothing at the entry
}

// entryLimit decides at an entry node whether a customer may send now.
type entryLimiter interface {
	allow(now time.Duration, node int, service int, customer int) bool
}

// check fails the run when an invariant of the policy breaks.
var invariantCheck = invariant.New(event.Discard(), func(name, detail string) { panic("invariant " + name + ": " + detail) })

// variants lists the full policy and the baselines.
func variants() []variant {
	return []variant{
		{name: "full", newPolicy: func(self model.Member, _ *serviceSpec, rng *rand.Rand) policy {
			return admission.New(self, admission.Options{Rand: rng, Check: invariantCheck})
		}},
		{name: "none", newPolicy: func(model.Member, *serviceSpec, *rand.Rand) policy { return newFixed(0) }},
		{name: "fifo", newPolicy: func(_ model.Member, spec *serviceSpec, _ *rand.Rand) policy { return newFixed(spec.slots) }},
		{name: "shares", newPolicy: func(model.Member, *serviceSpec, *rand.Rand) policy { return newFixed(0) }, newEntryLimiter: newRateShares},
	}
}

// fixed is a baseline: a fixed limit with one queue by order of arrival. A
// limit of 0 lets every call pass.
type fixedLimit struct {
	limit     int
	running   map[model.CallID]bool
	queue     []*model.Call
	canceled  map[model.CallID]bool
	decisions []admission.Decision
}

// fifoRoom bounds the queue of the baseline, as a multiple of the slots.
const fifoQueueFactor = 20

func newFixed(limit int) *fixedLimit {
	return &fixedLimit{limit: limit, running: make(map[model.CallID]bool), canceled: make(map[model.CallID]bool)}
}

func (f *fixedLimit) OnSnapshot(time.Time, *model.Snapshot) {}
func (f *fixedLimit) OnProbe(time.Time, bool)               {}
func (f *fixedLimit) Signals() []admission.Signal           { return nil }

func (f *fixedLimit) OnArrival(now time.Time, call *model.Call) {
	if f.limit == 0 || (len(f.running) < f.limit && len(f.queue) == 0) {
		f.admit(call)
		return
	}
	if len(f.queue) >= fifoQueueFactor*f.limit {
		refusal := model.NewRefusal(call.ID, model.ReasonShed, "full")
		f.decisions = append(f.decisions, admission.Decision{CallID: call.ID, Answer: refusal})
		return
	}
	f.queue = append(f.queue, call)
}

func (f *fixedLimit) admit(call *model.Call) {
	f.running[call.ID] = true
	f.decisions = append(f.decisions, admission.Decision{CallID: call.ID, Run: true})
}

func (f *fixedLimit) OnFinished(now time.Time, o admission.Outcome) {
	delete(f.running, o.CallID)
	f.admitQueued(now)
}

func (f *fixedLimit) admitQueued(now time.Time) {
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

func (f *fixedLimit) OnCanceled(_ time.Time, id model.CallID) {
	if f.running[id] {
		f.decisions = append(f.decisions, admission.Decision{CallID: id, Cancel: true})
		return
	}
	f.canceled[id] = true
}

func (f *fixedLimit) Tick(now time.Time) time.Time { f.admitQueued(now); return time.Time{} }

func (f *fixedLimit) Decisions() []admission.Decision {
	out := f.decisions
	f.decisions = nil
	return out
}

func (f *fixedLimit) Load() model.Load {
	return model.Load{InFlight: len(f.running), Queued: len(f.queue), Limit: f.limit}
}

// shares is a baseline: each entry node holds a fixed part of each customer's
// rate. The customers' rates add up to what the targets bear, in the parts of
// their usual demand.
type rateShares struct {
	rates   []float64 // per service: rate of all customers at one node
	buckets map[[3]int]*bucket
}

type bucket struct {
	tokens    float64
	updatedAt time.Duration
}

func newRateShares(d *deployment) entryLimiter {
	s := &rateShares{buckets: make(map[[3]int]*bucket)}
	for i, rate := range d.arrivalRates(1) {
		s.rates = append(s.rates, rate/float64(d.services[i].targets))
	}
	return s
}

func (s *rateShares) allow(now time.Duration, node, service, customer int) bool {
	key := [3]int{node, service, customer}
	b := s.buckets[key]
	rate := s.rates[service] * customerShares[customer]
	burst := max(rate/2, 2)
	if b == nil {
		b = &bucket{tokens: burst, updatedAt: now}
		s.buckets[key] = b
	}
	b.tokens = min(b.tokens+(now-b.updatedAt).Seconds()*rate, burst)
	b.updatedAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
