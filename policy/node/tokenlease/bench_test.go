package tokenlease

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

// heapBytes returns the heap bytes in use after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkGrant measures one request for 10 tokens that carries the report on
// the previous batch, at a grantor with the given number of customers, each
// used by 5 nodes.
func BenchmarkGrant(b *testing.B) {
	for _, customers := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			configs := make([]*model.CustomerConfig, customers)
			for i := range configs {
				configs[i] = &model.CustomerConfig{Name: model.Customer(fmt.Sprint("customer-", i)), Rate: 1000, Burst: 1000}
			}
			entryNodes := []model.Instance{"a-1", "a-2", "a-3", "a-4", "a-5"}
			now := time.Unix(1_770_000_000, 0)
			before := heapBytes()
			g := NewBuckets(now, 1, nil)
			now = now.Add(time.Second)
			g.SetLeaseEnd(now.Add(time.Hour))
			sequence := uint64(0)
			grant := func(i int) {
				sequence++
				r := &TokenRequest{Want: 10, Sequence: sequence}
				if sequence > uint64(customers) {
					r.Reports = []Report{{GrantID: sequence - uint64(customers), Used: 10}}
				}
				now = now.Add(time.Microsecond)
				g.Grant(now, configs[i%customers], entryNodes[i/customers%len(entryNodes)], r)
			}
			for i := range 5 * customers {
				grant(i)
			}
			used := heapBytes() - before
			i := 0
			for b.Loop() {
				grant(i)
				i++
			}
			b.ReportMetric(float64(used)/float64(customers), "B/customer")
			runtime.KeepAlive(g)
		})
	}
}
