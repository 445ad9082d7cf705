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
// wins, and against a part of the losing publication being applied.
func TestConcurrentPublicationsHaveOneWinner(t *testing.T) {
	f := newFleet(t, 24*time.Hour)
	for range 5 {
		f.add("suva")
	}
	f.publish(model.Publication{Amendments: []model.Amendment{customer("herders", 0, 1)}})
	f.run(time.Second, step)
	f.publish(model.Publication{ID: "first", Amendments: []model.Amendment{customer("herders", 1, 10)}})
	f.publish(model.Publication{ID: "second", Amendments: []model.Amendment{customer("export", 0, 5), customer("herders", 1, 20)}})
	late := f.add("nadi")
	f.run(time.Second, step)
	for _, n := range f.nodes {
		assert.Equal(t, n.rate("herders"), 10.0)
		assert.Equal(t, n.rate("export"), -1.0)
		assert.Equal(t, n.core.Configuration().Document("customer/herders").Version, uint64(2))
	}
	assert.Equal(t, late.notices[len(late.notices)-1].Kind, NoticeRejected)
}

// Guards against applying a record twice when its writer appended it again
// because the answer to the first append was lost.
func TestDuplicateRecordIsSkipped(t *testing.T) {
	f := newFleet(t, 24*time.Hour)
	n := f.add("suva")
	p := model.Publication{ID: uuid.NewString(), Amendments: []model.Amendment{customer("herders", 0, 1)}}
	f.publish(p)
	f.publish(p)
	f.run(time.Second, step)
	assert.Equal(t, n.core.Configuration().Document("customer/herders").Version, uint64(1))
	assert.Equal(t, len(n.notices), 1)
}

// Guards against a node that stays without configuration when it restarts
// while the log is down, and against an incomplete document set: 5,000
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
	f.run(2*time.Second, step)
	f.log.SetFaults(memlog.Faults{Down: true})
	f.run(10*time.Second, step)
	f.restart(b)
	began := f.now
	for b.latestSnapshot == nil && f.now.Sub(began) < 12*time.Second {
		f.run(step, step)
	}
	assert.Assert(t, b.latestSnapshot != nil)
	t.Logf("configuration from a peer after %s", f.now.Sub(began))
	assert.Equal(t, len(b.latestSnapshot.Customers), 5000)
	assert.Equal(t, b.core.Configuration().NextOffset(), a.core.Configuration().NextOffset())

	f.log.SetFaults(memlog.Faults{})
	f.publish(model.Publication{Amendments: []model.Amendment{customer("c-0-0", 1, 77)}})
	f.run(2*time.Second, step)
	assert.Equal(t, b.rate("c-0-0"), 77.0)
}

// Guards against a record that reaches only the one node that can read the log,
// and never the nodes that cannot.
func TestRecordsAreRelayedToNodesWithoutLog(t *testing.T) {
	f := newFleet(t, 24*time.Hour)
	for range 30 {
		f.add("suva")
	}
	f.publish(model.Publication{Amendments: []model.Amendment{customer("herders", 0, 1)}})
	f.run(time.Second, step)
	for _, n := range f.nodes[1:] {
		n.logUnreachable = true
	}
	f.publish(model.Publication{Amendments: []model.Amendment{customer("herders", 1, 2)}})
	began := f.now
	for f.now.Sub(began) < 12*time.Second && !f.all(func(n *testNode) bool { return n.rate("herders") == 2 }) {
		f.run(step, step)
	}
	assert.Assert(t, f.all(func(n *testNode) bool { return n.rate("herders") == 2 }))
	t.Logf("in force on 30 nodes after %s", f.now.Sub(began))
}

func (f *fleet) all(ok func(*testNode) bool) bool {
	for _, n := range f.nodes {
		if !ok(n) {
			return false
		}
	}
	return true
}

// Guards against a node without the log whose KnownAsOf is later than that of the
// peer that answered it, and against a delayed answer that advances KnownAsOf.
func TestKnownAsOfFromPeerIsNotNewerThanPeers(t *testing.T) {
	f := newFleet(t, 24*time.Hour)
	a, b := f.add("suva"), f.add("suva")
	f.publish(model.Publication{Amendments: zones("suva")})
	f.run(time.Second, step)
	b.logUnreachable = true
	f.run(10*time.Second, step)
	known := func(n *testNode) time.Time { return n.core.Positions()[0].KnownAsOf }
	assert.Assert(t, f.now.Sub(known(b)) < 3*time.Second, "%s", f.now.Sub(known(b)))
	assert.Assert(t, f.now.Sub(b.core.LastLogContact()) > 9*time.Second)

	f.log.SetFaults(memlog.Faults{Down: true})
	f.run(20*time.Second, step)
	assert.Assert(t, f.now.Sub(known(a)) > 19*time.Second)
	assert.Assert(t, !known(b).After(known(a)), "b knows more than a")

	before := known(b)
	delayed := StreamRecords{Stream: model.ConfigStream, From: 1, Next: 1, KnownAge: 1}
	b.core.OnAnswer(f.now, a.self, &Answer{Sequence: 1, Streams: []StreamRecords{delayed}})
	assert.Equal(t, known(b), before)
}

// Guards against a configuration that reverts to a peer's older documents.
func TestOlderDocumentSetOfPeerIsIgnored(t *testing.T) {
	f := newFleet(t, 24*time.Hour)
	fresh, old := f.add("suva"), f.add("nadi")
	f.publish(model.Publication{Amendments: []model.Amendment{customer("herders", 0, 1)}})
	f.run(time.Second, step)
	old.logUnreachable, old.isolated = true, true
	f.publish(model.Publication{Amendments: []model.Amendment{customer("herders", 1, 2)}})
	f.run(time.Second, step)
	set := old.core.Configuration().DocumentSet(f.now)
	fresh.core.OnAnswer(f.now, old.self, &Answer{Set: &set})
	set.Position += 10 // nor does a faulty position that is ahead lower a version
	fresh.core.OnAnswer(f.now, old.self, &Answer{Set: &set})
	f.run(time.Second, step)
	assert.Equal(t, fresh.rate("herders"), 2.0)
	assert.Equal(t, fresh.core.Configuration().Document("customer/herders").Version, uint64(2))
}

// Guards against a withdrawn key that still works while the log is down, and
// against a withdrawal that never reaches the log when the node that took it is
// lost.
func TestWithdrawalDuringLogOutage(t *testing.T) {
	f := newFleet(t, 24*time.Hour)
	for _, zone := range []model.Zone{"suva", "suva", "nadi", "nadi", "lautoka"} {
		f.add(zone)
	}
	hash := model.HashKey("secret")
	newKey := model.Amendment{Document: keyDocument(hash), Body: json.RawMessage(`{"customer":"herders"}`)}
	p := model.Publication{Amendments: append(zones("suva", "nadi", "lautoka"), customer("herders", 0, 1), newKey)}
	f.publish(p)
	f.run(time.Second, step)
	f.log.SetFaults(memlog.Faults{Down: true})
	f.run(5*time.Second, step)
	newcomer := f.add("lautoka") // reaches peers, but not the log
	f.run(2*time.Second, step)

	var got Confirmation
	assert.Assert(t, f.nodes[0].core.OnWithdrawRequest(f.now, hash, func(a Confirmation) { got = a }))
	began := f.now
	works := func(n *testNode) bool { _, ok := n.latestSnapshot.CustomerOf(hash); return ok }
	f.run(5*step, step)
	assert.Assert(t, f.all(func(n *testNode) bool { return !works(n) }))
	assert.Assert(t, !works(newcomer))
	assert.DeepEqual(t, got, Confirmation{Regions: []model.Region{"viti"}})
	t.Logf("withdrawn on 6 nodes within %s", f.now.Sub(began))

	f.nodes[0].isolated, f.nodes[0].logUnreachable = true, true // its append is lost
	f.log.SetFaults(memlog.Faults{})
	f.run(40*time.Second, step)
	for _, n := range f.nodes[1:] {
		assert.Equal(t, len(n.core.pendingWithdrawals), 0)
		assert.Assert(t, isWithdrawn(n.core.Configuration().Document(keyDocument(hash))))
	}
	f.publish(model.Publication{Amendments: []model.Amendment{{Document: keyDocument(hash), Base: 2, Body: newKey.Body}}})
	f.run(time.Second, step)
	assert.Assert(t, !works(f.nodes[1]))
}

// Guards against a withdrawal that counts as confirmed because it is in the
// log, although nodes in a majority of availability zones do not have it, and
// against an answer that leaves out a region without nodes.
func TestWithdrawalInLogAloneIsNotConfirmed(t *testing.T) {
	f := newFleet(t, time.Hour)
	contacted, other := f.add("suva"), f.add("nadi")
	p := model.Publication{Amendments: zones("suva", "nadi", "lautoka")}
	p.Amendments = append(p.Amendments, model.Amendment{Document: "zone/apia", Body: json.RawMessage(`{"region":"samoa"}`)})
	f.publish(p)
	f.run(time.Second, step)
	other.isolated, other.logUnreachable = true, true
	var answers []Confirmation
	collect := func(a Confirmation) { answers = append(answers, a) }
	hash := model.HashKey("secret")
	assert.Assert(t, contacted.core.OnWithdrawRequest(f.now, hash, collect))
	f.run(withdrawTimeout+time.Second, step)
	assert.DeepEqual(t, answers, []Confirmation{{Missing: []model.Region{"samoa", "viti"}, InLog: true}})

	other.isolated, other.logUnreachable = false, false
	assert.Assert(t, contacted.core.OnWithdrawRequest(f.now, hash, collect))
	f.run(withdrawTimeout+time.Second, step)
	assert.DeepEqual(t, answers[1], Confirmation{Regions: []model.Region{"viti"}, Missing: []model.Region{"samoa"}, InLog: true})
	assert.Equal(t, len(contacted.core.pendingWithdrawals), 0)
}

// Guards against a leave that removes a newer incarnation of an instance, and
// against a second record with the same epoch that replaces the first.
func TestLogOrderDecidesMembersAndGroups(t *testing.T) {
	f := newFleet(t, time.Hour)
	n := f.add("suva")
	member := func(incarnation model.Incarnation, leave bool) {
		m := model.Member{NodeID: model.NodeID{Instance: "tally-1", Incarnation: incarnation}, Service: "tally"}
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
	f.run(time.Second, step)
	assert.Equal(t, n.latestSnapshot.Members["tally"][0].Incarnation, model.Incarnation(2))
	compositions := n.latestSnapshot.Groups[model.GroupKey{Region: "viti", Group: 1}]
	assert.Equal(t, len(compositions), 2)
	assert.Equal(t, compositions[1].From.Unix(), int64(20))
}

// Guards against a node that does not know the members of a service that the
// configuration lets its target call.
func TestMembersOfCalledServicesAreFollowed(t *testing.T) {
	f := newFleet(t, time.Hour)
	n := f.add("suva")
	registry := model.Member{NodeID: model.NodeID{Instance: "registry-1", Incarnation: 1}, Service: "registry"}
	f.append(n, model.MemberStream("registry"), uuid.NewString(), model.MemberRecord{Member: registry})
	service := model.Amendment{Document: "service/tally", Body: json.RawMessage(`{"calls":["registry"]}`)}
	f.publish(model.Publication{Amendments: []model.Amendment{service}})
	f.run(time.Second, step)
	assert.Equal(t, len(n.latestSnapshot.Members["registry"]), 1)
}

// Guards against a node that, because the winning record has expired, accepts a
// conflicting publication and keeps it although a peer knows the winner.
func TestPeerResolvesUncertainDocuments(t *testing.T) {
	f := newFleet(t, time.Minute)
	complete := f.add("suva")
	f.publish(model.Publication{Amendments: []model.Amendment{customer("herders", 0, 1)}})
	f.run(20*time.Second, step)
	f.publish(model.Publication{Amendments: []model.Amendment{customer("herders", 1, 2)}}) // winner
	f.run(time.Second, step)
	f.publish(model.Publication{Amendments: []model.Amendment{customer("herders", 1, 3), customer("ghost", 0, 1)}})
	f.now = f.now.Add(59*time.Second + 500*time.Millisecond) // only the losing record has not expired
	late := f.add("nadi")
	late.isolated = true
	f.run(4*time.Second, 2*time.Second)
	late.isolated = false
	f.run(40*time.Second, step)
	assert.Equal(t, complete.rate("herders"), 2.0)
	assert.Equal(t, late.rate("herders"), 2.0)
	assert.Equal(t, late.rate("ghost"), -1.0)
}
