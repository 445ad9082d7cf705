package drain

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var epoch = time.Unix(1000, 0)

// simulate begins a shutdown, ticks every 100 ms until end and returns the time of
// each step.
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

func busyUntil(t time.Duration) func(time.Duration) int {
	return func(elapsed time.Duration) int {
		if elapsed < t {
			return 1
		}
		return 0
	}
}

// Guards against stopping while a call runs, and against waiting longer than
// necessary.
func TestCloseWaitsForRunningCalls(t *testing.T) {
	c := New(30 * time.Second)
	c.OnLeaveRecorded()
	at := simulate(c, busyUntil(12*time.Second), time.Minute)
	assert.Equal(t, at[RefuseNew], announceTime)
	// The last tick with the call in progress was at 11.9 s. idleTime after it is
	// rounded up to the next tick.
	assert.Equal(t, at[Close], 11900*time.Millisecond+300*time.Millisecond)
}

// Guards against a shutdown that never ends because a call does not.
func TestDrainTimeBoundsTheWait(t *testing.T) {
	c := New(30 * time.Second)
	at := simulate(c, busyUntil(time.Hour), time.Minute)
	assert.Equal(t, at[Close], 30*time.Second)
}

// Guards against an idle node that stops before it has refused requests that were on
// their way.
func TestIdleNodeRefusesLateRequests(t *testing.T) {
	c := New(30 * time.Second)
	c.OnLeaveRecorded()
	at := simulate(c, busyUntil(0), time.Minute)
	assert.Assert(t, at[Close]-at[RefuseNew] >= idleTime)
}

// Guards against an idle node that stops before its leave record is in the log, and
// against one that waits without limit for a log that is down.
func TestWaitForTheLogIsBounded(t *testing.T) {
	at := simulate(New(30*time.Second), busyUntil(0), time.Minute)
	assert.Equal(t, at[Close], leaveTimeout)
}
