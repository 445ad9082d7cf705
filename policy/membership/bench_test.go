package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/oleanderworks/oleanderworks/model"
)

// BenchmarkSecond is the membership policy's work in one second: a heartbeat
// of each peer and four ticks.
func BenchmarkSecond(b *testing.B) {
	for _, peers := range []int{10, 50, 110} {
		b.Run(fmt.Sprintf("peers=%d", peers), func(b *testing.B) {
			members := []model.Member{a}
			for i := range peers {
				members = append(members, member(fmt.Sprintf("peer-%d", i), []string{"suva", "nadi", "lautoka"}[i%3]))
			}
			c := newFleetCore(members...)
			now := epoch
			b.ReportAllocs()
			for b.Loop() {
				for _, m := range members[1:] {
					c.OnHeard(now, now, now, m)
				}
				for range 4 {
					now = now.Add(tickPeriod)
					c.Tick(now)
				}
				c.Actions()
			}
		})
	}
}

// BenchmarkRemovers counts the nodes that are first by rank for one lost node
// of a service of 11: members of the service, and nodes of other services
// that follow it. Each of them appends a leave unless it has seen another's.
func BenchmarkRemovers(b *testing.B) {
	for _, followers := range []int{0, 10, 50, 110} {
		b.Run(fmt.Sprintf("followers=%d", followers), func(b *testing.B) {
			first, lost := 0, 0
			for b.Loop() {
				first += firstRemovers(lost, followers)
				lost++
			}
			b.ReportMetric(float64(first)/float64(lost), "removers/loss")
		})
	}
}

func firstRemovers(lost, followers int) int {
	s := &model.Snapshot{Members: map[model.Service][]model.Member{}}
	for i := range 11 {
		m := member(fmt.Sprintf("lost-%d-%d", lost, i), []string{"suva", "nadi", "lautoka"}[i%3])
		s.Members[m.Service] = append(s.Members[m.Service], m)
	}
	service := s.Members[a.Service]
	nodes := append([]model.Member{}, service[1:]...)
	for i := range followers {
		m := member(fmt.Sprintf("follower-%d-%d", lost, i), "nadi")
		m.Service = "other"
		nodes = append(nodes, m)
	}
	first := 0
	for _, self := range nodes {
		c := New(self, rand.New(rand.NewPCG(1, 1)))
		c.OnSnapshot(epoch, s)
		if c.peers[service[0].Instance].rank() == 0 {
			first++
		}
	}
	return first
}
