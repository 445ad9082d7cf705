package quorum

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/quorum"
	"github.com/oleanderworks/oleanderworks/policy/node/record"
	"github.com/oleanderworks/oleanderworks/policy/node/tokenlease"
	"github.com/oleanderworks/oleanderworks/transport/wire"
)

var firstGroup = model.GroupKey{Region: "viti", Group: 0}

func newOneGroupCluster(size, zones int) *cluster {
	config := &model.Snapshot{Customers: map[model.Customer]*model.CustomerConfig{
		"herders": {Name: "herders", Rate: 100, Burst: 100, Home: "viti"},
	}}
	config.Fleet.Groups = 1
	return newCluster(1, size, zones, config, nil)
}

func (c *cluster) latestComposition(t *testing.T) model.GroupRecord {
	t.Helper()
	epochs := c.epochs[firstGroup]
	assert.Assert(t, len(epochs) > 0, "the group has no composition")
	return epochs[len(epochs)-1]
}

func (c *cluster) findProcess(i model.Instance) *simProcess {
	for _, p := range c.nodes {
		if p.member.Instance == i {
			return p
		}
	}
	return nil
}

// getsToken reports whether a node gets a token within 4 s, which is
// tokenlease.MaxTokenWait plus 1 s.
func (c *cluster) getsToken(p *simProcess) bool { return c.getsTokenWithin(p, 4*time.Second) }

func (c *cluster) getsTokenWithin(p *simProcess, d time.Duration) bool {
	var result tokenlease.Result
	p.handle(&AcquireTokens{Customer: "herders", Want: 1, Deliver: func(r tokenlease.Result) { result = r }})
	c.run(d)
	return result.Grant.Count > 0
}

// claimOutcome returns the outcome of a claim for a new request id.
func (c *cluster) claimOutcome(p *simProcess) record.Outcome {
	w := &claimWorkload{c: c}
	outcome := record.Unavailable
	p.handle(&AcquireClaim{
		CallID: model.CallID(c.rng.Uint64()), Customer: "herders", RequestID: w.newID(),
		Deliver: func(r record.Result) { outcome = r.Outcome },
	})
	c.run(3 * time.Second)
	return outcome
}

// Guards against groups with too few members or too many in one availability
// zone, and against several compositions of a group when all nodes of a fleet
// start at the same time.
func TestFirstCompositions(t *testing.T) {
	t.Parallel()
	cases := []struct{ nodes, zones, members, memberZones int }{
		{1, 1, 1, 1}, {2, 1, 2, 1}, {2, 2, 2, 2}, {3, 3, 3, 3}, {6, 2, 3, 2}, {9, 3, 3, 3}, {40, 3, 3, 3},
	}
	for _, tc := range cases {
		c := newOneGroupCluster(tc.nodes, tc.zones)
		c.run(10 * time.Second)
		r := c.latestComposition(t)
		zones := make(map[model.Zone]bool)
		for _, m := range r.Members {
			zones[m.Zone] = true
		}
		assert.Equal(t, len(r.Members), tc.members, "%+v", tc)
		assert.Equal(t, len(zones), tc.memberZones, "%+v", tc)
		assert.Equal(t, r.Epoch, uint64(1), "%+v", tc)
		assert.Assert(t, len(c.log) <= 2, "%d records for %+v", len(c.log), tc)
		assert.Assert(t, c.getsToken(c.nodes[0]), "%+v", tc)
		assert.Equal(t, c.violation, "")
	}
}

// Guards against a group that keeps too few members after the fleet has grown.
func TestGroupGrowsWithFleet(t *testing.T) {
	t.Parallel()
	c := newOneGroupCluster(3, 3)
	c.nodes[1].up, c.nodes[2].up = false, false
	c.run(3 * time.Second)
	assert.Equal(t, len(c.latestComposition(t).Members), 1)
	c.nodes[1].start()
	c.nodes[2].start()
	c.run(15 * time.Second)
	assert.Equal(t, len(c.latestComposition(t).Members), 3)
	assert.Equal(t, c.claimOutcome(c.nodes[0]), record.Granted)
}

// Guards against a lost member that is not replaced, and against an interruption
// of service until it is: two of three members are a majority.
func TestLostMemberIsReplaced(t *testing.T) {
	t.Parallel()
	c := newOneGroupCluster(6, 3)
	c.run(5 * time.Second)
	lost := c.findProcess(c.latestComposition(t).Members[0].Instance)
	lost.up = false
	assert.Equal(t, c.claimOutcome(c.nodes[(lost.index+1)%6]), record.Granted)
	c.run(12 * time.Second)
	r := c.latestComposition(t)
	assert.Equal(t, r.Epoch, uint64(2))
	assert.Assert(t, r.Sealed)
	assert.Equal(t, len(r.Members), 3)
	for _, m := range r.Members {
		assert.Assert(t, m.Instance != lost.member.Instance)
	}
	assert.Assert(t, c.getsToken(c.nodes[(lost.index+1)%6]))
	assert.Equal(t, c.claimOutcome(c.nodes[(lost.index+1)%6]), record.Granted)
}

// Guards against a node that votes under its old incarnation after a pause, and
// against a fleet of one node that does not recover from a pause.
func TestPausedNodeVotesUnderNewIncarnation(t *testing.T) {
	t.Parallel()
	for _, size := range []int{1, 3} {
		c := newOneGroupCluster(size, size)
		c.run(5 * time.Second)
		before := c.latestComposition(t)
		paused := c.findProcess(before.Members[0].Instance)
		paused.pause(3 * time.Second)
		c.run(3*time.Second + time.Millisecond)
		assert.Equal(t, paused.handler.leases.HeldCount(), 0)
		ballot := quorum.Ballot{Group: firstGroup, Epoch: before.Epoch, Voter: before.Members[0].NodeID}
		assert.Equal(t, paused.handler.voter.Status(c.now, ballot), quorum.VoterRetired)
		c.run(15 * time.Second)
		after := c.latestComposition(t)
		assert.Assert(t, after.Epoch > before.Epoch && after.Sealed)
		assert.Equal(t, len(after.Members), size)
		assert.Assert(t, c.getsToken(paused))
		assert.Equal(t, c.claimOutcome(paused), record.Granted)
	}
}

// Guards against a group that is unavailable for the whole grace period of ids
// after all its members restarted at about the same time. The restarted nodes
// confirm that their earlier votes have ended, so the next composition grants
// tokens after quorum.PromiseLifetime (2 s). It grants claims after two minutes:
// the members may have accepted ids a minute ahead of their clocks, and clocks
// may differ by a minute.
func TestRestartedMajorityRecovers(t *testing.T) {
	t.Parallel()
	c := newOneGroupCluster(3, 3)
	c.run(5 * time.Second)
	for _, p := range c.nodes {
		p.restart(time.Second)
	}
	c.run(20 * time.Second)
	r := c.latestComposition(t)
	assert.Equal(t, r.Epoch, uint64(2))
	assert.Assert(t, r.Sealed)
	assert.Assert(t, c.getsToken(c.nodes[0]))
	assert.Equal(t, c.claimOutcome(c.nodes[0]), record.Unavailable)
	c.run(2 * time.Minute)
	assert.Equal(t, c.claimOutcome(c.nodes[0]), record.Granted)
}

// Guards against an unsealed composition that starts while the lost majority may
// still vote, and against a group without a new composition. The composition
// starts UnsealedStartDelay (16 minutes) after its proposal and then grants claims.
// It grants tokens 45 minutes later, which is the difference between the grace
// periods of leases and ids.
func TestLostMajorityIsReplacedAfterGracePeriods(t *testing.T) {
	t.Parallel()
	c := newOneGroupCluster(6, 3)
	c.run(5 * time.Second)
	first := c.latestComposition(t)
	for _, m := range first.Members[:2] {
		c.findProcess(m.Instance).up = false
	}
	var alive *simProcess
	for _, p := range c.nodes {
		if p.up {
			alive = p
		}
	}
	c.run(90 * time.Second)
	r := c.latestComposition(t)
	assert.Assert(t, !r.Sealed && r.Epoch == 2)
	assert.Assert(t, r.From.Sub(c.now) > 14*time.Minute, "starts in %s", r.From.Sub(c.now))
	assert.Equal(t, c.claimOutcome(alive), record.Unavailable)
	c.run(17 * time.Minute)
	assert.Equal(t, c.claimOutcome(alive), record.Granted)
	assert.Assert(t, !c.getsToken(alive))
	c.run(45 * time.Minute)
	assert.Assert(t, c.getsToken(alive))
}

// Guards against sealing a group, which makes it unavailable, while the log is
// down and the next composition cannot be appended.
func TestNoSealWithoutLog(t *testing.T) {
	t.Parallel()
	c := newOneGroupCluster(6, 3)
	c.run(5 * time.Second)
	lost := c.findProcess(c.latestComposition(t).Members[0].Instance)
	c.logDown = true
	lost.up = false
	c.run(time.Minute)
	alive := c.nodes[(lost.index+1)%6]
	assert.Assert(t, c.getsToken(alive))
	assert.Equal(t, c.claimOutcome(alive), record.Granted)
	c.logDown = false
	c.run(15 * time.Second)
	assert.Equal(t, c.latestComposition(t).Epoch, uint64(2))
}

// Guards against members without contact to the log that vote after the grace
// periods of ids and leases, when an unsealed composition may have started. No
// claims may be granted after quorum.IDGracePeriod (15 minutes), and no tokens
// after quorum.LeaseGracePeriod (one hour). Claims must be granted again as soon
// as the log is available.
func TestVotesEndAfterGracePeriods(t *testing.T) {
	t.Parallel()
	c := newOneGroupCluster(3, 3)
	c.run(5 * time.Second)
	c.logDown = true
	c.run(14 * time.Minute)
	assert.Equal(t, c.claimOutcome(c.nodes[0]), record.Granted)
	c.run(2 * time.Minute)
	assert.Equal(t, c.claimOutcome(c.nodes[0]), record.Unavailable)
	assert.Assert(t, c.getsToken(c.nodes[0]))
	c.run(45 * time.Minute)
	assert.Assert(t, !c.getsToken(c.nodes[0]))
	c.logDown = false
	c.run(time.Second)
	assert.Equal(t, c.claimOutcome(c.nodes[0]), record.Granted)
}

// Guards against a graceful shutdown of a grantor that leaves its group without
// one until the lease expires. The last token expires within 1 s.
func TestLeavingGrantorIsReplacedSoon(t *testing.T) {
	t.Parallel()
	c := newOneGroupCluster(3, 3)
	c.run(5 * time.Second)
	var leaving *simProcess
	for _, p := range c.nodes {
		if p.handler.leases.HeldCount() > 0 {
			leaving = p
		}
	}
	leaving.handle(&ReleaseLeases{})
	other := c.nodes[(leaving.index+1)%3]
	assert.Assert(t, c.getsTokenWithin(other, 1300*time.Millisecond))
	assert.Equal(t, leaving.handler.leases.HeldCount(), 0)
	c.run(5 * time.Second)
	assert.Equal(t, leaving.handler.leases.HeldCount(), 0)
}

// Guards against panics of the duty on messages from a faulty peer.
func FuzzPeerMessage(f *testing.F) {
	c := newOneGroupCluster(1, 1)
	c.run(3 * time.Second)
	p := c.nodes[0]
	for _, o := range [][]byte{{}, {0x0a, 0x00}, {0x0a, 0x02, 0x08, 0x01}} {
		f.Add(wire.KindVote, o)
		f.Add(wire.KindTokens, o)
	}
	c.mutation = func(from, _ int, m quorum.Message) []outgoing {
		kind, frame, err := wire.EncodeQuorum(m)
		if err != nil {
			panic(err)
		}
		body, _ := proto.Marshal(frame)
		f.Add(kind, body)
		return nil
	}
	sendSampleMessages(p)
	c.mutation = nil
	f.Fuzz(func(t *testing.T, kind uint32, body []byte) {
		m, err := wire.DecodeQuorum(kind, body)
		if err != nil {
			return
		}
		p.handle(&PeerMessage{From: "tally-0", Message: m})
		p.handle(&PeerMessage{From: "tally-9", Message: m})
		c.run(time.Millisecond)
	})
}

// sendSampleMessages sends one message of several types, which the cluster's
// mutation function records as seeds for the fuzzer.
func sendSampleMessages(p *simProcess) {
	ballot := quorum.Ballot{Group: firstGroup, Epoch: 1, Voter: p.member.NodeID}
	claim := &record.ClaimRequest{Ballot: ballot, Key: record.RequestKey{Customer: "herders", ID: (&claimWorkload{c: p.c}).newID()}, Round: 1}
	for _, m := range []quorum.Message{
		&quorum.ProbeRequest{Ballot: ballot}, &quorum.SealRequest{Ballot: ballot, Time: p.c.now}, claim,
		&tokenlease.PromiseRequest{Ballot: ballot, Holder: p.member.NodeID, Term: 9},
		&tokenlease.TokenRequest{Group: firstGroup, Customer: "herders", Want: 3, Sequence: 1},
		&record.ClaimComplete{Ballot: ballot, Key: claim.Key, Answer: &model.Answer{Status: 200}},
	} {
		p.send(p.member.Instance, m)
	}
}
