package bench

import (
	"math"
	"slices"
	"time"
)

// binWidth is the resolution of the series.
const binWidth = 50 * time.Millisecond

// seriesKey identifies a series. The numbers are indexes.
type seriesKey struct{ service, customer, class int }

// series is a time series with one value for each bin of binWidth.
type series []float64

// add adds v to the bin that contains the time at.
func (s *series) add(at time.Duration, v float64) {
	i := int(at / binWidth)
	for len(*s) <= i {
		*s = append(*s, 0)
	}
	(*s)[i] += v
}

// sum returns the sum of the bins between two times.
func (s series) sum(from, to time.Duration) float64 {
	total := 0.0
	for i := int(from / binWidth); i < int(to/binWidth) && i < len(s); i++ {
		total += s[i]
	}
	return total
}

// recorder records the events of a run from which the measures are computed. Work is
// counted in slot-seconds, as holdTime defines them.
type recorder struct {
	fleet                  *fleet
	capacity               []series // per service: work that the targets in service can do
	demandedWork           map[seriesKey]*series
	servedWork             map[seriesKey]*series // work of successful requests, by the time of the answer
	requestedSteps         map[seriesKey]*series // steps, by the time of the request
	succeededSteps         map[seriesKey]*series // steps of successful requests, by the time of the answer
	succeededByRequestTime map[seriesKey]*series // steps of successful requests, by the time of the request
	arrivals               map[seriesKey]*series // requests of callers, without retries
	failedFirstAttempts    map[seriesKey]*series // requests of callers whose first attempt failed, by the time of arrival
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

// getOrCreateSeries returns the series with the key k and adds an empty one if there is
// none.
func getOrCreateSeries(m map[seriesKey]*series, k seriesKey) *series {
	if m[k] == nil {
		m[k] = new(series)
	}
	return m[k]
}

// sampleCapacity records the capacity that the targets in service would have now without
// crashes from overload as that of the next bin, and schedules the next sample.
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

// recordArrival records a request of a caller before its first attempt.
func (rec *recorder) recordArrival(r *request) {
	now := rec.fleet.loop.now
	k := seriesKey{r.service, r.customer, r.class}
	getOrCreateSeries(rec.arrivals, k).add(now, 1)
	rec.countDemand(r, r.root)
}

// countDemand records the work of a step as demand, once for all retries. A sub-call
// counts only when its parent sends it.
func (rec *recorder) countDemand(r *request, s *step) {
	if s.demandCounted {
		return
	}
	s.demandCounted, s.requestedAt = true, rec.fleet.loop.now
	k := seriesKey{s.service, r.customer, r.class}
	getOrCreateSeries(rec.demandedWork, k).add(s.requestedAt, rec.holdTime(s).Seconds())
	getOrCreateSeries(rec.requestedSteps, k).add(s.requestedAt, 1)
}

// holdTime returns the time for which a step occupies a slot if its sub-calls do not
// have to wait for slots. The step's own service counts at its normal speed, since
// sampleCapacity divides by the slowdown; the services of sub-calls count at their
// current speed.
func (rec *recorder) holdTime(s *step) time.Duration {
	if s.subCall == nil {
		return s.ownWork
	}
	slowdown := rec.fleet.byService[s.subCall.service][0].target.slowdown
	sub := time.Duration(float64(rec.holdTime(s.subCall)) * slowdown)
	return s.ownWork + sub + 2*rec.fleet.deployment.zoneLatency
}

// recordFirstAnswer records a request if its first attempt failed. A first attempt
// without an answer does not count as failed.
func (rec *recorder) recordFirstAnswer(r *request, succeeded bool) {
	if !succeeded {
		getOrCreateSeries(rec.failedFirstAttempts, seriesKey{r.service, r.customer, r.class}).add(r.arrivedAt, 1)
	}
}

// recordSuccess records the work of all steps of a request when its first successful
// answer arrives. It ignores further answers.
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

// total adds up the matching series. It does so in a fixed order, since the order of
// floating-point additions affects the last digits of the sum.
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

// goodput returns the work of successful requests as a share of the achievable work:
// for each service, the targets' capacity or, if lower, the demand. Of the work at a
// service, no more than the achievable work counts.
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

// recoveryBin is the width of the bins in which recovery is checked.
const recoveryBin = 250 * time.Millisecond

// recoveredShare is the smallest share of first attempts that succeed in a bin for the
// fleet to count as recovered.
const recoveredShare = 0.97

// recovery returns the time from a trigger's end until first attempts succeed for the
// rest of the time up to observedUntil. It returns that whole time if they still fail
// in the last bin.
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

// fairness is the result of a comparison of what customers got with their max-min fair
// shares.
type fairness struct {
	worstShare          float64   // lowest fraction of its fair share that a customer got
	worstKey            seriesKey // service and customer with worstShare
	arrivalsWithinShare float64   // requests of customers within their fair share, without retries
	failedWithinShare   float64   // of these, requests whose first attempt failed
}

// minFairRequests is the smallest fair share, in requests, that counts toward
// worstShare. With fewer requests, random variation alone could reduce the fraction
// below the goal of 0.95 that the tests check.
const minFairRequests = 100

// computeFairness compares the steps served for each customer at each service with the
// customer's max-min fair share of the service's capacity. Capacity is allotted to the
// classes in reverse shedding order; within a class, customers have equal weights.
// Demand and capacity are compared in bins of width bin, which is small in cases in
// which the capacity changes, because later capacity cannot serve earlier demand.
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

// fairShare is the max-min fair share of a customer in one class of a service, in
// requests.
type fairShare struct {
	demand     float64
	amount     float64 // the share
	waterLevel float64 // demands up to this level are served in full
}

// addFairShares adds the customers' fair shares of one bin at a service, and the
// requests of customers within their fair share.
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

// servedRequests returns how many requests of a customer in a class were served between
// two times. If the whole demand is within the fair share, it counts the successful
// requests by when they were sent, so that requests in progress at the end are included.
// Otherwise it counts them by when they were answered.
func (rec *recorder) servedRequests(k seriesKey, s *fairShare, from, to time.Duration) float64 {
	if s.demand <= s.waterLevel {
		return min(getOrCreateSeries(rec.succeededByRequestTime, k).sum(from, to), s.amount)
	}
	return getOrCreateSeries(rec.succeededSteps, k).sum(from, to)
}

// withinShareFactor is the fraction of its fair share up to which the demand of a
// customer counts as within the share. The margin allows for Poisson arrivals, which
// exceed their mean for short times.
const withinShareFactor = 0.9

// waterLevel returns the level up to which demands are served in full, as in the
// water-filling algorithm. It is infinite if all are.
func waterLevel(amounts, demands []float64) float64 {
	level := math.Inf(1)
	for c, amount := range amounts {
		if amount < demands[c] {
			level = min(level, amount)
		}
	}
	return level
}

// maxMinShares divides capacity among demands with max-min fairness: it maximizes the
// smallest share, then the next, and gives no demand more than it asks for.
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
