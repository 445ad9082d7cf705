package gate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a pressure that callers' nodes notice late, or that outlasts its cause.
func TestPressureFollowsTurnedAwayCallsWithinHalfASecond(t *testing.T) {
	var p pressure
	now := time.Unix(100, 0)
	play := func(d time.Duration, turnedAway bool) {
		for end := now.Add(d); now.Before(end); now = now.Add(5 * time.Millisecond) {
			p.onArrival(now)
			if turnedAway {
				p.onTurnedAway(now)
			} else {
				p.onStarted(now, 20*time.Millisecond)
			}
		}
	}
	play(2*time.Second, false)
	assert.Equal(t, p.shedFraction(now), 0.0)
	assert.Equal(t, p.queueDelay(now).Round(time.Millisecond), 20*time.Millisecond)
	play(500*time.Millisecond, true)
	assert.Assert(t, p.shedFraction(now) > 0.6, "shed fraction %.2f", p.shedFraction(now))
	play(500*time.Millisecond, false)
	assert.Assert(t, p.shedFraction(now) < 0.3, "shed fraction %.2f", p.shedFraction(now))
}
