package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
)

var epoch = time.Unix(1000, 0)

func member(instance, zone string) model.Member {
	return model.Member{
		NodeID:  model.NodeID{Instance: model.Instance(instance), Incarnation: 1},
		Service: "tally", Zone: model.Zone(zone),
	}
}

func snapshot(members ...model.Member) *model.Snapshot {
	return &model.Snapshot{Members: map[model.Service][]model.Member{"tally": members}}
}

// newFleetCore returns a core for the first member that knows the others.
func newFleetCore(members ...model.Member) *Core {
	c := New(members[0], rand.New(rand.NewPCG(1, 2)))
	c.OnTargetUp(epoch)
	c.OnSnapshot(epoch, snapshot(members...))
	c.Actions()
	return c
}

func filterKind(actions []Action, k ActionKind) []Action {
	var out []Action
	for _, a := range actions {
		if a.Kind == k {
			out = append(out, a)
		}
	}
	return out
}

// run ticks the core from one time to another. The peers in alive send a
// heartbeat each second.
func run(c *Core, from, to time.Time, alive ...model.Member) []Action {
	var out []Action
	for now := from; now.Before(to); now = now.Add(tickInterval) {
		if now.Sub(from)%time.Second == 0 {
			for _, m := range alive {
				c.OnHeartbeat(now, now, time.Time{}, m)
			}
		}
		c.Tick(now)
		out = append(out, c.Actions()...)
	}
	return out
}

var (
	a = member("tally-a", "suva")
	b = member("tally-b", "nadi")
	d = member("tally-d", "lautoka")
	e = member("tally-e", "suva")
)

// Guards against new calls to a silent peer, and against a suspicion report
// without indirect probes.
func TestSilentPeerIsAvoidedAndProbed(t *testing.T) {
	c := newFleetCore(a, b, d, e)
	actions := run(c, epoch, epoch.Add(silenceLimit+time.Second), d, e)
	avoided := filterKind(actions, SetAvoided)
	assert.Equal(t, len(avoided), 1)
	assert.Equal(t, avoided[0].Peer.Instance, b.Instance)
	assert.Assert(t, avoided[0].Avoided)
	probeRequests := filterKind(actions, RequestProbe)
	assert.Equal(t, len(probeRequests), probeHelpers)
	assert.Equal(t, probeRequests[0].To, d.Instance, "another availability zone comes first")
	assert.Equal(t, len(filterKind(actions, ReportSuspect)), 0)

	now := epoch.Add(silenceLimit + time.Second)
	c.OnProbeAnswer(now, probeRequests[0].ProbeID, false)
	c.OnProbeAnswer(now, probeRequests[1].ProbeID, false)
	assert.Equal(t, len(filterKind(c.Actions(), ReportSuspect)), 1)
	c.OnHeartbeat(now, now, time.Time{}, b)
	actions = c.Actions()
	assert.Equal(t, len(filterKind(actions, RetractReport)), 1)
	assert.Assert(t, !filterKind(actions, SetAvoided)[0].Avoided)
}

// Guards against a node with a faulty link that reports a healthy peer as
// suspect.
func TestReachedPeerIsNotSuspect(t *testing.T) {
	c := newFleetCore(a, b, d, e)
	now := epoch.Add(silenceLimit + time.Second)
	probeRequests := filterKind(run(c, epoch, now, d, e), RequestProbe)
	c.OnProbeAnswer(now, probeRequests[0].ProbeID, false)
	c.OnProbeAnswer(now, probeRequests[1].ProbeID, true)
	actions := run(c, now, now.Add(probeInterval/2), d, e)
	assert.Equal(t, len(filterKind(actions, ReportSuspect)), 0)
}

// Guards against a removal based on the reports of nodes in a single
// availability zone.
func TestRemovalNeedsTwoZones(t *testing.T) {
	c := newFleetCore(a, b, d, e)
	now := epoch.Add(80 * time.Second)
	assert.Equal(t, len(filterKind(run(c, epoch, now, d, e), AppendRecord)), 0)
	c.OnSuspicion(now, e, b.NodeID, false)
	actions := run(c, now, now.Add(5*time.Second), d, e)
	assert.Equal(t, len(filterKind(actions, AppendRecord)), 0, "e is in the zone of a")

	now = now.Add(5 * time.Second)
	c.OnSuspicion(now, d, b.NodeID, false)
	appended := filterKind(run(c, now, now.Add(rankDelay), d, e), AppendRecord)
	assert.Equal(t, len(appended), 1)
	assert.Equal(t, appended[0].Record.Member.NodeID, b.NodeID)
	assert.Equal(t, appended[0].Record.Reporter, a.Instance)
	assert.Assert(t, appended[0].Record.Leave)
}

// Guards against a removal earlier than 30 s or later than 44 s after the last
// heartbeat: the silence limit, two delays by rank and the test's step of 1 s are
// allowed on top of the 30 s.
func TestRemovalDelay(t *testing.T) {
	c := newFleetCore(a, b, d, e)
	var at time.Time
	for now := epoch; at.IsZero() && now.Before(epoch.Add(80*time.Second)); now = now.Add(time.Second) {
		c.OnSuspicion(now, d, b.NodeID, false)
		if len(filterKind(run(c, now, now.Add(time.Second), d, e), AppendRecord)) > 0 {
			at = now
		}
	}
	delay := at.Sub(epoch)
	assert.Assert(t, delay >= removalDelay && delay <= silenceLimit+removalDelay+2*rankDelay+time.Second, "%s", delay)
}

// Guards against a node that stays removed after others removed it by mistake,
// and against its return with the incarnation that was removed.
func TestRemovedNodeRejoinsWithNewIncarnation(t *testing.T) {
	c := newFleetCore(a, b)
	removed := snapshot(b)
	removed.Groups = map[model.GroupKey][]model.GroupRecord{{}: {{Members: []model.Member{a, b}}}}
	c.OnSnapshot(epoch, removed)
	whilePartitioned := run(c, epoch, epoch.Add(10*time.Second))
	assert.Equal(t, len(filterKind(whilePartitioned, AppendRecord)), 0, "it would be removed again")
	now := epoch.Add(10 * time.Second)
	actions := run(c, now, now.Add(appendRetryDelay), b)
	record := filterKind(actions, AppendRecord)[0].Record
	assert.Assert(t, !record.Leave)
	assert.Assert(t, record.Member.Incarnation != a.Incarnation)
	assert.Equal(t, filterKind(actions, ChangeIncarnation)[0].Peer.NodeID, record.Member.NodeID)
	assert.Equal(t, c.Self().NodeID, record.Member.NodeID)
}

// Guards against a join for a target that does not answer, against a failed
// append that is not retried, and against repeated appends while the log is
// down.
func TestJoinWaitsForTargetAndIsRetried(t *testing.T) {
	c := New(a, rand.New(rand.NewPCG(1, 2)))
	assert.Equal(t, len(filterKind(run(c, epoch, epoch.Add(5*time.Second)), AppendRecord)), 0)
	now := epoch.Add(5 * time.Second)
	c.OnTargetUp(now)
	appended := filterKind(run(c, now, now.Add(time.Minute)), AppendRecord)
	assert.Equal(t, len(appended), 1)
	now = now.Add(time.Minute)
	c.OnAppended(now, appended[0].Record, false)
	assert.Equal(t, len(filterKind(run(c, now, now.Add(time.Minute)), AppendRecord)), 1)
	c.OnSnapshot(now, snapshot(a))
	c.OnLeave(now)
	leave := filterKind(c.Actions(), AppendRecord)
	assert.Assert(t, leave[0].Record.Leave)
	assert.Assert(t, !c.HasLeft())
	c.OnAppended(now, leave[0].Record, true)
	assert.Assert(t, c.HasLeft())
}
