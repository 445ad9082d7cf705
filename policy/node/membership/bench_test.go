package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

// BenchmarkOneSecond measures the work of the membership policy in one second of
// operation: a heartbeat from each peer and four ticks.
func BenchmarkOneSecond(b *testing.B) {
	for _, peers := range []int{10, 50, 110} {
		b.Run(fmt.Sprintf("peers=%d", peers), func(b *testing.B) {
			members := []model.Member{memberA}
			for i := range peers {
				members = append(members, member(fmt.Sprintf("peer-%d", i), []string{"suva", "nadi", "lautoka"}[i%3]))
			}
			c := newFleetCore(members...)
			now := startTime
			b.ReportAllocs()
			for b.Loop() {
				for _, m := range members[1:] {
					c.OnHeartbeat(now, now, now, m)
				}
				for range 4 {
					now = now.Add(tickInterval)
					c.Tick(now)
				}
				c.Actions()
			}
		})
	}
}

// BenchmarkFirstRankedRemovers counts the nodes that rank first as removers of a
// lost node. The lost node's service has 11 members, and nodes of other services
// follow it. Each of the counted nodes appends a leave record unless it has seen
// one.
func BenchmarkFirstRankedRemovers(b *testing.B) {
	for _, followers := range []int{0, 10, 50, 110} {
		b.Run(fmt.Sprintf("followers=%d", followers), func(b *testing.B) {
			first, lost := 0, 0
			for b.Loop() {
				first += countFirstRemovers(lost, followers)
				lost++
			}
			b.ReportMetric(float64(first)/float64(lost), "removers/loss")
		})
	}
}

func countFirstRemovers(lost, followers int) int {
	s := &model.Snapshot{Members: map[model.Service][]model.Member{}}
	for i := range 11 {
		m := member(fmt.Sprintf("lost-%d-%d", lost, i), []string{"suva", "nadi", "lautoka"}[i%3])
		s.Members[m.Service] = append(s.Members[m.Service], m)
	}
	service := s.Members[memberA.Service]
	nodes := append([]model.Member{}, service[1:]...)
	for i := range followers {
		m := member(fmt.Sprintf("follower-%d-%d", lost, i), "nadi")
		m.Service = "other"
		nodes = append(nodes, m)
	}
	first := 0
	for _, self := range nodes {
		c := New(self, rand.New(rand.NewPCG(1, 1)))
		c.OnSnapshot(startTime, s)
		if c.peers[service[0].Instance].removerRank() == 0 {
			first++
		}
	}
	return first
}

// BenchmarkRegionPartition reports how often a node is removed, and the smallest
// share of nodes that remain members, while one of five regions is partitioned from
// the others for three minutes and all nodes can reach the log. Each removal takes
// an append, and so does the later join. The log answers at once, so that no removal
// is appended twice.
func BenchmarkRegionPartition(b *testing.B) {
	for _, nodesPerZone := range []int{1, 2, 4} {
		b.Run(fmt.Sprintf("nodes=%d", 15*nodesPerZone), func(b *testing.B) {
			for b.Loop() {
				members := fleetMembers(15, nodesPerZone)
				for i := range members {
					members[i].Region = model.Region(fmt.Sprint("region-", i/nodesPerZone/3))
				}
				n := newNetwork(members)
				n.run(5 * time.Second)
				inRegion0 := func(i model.Instance) bool { return n.cores[i].self.Region == "region-0" }
				n.isCut = func(from, to model.Instance) bool { return inRegion0(from) != inRegion0(to) }
				fewest := len(members)
				for range 180 {
					n.run(time.Second)
					fewest = min(fewest, len(n.members))
				}
				removedInRegion0 := 0
				for _, r := range n.removed {
					if r.Member.Region == "region-0" {
						removedInRegion0++
					}
				}
				b.ReportMetric(float64(removedInRegion0)/float64(3*nodesPerZone), "removals/node-cut-off")
				b.ReportMetric(float64(len(n.removed)-removedInRegion0)/float64(12*nodesPerZone), "removals/other-node")
				b.ReportMetric(float64(fewest)/float64(len(members)), "listed-at-worst")
			}
		})
	}
}

// BenchmarkSuspicionReports counts the suspicion reports that a node sends in the
// 36 s after the loss of an availability zone with the given number of peers, which
// covers the 30 s before their removal. Each report is sent on all links of the
// node.
func BenchmarkSuspicionReports(b *testing.B) {
	for _, lost := range []int{6, 30, 186} {
		b.Run(fmt.Sprintf("lost=%d", lost), func(b *testing.B) {
			members := []model.Member{memberA, member("live-1", "nadi"), member("live-2", "lautoka")}
			for i := range lost {
				members = append(members, member(fmt.Sprint("lost-", i), "suva"))
			}
			for b.Loop() {
				c, reports := newFleetCore(members...), 0
				for now := startTime; now.Before(startTime.Add(36 * time.Second)); now = now.Add(tickInterval) {
					c.OnHeartbeat(now, now, now, members[1])
					c.OnHeartbeat(now, now, now, members[2])
					c.Tick(now)
					for _, action := range c.Actions() {
						switch action.Kind {
						case ReportSuspect:
							reports++
						case RequestProbe:
							c.OnProbeAnswer(now, action.ProbeID, false)
						}
					}
				}
				b.ReportMetric(float64(reports)/float64(lost), "reports/lost-peer")
			}
		})
	}
}
