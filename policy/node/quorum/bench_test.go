package quorum

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// benchRegionNodes and benchFollowedNodes describe a region of the design
	// size: its nodes, and how many of them belong to the services that one node
	// follows.
	benchRegionNodes   = 3_800
	benchFollowedNodes = 110
	benchZones         = 4
)

func benchMember(i int) model.Member {
	return model.Member{
		NodeID:  model.NodeID{Instance: model.Instance(fmt.Sprint("node-", i)), Incarnation: 1},
		Service: model.Service(fmt.Sprint("service-", i/11)), Region: "viti",
		Zone: model.Zone(fmt.Sprint("zone-", i%benchZones)),
	}
}

// benchGroups returns the snapshot of node 0, which contains the members of
// the services it follows and all groups of the region.
func benchGroups(groups int) *model.Snapshot {
	s := &model.Snapshot{
		Members: map[model.Service][]model.Member{},
		Groups:  map[model.GroupKey][]model.GroupRecord{},
	}
	s.Fleet.Groups = groups
	rng := rand.New(rand.NewPCG(1, uint64(groups)))
	for i := range benchFollowedNodes {
		m := benchMember(i)
		s.Members[m.Service] = append(s.Members[m.Service], m)
	}
	for g := range groups {
		key := model.GroupKey{Region: "viti", Group: g}
		r := model.GroupRecord{Region: "viti", Group: g, Epoch: 1}
		for zone := range GroupSize {
			i := rng.IntN(benchRegionNodes/benchZones)*benchZones + zone
			r.Members = append(r.Members, benchMember(i))
		}
		s.Groups[key] = []model.GroupRecord{r}
	}
	return s
}

// BenchmarkSnapshot measures how long the composer of a node takes to apply a
// new configuration. It also reports the number of instances in the groups,
// which every node of the region has as peers, and the number of groups that a
// node watches from outside if all nodes see the same services.
func BenchmarkSnapshot(b *testing.B) {
	for _, groups := range []int{8, 64, 256} {
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) {
			s := benchGroups(groups)
			now := time.Unix(1_770_000_000, 0)
			self := benchMember(0)
			before := heapBytes()
			voter := NewVoterState(self.NodeID, rand.New(rand.NewPCG(1, 1)))
			c := NewComposer(self, voter, uuid.NewString)
			c.OnSnapshot(now, s, NewDirectory("viti", s))
			used := heapBytes() - before
			for b.Loop() {
				c.OnSnapshot(now, s, NewDirectory("viti", s))
			}
			instances, watched := map[model.Instance]bool{}, 0
			for _, g := range c.sortedGroups {
				for _, m := range g.current.Members {
					instances[m.Instance] = true
				}
				for i := range benchFollowedNodes {
					c.self = benchMember(i)
					if g.computeWatcherRank(g.current) >= len(g.current.Members) {
						watched++
					}
				}
			}
			b.ReportMetric(float64(used)/float64(groups), "heap-B/group")
			b.ReportMetric(float64(len(instances)), "named")
			b.ReportMetric(float64(watched)/benchFollowedNodes, "watched/node")
			runtime.KeepAlive(c)
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
