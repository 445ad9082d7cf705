package quorum

import (
	"fmt"
	"testing"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

// BenchmarkRenewals reports the messages and bytes a second, each way
// counted once, that leases and probes of so many groups cost a region of 24
// nodes without any calls, in virtual time.
func BenchmarkRenewals(b *testing.B) {
	const nodes, window = 24, 10 * time.Second
	for _, groups := range []int{8, 64, 256} {
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) {
			for b.Loop() {
				config := &model.Snapshot{Customers: map[model.Customer]*model.CustomerConfig{}}
				config.Fleet.Groups = groups
				c := newCluster(1, nodes, 3, config, nil)
				c.run(10 * time.Second)
				clear(c.sent)
				c.bytes = 0
				c.run(window)
				total := 0
				for _, n := range c.sent {
					total += n
				}
				leases := c.sent["*tokenlease.PromiseRequest"] + c.sent["*tokenlease.PromiseAnswer"]
				b.ReportMetric(float64(leases)/window.Seconds(), "lease-msgs/s")
				b.ReportMetric(float64(total)/window.Seconds(), "msgs/s")
				b.ReportMetric(float64(c.bytes)/window.Seconds(), "B/s")
				b.ReportMetric(float64(c.bytes)/window.Seconds()/float64(groups), "B/s/group")
			}
		})
	}
}
