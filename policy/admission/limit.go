package admission

import (
	"time"
)

const (
	// tolerance is the service time, in units of the unloaded one, up to which
	// the target counts as bearing its load. Means of a window scatter below
	// it.
	tolerance = 2.0
	// jumpRatio is the service time, in units of the unloaded one, that shows
	// a target in cold start and not just a loaded one.
	jumpRatio = 4.0
	// elsewhereRatio: when the service time keeps this part of its rise
	// although much less is in flight, this node's load is not its cause.
	elsewhereRatio = 0.85
	// lessLoad is the part of the earlier load that counts as much less.
	lessLoad = 0.8
	// errorLimit is the part of overloaded answers above which the limit
	// falls.
	errorLimit = 0.1
	// errorFactor is the multiplicative decrease on errors.
	errorFactor = 0.8
	// increasePart is the additive increase, as a part of the slots.
	increasePart = 0.05
	// warmWindow is the shortest time of a window of a warm target.
	warmWindow = 100 * time.Millisecond
	// warmSamples is the fewest ends of calls in it.
	warmSamples = 32
)

// limit is the adaptive number of calls that may run at once.
//
// The slots say what a healthy target bears. A target that bears less for
// some time answers more slowly, and more calls in flight then only make all
// of them late. The limit is cut in proportion to the rise of the service
// time above the tolerated one, or by a fixed factor when the target refuses
// from overload, and grows by a fixed part of the slots while neither is
// seen. A cut that leaves the service time as it was, although less is in
// flight, is taken back: the target waits for something else, and a lower
// limit would only idle its slots.
type limit struct {
	core  *Core
	value float64

	// First cut of a series, to see whether cuts help.
	cutRatio float64
	cutLoad  float64
}

func (l *limit) whole() int { return int(l.value + 1e-9) }

// floor is what a target in cold start bears.
func (l *limit) floor() float64 {
	config := l.core.config
	if config == nil {
		return 0
	}
	if config.RampTime.Std() <= 0 {
		return float64(config.Slots)
	}
	return float64(min(max(config.ColdFloor, 1), config.Slots))
}

func (l *limit) slots() float64 {
	if l.core.config == nil {
		return 0
	}
	return float64(l.core.config.Slots)
}

func (l *limit) atSlots() bool { return l.value >= l.slots() }

func (l *limit) set(value float64) {
	l.value = min(max(value, min(l.floor(), 1)), l.slots())
}

func (l *limit) toFloor() { l.set(l.floor()); l.cutRatio = 0 }

func (l *limit) restore() { l.set(l.slots()); l.cutRatio = 0 }

// increase grows the limit of a target that bears its load.
func (l *limit) increase() {
	l.cutRatio = 0
	l.set(l.value + max(increasePart*l.slots(), 1))
}

// decrease cuts the limit after a bad window.
func (l *limit) decrease(w *window) {
	if w.errorShare() > errorLimit {
		l.set(l.value * errorFactor)
		return
	}
	if l.cutRatio == 0 {
		l.cutRatio, l.cutLoad = w.ratio(), w.load()
	}
	factor := max(tolerance/w.ratio(), 0.5)
	l.set(max(min(l.value, w.load()+1)*factor, l.floor()))
}

// cutDidNotHelp reports whether the service time stayed up although less is
// in flight than before the cut.
func (l *limit) cutDidNotHelp(w *window) bool {
	return l.cutRatio > 0 &&
		w.load() <= lessLoad*l.cutLoad &&
		w.ratio() >= elsewhereRatio*l.cutRatio
}
