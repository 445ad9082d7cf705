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
	ignoreBackoff bool          // callers ignore Retry-After and do not back off
}

var (
	// backoffRetry backs off and obeys Retry-After.
	backoffRetry = retryPolicy{maxRetries: 2, baseDelay: 200 * time.Millisecond}
	// aggressiveRetry retries many times in short intervals and ignores Retry-After,
	// which amplifies an overload.
	aggressiveRetry = retryPolicy{maxRetries: 8, baseDelay: 20 * time.Millisecond, ignoreBackoff: true}
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
	for s, rate := range f.deployment.arrivalRates(load) {
		for c, share := range customerShares {
			f.scheduleArrival(s, c, rate*share)
		}
	}
}

// scheduleArrival schedules the next arrival of a Poisson process. The case sets its
// rate through demandFactor.
func (f *fleet) scheduleArrival(s, c int, rate float64) {
	rampedShare := min(float64(f.loop.now)/float64(demandRampTime), 1)
	currentRate := rate * f.demandFactor(s, c) * max(rampedShare, 0.01)
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
			f.newRequest(s, c)
		}
		f.scheduleArrival(s, c, rate)
	})
}

func (f *fleet) newRequest(s, c int) {
	r := &request{service: s, customer: c, class: f.pickClass(s), arrivedAt: f.loop.now, root: f.newStep(s)}
	f.recorder.recordArrival(r)
	f.sendAttempt(r)
}

func (f *fleet) pickClass(s int) int {
	x := f.rng.Float64()
	for k, share := range f.deployment.services[s].classMix {
		if x < share {
			return k
		}
		x -= share
	}
	return len(f.deployment.classes) - 1
}

// newStep draws the work of a request at a service and at the services that it
// calls.
func (f *fleet) newStep(s int) *step {
	spec := &f.deployment.services[s]
	st := &step{service: s, ownWork: drawWork(f.rng, spec.meanWork)}
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
func (f *fleet) sendAttempt(r *request) {
	nodes := f.byService[r.service]
	entry := nodes[f.rng.IntN(len(nodes))]
	f.loop.after(f.deployment.clientLatency, func() {
		entry.submit(r, r.root, nil, func(a *model.Answer) {
			f.loop.after(f.deployment.clientLatency, func() { f.handleAnswer(r, a) })
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
	if !f.retry.ignoreBackoff {
		delay = max(delay<<(r.retries-1), a.RetryAfter)
	}
	f.loop.after(delay, func() { f.sendAttempt(r) })
}
