package chain

import (
	"math"
	"time"

	"github.com/oleanderworks/oleanderworks/charts"
	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/model"
)

// Events of the state chart chain_limit, in the chart's order.
const (
	eventOverloaded chart.EventID = iota
	eventTolerable
	eventRelieved
	eventStale
)

const (
	// updateInterval is the minimum time between two updates of a limit.
	updateInterval = 100 * time.Millisecond
	// reactionTime is the time after which a change of the admitted fraction shows in the
	// reported load: requests work for some time before they call the service, and reports
	// are up to 250 ms old, 1 s from other availability zones. The fraction follows the one
	// that caused the reported load; changes relative to the latest fraction would add up
	// during this time and overshoot.
	reactionTime = 900 * time.Millisecond
	// targetUtilization is the fraction of the slots that nested calls use when the
	// admitted fraction neither grows nor falls.
	targetUtilization = 0.92
	// minGrowth and maxGrowth bound the growth of the admitted fraction within
	// reactionTime. With maxGrowth it reopens from one tenth to nine tenths within 3 s.
	minGrowth = 1.02
	maxGrowth = 2.5
	// minFraction is the fraction of requests that is always begun, so that the load of the
	// service stays known and nothing starves.
	minFraction = 0.05
	// maxQueueDelay is the mean wait of nested calls for a slot from which on the service
	// counts as overloaded, and relievedQueueDelay the one below which it has room. A
	// request makes several such calls in sequence.
	maxQueueDelay      = 80 * time.Millisecond
	relievedQueueDelay = 40 * time.Millisecond
	// severeQueueDelay is the wait beyond maxQueueDelay that counts like a service that
	// turns all calls away.
	severeQueueDelay = 300 * time.Millisecond
	// Fractions of turned away calls from which on a service counts as overloaded, and
	// below which it has room.
	overloadedShed = 0.03
	relievedShed   = 0.01
	// A service that turns calls away or lets them wait counts as overloaded from
	// fullUtilization on, and less below it, down to not at all at idleUtilization. Targets
	// that refuse calls although they have room refuse no fewer of them when fewer requests
	// are begun, and cold targets, whose rate is limited, are soon warm.
	idleUtilization = 0.5
	fullUtilization = 0.8
	// Bounds of the times after which refused callers are asked to retry. Callers wait for
	// a third of their remaining time at most.
	minReturnDelay = 300 * time.Millisecond
	maxReturnDelay = 1600 * time.Millisecond
	// returnShare is the rate at which refused callers are asked to return, as a fraction of
	// the rate at which requests arrive.
	returnShare = 0.3
)

// limit is the limit on the requests whose calls reach one service.
type limit struct {
	core       *Core
	service    model.Service
	state      chart.StateID
	fraction   float64 // of the offered slot time that is admitted
	causing    float64 // mean fraction about reactionTime ago, which caused the reported load
	updatedAt  time.Time
	load       ServiceLoad
	demand     demand
	nextReturn time.Time
}

func newMachine() *chart.Machine[*limit] {
	return chart.MustCompile(charts.MustRead("chain_limit"), chart.Binding[*limit]{
		States: []string{"open", "closing", "steady", "opening"},
		Events: []string{"overloaded", "tolerable", "relieved", "stale"},
		Guards: map[string]func(*limit) bool{"fully_open": func(l *limit) bool { return l.raised() >= 1 }},
		Actions: map[string]func(*limit){
			"reduce": (*limit).reduce,
			"raise":  func(l *limit) { l.fraction = min(l.raised(), 1) },
			"lift":   func(l *limit) { l.fraction = 1 },
		},
	})
}

// update reads the load of the service and adapts the admitted fraction.
func (l *limit) update(now time.Time) {
	elapsed := now.Sub(l.updatedAt)
	if elapsed < updateInterval {
		return
	}
	l.updatedAt = now
	l.causing += (l.fraction - l.causing) * (1 - math.Exp(-elapsed.Seconds()/reactionTime.Seconds()))
	l.load = l.core.load(now, l.service)
	before := l.state
	l.state = l.core.machine.Step(l, before, l.classify())
	if l.state != before {
		m := l.core.machine
		l.core.changes = append(l.core.changes, Change{
			Service: l.service, From: m.StateName(before), To: m.StateName(l.state), Fraction: l.fraction, Load: l.load,
		})
	}
	l.demand.divide(now, l.fraction)
}

func (l *limit) classify() chart.EventID {
	switch {
	case l.load.Targets == 0:
		return eventStale
	case l.excess() > 0:
		return eventOverloaded
	case l.full() == 0, l.shed() < relievedShed && l.load.QueueDelay < relievedQueueDelay:
		return eventRelieved
	default:
		return eventTolerable
	}
}

// full returns how full the service is: 0 up to idleUtilization, 1 from fullUtilization on.
func (l *limit) full() float64 {
	full := (l.load.utilization() - idleUtilization) / (fullUtilization - idleUtilization)
	return min(max(full, 0), 1)
}

// shed returns the fraction of calls that are turned away for lack of room.
func (l *limit) shed() float64 { return l.load.ShedFraction * l.full() }

// excess returns the fraction of the admitted load that the service cannot take, or 0 if it
// takes all.
func (l *limit) excess() float64 {
	excess := 0.0
	if shed := l.shed(); shed > overloadedShed {
		excess = shed
	}
	if wait := l.load.QueueDelay - maxQueueDelay; wait > 0 {
		excess = max(excess, l.full()*min(float64(wait)/float64(severeQueueDelay), 1))
	}
	return excess
}

// reduce lowers the admitted fraction to the part of the causing one that the service takes.
func (l *limit) reduce() {
	l.fraction = max(min(l.fraction, l.causing*(1-l.excess())), minFraction)
}

// raised returns the admitted fraction with which nested calls use targetUtilization of the
// slots, by what they use now.
func (l *limit) raised() float64 {
	growth := targetUtilization / max(l.load.nestedUtilization(), targetUtilization/maxGrowth)
	return max(l.fraction, l.causing*max(growth, minGrowth))
}

// offer records a request that needs slotTime at the service and reports whether it may be
// begun.
func (l *limit) offer(now time.Time, r Request, slotTime time.Duration) bool {
	return l.demand.offer(now, l.core.rng, r, slotTime.Seconds(), l.fraction)
}

// refund takes back the admission of a request that another limit refuses.
func (l *limit) refund(r Request) {
	if l.fraction < 1 {
		l.demand.refund(r)
	}
}

// refusal returns the refusal of a request. Callers are asked to return one after the other
// in the order in which they were refused.
func (l *limit) refusal(now time.Time) *Refusal {
	earliest, latest := now.Add(minReturnDelay), now.Add(maxReturnDelay)
	interval := time.Duration(float64(time.Second) / max(returnShare*l.demand.requestRate(), 1))
	at := l.nextReturn.Add(interval)
	if at.Before(earliest) {
		at = earliest
	}
	if at.After(latest) {
		at = latest
	}
	l.nextReturn = at
	return &Refusal{Service: l.service, Detail: l.describe(), RetryAfter: at.Sub(now)}
}
