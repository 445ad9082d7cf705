package gate

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
)

// lostCore returns a core whose target has refused a connection.
func lostCore(t *testing.T) *Core {
	t.Helper()
	c := newCore(t)
	call := newCall(start)
	c.OnCall(start, call)
	c.OnFinished(start, call.ID, model.OutcomeConnectionRefused, 0)
	assert.Equal(t, c.State(), "lost")
	return c
}

func assertRefused(t *testing.T, c *Core) {
	t.Helper()
	call := newCall(start)
	c.OnCall(start, call)
	assert.Equal(t, refusalReason(decisionFor(t, c, call.ID)), model.ReasonNoTarget)
}

// Guards against sending calls to a target of another service that uses the address of a
// target that has ended: a health answer names the instance, but not its service.
func TestReusedAddressGetsNoCalls(t *testing.T) {
	c := lostCore(t)
	c.OnProbeResult(start, model.Health{OK: true, Target: "t2"})
	assertRefused(t, c)
	other := announcement(1)
	other.ID, other.Service, other.StartedAtMs = "t2", "tally", 200
	assert.Assert(t, !c.OnAnnouncement(start, other))
	c.OnProbeResult(start, model.Health{OK: true, Target: "t2"})
	assertRefused(t, c)
}

// Guards against a target that restarts under a new id and gets no calls after it has
// announced itself, also when its clock was set back, or after a late announcement of the
// incarnation before it.
func TestRestartedTargetServesOnceAnnounced(t *testing.T) {
	for _, startedAtMs := range []int64{0, 50, 200} {
		c := lostCore(t)
		c.OnProbeResult(start, model.Health{OK: true, Target: "t2"})
		assert.Assert(t, !c.OnAnnouncement(start, announcement(9)), "a late announcement was accepted")
		next := announcement(1)
		next.ID, next.StartedAtMs = "t2", startedAtMs
		assert.Assert(t, c.OnAnnouncement(start, next), "start %d", startedAtMs)
		call := newCall(start)
		c.OnCall(start, call)
		assert.Equal(t, decisionFor(t, c, call.ID).Target, model.Instance("t2"))
	}
}

// Guards against a serving target that gets no calls any more after the answer to a probe
// of the target before it has arrived late.
func TestLateHealthAnswerOfEarlierTarget(t *testing.T) {
	c := newCore(t)
	c.OnProbeResult(start, model.Health{OK: true, Target: "t0"})
	assert.Equal(t, c.State(), "unconfirmed")
	now := start.Add(minProbeInterval)
	c.Tick(now)
	assert.Assert(t, c.TakeProbeDue())
	c.OnProbeResult(now, model.Health{OK: true, Target: "t1"})
	assert.Equal(t, c.State(), "serving")
}

// Guards against a node that starts after the address has been reused, and goes on to send
// calls to the first instance it has seen although that announces another service.
func TestOtherServiceAfterStart(t *testing.T) {
	other := announcement(1)
	other.Service = "tally"
	probed := model.Health{OK: true, Target: "t1"}
	c := New(service, "north")
	c.OnProbeResult(start, probed)
	assert.Equal(t, c.State(), "serving")
	assert.Assert(t, !c.OnAnnouncement(start, other))
	c.OnProbeResult(start, probed)
	assertRefused(t, c)

	c = New(service, "north")
	assert.Assert(t, !c.OnAnnouncement(start, other))
	c.OnProbeResult(start, probed)
	assertRefused(t, c)
	assert.Assert(t, c.OnAnnouncement(start, announcement(2)))
	assert.Equal(t, c.State(), "serving")
}

// Guards against a node that restarts beside a target that leaves, and sends calls to it
// since its probes pass, and against refusing the target that follows.
func TestDepartedTargetGetsNoCallsAfterRestart(t *testing.T) {
	probed := model.Health{OK: true, Target: "t1"}
	for _, probedFirst := range []bool{true, false} {
		c := New(service, "north")
		if probedFirst {
			c.OnProbeResult(start, probed)
		}
		c.OnDeparted(start, "t1")
		c.OnProbeResult(start, probed)
		assert.Equal(t, c.State(), "leaving")
		assert.Assert(t, c.OnAnnouncement(start, announcement(1)))
		assert.Equal(t, c.State(), "serving", "started again with the same id")
	}
	c := New(service, "north")
	c.OnDeparted(start, "t0")
	c.OnProbeResult(start, probed)
	assert.Equal(t, c.State(), "serving")
}

// Guards against a node that acknowledges a departure while it shuts down, or before, and
// does not report it to its peers any more.
func TestDepartureIsReportedDuringShutdown(t *testing.T) {
	for _, stopFirst := range []bool{true, false} {
		c := newCore(t)
		if stopFirst {
			c.Stop(start)
			c.TakeReportDue()
		}
		assert.Assert(t, c.OnDeregistered(start, "t1", 100))
		assert.Assert(t, c.TakeReportDue())
		c.Stop(start)
		var r model.NodeReport
		c.FillReport(start, &r)
		assert.Equal(t, r.State, model.TargetLeaving)
	}
}

// Guards against calls to a target that leaves in the time from the first probe after a
// start of the node until its peers answer, and against waiting for peers that do not.
func TestStartedNodeAwaitsPeers(t *testing.T) {
	probed := model.Health{OK: true, Target: "t1"}
	begin := func() *Core {
		c := New(service, "north")
		c.StartProbing(start)
		c.Tick(start)
		assert.Assert(t, c.TakeProbeDue())
		c.OnProbeResult(start, probed)
		assertRefused(t, c)
		return c
	}
	c := begin()
	c.OnDeparted(start, "t1")
	assert.Equal(t, c.State(), "leaving")

	c = begin()
	c.OnDeparted(start, "")
	c.Tick(start)
	assert.Assert(t, c.TakeProbeDue())
	c.OnProbeResult(start, probed)
	assert.Equal(t, c.State(), "serving")

	c = begin()
	end := start.Add(askTimeout)
	c.Tick(end)
	assert.Assert(t, c.TakeProbeDue())
	c.OnProbeResult(end, probed)
	assert.Equal(t, c.State(), "serving")
	assert.Assert(t, begin().OnAnnouncement(start, announcement(1)), "an announcement needs no peer")
}
