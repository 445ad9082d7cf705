package bench

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

// retryPolicy describes how callers retry requests that were refused, failed or got
// no answer in time.
type retryPolicy struct {
	maxRetries    int
	baseDelay     time.Duration // before the first retry; doubles with each retry unless constantDelay is set
	constantDelay bool          // no backoff, and Retry-After is ignored
}

var (
	// backoffRetry backs off exponentially and waits at least for Retry-After.
	backoffRetry = retryPolicy{maxRetries: 2, baseDelay: 200 * time.Millisecond}
	// aggressiveRetry amplifies an overload: it retries many times at short intervals
	// and ignores Retry-After.
	aggressiveRetry = retryPolicy{maxRetries: 8, baseDelay: 20 * time.Millisecond, constantDelay: true}
)

// request is a request of a caller outside the fleet, including its retries.
type request struct {
	root      *step
	service   int
	customer  int
	class     int
	arrivedAt time.Duration
	retries   int // number of retries sent so far
	succeeded bool
}

// step is the work of a request at one service.
type step struct {
	service       int
	ownWork       time.Duration
	subCall       *step
	demandCounted bool // the recorded demand includes its work
	requestedAt   time.Duration
}

// demandRampTime is the time over which the demand grows to its base at the start of a
// run, because the admission policy treats targets as cold when their nodes start.
const demandRampTime = 7 * time.Second

// startCallers schedules the first arrival of every customer at every service.
func (f *fleet) startCallers(load float64) {
	for service, rate := range f.deployment.arrivalRates(load) {
		for customer, share := range customerShares {
			f.scheduleArrival(service, customer, rate*share)
		}
	}
}

// scheduleArrival schedules the next arrival of a Poisson process. Its rate changes
// with the ramp at the start of the run and with demandFactor.
func (f *fleet) scheduleArrival(service, customer int, rate float64) {
	rampedShare := min(float64(f.loop.now)/float64(demandRampTime), 1)
	currentRate := rate * f.demandFactor(service, customer) * max(rampedShare, 0.01)
	// Without an arrival in this time, the interval is drawn again at the current
	// rate. For a Poisson process, that does not change the distribution.
	wait := 50 * time.Millisecond
	arrives := false
	if currentRate > 0 {
		interval := time.Duration(f.rng.ExpFloat64() / currentRate * float64(time.Second))
		if interval < wait {
			wait, arrives = interval, true
		}
	}
	f.loop.after(wait, func() {
		if arrives {
			f.newRequest(service, customer)
		}
		f.scheduleArrival(service, customer, rate)
	})
}

// newRequest records an arriving request and sends it.
func (f *fleet) newRequest(service, customer int) {
	r := &request{service: service, customer: customer, class: f.pickClass(service), arrivedAt: f.loop.now, root: f.newStep(service)}
	f.recorder.recordArrival(r)
	f.sendRequest(r)
}

// pickClass draws a class from the service's mix.
func (f *fleet) pickClass(service int) int {
	x := f.rng.Float64()
	for class, share := range f.deployment.services[service].classMix {
		if x < share {
			return class
		}
		x -= share
	}
	return len(f.deployment.classes) - 1
}

// newStep draws the work of a request at a service and, recursively, of its sub-calls.
func (f *fleet) newStep(service int) *step {
	spec := &f.deployment.services[service]
	st := &step{service: service, ownWork: drawWork(f.rng, spec.meanWork)}
	if j := f.deployment.serviceIndex(spec.dependency); j >= 0 && f.rng.Float64() < spec.dependencyShare {
		st.subCall = f.newStep(j)
	}
	return st
}

// drawWork returns half of the mean plus an exponentially distributed duration with
// the other half as its mean.
func drawWork(rng *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (0.5 + 0.5*rng.ExpFloat64()))
}

// sendRequest sends a request to a random node of its service.
func (f *fleet) sendRequest(r *request) {
	nodes := f.byService[r.service]
	entry := nodes[f.rng.IntN(len(nodes))]
	f.loop.after(f.deployment.callerLatency, func() {
		entry.submit(r, r.root, nil, func(a *model.Answer) {
			f.loop.after(f.deployment.callerLatency, func() { f.handleAnswer(r, a) })
		})
	})
}

// handleAnswer records an answer and schedules a retry if the request did not succeed.
func (f *fleet) handleAnswer(r *request, a *model.Answer) {
	succeeded := !a.FromNode() && a.Status == http.StatusOK
	if r.retries == 0 {
		f.recorder.recordFirstAnswer(r, succeeded)
	}
	if succeeded {
		f.recorder.recordSuccess(r)
		return
	}
	if r.retries >= f.retry.maxRetries {
		return
	}
	r.retries++
	delay := f.retry.baseDelay
	if !f.retry.constantDelay {
		delay = max(delay<<(r.retries-1), a.RetryAfter)
	}
	f.loop.after(delay, func() { f.sendRequest(r) })
}
