package gate

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
)

func reportedFailureRate(c *Core, now time.Time) float64 {
	var r model.NodeReport
	c.FillReport(now, &r)
	return r.FailureRate
}

// Guards against not reporting the failures of a target that passes its probes but
// fails requests.
func TestFailuresAreReported(t *testing.T) {
	c := newCore(t)
	now := start
	for i := range 100 {
		now = now.Add(20 * time.Millisecond)
		call := newCall(now)
		c.OnCall(now, call)
		status := http.StatusOK
		if i%2 == 0 {
			status = http.StatusInternalServerError
		}
		c.OnFinished(now, call.ID, model.OutcomeAnswered, status)
	}
	assert.Assert(t, reportedFailureRate(c, now) > 0.35, "%v", reportedFailureRate(c, now))
	assert.Assert(t, reportedFailureRate(c, now.Add(10*time.Second)) < 0.1, "the failures still count after 10 s")
}

// Guards against detecting a target that never answers only at the deadline of its
// calls.
func TestStuckCallsAreReported(t *testing.T) {
	c := newCore(t)
	for range 10 {
		c.OnCall(start, newCall(start))
	}
	assert.Equal(t, reportedFailureRate(c, start.Add(100*time.Millisecond)), 0.0)
	assert.Assert(t, reportedFailureRate(c, start.Add(600*time.Millisecond)) > 0.6)
}

// Guards against counting calls that were canceled by their callers as failures of the
// target.
func TestCanceledCallsAreNotFailures(t *testing.T) {
	c := newCore(t)
	for range 10 {
		call := newCall(start)
		c.OnCall(start, call)
		c.OnFinished(start.Add(50*time.Millisecond), call.ID, model.OutcomeCanceled, 0)
	}
	assert.Equal(t, reportedFailureRate(c, start.Add(50*time.Millisecond)), 0.0)
}
