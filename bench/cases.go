package bench

import (
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

// scenario is one case: what happens, when, and how callers retry.
type scenario struct {
	name    string
	load    float64 // demand before and after the trigger
	retry   retry
	start   time.Duration // of the trigger
	end     time.Duration // of the trigger
	observe time.Duration // end of the run
	fairBin time.Duration // over which demand and capacity are compared
	trigger func(f *fleet)
}

const (
	triggerStart = 10 * time.Second
	triggerEnd   = 20 * time.Second
	shortEnd     = 15 * time.Second
	observeEnd   = 31 * time.Second
)

// scenarios lists the cases.
func scenarios() []scenario {
	return []scenario{
		usual("calm", politeRetry, func(*fleet) {}),
		usual("surge2", politeRetry, surge(2)),
		shortened(usual("surge5", politeRetry, surge(5))),
		shortened(usual("surge10", politeRetry, surge(10))),
		deepSlow("deepslow", politeRetry, func(*fleet) {}),
		usual("hardretry", hardRetry, surge(2)),
		usual("greedy", politeRetry, greedy),
		coldRestart("coldrestart", politeRetry, func(*fleet) {}),
		logDown(),
		zoneOutIn("zone", 0.45, func(*fleet) {}),
		deepSlow("slow+hard", hardRetry, surge(2)),
		coldInSurge(),
		zoneOutIn("zone+greedy", 0.4, greedy),
	}
}

func usual(name string, r retry, trigger func(*fleet)) scenario {
	return scenario{name: name, load: baseLoad, retry: r, start: triggerStart, end: triggerEnd, observe: observeEnd, fairBin: time.Hour, trigger: trigger}
}

// shortened ends a surge earlier, since a run costs time in proportion to the
// demand.
func shortened(s scenario) scenario {
	s.end = shortEnd
	s.observe = shortEnd + (observeEnd - triggerEnd)
	more := s.trigger
	s.trigger = func(f *fleet) {
		more(f)
		f.loop.after(shortEnd, f.usualDemand)
	}
	return s
}

// during sets the factor of the demand from the trigger's start to its end.
func (f *fleet) during(factor func(service, customer int) float64) {
	f.loop.after(triggerStart, func() { f.factor = factor })
	f.loop.after(triggerEnd, f.usualDemand)
}

func (f *fleet) usualDemand() { f.factor = func(int, int) float64 { return 1 } }

func surge(times float64) func(*fleet) {
	return func(f *fleet) { f.during(func(int, int) float64 { return times }) }
}

// greedy lets the second customer send eight times as much as usual.
func greedy(f *fleet) {
	f.during(func(_, c int) float64 {
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
func deepSlow(name string, r retry, more func(*fleet)) scenario {
	s := usual(name, r, func(f *fleet) {
		more(f)
		set := func(factor float64) func() {
			return func() {
				for _, n := range f.byService[0] {
					n.target.setSlow(factor)
				}
			}
		}
		f.loop.after(triggerStart, set(slowFactor))
		f.loop.after(triggerStart+slowTime, set(1))
	})
	s.end = triggerStart + slowTime
	s.observe = s.end + (observeEnd - triggerEnd)
	return s
}

// coldRestart restarts all targets of a service in the middle of the chains at once. The trigger
// ends when the targets are warm again.
func coldRestart(name string, r retry, more func(*fleet)) scenario {
	s := usual(name, r, func(f *fleet) {
		more(f)
		f.loop.after(triggerStart, func() {
			for _, n := range f.byService[len(f.byService)/2] {
				n.target.fail()
			}
		})
	})
	s.end = triggerStart + restartTime + rampTime
	s.fairBin = rampTime / 10 // the capacity changes
	return s
}

// coldInSurge restarts the targets at the start of a surge that lasts longer
// than their ramp.
func coldInSurge() scenario {
	s := coldRestart("cold+surge", hardRetry, surge(2))
	s.end = triggerEnd
	return s
}

// zoneOutIn takes an availability zone out of service and brings it back.
// Nodes learn of it within a second.
func zoneOutIn(name string, load float64, more func(*fleet)) scenario {
	s := usual(name, politeRetry, func(f *fleet) {
		more(f)
		set := func(out bool) func() {
			return func() {
				f.documents["zone/"+string(f.deployment.zones[1])] = model.AvailabilityConfig{Out: out}
				f.publish(time.Second)
			}
		}
		f.loop.after(triggerStart, set(true))
		f.loop.after(triggerEnd, set(false))
	})
	s.load = load
	return s
}

// logDown freezes the configuration for ten minutes. In the middle, the demand
// grows to the usual one for a while.
func logDown() scenario {
	const (
		start, end = triggerStart, triggerStart + 10*time.Minute
		quiet      = 0.05 // keeps the run short
		busy       = start + 5*time.Minute
	)
	return scenario{
		name: "logdown", load: quiet, retry: politeRetry, start: start, end: end, observe: end + 10*time.Second, fairBin: time.Second,
		trigger: func(f *fleet) {
			f.loop.after(busy, func() { f.factor = func(int, int) float64 { return baseLoad / quiet } })
			f.loop.after(busy+10*time.Second, f.usualDemand)
		},
	}
}
