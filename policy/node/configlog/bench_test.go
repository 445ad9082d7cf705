package configlog

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/oleanderworks/oleanderworks/logservice"
	"github.com/oleanderworks/oleanderworks/model"
)

// benchSizes are the numbers of documents of a small fleet, a large fleet and the
// design size. For the last, benchDocument makes 2,000 services, 8,000 customers
// and 30,000 keys; the design size itself has 1,700 services.
var benchSizes = []int{1_000, 10_000, 40_000}

// benchDocument returns the i-th document. It mixes kinds about as the design size
// does: of 20 documents one is a service, four are customers and 15 are keys.
func benchDocument(i int) (string, any) {
	switch {
	case i%20 == 0:
		route := model.Route{Method: "GET", Prefix: "/tags", Class: "lookup", Idempotent: true, Timeout: model.Duration(2 * time.Second)}
		return fmt.Sprintf("service/s-%d", i), model.ServiceConfig{
			Name: "s", Slots: 120, Connections: 840, ColdFloor: 12, RampTime: model.Duration(time.Minute),
			Routes: []model.Route{route, route, route}, Calls: []model.Service{"archive", "registry"},
		}
	case i%20 < 5:
		return fmt.Sprintf("customer/c-%d", i), model.CustomerConfig{Name: "c", Rate: 100, Burst: 50, Weight: 1, Home: "viti", Owner: "a@b.example"}
	default:
		return keyDocumentName(model.HashKey(fmt.Sprint(i))), model.KeyConfig{Customer: "c-1"}
	}
}

func benchRecord(offset logservice.Offset, name string, base uint64, v any) logservice.Record {
	body, _ := json.Marshal(v)
	p := model.Publication{ID: uuid.NewString(), Author: "operator", Time: time.Unix(1_700_000_000, 0)}
	p.Amendments = []model.Amendment{{Document: name, Base: base, Body: body}}
	raw, _ := json.Marshal(p)
	return logservice.Record{ID: p.ID, Offset: offset, Body: raw}
}

func benchCore(b *testing.B, size int) (*Core, int) {
	b.Helper()
	now := time.Unix(1_700_000_000, 0)
	self := model.Member{NodeID: model.NodeID{Instance: "node-1"}}
	c := New(self, []string{model.ConfigStream}, rand.New(rand.NewPCG(1, 1)), nil)
	c.Tick(now)
	bytes := 0
	page := logservice.Page{Retention: 24 * time.Hour}
	for i := range size {
		name, v := benchDocument(i)
		r := benchRecord(logservice.Offset(i), name, 0, v)
		bytes += len(r.Body)
		page.Records = append(page.Records, r)
	}
	for len(page.Records) > 0 {
		n := min(len(page.Records), logservice.MaxPageRecords-1)
		part := page
		part.Records = page.Records[:n]
		c.OnReadResult(now, ReadResult{Stream: model.ConfigStream, SentAt: now, Page: part})
		page.Records = page.Records[n:]
	}
	if c.Snapshot() == nil {
		b.Fatal("no snapshot")
	}
	return c, bytes
}

// BenchmarkApplyDocument measures one change of a document: applying its record,
// decoding the document and building a snapshot.
func BenchmarkApplyDocument(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			c, logBytes := benchCore(b, size)
			runtime.GC()
			runtime.ReadMemStats(&after)
			now := time.Unix(1_700_000_000, 0)
			records := make([]logservice.Record, b.N)
			versions := make(map[int]uint64)
			for i := range records {
				at := i % size
				name, v := benchDocument(at)
				versions[at]++
				records[i] = benchRecord(logservice.Offset(size+i), name, versions[at], v)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range records {
				read := ReadResult{Stream: model.ConfigStream, SentAt: now}
				read.Page = logservice.Page{Records: records[i : i+1], Retention: 24 * time.Hour}
				c.OnReadResult(now, read)
				c.Actions()
				if c.Snapshot() == nil {
					b.Fatal("not accepted")
				}
			}
			b.ReportMetric(float64(logBytes)/float64(size), "record-B/doc")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size), "heap-B/doc")
		})
	}
}

// BenchmarkBuildSnapshotFromAllDocuments measures building a snapshot by decoding
// all documents, for comparison with decoding only the changed one.
func BenchmarkBuildSnapshotFromAllDocuments(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			c, _ := benchCore(b, size)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := model.NewSnapshot(1, c.Configuration().Documents()); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkTakeRefreshDue measures one check for documents that are due. A node
// makes at least 20 checks per retention period, see minRefreshChecksPerRetention.
func BenchmarkTakeRefreshDue(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			c, _ := benchCore(b, size)
			for b.Loop() {
				c.Configuration().TakeRefreshDue(time.Unix(1_700_000_000, 0), 24*time.Hour)
			}
		})
	}
}
