package admission

import (
	"time"
)

const (
	// toleratedRatio is the ratio of the service time to its baseline up to
	// which the target counts as not overloaded. Without overload the mean of
	// one window varies, but stays below this ratio.
	toleratedRatio = 2.0
	// jumpRatio is the least ratio of the service time to its baseline that
	// suggests a cold start rather than a high load.
	jumpRatio = 4.0
	// unchangedRatio is the fraction of the service time ratio before a decrease
	// from which the ratio counts as unchanged. If it is unchanged although the
	// load is much lower, the load from this node is not the cause.
	unchangedRatio = 0.85
	// reducedLoadRatio is the fraction of the calls in flight before a decrease up
	// to which the load counts as much lower.
	reducedLoadRatio = 0.8
	// maxOverloadRatio is the fraction of overloaded calls above which the limit
	// is decreased. A call is overloaded if the target answered so, or did not
	// answer in time while there was no baseline.
	maxOverloadRatio = 0.1
	// overloadDecreaseFactor is the multiplicative decrease above maxOverloadRatio.
	overloadDecreaseFactor = 0.8
	// increaseFraction is the increase after each good window, as a fraction of
	// the configured slots. It is at least 1 call.
	increaseFraction = 0.05
	// minWarmWindow is the least duration of a window of a warm target.
	minWarmWindow = 100 * time.Millisecond
	// minWarmSamples is the least number of samples in a window of a warm target.
	minWarmSamples = 32
)

// limit is the adaptive concurrency limit of the target.
//
// The configured slots are what a healthy target can handle. A target whose
// capacity is temporarily lower answers more slowly, and more calls in flight
// then only make all of them late. When the service time exceeds the tolerated
// one, the limit is multiplied by the ratio of the tolerated to the measured time.
// When too many calls are overloaded, it is multiplied by a fixed factor. Otherwise
// it grows by a fixed fraction of the slots. A decrease that leaves the service time
// unchanged, although less is in flight, is reverted: the target waits for a
// dependency that it does not call through its node, such as a database, and a
// lower limit would only leave slots idle.
type limit struct {
	core  *Core
	value float64

	// Service time ratio and mean calls in flight before the first of a series of
	// decreases, to tell whether these have an effect.
	ratioBeforeDecrease    float64
	inFlightBeforeDecrease float64
}

// roundedDown returns the limit as a whole number of calls. The addend keeps a
// floating-point error from lowering it by one.
func (l *limit) roundedDown() int { return int(l.value + 1e-9) }

// coldFloor returns how many calls at once a target in cold start can handle.
// Without a ramp time these are all slots.
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

// set sets the limit, bounded by one call and by the configured slots. It is zero
// while there is no configuration.
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

// decrease lowers the limit after a bad window: on overload by
// overloadDecreaseFactor, otherwise by the ratio of the tolerated to the measured
// service time, but by at most half and not below the cold floor. In the second
// case it starts from one call more than the mean number in flight if that is below
// the limit.
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

// decreaseHadNoEffect reports whether the service time is unchanged although the
// load is much lower than before the decrease.
func (l *limit) decreaseHadNoEffect(w *window) bool {
	return l.ratioBeforeDecrease > 0 &&
		w.meanInFlight() <= reducedLoadRatio*l.inFlightBeforeDecrease &&
		w.serviceTimeRatio() >= unchangedRatio*l.ratioBeforeDecrease
}
