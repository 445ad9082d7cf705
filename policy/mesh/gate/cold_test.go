package gate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a rate limit for cold targets of a service that has none: after a restart of
// all targets most requests were refused for three seconds although the slots were free.
func TestColdTargetOfServiceWithoutColdRateGetsItsSlots(t *testing.T) {
	c := newCore(t)
	c.SetColdRate(0)
	a := announcement(2)
	a.ColdLeft = 3 * time.Second
	assert.Assert(t, c.OnAnnouncement(start, a))
	started := 0
	for range c.limit() {
		c.OnCall(start, newCall(start))
		for _, d := range c.Decisions() {
			if d.Run != nil {
				started++
			}
		}
	}
	assert.Equal(t, started, c.limit())
}
