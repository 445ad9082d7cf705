package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
)

var startTime = time.Unix(1000, 0)

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
	c.OnTargetUp(startTime)
	c.OnSnapshot(startTime, snapshot(members...))
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

// run ticks the core from one time to another and returns its actions. The peers in
// alive send a heartbeat each second.
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
	memberA = member("tally-a", "suva")
	memberB = member("tally-b", "nadi")
	memberD = member("tally-d", "lautoka")
	memberE = member("tally-e", "suva")
)

// Guards against sending new calls to a silent peer, and against reporting it as
// suspect before indirect probes have failed.
func TestSilentPeerIsAvoidedAndProbed(t *testing.T) {
	c := newFleetCore(memberA, memberB, memberD, memberE)
	actions := run(c, startTime, startTime.Add(silenceLimit+time.Second), memberD, memberE)
	avoided := filterKind(actions, SetAvoided)
	assert.Equal(t, len(avoided), 1)
	assert.Equal(t, avoided[0].Peer.Instance, memberB.Instance)
	assert.Assert(t, avoided[0].Avoided)
	probeRequests := filterKind(actions, RequestProbe)
	assert.Equal(t, len(probeRequests), probeHelpers)
	assert.Equal(t, probeRequests[0].To, memberD.Instance, "another availability zone comes first")
	assert.Equal(t, len(filterKind(actions, ReportSuspect)), 0)

	now := startTime.Add(silenceLimit + time.Second)
	c.OnProbeAnswer(now, probeRequests[0].ProbeID, false)
	c.OnProbeAnswer(now, probeRequests[1].ProbeID, false)
	assert.Equal(t, len(filterKind(c.Actions(), ReportSuspect)), 1)
	c.OnHeartbeat(now, now, time.Time{}, memberB)
	actions = c.Actions()
	assert.Equal(t, len(filterKind(actions, RetractReport)), 1)
	assert.Assert(t, !filterKind(actions, SetAvoided)[0].Avoided)
}

// Guards against a node that reports a peer as suspect although only its own link
// to it is faulty.
func TestReachedPeerIsNotSuspect(t *testing.T) {
	c := newFleetCore(memberA, memberB, memberD, memberE)
	now := startTime.Add(silenceLimit + time.Second)
	probeRequests := filterKind(run(c, startTime, now, memberD, memberE), RequestProbe)
	c.OnProbeAnswer(now, probeRequests[0].ProbeID, false)
	c.OnProbeAnswer(now, probeRequests[1].ProbeID, true)
	actions := run(c, now, now.Add(probeInterval/2), memberD, memberE)
	assert.Equal(t, len(filterKind(actions, ReportSuspect)), 0)
}

// Guards against removing a peer that only nodes in a single availability zone
// suspect.
func TestRemovalNeedsTwoZones(t *testing.T) {
	c := newFleetCore(memberA, memberB, memberD, memberE)
	now := startTime.Add(80 * time.Second)
	assert.Equal(t, len(filterKind(run(c, startTime, now, memberD, memberE), AppendRecord)), 0)
	c.OnSuspicion(now, memberE, memberB.NodeID, false)
	actions := run(c, now, now.Add(5*time.Second), memberD, memberE)
	assert.Equal(t, len(filterKind(actions, AppendRecord)), 0, "memberE is in the zone of memberA")

	now = now.Add(5 * time.Second)
	c.OnSuspicion(now, memberD, memberB.NodeID, false)
	appended := filterKind(run(c, now, now.Add(removerRankDelay), memberD, memberE), AppendRecord)
	assert.Equal(t, len(appended), 1)
	assert.Equal(t, appended[0].Record.Member.NodeID, memberB.NodeID)
	assert.Equal(t, appended[0].Record.Reporter, memberA.Instance)
	assert.Assert(t, appended[0].Record.Leave)
}

// Guards against a removal earlier than 30 s or later than 44 s after the last
// heartbeat. On top of the 30 s, the silence limit, two delays by rank and the
// test's step of 1 s are allowed.
func TestRemovalDelay(t *testing.T) {
	c := newFleetCore(memberA, memberB, memberD, memberE)
	var at time.Time
	for now := startTime; at.IsZero() && now.Before(startTime.Add(80*time.Second)); now = now.Add(time.Second) {
		c.OnSuspicion(now, memberD, memberB.NodeID, false)
		if len(filterKind(run(c, now, now.Add(time.Second), memberD, memberE), AppendRecord)) > 0 {
			at = now
		}
	}
	delay := at.Sub(startTime)
	assert.Assert(t, delay >= removalDelay && delay <= silenceLimit+removalDelay+2*removerRankDelay+time.Second, "%s", delay)
}

// Guards against a node that does not rejoin after it was removed while partitioned,
// and against one that rejoins with the removed incarnation.
func TestRemovedNodeRejoinsWithNewIncarnation(t *testing.T) {
	c := newFleetCore(memberA, memberB)
	removed := snapshot(memberB)
	removed.Groups = map[model.GroupKey][]model.GroupRecord{{}: {{Members: []model.Member{memberA, memberB}}}}
	c.OnSnapshot(startTime, removed)
	whilePartitioned := run(c, startTime, startTime.Add(10*time.Second))
	assert.Equal(t, len(filterKind(whilePartitioned, AppendRecord)), 0, "it would be removed again")
	now := startTime.Add(10 * time.Second)
	actions := run(c, now, now.Add(appendRetryDelay), memberB)
	record := filterKind(actions, AppendRecord)[0].Record
	assert.Assert(t, !record.Leave)
	assert.Assert(t, record.Member.Incarnation != memberA.Incarnation)
	assert.Equal(t, filterKind(actions, ChangeIncarnation)[0].Peer.NodeID, record.Member.NodeID)
	assert.Equal(t, c.Self().NodeID, record.Member.NodeID)
}

// Guards against a join before the target answers, against a failed append that is
// not repeated, and against repeating an append that waits for the log.
func TestJoinWaitsForTargetAndIsRetried(t *testing.T) {
	c := New(memberA, rand.New(rand.NewPCG(1, 2)))
	assert.Equal(t, len(filterKind(run(c, startTime, startTime.Add(5*time.Second)), AppendRecord)), 0)
	now := startTime.Add(5 * time.Second)
	c.OnTargetUp(now)
	appended := filterKind(run(c, now, now.Add(time.Minute)), AppendRecord)
	assert.Equal(t, len(appended), 1)
	now = now.Add(time.Minute)
	c.OnAppended(now, appended[0].Record, false)
	assert.Equal(t, len(filterKind(run(c, now, now.Add(time.Minute)), AppendRecord)), 1)
	c.OnSnapshot(now, snapshot(memberA))
	c.OnLeave(now)
	leave := filterKind(c.Actions(), AppendRecord)
	assert.Assert(t, leave[0].Record.Leave)
	assert.Assert(t, !c.HasLeft())
	c.OnAppended(now, leave[0].Record, true)
	assert.Assert(t, c.HasLeft())
}
