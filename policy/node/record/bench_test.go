package record

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/quorum"
)

func idAt(t time.Time, n uint64) model.RequestID {
	var id model.RequestID
	binary.BigEndian.PutUint64(id[:8], uint64(t.UnixMilli())<<16|0x7000)
	binary.BigEndian.PutUint64(id[8:], n)
	return id
}

// BenchmarkClaim measures one claim at a member that holds the given number of
// records, including the removal of the oldest record, and reports the memory
// of a record without an answer.
func BenchmarkClaim(b *testing.B) {
	for _, records := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			self := model.NodeID{Instance: "tally-1", Incarnation: 1}
			key := model.GroupKey{Region: "viti"}
			now := time.Unix(1_770_000_000, 0)
			voter := quorum.NewVoterState(self, rand.New(rand.NewPCG(1, 1)))
			voter.SetLogContact(now)
			voter.OnComposition(now, &model.GroupRecord{Region: "viti", Epoch: 1, Members: []model.Member{{NodeID: self}}})
			step := (MaxIDAge + MaxIDAhead) / time.Duration(records)
			n := uint64(0)
			store := NewStore(voter)
			claim := func() {
				n++
				now = now.Add(step)
				voter.SetLogContact(now)
				r := &ClaimRequest{
					Ballot: quorum.Ballot{Group: key, Epoch: 1, Voter: self},
					Key:    RequestKey{"herders", idAt(now, n)},
					Holder: Holder{Node: self, Call: model.CallID(n)},
					Target: self, Round: 1, Sequence: n,
				}
				if a := store.OnClaim(now, r); a.Vote != VoteYes {
					b.Fatalf("vote %d", a.Vote)
				}
				store.Tick(now)
			}
			before := heapBytes()
			for range records {
				claim()
			}
			used := heapBytes() - before
			for b.Loop() {
				claim()
			}
			b.ReportMetric(float64(used)/float64(records), "B/record")
			b.ReportMetric(float64(store.Len()), "records")
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
