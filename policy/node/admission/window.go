package admission

import "time"

// window sums up measurements of the calls that ended between two evaluations
// of the target.
type window struct {
	start          time.Time
	samples        int           // calls whose outcome depends on the target's load
	overloaded     int           // samples that the target answered with overload, or not in time while there was no baseline
	serviceTimeSum time.Duration // of all samples with a measured service time
	baselineSum    time.Duration // of the same samples
	inFlightSum    int           // of the calls in flight when each sample ended
}

func (w *window) add(serviceTime, baseline time.Duration, overloaded bool, inFlight int) {
	w.samples++
	w.serviceTimeSum += serviceTime
	w.baselineSum += baseline
	w.inFlightSum += inFlight
	if overloaded {
		w.overloaded++
	}
}

// serviceTimeRatio returns the ratio of the mean service time to its baseline.
func (w *window) serviceTimeRatio() float64 {
	if w.baselineSum <= 0 {
		return 1
	}
	return float64(w.serviceTimeSum) / float64(w.baselineSum)
}

// meanInFlight returns the mean number of calls in flight when a call ended.
func (w *window) meanInFlight() float64 {
	if w.samples == 0 {
		return 0
	}
	return float64(w.inFlightSum) / float64(w.samples)
}

// overloadRatio returns the fraction of overloaded samples.
func (w *window) overloadRatio() float64 {
	if w.samples == 0 {
		return 0
	}
	return float64(w.overloaded) / float64(w.samples)
}

func (w *window) reset(now time.Time) { *w = window{start: now} }
