package admission

import (
	"math/rand/v2"
	"time"
)

const (
	// demandWindow is the time over which demand and supply are counted.
	demandWindow = 500 * time.Millisecond
	// baseRetryAfter is the mean Retry-After of a refusal while demand equals
	// supply.
	baseRetryAfter = 500 * time.Millisecond
	// maxMeanRetryAfter bounds the mean, before the jitter of up to one half.
	maxMeanRetryAfter = 30 * time.Second
)

// demand measures how far the demand exceeds the supply of slots.
//
// Refused callers retry. If all of them waited equally long, they would retry
// at the same time, and their rate would grow with their number. The wait grows
// with the ratio, so that the rate of retries stays about the same, and is
// spread by jitter.
type demand struct {
	windowStart time.Time
	arrivals    int
	starts      int
	ratio       float64 // arrivals for each start in the last complete window
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
