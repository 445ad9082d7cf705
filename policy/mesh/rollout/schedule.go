package rollout

import (
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

// The move begins as late as it can, since all calls count as exposure from then on, and
// early enough for the status to be in the log before the deadline.
const (
	// minLead and maxLead bound the time from the move to the deadline. The least is what
	// the move, a look at the responses, and the write by the second or third node need.
	minLead = 600 * time.Millisecond
	maxLead = 1500 * time.Millisecond
	// shortPeriodShare bounds the lead for short periods.
	shortPeriodShare = 0.5
	// exposureReserve is the part of the bound on the exposure that the move may plan to use
	// together with the canary share: counts arrive late, and the rate may rise.
	exposureReserve = 0.95
	// writeLead is the time before the deadline at which the status is written even if calls
	// still run on the old versions. Nodes see an order up to a quarter of a second late.
	writeLead = 400 * time.Millisecond
	// minMoveTime is the least time from the move to the write, in which responses under the
	// whole load are judged, and maxMoveTime bounds the wait for running calls when the
	// deadline has passed.
	minMoveTime = 200 * time.Millisecond
	maxMoveTime = time.Second
	// provenDelay is the time after which an order for a version that served before the
	// order it supersedes is carried out. Nodes learn of the order meanwhile.
	provenDelay = 500 * time.Millisecond
	// peerSilence is the time after which a peer that is not heard of is not waited for.
	peerSilence = 1500 * time.Millisecond
)

func (o *order) deadline() time.Time { return o.startedAt.Add(o.Period) }

// moveDue reports whether the move should begin. The requests from the move to the deadline
// must fit into what the canary share has left of the bound on the exposure.
func (o *order) moveDue(now time.Time) bool {
	if o.proven {
		return now.Sub(o.startedAt) >= provenDelay
	}
	left := o.deadline().Sub(now)
	shortest := min(minLead, time.Duration(shortPeriodShare*float64(o.Period)))
	longest := min(maxLead, max(o.Period/8, shortest))
	if left <= shortest || left > longest {
		return left <= shortest
	}
	bounds := o.service.core.bounds
	all, onNew := o.statistics.total.requests()
	coming := o.statistics.rate(now) * left.Seconds()
	allowed := exposureReserve*bounds.ExposeShare*(float64(all)+coming) + float64(bounds.ExposeSlack)/2
	return float64(onNew)+coming <= allowed
}

// completeDue reports whether the status complete should be written.
func (o *order) completeDue(now time.Time) bool {
	moved := now.Sub(o.movedAt)
	if moved < minMoveTime {
		return false
	}
	if moved >= maxMoveTime {
		return true
	}
	left := o.deadline().Sub(now)
	return o.allDrained(now) || left > 0 && left <= writeLead
}

// drained reports whether no call of this node runs at the old targets.
func (o *order) drained() bool {
	if p := o.phase(); p != model.RolloutMoving && p != model.RolloutComplete {
		return false
	}
	for version, n := range o.service.census.running {
		if version != o.Version && n > 0 {
			return false
		}
	}
	return true
}

// allDrained reports whether the same is so for all nodes that are heard of.
func (o *order) allDrained(now time.Time) bool {
	if !o.drained() {
		return false
	}
	for _, p := range o.peers {
		if now.Sub(p.heardAt) < peerSilence && !p.drained {
			return false
		}
	}
	return true
}
