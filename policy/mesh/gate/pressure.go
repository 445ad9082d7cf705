package gate

import (
	"math"
	"time"
)

// pressureDecayTime is the time constant with which past calls lose their weight in the
// measured pressure. Callers' nodes must notice overload, and its end, within half a second.
const pressureDecayTime = 400 * time.Millisecond

// pressurePrior is a number of calls without wait that is added to those counted. Without it
// the last few calls before a pause would state a long wait until others follow.
const pressurePrior = 2

// pressure measures how short of room the target is for nested calls: how many of those that
// arrive are turned away, and how long the others wait for a slot. All counts decay
// exponentially. External calls do not count: the callers' nodes limit the requests that make
// nested calls by this, and long external calls may wait for seconds without harm.
type pressure struct {
	arrived    float64 // calls
	turnedAway float64 // calls, by the target or its node
	started    float64 // calls
	waited     float64 // seconds, sum over the started calls
	decayedAt  time.Time
}

func (p *pressure) decay(now time.Time) {
	elapsed := now.Sub(p.decayedAt)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-elapsed.Seconds() / pressureDecayTime.Seconds())
	p.arrived *= factor
	p.turnedAway *= factor
	p.started *= factor
	p.waited *= factor
	p.decayedAt = now
}

func (p *pressure) onArrival(now time.Time) {
	p.decay(now)
	p.arrived++
}

func (p *pressure) onTurnedAway(now time.Time) {
	p.decay(now)
	p.turnedAway++
}

func (p *pressure) onStarted(now time.Time, waited time.Duration) {
	p.decay(now)
	p.started++
	p.waited += waited.Seconds()
}

// shedFraction returns the fraction of recent calls that were turned away.
func (p *pressure) shedFraction(now time.Time) float64 {
	p.decay(now)
	return min(p.turnedAway/(p.arrived+pressurePrior), 1)
}

// queueDelay returns the mean wait of the calls that started recently.
func (p *pressure) queueDelay(now time.Time) time.Duration {
	p.decay(now)
	return time.Duration(p.waited / (p.started + pressurePrior) * float64(time.Second))
}
