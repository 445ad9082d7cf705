package membership

import (
	"fmt"
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
