package routing

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/oleanderworks/oleanderworks/model"
)

// BenchmarkSnapshot measures the time that the core takes to apply a new
// configuration, and the memory that it uses for each target.
func BenchmarkSnapshot(b *testing.B) {
	for _, targets := range []int{10, 110, 1_100} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			s := testSnapshot("tally")
			s.Members["tally"] = nil
			for i := range targets {
				zone := []model.Zone{"suva", "nadi", "lautoka"}[i%3]
				s.Members["tally"] = append(s.Members["tally"], model.Member{
					NodeID: model.NodeID{Instance: model.Instance(fmt.Sprint("tally-", i))}, Service: "tally", Zone: zone,
				})
			}
			n := newNode(b)
			before := heapAlloc()
			n.OnSnapshot(s)
			used := heapAlloc() - before
			for b.Loop() {
				n.OnSnapshot(s)
			}
			b.ReportMetric(float64(used)/float64(targets), "heap-B/target")
			runtime.KeepAlive(n)
		})
	}
}
