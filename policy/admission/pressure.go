package admission

import (
	"math/rand/v2"
	"time"
)

const (
	// pressureWindow is the time over which demand and supply are counted.
	pressureWindow = 500 * time.Millisecond
	// baseRetryAfter is the wait for a caller that meets a full queue while
	// demand equals supply.
	baseRetryAfter = 500 * time.Millisecond
	maxRetryAfter  = 30 * time.Second
)

// pressure measures how far demand exceeds supply.
//
// Callers that are refused come back. If all of them waited equally long,
// they would come back together, and the sooner the more there are. The wait
// grows with the pressure, so that the rate of returning callers stays about
// the same, and is spread by jitter.
type pressure struct {
	opened   time.Time
	arrivals int
	starts   int
	value    float64 // arrivals for each start in the last whole window
}

func (p *pressure) onArrival(now time.Time) { p.roll(now); p.arrivals++ }

func (p *pressure) onStart(now time.Time) { p.roll(now); p.starts++ }

func (p *pressure) roll(now time.Time) {
	if now.Sub(p.opened) < pressureWindow {
		return
	}
	p.value = float64(p.arrivals) / float64(max(p.starts, 1))
	p.opened, p.arrivals, p.starts = now, 0, 0
}

// retryAfter returns a wait between one half and three halves of its mean.
func (p *pressure) retryAfter(now time.Time, rng *rand.Rand) time.Duration {
	p.roll(now)
	mean := time.Duration(float64(baseRetryAfter) * max(p.value, 1))
	return time.Duration(float64(min(mean, maxRetryAfter)) * (0.5 + rng.Float64()))
}
