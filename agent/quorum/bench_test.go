package quorum

import (
	"fmt"
	"testing"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

// BenchmarkRenewals reports the messages and bytes per second of virtual time
// that lease renewals and probes cost in a region of 24 nodes without any calls,
// for several numbers of groups. A request and its answer count as two messages.
// lease-msgs/s counts only requests and answers of lease promises, for all groups
// together.
func BenchmarkRenewals(b *testing.B) {
	const nodes, window = 24, 10 * time.Second
	for _, groups := range []int{8, 64, 256} {
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) {
			for b.Loop() {
				config := &model.Snapshot{Customers: map[model.Customer]*model.CustomerConfig{}}
				config.Fleet.Groups = groups
				c := newCluster(1, nodes, 3, config, nil)
				c.run(10 * time.Second)
				clear(c.sentByType)
				c.sentBytes = 0
				c.run(window)
				total := 0
				for _, n := range c.sentByType {
					total += n
				}
				leases := c.sentByType["*tokenlease.PromiseRequest"] + c.sentByType["*tokenlease.PromiseAnswer"]
				b.ReportMetric(float64(leases)/window.Seconds(), "lease-msgs/s")
				b.ReportMetric(float64(total)/window.Seconds(), "msgs/s")
				b.ReportMetric(float64(c.sentBytes)/window.Seconds(), "B/s")
				b.ReportMetric(float64(c.sentBytes)/window.Seconds()/float64(groups), "B/s/group")
			}
		})
	}
}
