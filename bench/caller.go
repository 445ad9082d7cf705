package bench

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

// retryPolicy is how callers retry requests that were refused, failed or got no
// answer in time.
type retryPolicy struct {
	maxRetries    int
	baseDelay     time.Duration // before the first retry; doubles unless ignoreBackoff
	constantDelay bool          // callers ignore Retry-After and do not back off
}

var (
	// backoffRetry backs off and obeys Retry-After.
	backoffRetry = retryPolicy{maxRetries: 2, baseDelay: 200 * time.Millisecond}
	// aggressiveRetry retries many times in short intervals and ignores Retry-After,
	// which amplifies an overload.
	aggressiveRetry = retryPolicy{maxRetries: 8, baseDelay: 20 * time.Millisecond, constantDelay: true}
)

// request is one request of a caller outside the fleet, with all its attempts.
type request struct {
	root      *step
	service   int
	customer  int
	class     int
	arrivedAt time.Duration
	retries   int // sent so far
	succeeded bool
}

// step is the work of a request at one service.
type step struct {
	service       int
	ownWork       time.Duration
	subCall       *step
	demandCounted bool // its work is part of the recorded demand
	requestedAt   time.Duration
}

// demandRampTime is the time over which the demand grows at the start of a run,
// since targets are cold when their nodes start.
const demandRampTime = 7 * time.Second

// startCallers starts the arrivals of every customer at every service.
func (f *fleet) startCallers(load float64) {
	for service, rate := range f.deployment.arrivalRates(load) {
		for customer, share := range customerShares {
			f.scheduleArrival(service, customer, rate*share)
		}
	}
}

// scheduleArrival schedules the next arrival of a Poisson process. The case sets its
// rate through demandFactor.
func (f *fleet) scheduleArrival(service, customer int, rate float64) {
	rampedShare := min(float64(f.loop.now)/float64(demandRampTime), 1)
	currentRate := rate * f.demandFactor(service, customer) * max(rampedShare, 0.01)
	wait := 50 * time.Millisecond // at most, since the rate may change meanwhile
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

func (f *fleet) newRequest(service, customer int) {
	r := &request{service: service, customer: customer, class: f.pickClass(service), arrivedAt: f.loop.now, root: f.newStep(service)}
	f.recorder.recordArrival(r)
	f.sendRequest(r)
}

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

// newStep draws the work of a request at a service and at the services that it
// calls.
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

// sendAttempt sends a request to a random node of its service.
func (f *fleet) sendRequest(r *request) {
	nodes := f.byService[r.service]
	entry := nodes[f.rng.IntN(len(nodes))]
	f.loop.after(f.deployment.callerLatency, func() {
		entry.submit(r, r.root, nil, func(a *model.Answer) {
			f.loop.after(f.deployment.callerLatency, func() { f.handleAnswer(r, a) })
		})
	})
}

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
