package bench

import (
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

// scenario is one case: what happens, when, and how callers retry.
type scenario struct {
	name        string
	load        float64 // demand before and after the trigger
	retry       retryPolicy
	start       time.Duration // of the trigger
	end         time.Duration // of the trigger
	runEnd      time.Duration // end of the run
	fairnessBin time.Duration // over which demand and capacity are compared
	trigger     func(f *fleet)
}

const (
	triggerStart    = 10 * time.Second
	triggerEnd      = 20 * time.Second
	shortTriggerEnd = 15 * time.Second
	defaultRunEnd   = 31 * time.Second
)

// scenarios lists the cases.
func scenarios() []scenario {
	return []scenario{
		baseScenario("calm", backoffRetry, func(*fleet) {}),
		baseScenario("surge2", backoffRetry, surge(2)),
		withShortTrigger(baseScenario("surge5", backoffRetry, surge(5))),
		withShortTrigger(baseScenario("surge10", backoffRetry, surge(10))),
		slowDeepService("deepslow", backoffRetry, func(*fleet) {}),
		baseScenario("hardretry", aggressiveRetry, surge(2)),
		baseScenario("greedy", backoffRetry, greedyCustomer),
		coldRestart("coldrestart", backoffRetry, func(*fleet) {}),
		logDown(),
		zoneOut("zone", 0.45, func(*fleet) {}),
		slowDeepService("slow+hard", aggressiveRetry, surge(2)),
		coldRestartInSurge(),
		zoneOut("zone+greedy", 0.4, greedyCustomer),
	}
}

func baseScenario(name string, r retryPolicy, trigger func(*fleet)) scenario {
	return scenario{name: name, load: baseLoad, retry: r, start: triggerStart, end: triggerEnd, runEnd: defaultRunEnd, fairnessBin: time.Hour, trigger: trigger}
}

// shortened ends a surge earlier, since a run costs time in proportion to the
// demand.
func withShortTrigger(s scenario) scenario {
	s.end = shortTriggerEnd
	s.runEnd = shortTriggerEnd + (defaultRunEnd - triggerEnd)
	trigger := s.trigger
	s.trigger = func(f *fleet) {
		trigger(f)
		f.loop.after(shortTriggerEnd, f.resetDemand)
	}
	return s
}

// during sets the factor of the demand from the trigger's start to its end.
func (f *fleet) scaleDemand(factor func(service, customer int) float64) {
	f.loop.after(triggerStart, func() { f.demandFactor = factor })
	f.loop.after(triggerEnd, f.resetDemand)
}

func (f *fleet) resetDemand() { f.demandFactor = func(int, int) float64 { return 1 } }

func surge(multiple float64) func(*fleet) {
	return func(f *fleet) { f.scaleDemand(func(int, int) float64 { return multiple }) }
}

// greedy lets the second customer send eight times as much as usual.
func greedyCustomer(f *fleet) {
	f.scaleDemand(func(_, c int) float64 {
		if c == 1 {
			return 8
		}
		return 1
	})
}

const (
	// slowFactor is how much longer the deep service takes.
	slowFactor = 5
	// slowTime is for how long.
	slowTime = 20 * time.Second
)

// deepSlow slows the service that others call and that calls none.
func slowDeepService(name string, r retryPolicy, alsoDo func(*fleet)) scenario {
	s := baseScenario(name, r, func(f *fleet) {
		alsoDo(f)
		setFactor := func(factor float64) func() {
			return func() {
				for _, n := range f.byService[0] {
					n.target.setSlowdown(factor)
				}
			}
		}
		f.loop.after(triggerStart, setFactor(slowFactor))
		f.loop.after(triggerStart+slowTime, setFactor(1))
	})
	s.end = triggerStart + slowTime
	s.runEnd = s.end + (defaultRunEnd - triggerEnd)
	return s
}

// coldRestart restarts all targets of a service in the middle of the chains at once. The trigger
// ends when the targets are warm again.
func coldRestart(name string, r retryPolicy, alsoDo func(*fleet)) scenario {
	s := baseScenario(name, r, func(f *fleet) {
		alsoDo(f)
		f.loop.after(triggerStart, func() {
			for _, n := range f.byService[len(f.byService)/2] {
				n.target.restartOnSchedule()
			}
		})
	})
	s.end = triggerStart + restartTime + rampTime
	s.fairnessBin = rampTime / 10 // the capacity changes
	return s
}

// coldInSurge restarts the targets at the start of a surge that lasts longer
// than their ramp.
func coldRestartInSurge() scenario {
	s := coldRestart("cold+surge", aggressiveRetry, surge(2))
	s.end = triggerEnd
	return s
}

// zoneOutIn takes an availability zone out of service and brings it back.
// Nodes learn of it within a second.
func zoneOut(name string, load float64, alsoDo func(*fleet)) scenario {
	s := baseScenario(name, backoffRetry, func(f *fleet) {
		alsoDo(f)
		setOut := func(out bool) func() {
			return func() {
				f.documents["zone/"+string(f.deployment.zones[1])] = model.AvailabilityConfig{Out: out}
				f.publish(time.Second)
			}
		}
		f.loop.after(triggerStart, setOut(true))
		f.loop.after(triggerEnd, setOut(false))
	})
	s.load = load
	return s
}

// logDown freezes the configuration for ten minutes. In the middle, the demand
// grows to the usual one for a while.
func logDown() scenario {
	const (
		start, end = triggerStart, triggerStart + 10*time.Minute
		quietLoad  = 0.05 // keeps the run short
		busyStart  = start + 5*time.Minute
	)
	return scenario{
		name: "logdown", load: quietLoad, retry: backoffRetry, start: start, end: end, runEnd: end + 10*time.Second, fairnessBin: time.Second,
		trigger: func(f *fleet) {
			f.loop.after(busyStart, func() { f.demandFactor = func(int, int) float64 { return baseLoad / quietLoad } })
			f.loop.after(busyStart+10*time.Second, f.resetDemand)
		},
	}
}
