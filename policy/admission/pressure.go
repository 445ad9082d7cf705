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

func (p *demand) onArrival(now time.Time) { p.advanceWindow(now); p.arrivals++ }

func (p *demand) onStart(now time.Time) { p.advanceWindow(now); p.starts++ }

func (p *demand) advanceWindow(now time.Time) {
	if now.Sub(p.windowStart) < demandWindow {
		return
	}
	p.ratio = float64(p.arrivals) / float64(max(p.starts, 1))
	p.windowStart, p.arrivals, p.starts = now, 0, 0
}

// retryAfter returns a time between one half and three halves of its mean.
func (p *demand) retryAfter(now time.Time, rng *rand.Rand) time.Duration {
	p.advanceWindow(now)
	mean := time.Duration(float64(baseRetryAfter) * max(p.ratio, 1))
	return time.Duration(float64(min(mean, maxMeanRetryAfter)) * (0.5 + rng.Float64()))
}
