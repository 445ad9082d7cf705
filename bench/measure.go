package bench

import (
	"math"
	"slices"
	"time"
)

// binTime is the resolution of the measures.
const binTime = 50 * time.Millisecond

// key selects one series: service, customer, class.
type key struct{ service, customer, class int }

// series holds one number for each bin.
type series []float64

func (s *series) add(at time.Duration, v float64) {
	i := int(at / binTime)
	for len(*s) <= i {
		*s = append(*s, 0)
	}
	(*s)[i] += v
}

func (s series) sum(from, to time.Duration) float64 {
	total := 0.0
	for i := int(from / binTime); i < int(to/binTime) && i < len(s); i++ {
		total += s[i]
	}
	return total
}

// measure collects what happened in a run. Work is counted in seconds of
// slots at the usual speed.
type measure struct {
	fleet    *fleet
	capacity []series // per service: work that the targets bear
	demand   map[key]*series
	served   map[key]*series // work of whole requests, by the time of the answer
	asked    map[key]*series // steps asked for
	whole    map[key]*series // steps of whole requests, by the time of the answer
	kept     map[key]*series // the same, by the time at which they were asked for
	arrivals map[key]*series // original requests
	failed   map[key]*series // of these: first attempt without a whole answer
}

func newMeasure(f *fleet) *measure {
	m := &measure{
		fleet:    f,
		capacity: make([]series, len(f.deployment.services)),
		demand:   make(map[key]*series),
		served:   make(map[key]*series),
		asked:    make(map[key]*series),
		whole:    make(map[key]*series),
		kept:     make(map[key]*series),
		arrivals: make(map[key]*series),
		failed:   make(map[key]*series),
	}
	m.sampleCapacity()
	return m
}

func at(m map[key]*series, k key) *series {
	if m[k] == nil {
		m[k] = new(series)
	}
	return m[k]
}

// sampleCapacity books what the targets in service bear in the next bin.
func (m *measure) sampleCapacity() {
	f := m.fleet
	for i, nodes := range f.byService {
		for _, n := range nodes {
			if !n.out {
				m.capacity[i].add(f.loop.now, n.target.couldBear()/n.target.slow*binTime.Seconds())
			}
		}
	}
	f.loop.after(binTime, m.sampleCapacity)
}

func (m *measure) onArrival(r *request) {
	now := m.fleet.loop.now
	k := key{r.service, r.customer, r.class}
	at(m.arrivals, k).add(now, 1)
	m.countDemand(r, r.root)
}

// countDemand books the work of one step. A sub-call is demand only once its
// parent sends it.
func (m *measure) countDemand(r *request, s *step) {
	if s.counted {
		return
	}
	s.counted, s.asked = true, m.fleet.loop.now
	k := key{s.service, r.customer, r.class}
	at(m.demand, k).add(s.asked, m.work(s).Seconds())
	at(m.asked, k).add(s.asked, 1)
}

// work is the time for which a step holds its slot when nothing waits.
func (m *measure) work(s *step) time.Duration {
	if s.sub == nil {
		return s.own
	}
	slow := m.fleet.byService[s.sub.service][0].target.slow
	sub := time.Duration(float64(m.work(s.sub)) * slow)
	return s.own + sub + 2*m.fleet.deployment.zoneLatency
}

func (m *measure) onFirstAnswer(r *request, whole bool) {
	if !whole {
		at(m.failed, key{r.service, r.customer, r.class}).add(r.arrived, 1)
	}
}

// onWhole books the work of all steps of a request that was answered whole.
func (m *measure) onWhole(r *request) {
	if r.done {
		return
	}
	r.done = true
	for s := r.root; s != nil; s = s.sub {
		k := key{s.service, r.customer, r.class}
		at(m.served, k).add(m.fleet.loop.now, m.work(s).Seconds())
		at(m.whole, k).add(m.fleet.loop.now, 1)
		at(m.kept, k).add(s.asked, 1)
	}
}

// total adds up series in a fixed order, since the order of additions changes
// the last digits.
func (m *measure) total(of map[key]*series, from, to time.Duration, match func(key) bool) float64 {
	sum := 0.0
	for service := range m.capacity {
		for customer := range customerShares {
			for class := range m.fleet.deployment.classes {
				k := key{service, customer, class}
				if s := of[k]; s != nil && match(k) {
					sum += s.sum(from, to)
				}
			}
		}
	}
	return sum
}

func every(key) bool { return true }

// goodput is the work of whole requests as a part of what the targets bear,
// or of the demand where that is less.
func (m *measure) goodput(from, to time.Duration) float64 {
	served, borne := 0.0, 0.0
	for i := range m.capacity {
		ofService := func(k key) bool { return k.service == i }
		bears := min(m.capacity[i].sum(from, to), m.total(m.demand, from, to, ofService))
		served += min(m.total(m.served, from, to, ofService), bears)
		borne += bears
	}
	return served / borne
}

// recoveryBin is the resolution of the recovery time.
const recoveryBin = 250 * time.Millisecond

// recoveredShare is the part of first attempts that must get whole answers
// for a fleet to count as recovered.
const recoveredShare = 0.97

// recovery is the time after a trigger's end from which on requests get whole
// answers at their first attempt. It is the whole observed time when they
// never do.
func (m *measure) recovery(end, observed time.Duration) time.Duration {
	last := time.Duration(0)
	for from := end; from+recoveryBin <= observed; from += recoveryBin {
		arrivals := m.total(m.arrivals, from, from+recoveryBin, every)
		failed := m.total(m.failed, from, from+recoveryBin, every)
		if arrivals > 0 && failed/arrivals > 1-recoveredShare {
			last = from + recoveryBin - end
		}
	}
	return last
}

// service is the part of requests whose first attempt gets a whole answer.
func (m *measure) service(from, to time.Duration) float64 {
	return 1 - m.total(m.failed, from, to, every)/m.total(m.arrivals, from, to, every)
}

// fairness is what the customers got beside what they should get.
type fairness struct {
	worst    float64 // lowest served part of a max-min fair part
	worstKey key     // its service and customer
	within   float64 // requests of customers within their part
	refused  float64 // of these, first attempts without a whole answer
}

// minPart is the least fair part, in requests, at which a customer is judged:
// the noise of fewer requests exceeds the bounds.
const minPart = 100

// fair compares the steps that were served to each customer at each service
// with its max-min fair part of what the service bears: classes in reverse
// shedding order, customers inside a class with equal weights. bin is the time
// over which demand and capacity are compared: where the capacity changes, what
// targets bear later cannot serve what is asked for now.
func (m *measure) fair(from, to, bin time.Duration) fairness {
	out := fairness{worst: math.Inf(1)}
	for s := range m.capacity {
		shares := make(map[key]*share)
		for t := from; t < to; t += bin {
			m.fairInBin(&out, shares, s, t, min(t+bin, to))
		}
		for c := range customerShares {
			part, got := 0.0, 0.0
			for class := range m.fleet.deployment.classes {
				k := key{s, c, class}
				part += shares[k].part
				got += m.got(k, shares[k], from, to)
			}
			if part >= minPart && got/part < out.worst {
				out.worst, out.worstKey = got/part, key{service: s, customer: c}
			}
		}
	}
	return out
}

// share is what one customer should get in one class of a service.
type share struct {
	demand float64
	part   float64 // max-min fair
	level  float64 // up to which demands are met in full
}

// fairInBin adds the customers' shares at a service in one bin.
func (m *measure) fairInBin(out *fairness, shares map[key]*share, s int, from, to time.Duration) {
	left := m.capacity[s].sum(from, to) / m.fleet.deployment.holding(s).Seconds()
	for class := len(m.fleet.deployment.classes) - 1; class >= 0; class-- {
		demands := make([]float64, len(customerShares))
		for c := range demands {
			demands[c] = at(m.asked, key{s, c, class}).sum(from, to)
		}
		parts := maxMin(demands, left)
		level := equalPart(parts, demands)
		for c, part := range parts {
			k := key{s, c, class}
			if shares[k] == nil {
				shares[k] = new(share)
			}
			shares[k].demand += demands[c]
			shares[k].part += part
			shares[k].level += min(level, slices.Max(demands))
			left -= part
			if demands[c] <= withinPart*level {
				out.within += at(m.arrivals, k).sum(from, to)
				out.refused += at(m.failed, k).sum(from, to)
			}
		}
	}
}

// got is what a customer got in a class. Of a customer that asks for less than
// the others get, every request counts, by the time at which it was asked for:
// what is answered in the time leaves out those that are on their way at its
// end. Of the others, what was answered in the time counts.
func (m *measure) got(k key, s *share, from, to time.Duration) float64 {
	if s.demand <= s.level {
		return min(at(m.kept, k).sum(from, to), s.part)
	}
	return at(m.whole, k).sum(from, to)
}

// withinPart is the part of the fair part up to which a refusal counts as
// wrongful: Poisson arrivals exceed their mean for a while.
const withinPart = 0.9

// equalPart is the level up to which demands are met in full.
func equalPart(parts, demands []float64) float64 {
	level := math.Inf(1)
	for c, part := range parts {
		if part < demands[c] {
			level = min(level, part)
		}
	}
	return level
}

// maxMin divides capacity among demands so that the smallest part is as large
// as it can be, then the next.
func maxMin(demands []float64, capacity float64) []float64 {
	parts := make([]float64, len(demands))
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		switch {
		case demands[a] < demands[b]:
			return -1
		case demands[a] > demands[b]:
			return 1
		}
		return a - b
	})
	for i, c := range order {
		parts[c] = min(demands[c], max(capacity, 0)/float64(len(order)-i))
		capacity -= parts[c]
	}
	return parts
}
