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
type gate interface {
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
	name  string
	gate  func(self model.Member, size *serviceSize, rng *rand.Rand) gate
	entry func(d *deployment) entryLimit // nil limits nothing at the entry
}

// entryLimit decides at an entry node whether a customer may send now.
type entryLimit interface {
	take(now time.Duration, node int, service int, customer int) bool
}

// check fails the run when an invariant of the policy breaks.
var check = invariant.New(event.Discard(), func(name, detail string) { panic("invariant " + name + ": " + detail) })

// variants lists the full policy and the baselines.
func variants() []variant {
	return []variant{
		{name: "full", gate: func(self model.Member, _ *serviceSize, rng *rand.Rand) gate {
			return admission.New(self, admission.Options{Rand: rng, Check: check})
		}},
		{name: "none", gate: func(model.Member, *serviceSize, *rand.Rand) gate { return newFixed(0) }},
		{name: "fifo", gate: func(_ model.Member, size *serviceSize, _ *rand.Rand) gate { return newFixed(size.slots) }},
		{name: "shares", gate: func(model.Member, *serviceSize, *rand.Rand) gate { return newFixed(0) }, entry: newShares},
	}
}

// fixed is a baseline: a fixed limit with one queue by order of arrival. A
// limit of 0 lets every call pass.
type fixed struct {
	limit    int
	running  map[model.CallID]bool
	queue    []*model.Call
	canceled map[model.CallID]bool
	out      []admission.Decision
}

// fifoRoom bounds the queue of the baseline, as a multiple of the slots.
const fifoRoom = 20

func newFixed(limit int) *fixed {
	return &fixed{limit: limit, running: make(map[model.CallID]bool), canceled: make(map[model.CallID]bool)}
}

func (f *fixed) OnSnapshot(time.Time, *model.Snapshot) {}
func (f *fixed) OnProbe(time.Time, bool)               {}
func (f *fixed) Signals() []admission.Signal           { return nil }

func (f *fixed) OnArrival(now time.Time, call *model.Call) {
	if f.limit == 0 || (len(f.running) < f.limit && len(f.queue) == 0) {
		f.run(call)
		return
	}
	if len(f.queue) >= fifoRoom*f.limit {
		refusal := model.NewRefusal(call.ID, model.ReasonShed, "full")
		f.out = append(f.out, admission.Decision{CallID: call.ID, Answer: refusal})
		return
	}
	f.queue = append(f.queue, call)
}

func (f *fixed) run(call *model.Call) {
	f.running[call.ID] = true
	f.out = append(f.out, admission.Decision{CallID: call.ID, Run: true})
}

func (f *fixed) OnFinished(now time.Time, o admission.Outcome) {
	delete(f.running, o.CallID)
	f.start(now)
}

func (f *fixed) start(now time.Time) {
	for len(f.queue) > 0 && len(f.running) < f.limit {
		call := f.queue[0]
		f.queue = f.queue[1:]
		if f.canceled[call.ID] {
			delete(f.canceled, call.ID)
			continue
		}
		f.run(call)
	}
}

func (f *fixed) OnCanceled(_ time.Time, id model.CallID) {
	if f.running[id] {
		f.out = append(f.out, admission.Decision{CallID: id, Cancel: true})
		return
	}
	f.canceled[id] = true
}

func (f *fixed) Tick(now time.Time) time.Time { f.start(now); return time.Time{} }

func (f *fixed) Decisions() []admission.Decision {
	out := f.out
	f.out = nil
	return out
}

func (f *fixed) Load() model.Load {
	return model.Load{InFlight: len(f.running), Queued: len(f.queue), Limit: f.limit}
}

// shares is a baseline: each entry node holds a fixed part of each customer's
// rate. The customers' rates add up to what the targets bear, in the parts of
// their usual demand.
type shares struct {
	rates   []float64 // per service: rate of all customers at one node
	buckets map[[3]int]*bucket
}

type bucket struct {
	tokens float64
	at     time.Duration
}

func newShares(d *deployment) entryLimit {
	s := &shares{buckets: make(map[[3]int]*bucket)}
	for i, rate := range d.rates(1) {
		s.rates = append(s.rates, rate/float64(d.services[i].upstreams))
	}
	return s
}

func (s *shares) take(now time.Duration, node, service, customer int) bool {
	key := [3]int{node, service, customer}
	b := s.buckets[key]
	rate := s.rates[service] * customerShares[customer]
	burst := max(rate/2, 2)
	if b == nil {
		b = &bucket{tokens: burst, at: now}
		s.buckets[key] = b
	}
	b.tokens = min(b.tokens+(now-b.at).Seconds()*rate, burst)
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
