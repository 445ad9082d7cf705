package admission

import (
	"math/rand/v2"
	"time"
)

const (
	// demandWindow is the time over which arrivals and starts are counted.
	demandWindow = 500 * time.Millisecond
	// baseRetryAfter is the mean Retry-After of a refusal while arrivals do not
	// exceed starts.
	baseRetryAfter = 500 * time.Millisecond
	// maxMeanRetryAfter bounds the mean Retry-After, to which a jitter of up to one
	// half is applied.
	maxMeanRetryAfter = 30 * time.Second
)

// demand measures how far the arrivals of calls exceed the starts.
//
// Refused callers retry. With the same Retry-After for all of them, they would
// retry at the same time, and the rate of retries would grow with their number.
// Retry-After grows with the ratio of arrivals to starts, so that the rate of
// retries stays about the same, and has jitter.
type demand struct {
	windowStart time.Time
	arrivals    int
	starts      int
	ratio       float64 // of arrivals to starts in the last complete window
}

func (d *demand) onArrival(now time.Time) { d.advanceWindow(now); d.arrivals++ }

func (d *demand) onStart(now time.Time) { d.advanceWindow(now); d.starts++ }

func (d *demand) advanceWindow(now time.Time) {
	if now.Sub(d.windowStart) < demandWindow {
		return
	}
	d.ratio = float64(d.arrivals) / float64(max(d.starts, 1))
	d.windowStart, d.arrivals, d.starts = now, 0, 0
}

// retryAfter returns a time between one half and three halves of its mean.
func (d *demand) retryAfter(now time.Time, rng *rand.Rand) time.Duration {
	d.advanceWindow(now)
	mean := time.Duration(float64(baseRetryAfter) * max(d.ratio, 1))
	return time.Duration(float64(min(mean, maxMeanRetryAfter)) * (0.5 + rng.Float64()))
}
