package membership

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oleanderworks/oleanderworks/model"
)

// init sets a fixed seed for rapid, so that results in CI are reproducible. The
// command-line flags override it.
func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "40")
}

// network runs cores in virtual time. Tests can cut the links between nodes and
// make the log unreachable for some of them.
type network struct {
	now            time.Time
	cores          map[model.Instance]*Core
	order          []model.Instance
	down           map[model.Instance]bool
	isCut          func(from, to model.Instance) bool
	logUnreachable func(i model.Instance) bool
	members        map[model.Instance]model.Member
	removed        []model.MemberRecord
	contactUntil   map[model.Instance]time.Time // end of contact
}

func newNetwork(members []model.Member) *network {
	n := &network{
		now: startTime, cores: make(map[model.Instance]*Core), down: make(map[model.Instance]bool),
		isCut:          func(model.Instance, model.Instance) bool { return false },
		logUnreachable: func(model.Instance) bool { return false },
		members:        make(map[model.Instance]model.Member),
		contactUntil:   make(map[model.Instance]time.Time),
	}
	for i, m := range members {
		rotated := append(append([]model.Member(nil), members[i:]...), members[:i]...)
		n.cores[m.Instance] = newFleetCore(rotated...)
		n.order = append(n.order, m.Instance)
		n.members[m.Instance] = m
	}
	return n
}

func (n *network) reaches(from, to model.Instance) bool {
	return !n.down[from] && !n.down[to] && !n.isCut(from, to)
}

func (n *network) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); n.now = n.now.Add(tickInterval) {
		for _, i := range n.order {
			if n.down[i] {
				continue
			}
			if n.now.Sub(startTime)%time.Second == 0 {
				n.sendHeartbeats(i)
			}
			n.cores[i].Tick(n.now)
			n.perform(i)
		}
	}
}

func (n *network) sendHeartbeats(from model.Instance) {
	for _, to := range n.order {
		if to != from && n.reaches(from, to) {
			n.cores[to].OnHeartbeat(n.now, n.now, n.echoedSentAt(from, to), n.cores[from].Self())
		}
	}
}

// echoedSentAt returns when node to sent the heartbeat that node from echoes now.
func (n *network) echoedSentAt(from, to model.Instance) time.Time {
	if n.isCut(to, from) {
		return time.Time{}
	}
	return n.now.Add(-time.Second)
}

// perform carries out the actions of a core. If a node cannot reach the log, its
// record is lost, although the append is reported as successful.
func (n *network) perform(i model.Instance) {
	for _, a := range n.cores[i].Actions() {
		switch a.Kind {
		case RequestProbe:
			if n.reaches(i, a.To) {
				n.cores[a.To].OnProbeRequest(n.now, i, a.ProbeID, a.Peer)
				n.perform(a.To)
			}
		case ProbePeer:
			n.answer(i, a, n.reaches(i, a.Peer.Instance))
		case AnswerProbe:
			n.answer(i, a, a.Reached)
		case ReportSuspect, RetractReport:
			n.broadcast(i, a)
		case RefuteReport:
			if n.reaches(i, a.To) {
				n.cores[a.To].OnRefutation(n.now, a.Peer.NodeID)
			}
		case AppendRecord:
			n.append(i, a.Record)
			n.cores[i].OnAppended(n.now, a.Record, true)
		case UpdateContact:
			n.contactUntil[i] = a.ContactUntil
		}
	}
}

func (n *network) answer(from model.Instance, a Action, reached bool) {
	if n.reaches(from, a.To) {
		n.cores[a.To].OnProbeAnswer(n.now, a.ProbeID, reached)
	}
}

func (n *network) broadcast(from model.Instance, a Action) {
	for _, to := range n.order {
		if to != from && n.reaches(from, to) {
			n.cores[to].OnSuspicion(n.now, n.cores[from].Self(), a.Peer.NodeID, a.Kind == RetractReport)
		}
	}
}

func (n *network) append(from model.Instance, r *model.MemberRecord) {
	if n.logUnreachable(from) {
		return
	}
	current, listed := n.members[r.Member.Instance]
	switch {
	case !r.Leave:
		n.members[r.Member.Instance] = r.Member
	case listed && current.NodeID == r.Member.NodeID:
		delete(n.members, r.Member.Instance)
		n.removed = append(n.removed, *r)
	}
	n.publish()
}

// publish delivers the members to all nodes that can reach the log.
func (n *network) publish() {
	var all []model.Member
	for _, m := range n.members {
		all = append(all, m)
	}
	for _, i := range n.order {
		if !n.down[i] && !n.logUnreachable(i) {
			n.cores[i].OnSnapshot(n.now, snapshot(all...))
		}
	}
}

func fleetMembers(zones, nodesPerZone int) []model.Member {
	var out []model.Member
	for z := range zones {
		for i := range nodesPerZone {
			out = append(out, member(fmt.Sprintf("tally-%d-%d", z, i), fmt.Sprintf("zone-%d", z)))
		}
	}
	return out
}

// Guards against a dead node that is not removed, and against its removal within
// 25 s of its loss.
func TestDeadNodeIsRemovedOnce(t *testing.T) {
	members := fleetMembers(3, 2)
	n := newNetwork(members)
	n.run(5 * time.Second)
	n.down[members[0].Instance] = true
	n.run(25 * time.Second)
	assert.Equal(t, len(n.removed), 0)
	n.run(30 * time.Second)
	assert.Equal(t, len(n.removed), 1)
	assert.Equal(t, n.removed[0].Member.NodeID, members[0].NodeID)
	n.run(30 * time.Second)
	assert.Equal(t, len(n.removed), 1)
}

// Guards against a partitioned availability zone that removes the rest of the
// fleet, and against removed nodes that do not rejoin when the partition ends.
func TestPartitionedZoneRemovesNoOthersAndRejoins(t *testing.T) {
	members := fleetMembers(3, 2)
	n := newNetwork(members)
	n.run(5 * time.Second)
	inZone0 := func(i model.Instance) bool { return n.cores[i].self.Zone == "zone-0" }
	n.isCut = func(from, to model.Instance) bool { return inZone0(from) != inZone0(to) }
	n.run(90 * time.Second)
	assert.Equal(t, len(n.removed), 2)
	for _, r := range n.removed {
		assert.Equal(t, string(r.Member.Zone), "zone-0")
		assert.Assert(t, !inZone0(r.Reporter))
	}
	n.isCut = func(model.Instance, model.Instance) bool { return false }
	n.run(10 * time.Second)
	assert.Equal(t, len(n.members), 6)
	for i, m := range n.members {
		assert.Equal(t, n.cores[i].Self().NodeID, m.NodeID)
	}
}

// Guards against removing a node whose links are cut except those to two or three
// random nodes.
func TestNodeWithSomeLinksIsNotRemoved(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		members := fleetMembers(3, 2)
		n := newNetwork(members)
		isolated := members[rapid.IntRange(0, 5).Draw(rt, "isolated")].Instance
		connected := make(map[model.Instance]bool)
		for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 5), 3, 3, rapid.ID[int]).Draw(rt, "connected") {
			connected[members[i].Instance] = true
		}
		n.isCut = func(from, to model.Instance) bool {
			return from == isolated && !connected[to] || to == isolated && !connected[from]
		}
		n.run(2 * time.Minute)
		for _, r := range n.removed {
			rt.Fatalf("%s was removed by %s", r.Member.Instance, r.Reporter)
		}
	})
}

// Guards against regions that remove each other's nodes when they are partitioned
// for minutes. At the design size of 19,000 nodes that would take 850 appends a
// second.
func TestRegionPartitionRemovesNoNodes(t *testing.T) {
	members := fleetMembers(15, 1)
	for i := range members {
		members[i].Region = model.Region(fmt.Sprint("region-", i/3))
	}
	n := newNetwork(members)
	n.run(5 * time.Second)
	inRegion0 := func(i model.Instance) bool { return n.cores[i].self.Region == "region-0" }
	n.isCut = func(from, to model.Instance) bool { return inRegion0(from) != inRegion0(to) }
	n.run(3 * time.Minute)
	assert.Equal(t, len(n.removed), 0)
	assert.Equal(t, len(n.members), len(members))
}
