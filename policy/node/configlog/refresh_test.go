package configlog

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/logservice"
	"github.com/oleanderworks/oleanderworks/model"
)

// Guards against losing documents, members and groups when their records expire
// from the log.
func TestRefreshKeepsStatePastRetention(t *testing.T) {
	f := newFleet(t, 10*time.Minute)
	for range 3 {
		f.add("suva")
	}
	f.publish(model.Publication{Amendments: []model.Amendment{customer("herders", 0, 1), customer("export", 0, 2)}})
	for _, n := range f.nodes {
		f.append(n, model.MemberStream("tally"), uuid.NewString(), model.MemberRecord{Member: n.self})
	}
	f.append(f.nodes[0], model.GroupStream("viti"), uuid.NewString(), model.GroupRecord{Region: "viti", Group: 1, Epoch: 1})
	f.run(35*time.Minute, time.Second)
	page, err := f.log.Read(context.Background(), model.ConfigStream, 0, logservice.ReadOptions{})
	assert.NilError(t, err)
	assert.Assert(t, page.Oldest > 0, "the first record is still kept")
	for _, n := range f.nodes {
		n.isolated = true
	}
	newcomer := f.add("suva")
	newcomer.isolated = true
	f.run(10*time.Second, defaultStep)
	assert.Equal(t, newcomer.rate("herders"), 1.0)
	assert.Equal(t, newcomer.rate("export"), 2.0)
	assert.Equal(t, len(newcomer.latestSnapshot.Members["tally"]), 3)
	assert.Equal(t, len(newcomer.latestSnapshot.Groups[model.GroupKey{Region: "viti", Group: 1}]), 1)
	t.Logf("%d appends in 35 min with a retention of 10 min", f.log.Appends())
}

// Guards against many of thousands of nodes appending the same refresh. The test
// assumes that the other nodes see an append after 2 s.
func TestRefreshDelaysLimitDuplicateAppends(t *testing.T) {
	const nodes, retention, propagation = 19_000, time.Hour, 2 * time.Second
	appends := 0
	for document := range 20 {
		first, due := time.Duration(1<<62), make([]time.Duration, nodes)
		for i := range nodes {
			d := documentWithDelay(i, document)
			due[i] = d.refreshDueAt(retention).Sub(d.appendedAt)
			first = min(first, due[i])
		}
		assert.Assert(t, first >= retention*6/10 && first < retention*7/10)
		for _, d := range due {
			if d < first+propagation {
				appends++
			}
		}
	}
	t.Logf("%d appends for 20 documents by %d nodes", appends, nodes)
	assert.Assert(t, appends <= 40, "%d appends for 20 documents", appends)
}

func documentWithDelay(node, name int) *document {
	delay := appendDelayFraction(model.Instance(fmt.Sprint("node-", node)), fmt.Sprint("customer/c-", name))
	return &document{appendedAt: time.Unix(0, 0), delayFraction: delay}
}

// Guards against many of 2,000 nodes appending the same refresh when 20 documents
// become due at the same time. One record can hold all of them. With steps of 5 s,
// the other nodes see it 5 to 10 s later.
func TestRefreshBy2000CoresTakesFewAppends(t *testing.T) {
	const retention = time.Hour
	f := newFleet(t, retention)
	f.streams = f.streams[:1]
	for range 2000 {
		f.add("suva").isolated = true
	}
	p := model.Publication{}
	for i := range 20 {
		p.Amendments = append(p.Amendments, customer(fmt.Sprint("c-", i), 0, 1))
	}
	f.publish(p)
	f.run(35*time.Minute, time.Minute)
	assert.Equal(t, f.log.Appends(), int64(1))
	f.run(8*time.Minute, 5*time.Second)
	refreshes := f.log.Appends() - 1
	t.Logf("%d refresh records for 20 documents by 2,000 nodes", refreshes)
	assert.Assert(t, refreshes >= 1 && refreshes <= 5, "%d refreshes", refreshes)
	for name, d := range f.nodes[0].core.config.documents {
		assert.Assert(t, f.now.Sub(d.appendedAt) < 10*time.Minute, "%s was not refreshed", name)
	}
}

// Guards against more refresh records than changes on a day. The load is a
// twentieth of the design size: 2,000 documents and 650 of 13,000 changes a day,
// with a retention of 24 h.
func TestAppendsPerDay(t *testing.T) {
	f := newFleet(t, 24*time.Hour)
	f.streams = f.streams[:1]
	for range 4 {
		f.add("suva").isolated = true
	}
	versions := make([]uint64, 2000)
	change := func(i int) model.Amendment {
		versions[i]++
		return customer(fmt.Sprint("c-", i), versions[i]-1, 1)
	}
	p := model.Publication{}
	for i := range versions {
		p.Amendments = append(p.Amendments, change(i))
	}
	f.publish(p)
	day := func() int64 {
		before := f.log.Appends()
		for range 650 {
			f.publish(model.Publication{Amendments: []model.Amendment{change(f.rng.IntN(len(versions)))}})
			f.run(24*time.Hour/650, 30*time.Second)
		}
		return f.log.Appends() - before
	}
	day()
	day()
	appends := day()
	t.Logf("third day: %d appends, of them 650 changes", appends)
	assert.Assert(t, appends >= 650 && appends < 2*650)
}
