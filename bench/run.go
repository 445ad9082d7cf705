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
	Goodput             float64       // work of whole requests as a part of what the targets bear
	Recovery            time.Duration // after the trigger's end
	WorstCustomer       float64       // worst-served customer, as a part of its max-min fair part
	WrongfulRefusals    float64       // refused requests of customers within their part
	FirstAttemptSuccess float64       // first attempts with a whole answer, from the trigger on
	CalmRefusals        float64       // refused requests before the trigger
	Crashes             int           // cold targets that failed from load
}

// seed fixes the arrivals and all random choices of a run.
const seed = 20261204

// calmStart is when a fleet has settled after its start.
const settledAfter = demandRampTime + time.Second

// settle is the time after a trigger that still counts to it for the measure
// of service.
const settleTime = time.Second

// transient is left out at a trigger's start when customers are compared:
// calls that were handed over before the trigger still run then, and they are
// in proportion to the demand.
const handoverTime = 500 * time.Millisecond

func runOne(d *deployment, c scenario, v variant) Result {
	f := newFleet(d, v, seed)
	f.retry = c.retry
	f.startCallers(c.load)
	c.trigger(f)
	f.loop.run(c.runEnd)
	m := f.recorder
	fair := m.computeFairness(c.start+handoverTime, c.end, c.fairnessBin)
	out := Result{
		Deployment: d.name, Case: c.name, Variant: v.name,
		Goodput:             m.goodput(c.start, c.end),
		Recovery:            m.recovery(c.end, c.runEnd-callTimeout),
		WorstCustomer:       fair.worstShare,
		WrongfulRefusals:    fair.refusedWithin / max(fair.arrivalsWithin, 1),
		FirstAttemptSuccess: m.firstAttemptSuccess(c.start, c.end+settleTime),
		CalmRefusals:        1 - m.firstAttemptSuccess(settledAfter, c.start-settleTime),
	}
	for _, n := range f.nodes {
		out.Crashes += n.target.crashes
	}
	return out
}

// job is one run.
type job struct {
	deployment *deployment
	scenario   scenario
	variant    variant
}

// jobs lists the runs whose names pass the filters.
func jobs(keep func(d, c, v string) bool) []job {
	var out []job
	for _, d := range []*deployment{trustDeployment(), cooperativeDeployment()} {
		for _, c := range scenarios() {
			for _, v := range variants() {
				if keep(d.name, c.name, v.name) {
					out = append(out, job{d, c, v})
				}
			}
		}
	}
	return out
}

// runAll performs runs on a few threads and returns results in their order.
func runAll(selectedJobs []job, threads int) []Result {
	results := make([]Result, len(selectedJobs))
	next := make(chan int)
	var wg sync.WaitGroup
	for range threads {
		wg.Go(func() {
			for i := range next {
				results[i] = runOne(selectedJobs[i].deployment, selectedJobs[i].scenario, selectedJobs[i].variant)
			}
		})
	}
	for i := range selectedJobs {
		next <- i
	}
	close(next)
	wg.Wait()
	return results
}
