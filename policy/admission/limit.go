package admission

import (
	"time"
)

const (
	// toleratedRatio is the ratio of the service time to its baseline up to
	// which the target counts as not overloaded. The mean of one window varies
	// without overload, but stays below this ratio.
	toleratedRatio = 2.0
	// jumpRatio is the ratio of the service time to its baseline from which the
	// target may be in cold start and not just loaded.
	jumpRatio = 4.0
	// unchangedRatio: when the service time ratio is at least this fraction of
	// the ratio before the decrease although much less is in flight, this node's
	// load is not the cause.
	unchangedRatio = 0.85
	// reducedLoadRatio is the fraction of the calls in flight before the decrease
	// up to which the load counts as much less.
	reducedLoadRatio = 0.8
	// maxOverloadRatio is the fraction of overloaded calls above which the limit
	// is decreased: the target answered that it is overloaded, or did not answer
	// in time while there was no baseline.
	maxOverloadRatio = 0.1
	// overloadDecreaseFactor is the multiplicative decrease in that case.
	overloadDecreaseFactor = 0.8
	// increaseFraction is the increase after each good window, as a fraction of
	// the configured slots. It is at least 1 call.
	increaseFraction = 0.05
	// minWarmWindow is the least duration of a window of a warm target.
	minWarmWindow = 100 * time.Millisecond
	// minWarmSamples is the least number of samples in it.
	minWarmSamples = 32
)

// limit is the adaptive limit of calls that run at once.
//
// The configured slots are what a healthy target can handle. A target that can
// temporarily handle less answers more slowly, and more calls in flight then
// only make all of them late. The limit is decreased in proportion to the rise
// of the service time above the tolerated one, or by a fixed factor when the
// target signals overload, and grows by a fixed fraction of the slots while
// neither is seen. A decrease that leaves the service time unchanged, although
// less is in flight, is reverted: the target waits for something that it does
// not call through its node, such as a database, and a lower limit would only
// leave slots idle.
type limit struct {
	core  *Core
	value float64

	// State before the first of a series of decreases, to tell whether they
	// help: service time ratio and mean calls in flight.
	ratioBeforeDecrease    float64
	inFlightBeforeDecrease float64
}

// roundedDown rounds the limit down. The addend keeps a rounding error of the
// arithmetic from taking a call.
func (l *limit) roundedDown() int { return int(l.value + 1e-9) }

// coldFloor returns how many calls at once a target in cold start can handle: all
// slots if there is no ramp time.
func (l *limit) coldFloor() float64 {
	config := l.core.config
	if config == nil {
		return 0
	}
	if config.RampTime.Std() <= 0 {
		return float64(config.Slots)
	}
	return float64(min(max(config.ColdFloor, 1), config.Slots))
}

func (l *limit) configuredSlots() float64 {
	if l.core.config == nil {
		return 0
	}
	return float64(l.core.config.Slots)
}

func (l *limit) atConfiguredSlots() bool { return l.value >= l.configuredSlots() }

// set sets the limit to at least one call, or to zero while there is no
// configuration.
func (l *limit) set(value float64) {
	l.value = min(max(value, min(l.coldFloor(), 1)), l.configuredSlots())
}

func (l *limit) resetToColdFloor() { l.set(l.coldFloor()); l.ratioBeforeDecrease = 0 }

func (l *limit) resetToConfiguredSlots() { l.set(l.configuredSlots()); l.ratioBeforeDecrease = 0 }

// increase raises the limit after a good window.
func (l *limit) increase() {
	l.ratioBeforeDecrease = 0
	l.set(l.value + max(increaseFraction*l.configuredSlots(), 1))
}

// decrease lowers the limit after a bad window, to not less than half. It starts
// from the calls that really ran at once when these are fewer than the limit.
func (l *limit) decrease(w *window) {
	if w.overloadRatio() > maxOverloadRatio {
		l.set(l.value * overloadDecreaseFactor)
		return
	}
	if l.ratioBeforeDecrease == 0 {
		l.ratioBeforeDecrease, l.inFlightBeforeDecrease = w.serviceTimeRatio(), w.meanInFlight()
	}
	factor := max(toleratedRatio/w.serviceTimeRatio(), 0.5)
	l.set(max(min(l.value, w.meanInFlight()+1)*factor, l.coldFloor()))
}

// decreaseHadNoEffect reports whether the service time stayed high although much
// less is in flight than before the decrease.
func (l *limit) decreaseHadNoEffect(w *window) bool {
	return l.ratioBeforeDecrease > 0 &&
		w.meanInFlight() <= reducedLoadRatio*l.inFlightBeforeDecrease &&
		w.serviceTimeRatio() >= unchangedRatio*l.ratioBeforeDecrease
}
