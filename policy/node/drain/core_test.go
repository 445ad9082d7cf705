package drain

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var epoch = time.Unix(1000, 0)

// simulate starts a shutdown, ticks every 100 ms until end and returns the time of each
// step.
func simulate(c *Core, inFlight func(elapsed time.Duration) int, end time.Duration) map[Action]time.Duration {
	at := make(map[Action]time.Duration)
	c.OnStop(epoch)
	for elapsed := time.Duration(0); elapsed <= end; elapsed += 100 * time.Millisecond {
		c.Tick(epoch.Add(elapsed), inFlight(elapsed))
		for _, a := range c.Actions() {
			at[a] = elapsed
		}
	}
	return at
}

// busyUntil returns a function that reports one call in progress until t.
func busyUntil(t time.Duration) func(time.Duration) int {
	return func(elapsed time.Duration) int {
		if elapsed < t {
			return 1
		}
		return 0
	}
}

// Guards against stopping while a call is in progress, and against waiting longer than
// necessary.
func TestCloseWaitsForRunningCalls(t *testing.T) {
	c := New(30 * time.Second)
	c.OnLeaveRecorded()
	at := simulate(c, busyUntil(12*time.Second), time.Minute)
	assert.Equal(t, at[RefuseNew], announceTime)
	// The last tick with the call in progress is at 11.9 s. The node stops at the first
	// tick at least idleTime later.
	assert.Equal(t, at[Close], 11900*time.Millisecond+300*time.Millisecond)
}

// Guards against a shutdown that never ends because a call never ends.
func TestDrainTimeBoundsTheWait(t *testing.T) {
	c := New(30 * time.Second)
	at := simulate(c, busyUntil(time.Hour), time.Minute)
	assert.Equal(t, at[Close], 30*time.Second)
}

// Guards against stopping an idle node before it has refused requests that were already
// sent.
func TestIdleNodeRefusesLateRequests(t *testing.T) {
	c := New(30 * time.Second)
	c.OnLeaveRecorded()
	at := simulate(c, busyUntil(0), time.Minute)
	assert.Assert(t, at[Close]-at[RefuseNew] >= idleTime)
}

// Guards against stopping an idle node before its leave record is in the log, and against
// waiting forever if the log is unavailable.
func TestWaitForTheLogIsBounded(t *testing.T) {
	at := simulate(New(30*time.Second), busyUntil(0), time.Minute)
	assert.Equal(t, at[Close], leaveTimeout)
}
