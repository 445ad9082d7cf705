package admission

import "time"

// window collects the ends of calls between two judgements of the target.
type window struct {
	opened   time.Time
	samples  int           // answers and failures that say something about load
	overload int           // of these: the target was overloaded or late
	elapsed  time.Duration // sum of the service times
	usual    time.Duration // sum of the baselines of the same calls
	inFlight int           // sum of the calls in flight at the ends
}

func (w *window) add(elapsed, usual time.Duration, overload bool, inFlight int) {
	w.samples++
	w.elapsed += elapsed
	w.usual += usual
	w.inFlight += inFlight
	if overload {
		w.overload++
	}
}

// ratio is the mean service time in units of the unloaded one.
func (w *window) ratio() float64 {
	if w.usual <= 0 {
		return 1
	}
	return float64(w.elapsed) / float64(w.usual)
}

// load is the mean number of calls in flight.
func (w *window) load() float64 {
	if w.samples == 0 {
		return 0
	}
	return float64(w.inFlight) / float64(w.samples)
}

// errorShare is the part of the calls that failed from overload.
func (w *window) errorShare() float64 {
	if w.samples == 0 {
		return 0
	}
	return float64(w.overload) / float64(w.samples)
}

func (w *window) reset(now time.Time) { *w = window{opened: now} }
