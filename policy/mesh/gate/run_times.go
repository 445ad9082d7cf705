package gate

import "time"

const (
	// runTimeWeight is the weight of a new sample in a mean run time, which is an
	// exponentially weighted moving average.
	runTimeWeight = 0.05
	// initialRunTime is the mean run time that is assumed until a call is answered.
	initialRunTime = 50 * time.Millisecond
	// runTimeMaxAge is the age of the latest sample from which the mean run time is no
	// longer reported. A slow target gets no calls, and without new samples it would
	// be considered slow forever.
	runTimeMaxAge = 3 * time.Second
	// longRunRatio is the ratio of the mean run times of external and nested calls from
	// which the external calls are long: a slot that one of them takes is missing for
	// several nested calls.
	longRunRatio = 4
)

// meanTime is a mean run time.
type meanTime struct {
	mean      time.Duration
	sampledAt time.Time // zero if there is no sample
}

func (m *meanTime) add(now time.Time, sample time.Duration) {
	if m.sampledAt.IsZero() {
		m.mean = sample
	}
	m.sampledAt = now
	m.mean += time.Duration(runTimeWeight * float64(sample-m.mean))
}

// recent reports whether there is a sample that is not older than runTimeMaxAge.
func (m *meanTime) recent(now time.Time) bool {
	return !m.sampledAt.IsZero() && now.Sub(m.sampledAt) < runTimeMaxAge
}

// runTimes holds the mean run times of all calls, and of each kind: the calls that targets
// make differ from those of callers, which differ by priority.
type runTimes struct {
	all      meanTime
	nested   meanTime
	external map[int]*meanTime // by priority
}

func newRunTimes() runTimes {
	return runTimes{all: meanTime{mean: initialRunTime}, external: make(map[int]*meanTime)}
}

// add adds the run time of a call that was answered.
func (r *runTimes) add(now time.Time, tc *trackedCall, sample time.Duration) {
	r.all.add(now, sample)
	if tc.call.Nested {
		r.nested.add(now, sample)
		return
	}
	m := r.external[tc.call.Priority]
	if m == nil {
		m = new(meanTime)
		r.external[tc.call.Priority] = m
	}
	m.add(now, sample)
}

// of returns the mean run time of a kind of call, or that of all calls if there is no
// sample of the kind.
func (r *runTimes) of(nested bool, priority int) time.Duration {
	m := &r.nested
	if !nested {
		m = r.external[priority]
	}
	if m == nil || m.sampledAt.IsZero() {
		return r.all.mean
	}
	return m.mean
}

// long reports whether external calls of a priority run several times as long as nested
// calls, which must have run recently.
func (r *runTimes) long(now time.Time, priority int) bool {
	m := r.external[priority]
	return m != nil && r.nested.recent(now) && m.mean >= longRunRatio*r.nested.mean
}
