package gate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/mesh/poison"
)

const (
	service  = model.Service("registry")
	interval = 1500 * time.Millisecond
)

var start = time.Unix(1000, 0)

func announcement(sequence uint64) Announcement {
	return Announcement{ID: "t1", Service: service, StartedAtMs: 100, Sequence: sequence, Slots: 20, Interval: interval}
}

// newCore returns a core with a serving target.
func newCore(t *testing.T) *Core {
	t.Helper()
	c := New(service, "north")
	assert.Assert(t, c.OnAnnouncement(start, announcement(1)))
	c.TakeReportDue()
	return c
}

var nextID model.CallID

func newCall(now time.Time) *model.Call {
	nextID++
	return &model.Call{
		ID: nextID, AttemptID: fmt.Sprint(nextID), Service: service, Idempotent: true, Priority: 2, OnBehalfOf: "herders",
		Deadline: now.Add(2 * time.Second), SLODeadline: now.Add(time.Second),
	}
}

// decisionFor returns the decision for a call, or the zero value if there is none.
func decisionFor(t *testing.T, c *Core, id model.CallID) Decision {
	t.Helper()
	for _, d := range c.Decisions() {
		if d.ID == id {
			return d
		}
	}
	return Decision{}
}

func isRun(d Decision) bool { return d.Run != nil }

func refusalReason(d Decision) model.Reason {
	if d.Answer == nil {
		return model.ReasonNone
	}
	return d.Answer.Reason
}

// Guards against sending calls to a target before it has announced itself or passed a
// probe.
func TestUnknownTargetGetsNoCalls(t *testing.T) {
	c := New(service, "north")
	call := newCall(start)
	c.OnCall(start, call)
	d := decisionFor(t, c, call.ID)
	assert.Equal(t, refusalReason(d), model.ReasonNoTarget)
	assert.Equal(t, d.Answer.Run, model.NotRun)
}

// Guards against sending calls to a target that has announced that it leaves, also
// when an earlier announcement arrives afterwards.
func TestLeavingTargetGetsNoCalls(t *testing.T) {
	c := newCore(t)
	leaving := announcement(3)
	leaving.Leaving = true
	assert.Assert(t, c.OnAnnouncement(start, leaving))
	assert.Assert(t, c.OnAnnouncement(start, announcement(2)))
	call := newCall(start)
	c.OnCall(start, call)
	assert.Equal(t, refusalReason(decisionFor(t, c, call.ID)), model.ReasonTargetLeaving)
}

// Guards against running waiting calls at a target that has deregistered.
func TestQueueIsRefusedWhenTargetLeaves(t *testing.T) {
	c := newCore(t)
	for range c.limit() {
		c.OnCall(start, newCall(start))
	}
	waiting := newCall(start)
	c.OnCall(start, waiting)
	c.Decisions()
	c.OnDeregistered(start, "t1", 100)
	assert.Equal(t, refusalReason(decisionFor(t, c, waiting.ID)), model.ReasonTargetLeaving)
}

// Guards against taking a target out of service because a deregistration of its
// previous incarnation arrives late.
func TestLateDeregistrationOfOldIncarnation(t *testing.T) {
	c := newCore(t)
	successor := announcement(1)
	successor.ID, successor.StartedAtMs = "t2", 200
	assert.Assert(t, c.OnAnnouncement(start, successor))
	c.OnDeregistered(start, "t1", 100)
	assert.Equal(t, c.State(), "serving")
	assert.Assert(t, !c.OnAnnouncement(start, announcement(9)), "an announcement of the old incarnation was accepted")
	call := newCall(start)
	c.OnCall(start, call)
	assert.Equal(t, decisionFor(t, c, call.ID).Target, model.Instance("t2"))
}

// Guards against treating a target that restarts with the same id as leaving, because
// its previous incarnation was.
func TestNewIncarnationWithSameID(t *testing.T) {
	c := newCore(t)
	leaving := announcement(7)
	leaving.Leaving = true
	assert.Assert(t, c.OnAnnouncement(start, leaving))
	restarted := announcement(1)
	restarted.StartedAtMs = 300
	assert.Assert(t, c.OnAnnouncement(start, restarted))
	assert.Equal(t, c.State(), "serving")
}

// Guards against acknowledging, but not applying, all announcements after one whose
// sequence is too large.
func TestTooLargeSequenceDoesNotHideLaterAnnouncements(t *testing.T) {
	for _, sequence := range []uint64{1 << 31, 1 << 53, math.MaxInt64, math.MaxUint64} {
		c := newCore(t)
		c.OnAnnouncement(start, announcement(sequence))
		leaving := announcement(2)
		leaving.Leaving = true
		assert.Assert(t, c.OnAnnouncement(start, leaving))
		assert.Equal(t, c.State(), "leaving", "after the sequence %d", sequence)
		assert.Assert(t, c.OnAnnouncement(start, announcement(1)))
		assert.Equal(t, c.State(), "leaving", "an overtaken announcement was applied")
	}
}

// Guards against rejecting all announcements after an announcement or a deregistration
// whose start is too late.
func TestTooLateStartDoesNotHideLaterAnnouncements(t *testing.T) {
	for _, startedAtMs := range []int64{maxStartedAtMs + 1, 1 << 53, math.MaxInt64} {
		c := newCore(t)
		invalid := announcement(2)
		invalid.StartedAtMs = startedAtMs
		assert.Assert(t, !c.OnAnnouncement(start, invalid), "start %d", startedAtMs)
		assert.Assert(t, !c.OnDeregistered(start, "t1", startedAtMs), "start %d", startedAtMs)
		assert.Equal(t, c.State(), "serving")
		restarted := announcement(1)
		restarted.StartedAtMs = 300
		assert.Assert(t, c.OnAnnouncement(start, restarted), "after the start %d", startedAtMs)
	}
}

// Guards against a target that gets calls without limit after an announcement with too
// many slots.
func TestTooManySlotsAreRejected(t *testing.T) {
	for _, slots := range []int{maxSlots + 1, math.MaxInt32, math.MaxInt64, -1, math.MinInt64} {
		c := newCore(t)
		limit := c.Load().Limit
		invalid := announcement(2)
		invalid.Slots = slots
		assert.Assert(t, !c.OnAnnouncement(start, invalid), "%d slots", slots)
		assert.Equal(t, c.Load().Limit, limit, "%d slots", slots)
	}
}

// Guards against accepting announcements that name another service or no slots.
func TestInvalidAnnouncementsAreRejected(t *testing.T) {
	c := New(service, "north")
	otherService := announcement(1)
	otherService.Service = "tally"
	assert.Assert(t, !c.OnAnnouncement(start, otherService))
	noSlots := announcement(1)
	noSlots.Slots = 0
	assert.Assert(t, !c.OnAnnouncement(start, noSlots))
	assert.Equal(t, c.State(), "unknown")
}

// Guards against running more calls at a target than its concurrency limit allows.
func TestSlotsAreNeverExceeded(t *testing.T) {
	c := newCore(t)
	rng := rand.New(rand.NewPCG(1, 1))
	now := start
	var running []model.CallID
	for range 5000 {
		now = now.Add(time.Millisecond)
		if rng.IntN(2) == 0 || len(running) == 0 {
			call := newCall(now)
			call.Nested = rng.IntN(2) == 0
			call.Priority = rng.IntN(3)
			c.OnCall(now, call)
		} else {
			i := rng.IntN(len(running))
			id := running[i]
			running = append(running[:i], running[i+1:]...)
			c.OnFinished(now, id, model.OutcomeAnswered, 200)
		}
		for _, d := range c.Decisions() {
			if isRun(d) {
				running = append(running, d.ID)
			}
		}
		assert.Assert(t, len(running) <= c.limit(), "%d run, limit %d", len(running), c.limit())
	}
}

// Guards against sending a cold target more calls in a second than the operators'
// requirement allows, or far fewer than its rate.
func TestColdTargetGetsColdRate(t *testing.T) {
	c := New(service, "north")
	c.SetColdRate(25)
	cold := announcement(1)
	cold.Slots = 143
	cold.ColdLeft = 3 * time.Second
	assert.Assert(t, c.OnAnnouncement(start, cold))
	var runs []time.Time
	for ms := range 2900 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		c.OnCall(now, newCall(now))
		c.Tick(now)
		for _, d := range c.Decisions() {
			if isRun(d) {
				runs = append(runs, now)
				c.OnFinished(now, d.ID, model.OutcomeAnswered, 200)
			}
		}
	}
	bound := 25*1.5 + 5 // 1.5 times the rate plus 5 calls
	first := 0
	for i, at := range runs {
		for at.Sub(runs[first]) > time.Second {
			first++
		}
		assert.Assert(t, float64(i-first+1) <= bound, "%d calls in a second, bound %.0f", i-first+1, bound)
	}
	assert.Assert(t, len(runs) >= 60, "only %d calls in 2.9 s", len(runs))
}

// Guards against sending calls to a target in an availability zone that is out of
// service, and against full load after the zone is restored while it is unknown whether
// the target is cold.
func TestZoneOutAndBack(t *testing.T) {
	c := newCore(t)
	c.SetZoneOut(start, true)
	call := newCall(start)
	c.OnCall(start, call)
	assert.Equal(t, refusalReason(decisionFor(t, c, call.ID)), model.ReasonZoneOut)
	c.SetZoneOut(start, false)
	c.Tick(start)
	assert.Assert(t, c.TakeProbeDue())
	call = newCall(start)
	c.OnCall(start, call)
	assert.Equal(t, refusalReason(decisionFor(t, c, call.ID)), model.ReasonNoTarget)
	c.OnProbeResult(start, model.Health{OK: true, Target: "t1", ColdLeft: time.Second})
	assert.Equal(t, c.State(), "serving")
	assert.Assert(t, c.target.cold(start))
}

// Guards against a target that leaves, and whose next incarnation serves although the
// availability zone went out of service meanwhile.
func TestTargetThatRestartsInZoneOutStaysOut(t *testing.T) {
	c := newCore(t)
	assert.Assert(t, c.OnDeregistered(start, "t1", 100))
	c.SetZoneOut(start, true)
	next := announcement(1)
	next.StartedAtMs = 200
	assert.Assert(t, c.OnAnnouncement(start, next))
	assert.Equal(t, c.State(), "out")
	c.SetZoneOut(start, false)
	c.OnProbeResult(start, model.Health{OK: true, Target: "t1"})
	assert.Equal(t, c.State(), "serving")
}

// Guards against a target whose announcements give no start and are all rejected after a
// probe has shown it, and against a late one of the target before it.
func TestAnnouncementsWithoutStartAfterProbe(t *testing.T) {
	c := New(service, "north")
	old := announcement(1)
	old.StartedAtMs = 0
	assert.Assert(t, c.OnAnnouncement(start, old))
	c.OnProbeResult(start, model.Health{OK: true, Target: "t2"})
	next := old
	next.ID = "t2"
	for sequence := range uint64(3) {
		next.Sequence = sequence + 1
		assert.Assert(t, c.OnAnnouncement(start, next), "announcement %d", sequence+1)
	}
	old.Sequence, old.Leaving = 9, true
	assert.Assert(t, !c.OnAnnouncement(start, old))
	assert.Equal(t, c.State(), "serving")
	next.ID, next.Sequence = "t3", 1
	assert.Assert(t, c.OnAnnouncement(start, next))
}

// Guards against treating a target as lost after one broken connection, and against
// treating it as serving when it refuses connections.
func TestBrokenAndRefusedConnections(t *testing.T) {
	c := newCore(t)
	broken, refused := newCall(start), newCall(start)
	c.OnCall(start, broken)
	c.OnCall(start, refused)
	c.OnFinished(start, broken.ID, model.OutcomeConnectionBroken, 0)
	assert.Equal(t, c.State(), "serving")
	c.Tick(start)
	assert.Assert(t, c.TakeProbeDue())
	c.OnFinished(start, refused.ID, model.OutcomeConnectionRefused, 0)
	assert.Equal(t, c.State(), "lost")
	c.OnProbeResult(start, model.Health{OK: true, Target: "t1"})
	assert.Equal(t, c.State(), "serving")
}

// Guards against canceling a running non-idempotent call when its caller disconnects.
func TestCanceledCalls(t *testing.T) {
	c := newCore(t)
	nonIdempotent, idempotent := newCall(start), newCall(start)
	nonIdempotent.Idempotent = false
	c.OnCall(start, nonIdempotent)
	c.OnCall(start, idempotent)
	c.Decisions()
	c.OnCanceled(start, nonIdempotent.ID)
	c.OnCanceled(start, idempotent.ID)
	decisions := c.Decisions()
	assert.Equal(t, len(decisions), 1)
	assert.Equal(t, decisions[0].ID, idempotent.ID)
	assert.Assert(t, decisions[0].Cancel)
}

// Guards against running calls of a lower priority first, and against letting one
// customer's calls delay those of other customers with the same priority.
func TestQueueOrder(t *testing.T) {
	c := newCore(t)
	var running []model.CallID
	for range c.limit() {
		call := newCall(start)
		call.Nested = true
		c.OnCall(start, call)
		running = append(running, call.ID)
	}
	add := func(priority int, customer model.Customer) model.CallID {
		call := newCall(start)
		call.Priority, call.OnBehalfOf = priority, customer
		c.OnCall(start, call)
		return call.ID
	}
	greedy1, greedy2 := add(2, "greedy"), add(2, "greedy")
	modest := add(2, "modest")
	urgent := add(0, "modest")
	c.Decisions()
	var order []model.CallID
	for _, id := range running[:4] {
		c.OnFinished(start, id, model.OutcomeAnswered, 200)
		for _, d := range c.Decisions() {
			order = append(order, d.ID)
		}
	}
	assert.DeepEqual(t, order, []model.CallID{urgent, greedy1, modest, greedy2})
}

// Guards against filling all slots of a target with external calls that end late
// because a service further down the call chain is saturated, and against applying the
// window to nested calls.
func TestWindowShrinksOnLateEnds(t *testing.T) {
	c := newCore(t)
	now := start
	for range 200 {
		call := newCall(now)
		c.OnCall(now, call)
		if isRun(decisionFor(t, c, call.ID)) {
			c.OnFinished(now.Add(1500*time.Millisecond), call.ID, model.OutcomeAnswered, 200)
		}
	}
	assert.Assert(t, c.windowFor(2).size < 5, "%.1f", c.windowFor(2).size)
	nested := newCall(now)
	nested.Nested = true
	for range 5 {
		c.OnCall(now, newCall(now))
	}
	c.Decisions()
	c.OnCall(now, nested)
	assert.Assert(t, isRun(decisionFor(t, c, nested.ID)), "the window must not limit nested calls")
}

// Guards against keeping the small initial window after the target has announced its
// slots. A restarted node may know the target only from a probe and then starts with
// defaultLimit.
func TestWindowScalesWithAnnouncedSlots(t *testing.T) {
	c := New(service, "north")
	c.OnProbeResult(start, model.Health{OK: true, Target: "t1"})
	c.OnCall(start, newCall(start))
	assert.Equal(t, c.windowFor(2).size, float64(defaultLimit))
	assert.Assert(t, c.OnAnnouncement(start, announcement(1)))
	assert.Equal(t, c.windowFor(2).size, float64(c.limit()))
}

// Guards against shrinking a window because calls waited for a slot, which would make
// them wait even longer.
func TestWindowIgnoresTheWaitForASlot(t *testing.T) {
	c := newCore(t)
	c.windowFor(2).size = 10
	for i := range 100 {
		now := start.Add(time.Duration(i) * time.Second)
		call := newCall(now)
		call.Deadline, call.SLODeadline = now.Add(20*time.Second), now.Add(time.Second)
		c.OnCall(now, call)
		for _, d := range c.Decisions() {
			if isRun(d) {
				c.byID[d.ID].arrived = now.Add(-2 * time.Second)
				d.Run.SLODeadline = now.Add(-time.Second)
				c.OnFinished(now.Add(50*time.Millisecond), d.ID, model.OutcomeAnswered, 200)
			}
		}
	}
	assert.Assert(t, c.windowFor(2).size >= 10)
}

// Guards against shrinking a window because calls fail early, which does not indicate
// load.
func TestWindowIgnoresEarlyFailures(t *testing.T) {
	c := newCore(t)
	before := c.windowFor(2).size
	for range 200 {
		call := newCall(start)
		c.OnCall(start, call)
		if isRun(decisionFor(t, c, call.ID)) {
			c.OnFinished(start.Add(10*time.Millisecond), call.ID, model.OutcomeAnswered, 500)
		}
	}
	assert.Equal(t, c.windowFor(2).size, before)
}

// Guards against refusing a waiting call only after its deadline.
func TestWaitingCallExpires(t *testing.T) {
	c := newCore(t)
	for range c.limit() {
		call := newCall(start)
		call.Nested = true
		c.OnCall(start, call)
	}
	waiting := newCall(start)
	waiting.Nested = true
	waiting.Deadline = start.Add(200 * time.Millisecond)
	c.OnCall(start, waiting)
	c.Decisions()
	c.Tick(start.Add(190 * time.Millisecond))
	d := decisionFor(t, c, waiting.ID)
	assert.Equal(t, refusalReason(d), model.ReasonDeadline)
	assert.Equal(t, d.Answer.Run, model.NotRun)
}

// Guards against not reporting a crash, against reporting it before the target is known
// to be lost, and against reporting it for calls whose connection did not break.
func TestCrashIsReported(t *testing.T) {
	c := newCore(t)
	broken, running := newCall(start), newCall(start)
	broken.CrashCount = 1
	for _, call := range []*model.Call{broken, running} {
		c.OnCall(start, call)
	}
	c.OnFinished(start, broken.ID, model.OutcomeConnectionBroken, 0)
	var r model.NodeReport
	c.FillReport(start, &r)
	assert.Equal(t, len(r.Crashes), 0)
	c.OnProbeResult(start.Add(time.Second), model.Health{})
	assert.Equal(t, c.State(), "lost")
	c.FillReport(start.Add(time.Second), &r)
	assert.DeepEqual(t, r.Crashes, []model.CrashReport{{Fingerprint: poison.Fingerprint(broken), Count: 2}})
}

// Guards against a crash that is not reported because the target refused another call's
// connection before the broken one was noticed.
func TestCrashIsReportedAfterRefusedConnection(t *testing.T) {
	c := newCore(t)
	broken, refused := newCall(start), newCall(start)
	for _, call := range []*model.Call{broken, refused} {
		c.OnCall(start, call)
	}
	c.OnFinished(start, refused.ID, model.OutcomeConnectionRefused, 0)
	assert.Equal(t, c.State(), "lost")
	c.OnFinished(start, broken.ID, model.OutcomeConnectionBroken, 0)
	var r model.NodeReport
	c.FillReport(start, &r)
	assert.DeepEqual(t, r.Crashes, []model.CrashReport{{Fingerprint: poison.Fingerprint(broken), Count: 1}})
	assert.Assert(t, c.TakeReportDue(), "the crash is reported late")
}
