// Package zoneshare decides which share of the calls to a service leaves the callers'
// availability zone, and to which zones it goes. Calls leave when the zone's own targets
// cannot bear what is asked of them, or are so slow that the time gained elsewhere
// exceeds the cost of the bytes between zones. Each node decides for its own callers from
// the reports that it has; since a zone's nodes have about the same reports, their shares
// agree.
package zoneshare

import (
	"math"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// updateInterval is the time after which a share is due for an update.
	updateInterval = 50 * time.Millisecond
	// maxElapsed bounds the time since the last update that counts, so that a node that
	// sends few calls does not jump to another share.
	maxElapsed = 500 * time.Millisecond
	// nestedFrom and externalFrom are the utilizations of the own zone from which calls
	// leave. Nested calls leave before they wait, since a request waits for several of
	// them in sequence. External calls leave when the zone is full: the bytes of such a
	// call cost a third of its request's value.
	nestedFrom   = 0.9
	externalFrom = 1.0
	// fullWidth is the further utilization at which all calls leave. With a smaller one
	// the share overshoots, because the utilization follows it with the age of the reports.
	fullWidth = 0.4
	// startMargin is the utilization beyond nestedFrom or externalFrom at which calls
	// begin to leave. They stop at nestedFrom or externalFrom.
	startMargin = 0.04
	// minDifference is the difference of utilization between the own zone and another one
	// from which the other one gets calls. Two zones therefore do not send to each other,
	// also if their reports differ a little.
	minDifference = 0.15
	// otherLimit is the utilization up to which another zone gets calls. If the own zone
	// exceeds it by more than maxDifference, the others get calls up to this difference, so
	// that calls do not wait long in one zone only. A smaller maxDifference made all zones
	// send to each other when all were full, since their queues grow faster than reports
	// arrive.
	otherLimit    = 0.95
	maxDifference = 0.4
	// maxCompared bounds the utilizations that are compared.
	maxCompared = 3.0
	// roomGain is the part of the other zones' spare capacity by which the share may grow
	// in adjustTime. It is small because their reports are up to a second old.
	roomGain = 0.5
	// maxShare is the largest share. The rest stays, so that the run times of the own
	// zone's targets remain known.
	maxShare = 0.9
	// minShare is the share below which one that falls to zero ends.
	minShare = 0.005
	// adjustTime is the time constant with which a share follows its inputs, a few times
	// the delay until the own zone's reports show its effect.
	adjustTime = 700 * time.Millisecond
	// maxRise and maxFall bound the change of a share per second.
	maxRise = 0.8
	maxFall = 0.5
	// smoothTime is the time constant with which the utilizations of other zones are
	// smoothed. A target that is slow for 600 ms has recovered when its report arrives.
	smoothTime = 700 * time.Millisecond
	// minChange is the change of a share from which it is logged.
	minChange = 0.1
)

// Share is the share of the calls to a service that leaves the zone.
type Share struct {
	updatedAt time.Time
	leaving   float64
	input     Input // of the latest update
	reason    Reason
	loads     map[model.Zone]float64 // smoothed utilizations of the other zones
	spare     []float64              // calls per second for which each of input.Others has room
	logged    float64                // share when TakeChange last returned true
}

// New returns a share of zero.
func New() *Share { return &Share{reason: Enough} }

// Leaving returns the share of the calls that leave the zone.
func (s *Share) Leaving() float64 { return s.leaving }

// Reason returns why the share is what it is.
func (s *Share) Reason() Reason { return s.reason }

// Input returns the input of the latest update.
func (s *Share) Input() Input { return s.input }

// Due reports whether the share is due for an update.
func (s *Share) Due(now time.Time) bool { return now.Sub(s.updatedAt) >= updateInterval }

// TakeChange reports whether the share has changed by minChange or more, or has fallen to
// zero, since TakeChange last returned true.
func (s *Share) TakeChange() bool {
	if math.Abs(s.leaving-s.logged) < minChange && (s.leaving > 0 || s.logged == 0) {
		return false
	}
	s.logged = s.leaving
	return true
}

// Update moves the share toward what the input calls for.
func (s *Share) Update(now time.Time, in Input) {
	elapsed := min(now.Sub(s.updatedAt), maxElapsed)
	s.updatedAt, s.input = now, in
	s.smoothLoads(elapsed)
	s.setSpare()
	var wanted float64
	wanted, s.reason = s.wanted()
	step := (wanted - s.leaving) * min(elapsed.Seconds()/adjustTime.Seconds(), 1)
	s.leaving += min(max(step, -maxFall*elapsed.Seconds()), maxRise*elapsed.Seconds())
	if wanted == 0 && s.leaving < minShare {
		s.leaving = 0
	}
}

// wanted returns the share that the input calls for.
func (s *Share) wanted() (float64, Reason) {
	in := &s.input
	if in.Own.Capacity <= 0 {
		return 0, OwnUnknown
	}
	if len(in.Others) == 0 {
		return 0, OtherUnknown
	}
	share, reason := s.excess()/fullWidth, Full
	if in.Gain > share {
		share, reason = in.Gain, Slow
	}
	if share <= 0 {
		return 0, Enough
	}
	room := s.room()
	if room <= 0 {
		return 0, NoRoom
	}
	return min(share, room, maxShare), reason
}

// excess returns how far the utilization of the own zone is beyond the one from which
// calls leave.
func (s *Share) excess() float64 {
	from := externalFrom
	if s.input.Nested {
		from = nestedFrom
	}
	excess := s.input.Own.Utilization() - from
	if s.leaving == 0 && excess < startMargin {
		return 0
	}
	return max(excess, 0)
}

// room returns the share for which the other zones have room. The calls that leave now are
// among those that the other zones report. If no zone has spare capacity, the share falls
// by what they lack.
func (s *Share) room() float64 {
	in := &s.input
	var spare, lack float64
	for i, other := range in.Others {
		spare += s.spare[i]
		lack += max((s.loads[other.Zone]-s.otherLimit())*other.Capacity, 0)
	}
	if spare <= 0 {
		spare = -lack
	}
	calls := min(in.Own.Asked, in.Own.Capacity) / (1 - s.leaving)
	return s.leaving + roomGain*spare/max(calls, 1)
}

// otherLimit returns the utilization up to which another zone gets calls.
func (s *Share) otherLimit() float64 {
	if s.input.Gain > 0 {
		return otherLimit
	}
	own := min(s.input.Own.Utilization(), maxCompared)
	return min(max(otherLimit, own-maxDifference), own-minDifference)
}

func (s *Share) setSpare() {
	s.spare = s.spare[:0]
	for _, other := range s.input.Others {
		s.spare = append(s.spare, max(s.otherLimit()-s.loads[other.Zone], 0)*other.Capacity)
	}
}

func (s *Share) smoothLoads(elapsed time.Duration) {
	weight := min(elapsed.Seconds()/smoothTime.Seconds(), 1)
	loads := make(map[model.Zone]float64, len(s.input.Others))
	for _, other := range s.input.Others {
		load := min(other.Utilization(), maxCompared)
		if previous, ok := s.loads[other.Zone]; ok {
			load = previous + weight*(load-previous)
		}
		loads[other.Zone] = load
	}
	s.loads = loads
}

// Zone returns the zone for a call that leaves, in proportion to the zones' spare
// capacities, or false if there is none. at is a random number from 0 to 1.
func (s *Share) Zone(at float64) (model.Zone, bool) {
	var sum float64
	for _, spare := range s.spare {
		sum += spare
	}
	at *= sum
	for i, spare := range s.spare {
		if at -= spare; at < 0 {
			return s.input.Others[i].Zone, true
		}
	}
	return "", false
}
