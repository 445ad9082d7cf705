// This file chooses the target of a call.

package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// remoteZonePenalty is the advantage that targets in another availability zone must
	// have to be chosen, as a fraction of the time until the call's SLO deadline.
	// Traffic between zones is expensive: in two deployments the traffic of a call of
	// some kilobytes costs a third of the value of its request.
	remoteZonePenalty = 0.35
	// remoteZonePenaltyNested is the same for nested calls. It is lower because a
	// request waits for several of them in sequence.
	remoteZonePenaltyNested = 0.2
	// defaultRunTime is the assumed run time until a target of the service reports
	// one.
	defaultRunTime = 50 * time.Millisecond
	// staleReportAge is the age from which a target's report counts as stale. Its node
	// reports at least about once per second, and sends its load with each answer.
	staleReportAge = 2 * time.Second
	// staleReportPenalty is added to the cost of a target whose node no longer
	// reports although the link to it is open.
	staleReportPenalty = 500 * time.Millisecond
	// failurePenalty is the cost of a target at which all calls fail, as a multiple of
	// the time until the call's SLO deadline: a failure uses up all of this time and
	// causes a retry. The median failure rate of the service's targets is subtracted,
	// since the cause of failures that most targets have in common is not in the
	// targets. Differences up to failureTolerance are ignored: they fluctuate under
	// overload.
	failurePenalty   = 2.0
	failureTolerance = 0.15
	// fastPreference is how much more of its limit a target gets to use for being faster
	// than the others of its group by a factor of e, when the group is idle. It falls with
	// preferenceExponent, the power of the free part of the group: it is high up to half
	// of what the group can bear and small from 0.6 on, so that under load each target
	// gets the calls that it can bear. maxPreferredUtilization bounds the utilization to
	// which faster targets are filled first.
	fastPreference          = 9.0
	preferenceExponent      = 5
	maxPreferredUtilization = 0.75
	// intendedIterations is the number of bisections that find the intended utilizations.
	intendedIterations = 8
	// loadCorrection is how strongly a target's share of the calls follows the deviation
	// from its intended utilization. The load follows the share within a run time. A much
	// stronger correction would overshoot, since the nodes act on reports that are up to a
	// second old.
	loadCorrection = 2.0
)

// Groups of targets among which a call's target is drawn.
const (
	nearGroup      = iota // in the node's availability zone
	farGroup              // in other availability zones
	nearStaleGroup        // in the node's availability zone, with a stale report
	farStaleGroup         // in other availability zones, with a stale report
	failingGroup          // with a penalty for failures that exceeds the run time
	groupCount
)

// candidate is a target that may get a call.
type candidate struct {
	target     *target
	runTime    float64 // seconds; assumed if the target has not reported one
	capacity   float64 // calls that it can run at once
	penalty    float64 // seconds, for failures, a stale report and another availability zone
	rate       float64 // calls per second that it can run
	weight     float64
	intended   float64 // utilization
	logRunTime float64
}

// choose returns the target for a call, or nil if there is none. It is drawn from the
// targets of the own availability zone, or, for the share of the calls that leaves the
// zone, from those of others. Since it is drawn, nodes that have the same reports choose
// different targets.
func (s *targetSet) choose(now time.Time, call *model.Call, tried []*target, zonesOut map[model.Zone]bool) *target {
	zonePenalty := s.groupTargets(now, call, tried, zonesOut)
	var best *candidate
	first, near, far := len(tried) == 0, len(s.groups[nearGroup]) > 0, len(s.groups[farGroup]) > 0
	if first && near && !far {
		s.lowerShare(now, call)
	}
	if first && near && far {
		best = s.drawByZone(now, call, zonePenalty)
	} else {
		best = cheaper(s.draw(s.groups[nearGroup]), s.draw(s.groups[farGroup]))
	}
	best = cheaper(best, s.draw(s.groups[nearStaleGroup]))
	if best == nil {
		best = s.draw(s.groups[farStaleGroup])
	}
	best = cheaper(best, s.draw(s.groups[failingGroup]))
	if best == nil {
		return nil
	}
	return best.target
}

// cheaper returns the candidate with the lower cost. Either may be nil.
func cheaper(a, b *candidate) *candidate {
	if a == nil || b != nil && b.cost() < a.cost() {
		return b
	}
	return a
}

// groupTargets divides the targets that may get a call into groups. It returns the penalty
// for targets in other availability zones.
func (s *targetSet) groupTargets(now time.Time, call *model.Call, tried []*target, zonesOut map[model.Zone]bool) (zonePenalty float64) {
	for i := range s.groups {
		s.groups[i] = s.groups[i][:0]
	}
	assumedRunTime, medianFailureRate := serviceBaseline(s.byService[call.Service])
	timeLeft := max(call.SLODeadline.Sub(now), 0).Seconds()
	zonePenalty = remoteZonePenalty * timeLeft
	if call.Nested {
		zonePenalty = remoteZonePenaltyNested * timeLeft
	}
	for _, t := range s.byService[call.Service] {
		if !t.linkUp || t.state != model.TargetServing || zonesOut[t.zone] || slices.Contains(tried, t) || s.allowed != nil && !s.allowed(t.peer) {
			continue
		}
		c := newCandidate(t, assumedRunTime)
		c.penalty = max(t.failureRate-medianFailureRate-failureTolerance, 0) * failurePenalty * timeLeft
		c.weight = 1 - c.penalty/c.runTime
		if t.zone != s.zone {
			c.penalty += zonePenalty
		}
		group := s.groupOf(&c, t.peer != s.self && t.reportAge(now) > staleReportAge)
		s.groups[group] = append(s.groups[group], c)
	}
	return zonePenalty
}

// groupOf returns the group of a candidate, and sets its weight and its penalty for a stale
// report.
func (s *targetSet) groupOf(c *candidate, stale bool) int {
	if stale {
		c.penalty += staleReportPenalty.Seconds()
	}
	near := c.target.zone == s.zone
	switch {
	case c.weight <= 0:
		c.weight = 1
		return failingGroup
	case stale && near:
		return nearStaleGroup
	case stale:
		return farStaleGroup
	case near:
		return nearGroup
	default:
		return farGroup
	}
}

func newCandidate(t *target, assumedRunTime time.Duration) candidate {
	runTime := t.runTime
	if runTime <= 0 {
		runTime = assumedRunTime
	}
	c := candidate{target: t, runTime: runTime.Seconds(), capacity: float64(max(t.limit, 1))}
	if t.cold && t.coldRate > 0 {
		c.capacity = min(c.capacity, t.coldRate*c.runTime)
	}
	c.rate, c.logRunTime = c.capacity/c.runTime, math.Log(c.runTime)
	return c
}

// draw returns a candidate of a group, drawn with the probability of its share of the
// group's calls, or nil if the group is empty. The share follows from what the target can
// bear, its intended utilization and its load.
func (s *targetSet) draw(group []candidate) *candidate {
	if len(group) == 0 {
		return nil
	}
	setIntended(group)
	var total float64
	for i := range group {
		c := &group[i]
		corrected := c.intended + loadCorrection*(c.intended-c.target.load()/c.capacity)
		c.weight *= c.rate * max(corrected, 0)
		total += c.weight
	}
	at := s.rng.Float64() * total
	for i := range group {
		if at -= group[i].weight; at < 0 {
			return &group[i]
		}
	}
	return &group[s.rng.IntN(len(group))] // nothing is known that distinguishes them
}

// setIntended sets the intended utilizations of the targets of a group. Their mean,
// weighted by what each target can bear, is that of the group. They are higher for faster
// targets while the group has room.
func setIntended(group []candidate) {
	var rate, utilization float64
	fastest, slowest := math.Inf(1), math.Inf(-1)
	for i := range group {
		c := &group[i]
		rate += c.rate
		utilization += (c.target.load() + 1/float64(len(group))) / c.runTime // one more call
		fastest, slowest = min(fastest, c.logRunTime), max(slowest, c.logRunTime)
	}
	utilization /= rate
	preference := fastPreference * math.Pow(max(1-utilization, 0), preferenceExponent)
	highest := max(utilization, maxPreferredUtilization)
	low, high := utilization+preference*fastest, utilization+preference*slowest
	for range intendedIterations {
		level := (low + high) / 2
		var sum float64
		for i := range group {
			c := &group[i]
			c.intended = min(max(level-preference*c.logRunTime, 0), highest)
			sum += c.rate * c.intended
		}
		if sum < utilization*rate {
			low = level
		} else {
			high = level
		}
	}
}

func lowestCost(group []candidate) float64 {
	lowest := math.Inf(1)
	for i := range group {
		lowest = min(lowest, group[i].cost())
	}
	return lowest
}

// cost returns the expected time in seconds until a call ends at the target, with its
// penalties.
func (c *candidate) cost() float64 { return c.target.runCost(c.runTime) + c.penalty }

// load returns the calls that run or wait at the target.
func (t *target) load() float64 { return float64(t.otherNodesLoad + t.outstanding) }

// expectedTime returns the expected time until a call ends at a target, without regard to
// penalties.
func (s *targetSet) expectedTime(t *target) time.Duration {
	assumedRunTime, _ := serviceBaseline(s.byService[t.service])
	return time.Duration(t.runCost(newCandidate(t, assumedRunTime).runTime) * float64(time.Second))
}

// serviceBaseline returns the shortest run time of a service's targets, or
// defaultRunTime if none has reported one, and the lower median of the failure rates of
// the serving targets. The run time is assumed for targets that have not run calls
// recently, so that targets that are new, or were slow, are tried.
func serviceBaseline(candidates []*target) (assumedRunTime time.Duration, medianFailureRate float64) {
	rates := make([]float64, 0, len(candidates))
	for _, t := range candidates {
		if t.runTime > 0 && (assumedRunTime == 0 || t.runTime < assumedRunTime) {
			assumedRunTime = t.runTime
		}
		if t.linkUp && t.state == model.TargetServing {
			rates = append(rates, t.failureRate)
		}
	}
	if len(rates) > 0 {
		slices.Sort(rates)
		medianFailureRate = rates[(len(rates)-1)/2]
	}
	if assumedRunTime == 0 {
		assumedRunTime = defaultRunTime
	}
	return assumedRunTime, medianFailureRate
}

// runCost returns the expected time in seconds until a call ends at a target.
func (t *target) runCost(runTime float64) float64 {
	load := t.load() + 1
	utilization := load / float64(max(t.limit, 1))
	// A run takes a fifth longer at full utilization; beyond that, a call also waits for
	// the calls ahead of it.
	cost := runTime * (1 + 0.2*utilization)
	if utilization > 1 {
		cost += runTime * (utilization - 1)
	}
	if t.cold && t.coldRate > 0 {
		cost += load / t.coldRate
	}
	return cost
}
