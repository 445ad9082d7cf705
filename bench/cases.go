package bench

import (
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

// benchCase is a scenario. Its trigger is a temporary change of the demand, the
// targets or the configuration.
type benchCase struct {
	name        string
	load        float64 // demand before and after the trigger, as a share of the capacity
	retry       retryPolicy
	start       time.Duration // start of the trigger
	end         time.Duration // end of the trigger
	runEnd      time.Duration
	fairnessBin time.Duration  // width of the bins in which demand and capacity are compared; one bin if longer than the trigger
	trigger     func(f *fleet) // schedules the change
}

const (
	triggerStart    = 10 * time.Second
	triggerEnd      = 20 * time.Second
	shortTriggerEnd = 15 * time.Second
	defaultRunEnd   = 31 * time.Second
)

// benchCases returns all cases. Their names appear in results and plots.
func benchCases() []benchCase {
	return []benchCase{
		baseCase("calm", backoffRetry, func(*fleet) {}),
		baseCase("surge2", backoffRetry, surge(2)),
		withShortTrigger(baseCase("surge5", backoffRetry, surge(5))),
		withShortTrigger(baseCase("surge10", backoffRetry, surge(10))),
		slowLeafService("deepslow", backoffRetry, func(*fleet) {}),
		baseCase("hardretry", aggressiveRetry, surge(2)),
		baseCase("greedy", backoffRetry, greedyCustomer),
		coldRestart("coldrestart", backoffRetry, func(*fleet) {}),
		logDown(),
		zoneTakenOut("zone", 0.45, func(*fleet) {}),
		slowLeafService("slow+hard", aggressiveRetry, surge(2)),
		coldRestartInSurge(),
		zoneTakenOut("zone+greedy", 0.4, greedyCustomer),
	}
}

// baseCase returns a case with the default times and load.
func baseCase(name string, retry retryPolicy, trigger func(*fleet)) benchCase {
	return benchCase{name: name, load: baseLoad, retry: retry, start: triggerStart, end: triggerEnd, runEnd: defaultRunEnd, fairnessBin: time.Hour, trigger: trigger}
}

// withShortTrigger ends the trigger of a case earlier, since the time to simulate a run
// grows with the demand.
func withShortTrigger(c benchCase) benchCase {
	c.end = shortTriggerEnd
	c.runEnd = shortTriggerEnd + (defaultRunEnd - triggerEnd)
	fullTrigger := c.trigger
	c.trigger = func(f *fleet) {
		fullTrigger(f)
		f.loop.after(shortTriggerEnd, f.resetDemand)
	}
	return c
}

// scaleDemand multiplies the demand by a factor from the trigger's start to its end.
func (f *fleet) scaleDemand(factor func(service, customer int) float64) {
	f.loop.after(triggerStart, func() { f.demandFactor = factor })
	f.loop.after(triggerEnd, f.resetDemand)
}

func (f *fleet) resetDemand() { f.demandFactor = func(int, int) float64 { return 1 } }

// surge returns a trigger that multiplies the demand of all customers.
func surge(multiple float64) func(*fleet) {
	return func(f *fleet) { f.scaleDemand(func(int, int) float64 { return multiple }) }
}

// greedyCustomer multiplies the demand of the second customer by eight.
func greedyCustomer(f *fleet) {
	f.scaleDemand(func(_, c int) float64 {
		if c == 1 {
			return 8
		}
		return 1
	})
}

const (
	// slowFactor multiplies the service time of the leaf service for slowTime.
	slowFactor = 5
	slowTime   = 20 * time.Second
)

// slowLeafService slows down the targets of the first service, which calls no other
// and is at the end of the call chains.
func slowLeafService(name string, retry retryPolicy, extraTrigger func(*fleet)) benchCase {
	c := baseCase(name, retry, func(f *fleet) {
		extraTrigger(f)
		setSlowdown := func(factor float64) func() {
			return func() {
				for _, n := range f.byService[0] {
					n.target.setSlowdown(factor)
				}
			}
		}
		f.loop.after(triggerStart, setSlowdown(slowFactor))
		f.loop.after(triggerStart+slowTime, setSlowdown(1))
	})
	c.end = triggerStart + slowTime
	c.runEnd = c.end + (defaultRunEnd - triggerEnd)
	return c
}

// coldRestart restarts all targets of a service at once. In both deployments, the
// service calls another one and is called by none. The trigger ends when the targets
// are warm again.
func coldRestart(name string, retry retryPolicy, extraTrigger func(*fleet)) benchCase {
	c := baseCase(name, retry, func(f *fleet) {
		extraTrigger(f)
		f.loop.after(triggerStart, func() {
			for _, n := range f.byService[len(f.byService)/2] {
				n.target.injectRestart()
			}
		})
	})
	c.end = triggerStart + restartTime + rampTime
	c.fairnessBin = rampTime / 10 // the capacity changes while the targets are cold
	return c
}

// coldRestartInSurge restarts the targets at the start of a surge that lasts longer
// than their ramp.
func coldRestartInSurge() benchCase {
	c := coldRestart("cold+surge", aggressiveRetry, surge(2))
	c.end = triggerEnd
	return c
}

// zoneTakenOut takes an availability zone out of service and puts it back. Each node
// learns of a change within a second.
func zoneTakenOut(name string, load float64, extraTrigger func(*fleet)) benchCase {
	c := baseCase(name, backoffRetry, func(f *fleet) {
		extraTrigger(f)
		setZoneOut := func(out bool) func() {
			return func() {
				f.documents["zone/"+string(f.deployment.zones[1])] = model.AvailabilityConfig{OutOfService: out}
				f.publish(time.Second)
			}
		}
		f.loop.after(triggerStart, setZoneOut(true))
		f.loop.after(triggerEnd, setZoneOut(false))
	})
	c.load = load
	return c
}

// logDown runs for ten minutes without a new configuration, as during an outage of the
// log service, since the policies must not depend on recent configuration. After five
// minutes, the demand rises to the base load for ten seconds.
func logDown() benchCase {
	const (
		start, end = triggerStart, triggerStart + 10*time.Minute
		lowLoad    = 0.05 // keeps the simulation of ten minutes fast
		peakStart  = start + 5*time.Minute
	)
	return benchCase{
		name: "logdown", load: lowLoad, retry: backoffRetry, start: start, end: end, runEnd: end + 10*time.Second, fairnessBin: time.Second,
		trigger: func(f *fleet) {
			f.loop.after(peakStart, func() { f.demandFactor = func(int, int) float64 { return baseLoad / lowLoad } })
			f.loop.after(peakStart+10*time.Second, f.resetDemand)
		},
	}
}
