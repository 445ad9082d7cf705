package configlog

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/oleanderworks/oleanderworks/logservice"
	"github.com/oleanderworks/oleanderworks/model"
)

func joinRecord(offset, i int, incarnation uint64) logservice.Record {
	r := model.MemberRecord{ID: uuid.NewString(), Time: time.Unix(1_700_000_000, 0), Member: model.Member{
		NodeID:  model.NodeID{Instance: model.Instance(fmt.Sprint("node-", i)), Incarnation: model.Incarnation(incarnation)},
		Service: "registry", Zone: "lautoka", Region: "viti", PeerAddress: "10.10.10.10:7400",
	}}
	body, _ := json.Marshal(r)
	return logservice.Record{ID: r.ID, Offset: logservice.Offset(offset), Body: body}
}

// BenchmarkApplyMember measures one join in a service with the given number of
// members, and reports the bytes of its record and the memory per member.
func BenchmarkApplyMember(b *testing.B) {
	for _, members := range []int{11, 110, 1_100} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			now := time.Unix(1_700_000_000, 0)
			before := heapAfterGC()
			m := NewMembers()
			for i := range members {
				_, _ = m.Apply(joinRecord(i, i, 1), now)
			}
			used := heapAfterGC() - before
			next := members
			records := make([]logservice.Record, 256)
			for i := range records {
				records[i] = joinRecord(i, i%members, uint64(i+2))
			}
			for b.Loop() {
				_, _ = m.Apply(records[next%len(records)], now)
				next++
			}
			b.ReportMetric(float64(len(records[0].Body)), "record-B")
			b.ReportMetric(float64(used)/float64(members), "heap-B/member")
			runtime.KeepAlive(m)
		})
	}
}

func heapAfterGC() int64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}
