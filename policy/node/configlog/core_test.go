package configlog

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/logservice/memlog"
	"github.com/oleanderworks/oleanderworks/model"
)

// Guards against nodes that disagree about which of two concurrent publications
// is accepted, and against the partial application of the rejected one.
func TestConcurrentPublicationsHaveOneWinner(t *testing.T) {
	f := newFleet(t, 24*time.Hour)
	for range 5 {
		f.add("suva")
	}
	f.publish(model.Publication{Amendments: []model.Amendment{customer("herders", 0, 1)}})
	f.run(time.Second, defaultStep)
	f.publish(model.Publication{ID: "first", Amendments: []model.Amendment{customer("herders", 1, 10)}})
	f.publish(model.Publication{ID: "second", Amendments: []model.Amendment{customer("export", 0, 5), customer("herders", 1, 20)}})
	late := f.add("nadi")
	f.run(time.Second, defaultStep)
	for _, n := range f.nodes {
		assert.Equal(t, n.rate("herders"), 10.0)
		assert.Equal(t, n.rate("export"), -1.0)
		assert.Equal(t, n.core.Configuration().Document("customer/herders").Version, uint64(2))
	}
	assert.Equal(t, late.notices[len(late.notices)-1].Kind, NoticeRejected)
}

// Guards against applying a record twice that was appended twice, because the
// answer to the first append was lost.
func TestDuplicateRecordIsSkipped(t *testing.T) {
	f := newFleet(t, 24*time.Hour)
	n := f.add("suva")
	p := model.Publication{ID: uuid.NewString(), Amendments: []model.Amendment{customer("herders", 0, 1)}}
	f.publish(p)
	f.publish(p)
	f.run(time.Second, defaultStep)
	assert.Equal(t, n.core.Configuration().Document("customer/herders").Version, uint64(1))
	assert.Equal(t, len(n.notices), 1)
}

// Guards against a node that remains without a configuration after a restart
// during an outage of the log, and against losing parts of a document set: 5,000
// documents arrive in several parts.
func TestRestartDuringOutageStartsFromPeers(t *testing.T) {
	f := newFleet(t, 24*time.Hour)
	a, b := f.add("suva"), f.add("nadi")
	for i := range 10 {
		p := model.Publication{}
		for j := range 500 {
			p.Amendments = append(p.Amendments, customer(fmt.Sprintf("c-%d-%d", i, j), 0, float64(j)))
		}
		f.publish(p)
	}
	f.run(2*time.Second, defaultStep)
	f.log.SetFaults(memlog.Faults{Down: true})
	f.run(10*time.Second, defaultStep)
	f.restart(b)
	startedAt := f.now
	for b.latestSnapshot == nil && f.now.Sub(startedAt) < 12*time.Second {
		f.run(defaultStep, defaultStep)
	}
	assert.Assert(t, b.latestSnapshot != nil)
	t.Logf("configuration from a peer after %s", f.now.Sub(startedAt))
	assert.Equal(t, len(b.latestSnapshot.Customers), 5000)
	assert.Equal(t, b.core.Configuration().NextOffset(), a.core.Configuration().NextOffset())

	f.log.SetFaults(memlog.Faults{})
	f.publish(model.Publication{Amendments: []model.Amendment{customer("c-0-0", 1, 77)}})
	f.run(2*time.Second, defaultStep)
	assert.Equal(t, b.rate("c-0-0"), 77.0)
}

// Guards against a record that is not relayed from the one node that can read the
// log to the others.
func TestRecordsAreRelayedToNodesWithoutLog(t *testing.T) {
	f := newFleet(t, 24*time.Hour)
	for range 30 {
		f.add("suva")
	}
	f.publish(model.Publication{Amendments: []model.Amendment{customer("herders", 0, 1)}})
	f.run(time.Second, defaultStep)
	for _, n := range f.nodes[1:] {
		n.logUnreachable = true
	}
	f.publish(model.Publication{Amendments: []model.Amendment{customer("herders", 1, 2)}})
	startedAt := f.now
	for f.now.Sub(startedAt) < 12*time.Second && !f.all(func(n *testNode) bool { return n.rate("herders") == 2 }) {
		f.run(defaultStep, defaultStep)
	}
	assert.Assert(t, f.all(func(n *testNode) bool { return n.rate("herders") == 2 }))
	t.Logf("in force on 30 nodes after %s", f.now.Sub(startedAt))
}

func (f *fleet) all(ok func(*testNode) bool) bool {
	for _, n := range f.nodes {
		if !ok(n) {
			return false
		}
	}
	return true
}

// Guards against a node that cannot read the log and reports a later KnownAsOf than
// the peer from which it got its records, and against a delayed answer that
// advances KnownAsOf.
func TestKnownAsOfFromPeerIsNotNewerThanPeers(t *testing.T) {
	f := newFleet(t, 24*time.Hour)
	a, b := f.add("suva"), f.add("suva")
	f.publish(model.Publication{Amendments: zones("suva")})
	f.run(time.Second, defaultStep)
	b.logUnreachable = true
	f.run(10*time.Second, defaultStep)
	known := func(n *testNode) time.Time { return n.core.Positions()[0].KnownAsOf }
	assert.Assert(t, f.now.Sub(known(b)) < 3*time.Second, "%s", f.now.Sub(known(b)))
	assert.Assert(t, f.now.Sub(b.core.LastLogContact()) > 9*time.Second)

	f.log.SetFaults(memlog.Faults{Down: true})
	f.run(20*time.Second, defaultStep)
	assert.Assert(t, f.now.Sub(known(a)) > 19*time.Second)
	assert.Assert(t, !known(b).After(known(a)), "KnownAsOf of b is later than that of a")

	before := known(b)
	delayed := StreamRecords{Stream: model.ConfigStream, From: 1, Next: 1, KnownAge: 1}
	b.core.OnAnswer(f.now, a.self, &Answer{Sequence: 1, Streams: []StreamRecords{delayed}})
	assert.Equal(t, known(b), before)
}

// Guards against adopting a peer's document set that is older, or that claims a
// later position but holds documents with lower versions.
func TestOlderDocumentSetOfPeerIsIgnored(t *testing.T) {
	f := newFleet(t, 24*time.Hour)
	current, outdated := f.add("suva"), f.add("nadi")
	f.publish(model.Publication{Amendments: []model.Amendment{customer("herders", 0, 1)}})
	f.run(time.Second, defaultStep)
	outdated.logUnreachable, outdated.isolated = true, true
	f.publish(model.Publication{Amendments: []model.Amendment{customer("herders", 1, 2)}})
	f.run(time.Second, defaultStep)
	set := outdated.core.Configuration().DocumentSet(f.now)
	current.core.OnAnswer(f.now, outdated.self, &Answer{Set: &set})
	set.Position += 10 // a wrong position, ahead of the set's documents
	current.core.OnAnswer(f.now, outdated.self, &Answer{Set: &set})
	f.run(time.Second, defaultStep)
	assert.Equal(t, current.rate("herders"), 2.0)
	assert.Equal(t, current.core.Configuration().Document("customer/herders").Version, uint64(2))
}

// Guards against nodes that accept a withdrawn key while the log is down, and
// against a withdrawal that never reaches the log because the node that received
// it from the operator is lost.
func TestWithdrawalDuringLogOutage(t *testing.T) {
	f := newFleet(t, 24*time.Hour)
	for _, zone := range []model.Zone{"suva", "suva", "nadi", "nadi", "lautoka"} {
		f.add(zone)
	}
	hash := model.HashKey("secret")
	newKey := model.Amendment{Document: keyDocumentName(hash), Body: json.RawMessage(`{"customer":"herders"}`)}
	p := model.Publication{Amendments: append(zones("suva", "nadi", "lautoka"), customer("herders", 0, 1), newKey)}
	f.publish(p)
	f.run(time.Second, defaultStep)
	f.log.SetFaults(memlog.Faults{Down: true})
	f.run(5*time.Second, defaultStep)
	newcomer := f.add("lautoka") // can reach its peers, but not the log
	f.run(2*time.Second, defaultStep)

	var got Confirmation
	assert.Assert(t, f.nodes[0].core.OnWithdrawRequest(f.now, hash, func(c Confirmation) { got = c }))
	startedAt := f.now
	keyIsAccepted := func(n *testNode) bool { _, ok := n.latestSnapshot.CustomerOf(hash); return ok }
	f.run(5*defaultStep, defaultStep)
	assert.Assert(t, f.all(func(n *testNode) bool { return !keyIsAccepted(n) }))
	assert.Assert(t, !keyIsAccepted(newcomer))
	assert.DeepEqual(t, got, Confirmation{Regions: []model.Region{"viti"}})
	t.Logf("withdrawn on 6 nodes within %s", f.now.Sub(startedAt))

	f.nodes[0].isolated, f.nodes[0].logUnreachable = true, true // its append is lost
	f.log.SetFaults(memlog.Faults{})
	f.run(40*time.Second, defaultStep)
	for _, n := range f.nodes[1:] {
		assert.Equal(t, len(n.core.pendingWithdrawals), 0)
		assert.Assert(t, isWithdrawn(n.core.Configuration().Document(keyDocumentName(hash))))
	}
	f.publish(model.Publication{Amendments: []model.Amendment{{Document: keyDocumentName(hash), Base: 2, Body: newKey.Body}}})
	f.run(time.Second, defaultStep)
	assert.Assert(t, !keyIsAccepted(f.nodes[1]))
}

// Guards against a withdrawal that is reported as confirmed because it is in the
// log, although nodes in a majority of a region's availability zones have not
// confirmed it, and against a confirmation that omits a configured region without
// nodes.
func TestWithdrawalInLogAloneIsNotConfirmed(t *testing.T) {
	f := newFleet(t, time.Hour)
	contacted, other := f.add("suva"), f.add("nadi")
	p := model.Publication{Amendments: zones("suva", "nadi", "lautoka")}
	p.Amendments = append(p.Amendments, model.Amendment{Document: "zone/apia", Body: json.RawMessage(`{"region":"samoa"}`)})
	f.publish(p)
	f.run(time.Second, defaultStep)
	other.isolated, other.logUnreachable = true, true
	var answers []Confirmation
	collect := func(c Confirmation) { answers = append(answers, c) }
	hash := model.HashKey("secret")
	assert.Assert(t, contacted.core.OnWithdrawRequest(f.now, hash, collect))
	f.run(withdrawTimeout+time.Second, defaultStep)
	assert.DeepEqual(t, answers, []Confirmation{{Missing: []model.Region{"samoa", "viti"}, InLog: true}})

	other.isolated, other.logUnreachable = false, false
	assert.Assert(t, contacted.core.OnWithdrawRequest(f.now, hash, collect))
	f.run(withdrawTimeout+time.Second, defaultStep)
	assert.DeepEqual(t, answers[1], Confirmation{Regions: []model.Region{"viti"}, Missing: []model.Region{"samoa"}, InLog: true})
	assert.Equal(t, len(contacted.core.pendingWithdrawals), 0)
}

// Guards against a leave record that removes a newer incarnation of an instance,
// and against a group record that replaces an earlier one with the same epoch or
// skips an epoch.
func TestLogOrderDecidesMembersAndGroups(t *testing.T) {
	f := newFleet(t, time.Hour)
	n := f.add("suva")
	member := func(incarnation model.Incarnation, leave bool) {
		m := model.Member{NodeID: model.NodeID{Instance: "tally-1", Incarnation: incarnation}, Service: "tally", PeerAddress: "10.0.0.1:7400"}
		f.append(n, model.MemberStream("tally"), uuid.NewString(), model.MemberRecord{Leave: leave, Member: m})
	}
	group := func(epoch uint64, from int64) {
		f.append(n, model.GroupStream("viti"), uuid.NewString(),
			model.GroupRecord{Region: "viti", Group: 1, Epoch: epoch, From: time.Unix(from, 0)})
	}
	member(1, false)
	member(2, false)
	member(1, true)
	group(1, 10)
	group(2, 20)
	group(2, 30)
	group(4, 40)
	f.publish(model.Publication{Amendments: zones("suva")})
	f.run(time.Second, defaultStep)
	assert.Equal(t, n.latestSnapshot.Members["tally"][0].Incarnation, model.Incarnation(2))
	compositions := n.latestSnapshot.Groups[model.GroupKey{Region: "viti", Group: 1}]
	assert.Equal(t, len(compositions), 2)
	assert.Equal(t, compositions[1].From.Unix(), int64(20))
}

// Guards against a join record without a valid address that adds a member, whose
// availability zone then counts for the majority that contact needs.
func TestJoinWithInvalidAddressAddsNoMember(t *testing.T) {
	f := newFleet(t, time.Hour)
	n := f.add("suva")
	join := func(instance, address string) {
		m := model.Member{
			NodeID:  model.NodeID{Instance: model.Instance(instance), Incarnation: 1},
			Service: "tally", Zone: "nadi", Region: "viti", PeerAddress: address,
		}
		f.append(n, model.MemberStream("tally"), uuid.NewString(), model.MemberRecord{Member: m})
	}
	for i, address := range []string{"", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:99999", "10.0.0.1:-1", "tally.example:7400"} {
		join(fmt.Sprint("invalid-", i), address)
	}
	join("", "10.0.0.1:7400")
	join("tally-1", "10.0.0.1:7400")
	f.publish(model.Publication{Amendments: zones("suva")})
	f.run(time.Second, defaultStep)
	members := n.latestSnapshot.Members["tally"]
	assert.Equal(t, len(members), 1)
	assert.Equal(t, members[0].Instance, model.Instance("tally-1"))
}

// Guards against a node that does not follow the members of a service that is
// listed in the calls of its own service's document.
func TestMembersOfCalledServicesAreFollowed(t *testing.T) {
	f := newFleet(t, time.Hour)
	n := f.add("suva")
	registry := model.Member{NodeID: model.NodeID{Instance: "registry-1", Incarnation: 1}, Service: "registry", PeerAddress: "10.0.0.9:7400"}
	f.append(n, model.MemberStream("registry"), uuid.NewString(), model.MemberRecord{Member: registry})
	service := model.Amendment{Document: "service/tally", Body: json.RawMessage(`{"calls":["registry"]}`)}
	f.publish(model.Publication{Amendments: []model.Amendment{service}})
	f.run(time.Second, defaultStep)
	assert.Equal(t, len(n.latestSnapshot.Members["registry"]), 1)
}

// Guards against a node that keeps a publication which other nodes rejected. The
// node accepted it because an earlier, conflicting record expired unread; a peer's
// document set must correct this.
func TestPeerResolvesUncertainDocuments(t *testing.T) {
	f := newFleet(t, time.Minute)
	complete := f.add("suva")
	f.publish(model.Publication{Amendments: []model.Amendment{customer("herders", 0, 1)}})
	f.run(20*time.Second, defaultStep)
	f.publish(model.Publication{Amendments: []model.Amendment{customer("herders", 1, 2)}}) // accepted
	f.run(time.Second, defaultStep)
	f.publish(model.Publication{Amendments: []model.Amendment{customer("herders", 1, 3), customer("ghost", 0, 1)}})
	f.now = f.now.Add(59*time.Second + 500*time.Millisecond) // only the rejected record has not expired
	late := f.add("nadi")
	late.isolated = true
	f.run(4*time.Second, 2*time.Second)
	late.isolated = false
	f.run(40*time.Second, defaultStep)
	assert.Equal(t, complete.rate("herders"), 2.0)
	assert.Equal(t, late.rate("herders"), 2.0)
	assert.Equal(t, late.rate("ghost"), -1.0)
}
