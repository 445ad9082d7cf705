package bench

import (
	"math"
	"slices"
	"time"
)

// binTime is the time resolution of the series.
const binWidth = 50 * time.Millisecond

// seriesKey identifies a series.
type seriesKey struct{ service, customer, class int }

// series holds one number for each bin of time.
type series []float64

func (s *series) add(at time.Duration, v float64) {
	i := int(at / binWidth)
	for len(*s) <= i {
		*s = append(*s, 0)
	}
	(*s)[i] += v
}

func (s series) sum(from, to time.Duration) float64 {
	total := 0.0
	for i := int(from / binWidth); i < int(to/binWidth) && i < len(s); i++ {
		total += s[i]
	}
	return total
}

// recorder records what happens in a run, for the measures. Work is counted in
// slot-seconds at normal speed.
type recorder struct {
	fleet                  *fleet
	capacity               []series // per service: work that the targets can do
	demandedWork           map[seriesKey]*series
	servedWork             map[seriesKey]*series // work of successful requests, by the time of the answer
	requestedSteps         map[seriesKey]*series // steps, by the time of the request
	succeededSteps         map[seriesKey]*series // steps of successful requests, by the time of the answer
	succeededByRequestTime map[seriesKey]*series // the same, by the time of the request
	arrivals               map[seriesKey]*series // requests from outside, without retries
	failedFirstAttempts    map[seriesKey]*series // those whose first attempt failed
}

func newRecorder(f *fleet) *recorder {
	rec := &recorder{
		fleet:                  f,
		capacity:               make([]series, len(f.deployment.services)),
		demandedWork:           make(map[seriesKey]*series),
		servedWork:             make(map[seriesKey]*series),
		requestedSteps:         make(map[seriesKey]*series),
		succeededSteps:         make(map[seriesKey]*series),
		succeededByRequestTime: make(map[seriesKey]*series),
		arrivals:               make(map[seriesKey]*series),
		failedFirstAttempts:    make(map[seriesKey]*series),
	}
	rec.sampleCapacity()
	return rec
}

func getOrCreateSeries(m map[seriesKey]*series, k seriesKey) *series {
	if m[k] == nil {
		m[k] = new(series)
	}
	return m[k]
}

// sampleCapacity records the capacity of the targets in service for the next bin.
func (rec *recorder) sampleCapacity() {
	f := rec.fleet
	for i, nodes := range f.byService {
		for _, n := range nodes {
			if !n.zoneOut {
				rec.capacity[i].add(f.loop.now, n.target.capacityWithoutCrashes()/n.target.slowdown*binWidth.Seconds())
			}
		}
	}
	f.loop.after(binWidth, rec.sampleCapacity)
}

func (rec *recorder) recordArrival(r *request) {
	now := rec.fleet.loop.now
	k := seriesKey{r.service, r.customer, r.class}
	getOrCreateSeries(rec.arrivals, k).add(now, 1)
	rec.countDemand(r, r.root)
}

// countDemand records the work of one step. A sub-call counts as demand only when
// its parent sends it.
func (rec *recorder) countDemand(r *request, s *step) {
	if s.demandCounted {
		return
	}
	s.demandCounted, s.requestedAt = true, rec.fleet.loop.now
	k := seriesKey{s.service, r.customer, r.class}
	getOrCreateSeries(rec.demandedWork, k).add(s.requestedAt, rec.holdTime(s).Seconds())
	getOrCreateSeries(rec.requestedSteps, k).add(s.requestedAt, 1)
}

// holdTime is the time for which a step occupies its slot if its sub-calls need not
// wait for slots.
func (rec *recorder) holdTime(s *step) time.Duration {
	if s.subCall == nil {
		return s.ownWork
	}
	slowdown := rec.fleet.byService[s.subCall.service][0].target.slowdown
	sub := time.Duration(float64(rec.holdTime(s.subCall)) * slowdown)
	return s.ownWork + sub + 2*rec.fleet.deployment.zoneLatency
}

func (rec *recorder) recordFirstAnswer(r *request, succeeded bool) {
	if !succeeded {
		getOrCreateSeries(rec.failedFirstAttempts, seriesKey{r.service, r.customer, r.class}).add(r.arrivedAt, 1)
	}
}

// recordSuccess records the work of all steps of a request when its first successful
// answer arrives.
func (rec *recorder) recordSuccess(r *request) {
	if r.succeeded {
		return
	}
	r.succeeded = true
	for s := r.root; s != nil; s = s.subCall {
		k := seriesKey{s.service, r.customer, r.class}
		getOrCreateSeries(rec.servedWork, k).add(rec.fleet.loop.now, rec.holdTime(s).Seconds())
		getOrCreateSeries(rec.succeededSteps, k).add(rec.fleet.loop.now, 1)
		getOrCreateSeries(rec.succeededByRequestTime, k).add(s.requestedAt, 1)
	}
}

// total adds up the matching series, in a fixed order: the order of floating-point
// additions changes the last digits.
func (rec *recorder) total(byKey map[seriesKey]*series, from, to time.Duration, match func(seriesKey) bool) float64 {
	sum := 0.0
	for service := range rec.capacity {
		for customer := range customerShares {
			for class := range rec.fleet.deployment.classes {
				k := seriesKey{service, customer, class}
				if s := byKey[k]; s != nil && match(k) {
					sum += s.sum(from, to)
				}
			}
		}
	}
	return sum
}

func matchAll(seriesKey) bool { return true }

// goodput returns the work of successful requests as a share of the targets' capacity,
// or of the demand where that is less.
func (rec *recorder) goodput(from, to time.Duration) float64 {
	served, achievable := 0.0, 0.0
	for i := range rec.capacity {
		ofService := func(k seriesKey) bool { return k.service == i }
		serviceAchievable := min(rec.capacity[i].sum(from, to), rec.total(rec.demandedWork, from, to, ofService))
		served += min(rec.total(rec.servedWork, from, to, ofService), serviceAchievable)
		achievable += serviceAchievable
	}
	return served / achievable
}

// recoveryBin is the resolution of the recovery time.
const recoveryBin = 250 * time.Millisecond

// recoveredShare is the share of first attempts that must succeed for a fleet to count
// as recovered.
const recoveredShare = 0.97

// recovery returns the time from a trigger's end until first attempts succeed for the
// rest of the run. If they never do, it is the whole time up to observed.
func (rec *recorder) recovery(end, observedUntil time.Duration) time.Duration {
	recovered := time.Duration(0)
	for from := end; from+recoveryBin <= observedUntil; from += recoveryBin {
		arrivals := rec.total(rec.arrivals, from, from+recoveryBin, matchAll)
		failed := rec.total(rec.failedFirstAttempts, from, from+recoveryBin, matchAll)
		if arrivals > 0 && failed/arrivals > 1-recoveredShare {
			recovered = from + recoveryBin - end
		}
	}
	return recovered
}

// firstAttemptSuccess returns the share of requests whose first attempt succeeds.
func (rec *recorder) firstAttemptSuccess(from, to time.Duration) float64 {
	return 1 - rec.total(rec.failedFirstAttempts, from, to, matchAll)/rec.total(rec.arrivals, from, to, matchAll)
}

// fairness compares what customers got with their max-min fair shares.
type fairness struct {
	worstShare          float64   // lowest served fraction of a fair share
	worstKey            seriesKey // service and customer with worstShare
	arrivalsWithinShare float64   // requests of customers within their fair share, without retries
	failedWithinShare   float64   // those whose first attempt failed
}

// minFairRequests is the smallest fair share, in requests, for which a customer is
// compared. With fewer requests, random variation alone could take the served fraction
// below the goal of 0.95 that the tests check.
const minFairRequests = 100

// computeFairness compares the steps served for each customer at each service with the
// customer's max-min fair share of the service's capacity. The class that is shed last
// gets its capacity first; inside a class, customers have equal weights. bin is the
// length of the bins in which demand and capacity are compared. It is short where the capacity
// changes, because later capacity cannot serve earlier demand.
func (rec *recorder) computeFairness(from, to, bin time.Duration) fairness {
	out := fairness{worstShare: math.Inf(1)}
	for service := range rec.capacity {
		shares := make(map[seriesKey]*fairShare)
		for binStart := from; binStart < to; binStart += bin {
			rec.addFairShares(&out, shares, service, binStart, min(binStart+bin, to))
		}
		for customer := range customerShares {
			fair, served := 0.0, 0.0
			for class := range rec.fleet.deployment.classes {
				k := seriesKey{service, customer, class}
				fair += shares[k].amount
				served += rec.servedRequests(k, shares[k], from, to)
			}
			if fair >= minFairRequests && served/fair < out.worstShare {
				out.worstShare, out.worstKey = served/fair, seriesKey{service: service, customer: customer}
			}
		}
	}
	return out
}

// fairShare is what one customer should get in one class of a service, in requests.
type fairShare struct {
	demand     float64
	amount     float64 // the max-min fair share
	waterLevel float64 // demands up to this are served in full
}

// addFairShares adds the customers' fair shares at a service in one bin.
func (rec *recorder) addFairShares(out *fairness, shares map[seriesKey]*fairShare, service int, from, to time.Duration) {
	remaining := rec.capacity[service].sum(from, to) / rec.fleet.deployment.meanHoldTime(service).Seconds()
	for class := len(rec.fleet.deployment.classes) - 1; class >= 0; class-- {
		demands := make([]float64, len(customerShares))
		for customer := range demands {
			demands[customer] = getOrCreateSeries(rec.requestedSteps, seriesKey{service, customer, class}).sum(from, to)
		}
		amounts := maxMinShares(demands, remaining)
		level := waterLevel(amounts, demands)
		for customer, amount := range amounts {
			k := seriesKey{service, customer, class}
			if shares[k] == nil {
				shares[k] = new(fairShare)
			}
			shares[k].demand += demands[customer]
			shares[k].amount += amount
			shares[k].waterLevel += min(level, slices.Max(demands))
			remaining -= amount
			if demands[customer] <= withinShareFactor*level {
				out.arrivalsWithinShare += getOrCreateSeries(rec.arrivals, k).sum(from, to)
				out.failedWithinShare += getOrCreateSeries(rec.failedFirstAttempts, k).sum(from, to)
			}
		}
	}
}

// servedRequests returns how many requests of a customer in a class were served. For a
// customer whose whole demand is within its fair share, it counts the successful
// requests that were sent in the time, so that requests in progress at its end are not
// missing. For the others it counts the requests that were answered in the time.
func (rec *recorder) servedRequests(k seriesKey, s *fairShare, from, to time.Duration) float64 {
	if s.demand <= s.waterLevel {
		return min(getOrCreateSeries(rec.succeededByRequestTime, k).sum(from, to), s.amount)
	}
	return getOrCreateSeries(rec.succeededSteps, k).sum(from, to)
}

// withinShareFactor: a customer counts as within its fair share if its demand is at
// most this fraction of it. The margin is for Poisson arrivals, which exceed their mean
// for short times.
const withinShareFactor = 0.9

// fullyServedLevel returns the level up to which demands are served in full.
func waterLevel(amounts, demands []float64) float64 {
	level := math.Inf(1)
	for c, amount := range amounts {
		if amount < demands[c] {
			level = min(level, amount)
		}
	}
	return level
}

// maxMinShares divides capacity among demands by max-min fairness: it makes the
// smallest share as large as possible, then the next.
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
