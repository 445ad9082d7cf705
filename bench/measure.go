package bench

import (
	"math"
	"slices"
	"time"
)

// binTime is the resolution of the measures.
const binTime = 50 * time.Millisecond

// key selects one series: service, customer, class.
type seriesKey struct{ service, customer, class int }

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
type recorder struct {
	fleet              *fleet
	capacity           []series // per service: work that the targets bear
	demandedWork       map[seriesKey]*series
	servedWork         map[seriesKey]*series // work of whole requests, by the time of the answer
	requested          map[seriesKey]*series // steps asked for
	succeeded          map[seriesKey]*series // steps of whole requests, by the time of the answer
	succeededByRequest map[seriesKey]*series // the same, by the time at which they were asked for
	arrivals           map[seriesKey]*series // original requests
	failedFirst        map[seriesKey]*series // of these: first attempt without a whole answer
}

func newRecorder(f *fleet) *recorder {
	m := &recorder{
		fleet:              f,
		capacity:           make([]series, len(f.deployment.services)),
		demandedWork:       make(map[seriesKey]*series),
		servedWork:         make(map[seriesKey]*series),
		requested:          make(map[seriesKey]*series),
		succeeded:          make(map[seriesKey]*series),
		succeededByRequest: make(map[seriesKey]*series),
		arrivals:           make(map[seriesKey]*series),
		failedFirst:        make(map[seriesKey]*series),
	}
	m.sampleCapacity()
	return m
}

func seriesOf(m map[seriesKey]*series, k seriesKey) *series {
	if m[k] == nil {
		m[k] = new(series)
	}
	return m[k]
}

// sampleCapacity books what the targets in service bear in the next bin.
func (m *recorder) sampleCapacity() {
	f := m.fleet
	for i, nodes := range f.byService {
		for _, n := range nodes {
			if !n.zoneOut {
				m.capacity[i].add(f.loop.now, n.target.capacityWithoutCrashes()/n.target.slowdown*binTime.Seconds())
			}
		}
	}
	f.loop.after(binTime, m.sampleCapacity)
}

func (m *recorder) recordArrival(r *request) {
	now := m.fleet.loop.now
	k := seriesKey{r.service, r.customer, r.class}
	seriesOf(m.arrivals, k).add(now, 1)
	m.countDemand(r, r.root)
}

// countDemand books the work of one step. A sub-call is demand only once its
// parent sends it.
func (m *recorder) countDemand(r *request, s *step) {
	if s.demandCounted {
		return
	}
	s.demandCounted, s.requestedAt = true, m.fleet.loop.now
	k := seriesKey{s.service, r.customer, r.class}
	seriesOf(m.demandedWork, k).add(s.requestedAt, m.holdTime(s).Seconds())
	seriesOf(m.requested, k).add(s.requestedAt, 1)
}

// work is the time for which a step holds its slot when nothing waits.
func (m *recorder) holdTime(s *step) time.Duration {
	if s.subCall == nil {
		return s.ownWork
	}
	slow := m.fleet.byService[s.subCall.service][0].target.slowdown
	sub := time.Duration(float64(m.holdTime(s.subCall)) * slow)
	return s.ownWork + sub + 2*m.fleet.deployment.zoneLatency
}

func (m *recorder) recordFirstAnswer(r *request, succeeded bool) {
	if !succeeded {
		seriesOf(m.failedFirst, seriesKey{r.service, r.customer, r.class}).add(r.arrivedAt, 1)
	}
}

// onWhole books the work of all steps of a request that was answered whole.
func (m *recorder) recordSuccess(r *request) {
	if r.succeeded {
		return
	}
	r.succeeded = true
	for s := r.root; s != nil; s = s.subCall {
		k := seriesKey{s.service, r.customer, r.class}
		seriesOf(m.servedWork, k).add(m.fleet.loop.now, m.holdTime(s).Seconds())
		seriesOf(m.succeeded, k).add(m.fleet.loop.now, 1)
		seriesOf(m.succeededByRequest, k).add(s.requestedAt, 1)
	}
}

// total adds up series in a fixed order, since the order of additions changes
// the last digits.
func (m *recorder) total(byKey map[seriesKey]*series, from, to time.Duration, match func(seriesKey) bool) float64 {
	sum := 0.0
	for service := range m.capacity {
		for customer := range customerShares {
			for class := range m.fleet.deployment.classes {
				k := seriesKey{service, customer, class}
				if s := byKey[k]; s != nil && match(k) {
					sum += s.sum(from, to)
				}
			}
		}
	}
	return sum
}

func anyKey(seriesKey) bool { return true }

// goodput is the work of whole requests as a part of what the targets bear,
// or of the demand where that is less.
func (m *recorder) goodput(from, to time.Duration) float64 {
	served, achievable := 0.0, 0.0
	for i := range m.capacity {
		ofService := func(k seriesKey) bool { return k.service == i }
		achievableHere := min(m.capacity[i].sum(from, to), m.total(m.demandedWork, from, to, ofService))
		served += min(m.total(m.servedWork, from, to, ofService), achievableHere)
		achievable += achievableHere
	}
	return served / achievable
}

// recoveryBin is the resolution of the recovery time.
const recoveryBin = 250 * time.Millisecond

// recoveredShare is the part of first attempts that must get whole answers
// for a fleet to count as recovered.
const recoveredShare = 0.97

// recovery is the time after a trigger's end from which on requests get whole
// answers at their first attempt. It is the whole observed time when they
// never do.
func (m *recorder) recovery(end, observed time.Duration) time.Duration {
	recovered := time.Duration(0)
	for from := end; from+recoveryBin <= observed; from += recoveryBin {
		arrivals := m.total(m.arrivals, from, from+recoveryBin, anyKey)
		failed := m.total(m.failedFirst, from, from+recoveryBin, anyKey)
		if arrivals > 0 && failed/arrivals > 1-recoveredShare {
			recovered = from + recoveryBin - end
		}
	}
	return recovered
}

// service is the part of requests whose first attempt gets a whole answer.
func (m *recorder) firstAttemptSuccess(from, to time.Duration) float64 {
	return 1 - m.total(m.failedFirst, from, to, anyKey)/m.total(m.arrivals, from, to, anyKey)
}

// fairness is what the customers got beside what they should get.
type fairness struct {
	worstShare     float64   // lowest served part of a max-min fair part
	worstKey       seriesKey // its service and customer
	arrivalsWithin float64   // requests of customers within their part
	refusedWithin  float64   // of these, first attempts without a whole answer
}

// minPart is the least fair part, in requests, at which a customer is judged:
// the noise of fewer requests exceeds the bounds.
const minFairRequests = 100

// fair compares the steps that were served to each customer at each service
// with its max-min fair part of what the service bears: classes in reverse
// shedding order, customers inside a class with equal weights. bin is the time
// over which demand and capacity are compared: where the capacity changes, what
// targets bear later cannot serve what is asked for now.
func (m *recorder) computeFairness(from, to, bin time.Duration) fairness {
	out := fairness{worstShare: math.Inf(1)}
	for s := range m.capacity {
		shares := make(map[seriesKey]*fairShare)
		for t := from; t < to; t += bin {
			m.addFairShares(&out, shares, s, t, min(t+bin, to))
		}
		for c := range customerShares {
			fair, served := 0.0, 0.0
			for class := range m.fleet.deployment.classes {
				k := seriesKey{s, c, class}
				fair += shares[k].amount
				served += m.servedRequests(k, shares[k], from, to)
			}
			if fair >= minFairRequests && served/fair < out.worstShare {
				out.worstShare, out.worstKey = served/fair, seriesKey{service: s, customer: c}
			}
		}
	}
	return out
}

// share is what one customer should get in one class of a service.
type fairShare struct {
	demand float64
	amount float64 // max-min fair
	level  float64 // up to which demands are met in full
}

// fairInBin adds the customers' shares at a service in one bin.
func (m *recorder) addFairShares(out *fairness, shares map[seriesKey]*fairShare, s int, from, to time.Duration) {
	left := m.capacity[s].sum(from, to) / m.fleet.deployment.meanHoldTime(s).Seconds()
	for class := len(m.fleet.deployment.classes) - 1; class >= 0; class-- {
		demands := make([]float64, len(customerShares))
		for c := range demands {
			demands[c] = seriesOf(m.requested, seriesKey{s, c, class}).sum(from, to)
		}
		amounts := maxMinShares(demands, left)
		level := fullyServedLevel(amounts, demands)
		for c, amount := range amounts {
			k := seriesKey{s, c, class}
			if shares[k] == nil {
				shares[k] = new(fairShare)
			}
			shares[k].demand += demands[c]
			shares[k].amount += amount
			shares[k].level += min(level, slices.Max(demands))
			left -= amount
			if demands[c] <= wrongfulBelow*level {
				out.arrivalsWithin += seriesOf(m.arrivals, k).sum(from, to)
				out.refusedWithin += seriesOf(m.failedFirst, k).sum(from, to)
			}
		}
	}
}

// got is what a customer got in a class. Of a customer that asks for less than
// the others get, every request counts, by the time at which it was asked for:
// what is answered in the time leaves out those that are on their way at its
// end. Of the others, what was answered in the time counts.
func (m *recorder) servedRequests(k seriesKey, s *fairShare, from, to time.Duration) float64 {
	if s.demand <= s.level {
		return min(seriesOf(m.succeededByRequest, k).sum(from, to), s.amount)
	}
	return seriesOf(m.succeeded, k).sum(from, to)
}

// withinPart is the part of the fair part up to which a refusal counts as
// wrongful: Poisson arrivals exceed their mean for a while.
const wrongfulBelow = 0.9

// equalPart is the level up to which demands are met in full.
func fullyServedLevel(amounts, demands []float64) float64 {
	level := math.Inf(1)
	for c, amount := range amounts {
		if amount < demands[c] {
			level = min(level, amount)
		}
	}
	return level
}

// maxMin divides capacity among demands so that the smallest part is as large
// as it can be, then the next.
func maxMinShares(demands []float64, capacity float64) []float64 {
	amounts := make([]float64, len(demands))
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
		amounts[c] = min(demands[c], max(capacity, 0)/float64(len(order)-i))
		capacity -= amounts[c]
	}
	return amounts
}
