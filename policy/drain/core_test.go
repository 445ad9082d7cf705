package drain

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var epoch = time.Unix(1000, 0)

// run ticks every 100 ms until the end and returns when each step came.
func run(c *Core, inFlight func(since time.Duration) int, end time.Duration) map[Action]time.Duration {
	at := make(map[Action]time.Duration)
	c.OnStop(epoch)
	for since := time.Duration(0); since <= end; since += 100 * time.Millisecond {
		c.Tick(epoch.Add(since), inFlight(since))
		for _, a := range c.Actions() {
			at[a] = since
		}
	}
	return at
}

func busyUntil(t time.Duration) func(time.Duration) int {
	return func(since time.Duration) int {
		if since < t {
			return 1
		}
		return 0
	}
}

// Guards against a close while a call runs, and against one that waits
// longer than it must.
func TestCloseWaitsForRunningCalls(t *testing.T) {
	c := New(30 * time.Second)
	c.OnLeaveRecorded()
	at := run(c, busyUntil(12*time.Second), time.Minute)
	assert.Equal(t, at[RefuseNew], announceTime)
	// The last tick that saw the call came at 11.9 s.
	assert.Equal(t, at[Close], 11900*time.Millisecond+300*time.Millisecond)
}

// Guards against a shutdown that never ends because one call does not.
func TestDrainTimeBoundsTheWait(t *testing.T) {
	c := New(30 * time.Second)
	at := run(c, busyUntil(time.Hour), time.Minute)
	assert.Equal(t, at[Close], 30*time.Second)
}

// Guards against an idle node that closes before requests that are on their
// way got their refusal.
func TestIdleNodeStaysForItsRefusals(t *testing.T) {
	c := New(30 * time.Second)
	c.OnLeaveRecorded()
	at := run(c, busyUntil(0), time.Minute)
	assert.Assert(t, at[Close]-at[RefuseNew] >= quietTime)
}

// Guards against an idle node that is killed before the log holds its leave,
// and against one that waits for a log that is down.
func TestIdleNodeWaitsShortlyForTheLog(t *testing.T) {
	at := run(New(30*time.Second), busyUntil(0), time.Minute)
	assert.Equal(t, at[Close], leaveTime)
}
