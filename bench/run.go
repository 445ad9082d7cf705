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
	Goodput             float64       // work of successful requests, as a share of the targets' capacity or, if lower, of the demand
	Recovery            time.Duration // from the trigger's end until requests succeed again
	WorstCustomerShare  float64       // fraction of its max-min fair share that the worst-served customer gets
	WithinShareFailures float64       // share of first attempts that fail, among customers within their fair share
	FirstAttemptSuccess float64       // share of first attempts that succeed, from the trigger's start to measurementMargin after its end
	PreTriggerFailures  float64       // share of first attempts that fail before the trigger
	Crashes             int           // crashes of cold targets from overload
}

// seed determines the arrivals and all other random choices of a run.
const seed = 20261204

// warmUpEnd is the time after which the start of the fleet no longer affects the
// measures: a second after the demand has reached its base.
const warmUpEnd = demandRampTime + time.Second

// measurementMargin extends the time that FirstAttemptSuccess covers beyond the
// trigger's end. PreTriggerFailures ends as long before the trigger's start.
const measurementMargin = time.Second

// transientTime is the time after a trigger's start that the comparison of customers
// leaves out. Calls that were handed to targets before the trigger still run then, in
// proportion to the earlier demand.
const transientTime = 500 * time.Millisecond

// runOne simulates a case with a variant and returns the measures.
func runOne(d *deployment, c benchCase, v variant) Result {
	f := newFleet(d, v, seed)
	f.retry = c.retry
	f.startCallers(c.load)
	c.trigger(f)
	f.loop.runUntil(c.runEnd)
	rec := f.recorder
	// The recovery leaves out the last routeTimeout of the run, since first attempts of
	// that time may still be unanswered at the end.
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

// job is a simulation run of a case with a variant.
type job struct {
	deployment *deployment
	benchCase  benchCase
	variant    variant
}

// selectJobs returns the jobs that keep accepts, given the names of the deployment, the
// case and the variant.
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

// runAll runs jobs in parallel and returns the results in the order of the jobs.
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
