package configlog

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/logservice"
	"github.com/oleanderworks/oleanderworks/logservice/memlog"
	"github.com/oleanderworks/oleanderworks/model"
)

// Guards against nodes whose configurations differ after a random sequence of
// outages, partitions, restarts, concurrent publications and expired records. The
// invariant checker fails the test if the version of a document decreases.
func TestNodesConvergeAfterRandomFaults(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { randomFaults(t, seed) })
	}
}

func randomFaults(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 99))
	f := newFleet(t, 5*time.Minute)
	for i := range 6 {
		f.add(model.Zone(fmt.Sprint("zone-", i%3)))
	}
	f.publish(model.Publication{Amendments: zones("zone-0", "zone-1", "zone-2")})
	for range 60 {
		randomFault(f, rng)
		f.run(time.Duration(rng.IntN(20))*time.Second, 500*time.Millisecond)
	}
	f.log.SetFaults(memlog.Faults{})
	for _, n := range f.nodes {
		n.logUnreachable, n.isolated = false, false
	}
	f.run(2*time.Minute, 500*time.Millisecond)
	checkDocuments(t, f)
	// A refresh corrects a group whose first record was read after a gap.
	f.run(4*time.Minute, time.Second)
	key := model.GroupKey{Region: "viti", Group: 1}
	for _, n := range f.nodes {
		want, got := f.nodes[0].latestSnapshot.Groups[key], n.latestSnapshot.Groups[key]
		assert.Equal(t, len(want) > 0, len(got) > 0)
		if len(want) > 0 {
			assert.DeepEqual(t, got[len(got)-1].From, want[len(want)-1].From)
		}
	}
}

func checkDocuments(t *testing.T, f *fleet) {
	t.Helper()
	want := f.nodes[0].core.Configuration().Documents()
	for _, n := range f.nodes {
		assert.Assert(t, n.latestSnapshot != nil, "%s has no configuration", n.self.Instance)
		assert.Equal(t, len(n.core.pendingWithdrawals), 0)
		got := n.core.Configuration().Documents()
		assert.Equal(t, len(got), len(want))
		for name, doc := range want {
			assert.Equal(t, got[name].Version, doc.Version, "%s on %s", name, n.self.Instance)
			assert.Equal(t, string(got[name].Body), string(doc.Body), "%s on %s", name, n.self.Instance)
		}
	}
}

// randomFault injects a random fault or change. Node 0 has no faults of its own and
// can read the log whenever the log is up, so that it reads records before they
// expire.
func randomFault(f *fleet, rng *rand.Rand) {
	n := f.nodes[1+rng.IntN(len(f.nodes)-1)]
	switch rng.IntN(9) {
	case 0:
		n.logUnreachable = !n.logUnreachable
	case 1:
		n.isolated = !n.isolated
	case 2:
		f.restart(n)
	case 3:
		f.log.SetFaults(memlog.Faults{Down: rng.IntN(3) == 0})
	case 4:
		n.core.OnWithdrawRequest(f.now, model.HashKey(fmt.Sprint(rng.IntN(20))), func(Confirmation) {})
	case 5:
		r := model.GroupRecord{Region: "viti", Group: 1, Epoch: 1, From: time.Unix(rng.Int64N(1_000_000), 0)}
		if compositions := n.core.groups[model.GroupStream("viti")].Compositions(model.GroupKey{Region: "viti", Group: 1}); len(compositions) > 0 {
			r.Epoch = compositions[len(compositions)-1].Epoch + 1
		}
		f.append(n, model.GroupStream("viti"), "", r)
	default:
		var p model.Publication
		for range 1 + rng.IntN(3) {
			name := fmt.Sprint("c-", rng.IntN(6))
			base := n.core.Configuration().Document("customer/" + name).Version
			p.Amendments = append(p.Amendments, customer(name, base, float64(rng.IntN(1000))))
		}
		f.append(n, model.ConfigStream, "", withID(p, rng))
	}
}

func withID(p model.Publication, rng *rand.Rand) model.Publication {
	p.ID = fmt.Sprint("publication-", rng.Uint64())
	return p
}

// FuzzRecords guards against records that make a node panic, lower the version of a
// document, or create a document that a peer cannot adopt.
func FuzzRecords(f *testing.F) {
	seeds := []any{
		model.Publication{ID: "a", Amendments: []model.Amendment{customer("herders", 0, 1)}},
		model.Publication{ID: "b", Refresh: []model.Document{{Name: "customer/herders", Version: 3, Body: json.RawMessage(`{}`)}}},
		model.Publication{ID: "c", Withdraw: []string{model.HashKey("k").String(), "short"}},
		model.MemberRecord{ID: "d", Member: model.Member{Service: "tally"}},
		model.MemberRecord{ID: "f", Member: model.Member{NodeID: model.NodeID{Instance: "tally-9"}, PeerAddress: "10.0.0.9:7400"}},
		model.GroupRecord{ID: "e", Region: "viti", Epoch: 2},
	}
	for _, s := range seeds {
		raw, err := json.Marshal(s)
		assert.NilError(f, err)
		f.Add(raw, raw)
	}
	f.Add([]byte(`{"amendments":[{"document":"zone","base":18446744073709551615,"body":{}}]}`), []byte(`[]`))
	f.Add([]byte(`{"refresh":[{"name":"service/a","version":1}]}`), []byte(`{"id":"x","amendments":[{"document":"service/a","base":1}]}`))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		fl := newFleet(t, time.Hour)
		n := fl.add("suva")
		fl.run(time.Second, defaultStep)
		for i, body := range [][]byte{first, second, first} {
			for _, stream := range fl.streams {
				r := logservice.Record{Offset: n.core.nextOffset(stream), Body: body}
				page := logservice.Page{Records: []logservice.Record{r}, Retention: time.Hour}
				n.core.OnReadResult(fl.now, ReadResult{Stream: stream, SentAt: fl.now, Page: page})
			}
			assert.Equal(t, n.core.Configuration().NextOffset(), logservice.Offset(i+1))
		}
		n.core.Snapshot()
		set := n.core.Configuration().DocumentSet(fl.now)
		fresh := NewConfiguration("other", nil)
		assert.Assert(t, fresh.Adopt(fl.now, set))
		assert.Equal(t, fresh.Len(), n.core.Configuration().Len())
	})
}
