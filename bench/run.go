package bench

import (
	"sync"
	"time"
)

// Result holds the measures of one run.
type Result struct {
	Deployment          string
	Case                string
	Variant             string
	Goodput             float64       // work of successful requests as a share of the targets' capacity, or of the demand where that is less
	Recovery            time.Duration // time after the trigger's end
	WorstCustomerShare  float64       // served fraction of the max-min fair share, of the worst-served customer
	WithinShareFailures float64       // share of first attempts that fail, of customers within their fair share
	FirstAttemptSuccess float64       // share of first attempts that succeed, from the trigger's start
	PreTriggerFailures  float64       // share of first attempts that fail before the trigger
	Crashes             int           // of cold targets, from overload
}

// seed fixes the arrivals and all random choices of a run.
const seed = 20261204

// calmStart is when the effects of the fleet's start are over.
const warmUpEnd = demandRampTime + time.Second

// measureMargin is the time after a trigger's end that still counts toward
// FirstAttemptSuccess. PreTriggerFailures leaves out as much before the trigger's start.
const measurementMargin = time.Second

// transientTime is left out at a trigger's start when customers are compared: calls
// that were handed to targets before the trigger still run then, in proportion to the
// earlier demand.
const transientTime = 500 * time.Millisecond

func runOne(d *deployment, c benchCase, v variant) Result {
	f := newFleet(d, v, seed)
	f.retry = c.retry
	f.startCallers(c.load)
	c.trigger(f)
	f.loop.runUntil(c.runEnd)
	rec := f.recorder
	fair := rec.computeFairness(c.start+transientTime, c.end, c.fairnessBin)
	result := Result{
		Deployment: d.name, Case: c.name, Variant: v.name,
		Goodput:             rec.goodput(c.start, c.end),
		Recovery:            rec.recovery(c.end, c.runEnd-routeTimeout),
		WorstCustomerShare:  fair.worstShare,
		WithinShareFailures: fair.failedWithinShare / max(fair.arrivalsWithinShare, 1),
		FirstAttemptSuccess: rec.firstAttemptSuccess(c.start, c.end+measurementMargin),
		PreTriggerFailures:  1 - rec.firstAttemptSuccess(warmUpEnd, c.start-measurementMargin),
	}
	for _, n := range f.nodes {
		result.Crashes += n.target.crashes
	}
	return result
}

// job is one run of a case with a variant.
type job struct {
	deployment *deployment
	benchCase  benchCase
	variant    variant
}

// jobs lists the runs whose names pass the filters.
func selectJobs(keep func(d, c, v string) bool) []job {
	var out []job
	for _, d := range []*deployment{trustDeployment(), cooperativeDeployment()} {
		for _, c := range benchCases() {
			for _, v := range variants() {
				if keep(d.name, c.name, v.name) {
					out = append(out, job{d, c, v})
				}
			}
		}
	}
	return out
}

// runAll performs runs in parallel and returns the results in the order of the jobs.
func runAll(jobs []job, workers int) []Result {
	results := make([]Result, len(jobs))
	next := make(chan int)
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for i := range next {
				results[i] = runOne(jobs[i].deployment, jobs[i].benchCase, jobs[i].variant)
			}
		})
	}
	for i := range jobs {
		next <- i
	}
	close(next)
	wg.Wait()
	return results
}
