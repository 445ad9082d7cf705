package bench

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

// retry is how callers send again what was refused, failed or late.
type retry struct {
	max   int           // further attempts
	pause time.Duration // first pause; doubles unless hard
	hard  bool          // callers ignore Retry-After and do not back off
}

var (
	// politeRetry obeys Retry-After.
	politeRetry = retry{max: 2, pause: 200 * time.Millisecond}
	// hardRetry is the aggressive client of failure F1.
	hardRetry = retry{max: 8, pause: 20 * time.Millisecond, hard: true}
)

// request is one original request from outside.
type request struct {
	root     *step
	service  int
	customer int
	class    int
	arrived  time.Duration
	attempts int
	done     bool
}

// step is the work of a request at one service.
type step struct {
	service int
	own     time.Duration
	sub     *step
	counted bool // its demand was measured
	asked   time.Duration
}

// rampIn is the time over which the demand grows at the start of a run, since
// nodes begin with a cold target.
const rampIn = 7 * time.Second

// startCallers begins the arrivals of every customer at every service.
func (f *fleet) startCallers(load float64) {
	for s, rate := range f.deployment.rates(load) {
		for c, share := range customerShares {
			f.scheduleArrival(s, c, rate*share)
		}
	}
}

// scheduleArrival plans the next arrival of a Poisson process whose rate
// follows the case.
func (f *fleet) scheduleArrival(s, c int, rate float64) {
	start := min(float64(f.loop.now)/float64(rampIn), 1)
	now := rate * f.factor(s, c) * max(start, 0.01)
	gap := 50 * time.Millisecond // looks again while there is no demand
	arrives := false
	if now > 0 {
		next := time.Duration(f.rng.ExpFloat64() / now * float64(time.Second))
		if next < gap {
			gap, arrives = next, true
		}
	}
	f.loop.after(gap, func() {
		if arrives {
			f.newRequest(s, c)
		}
		f.scheduleArrival(s, c, rate)
	})
}

func (f *fleet) newRequest(s, c int) {
	r := &request{service: s, customer: c, class: f.pickClass(s), arrived: f.loop.now, root: f.newStep(s)}
	f.measure.onArrival(r)
	f.sendAttempt(r)
}

func (f *fleet) pickClass(s int) int {
	x := f.rng.Float64()
	for k, part := range f.deployment.services[s].mix {
		if x < part {
			return k
		}
		x -= part
	}
	return len(f.deployment.classes) - 1
}

// newStep draws the work of a request: half of the mean, and the other half
// with an exponential distribution.
func (f *fleet) newStep(s int) *step {
	size := &f.deployment.services[s]
	st := &step{service: s, own: drawWork(f.rng, size.work)}
	if j := f.deployment.service(size.deep); j >= 0 && f.rng.Float64() < size.deepPart {
		st.sub = f.newStep(j)
	}
	return st
}

func drawWork(rng *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (0.5 + 0.5*rng.ExpFloat64()))
}

// sendAttempt sends a request to a random node of its service.
func (f *fleet) sendAttempt(r *request) {
	nodes := f.byService[r.service]
	entry := nodes[f.rng.IntN(len(nodes))]
	f.loop.after(f.deployment.clientLatency, func() {
		entry.submit(r, r.root, nil, func(a *model.Answer) {
			f.loop.after(f.deployment.clientLatency, func() { f.onAnswer(r, a) })
		})
	})
}

func (f *fleet) onAnswer(r *request, a *model.Answer) {
	whole := !a.FromSystem() && a.Status == http.StatusOK
	if r.attempts == 0 {
		f.measure.onFirstAnswer(r, whole)
	}
	if whole {
		f.measure.onWhole(r)
		return
	}
	if r.attempts >= f.retry.max {
		return
	}
	r.attempts++
	pause := f.retry.pause
	if !f.retry.hard {
		pause = max(pause<<(r.attempts-1), a.RetryAfter)
	}
	f.loop.after(pause, func() { f.sendAttempt(r) })
}
