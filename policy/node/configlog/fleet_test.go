package configlog

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/core/invariant"
	"github.com/oleanderworks/oleanderworks/logservice"
	"github.com/oleanderworks/oleanderworks/logservice/memlog"
	"github.com/oleanderworks/oleanderworks/model"
)

// fleet runs cores in virtual time against one log. A node handles messages and
// read results in its next step. A read result shows the log at the time of the
// request.
type fleet struct {
	t              *testing.T
	now            time.Time
	log            *memlog.Log
	nodes          []*testNode
	nodeByInstance map[model.Instance]*testNode
	rng            *rand.Rand
	sends          int

	streams []string // that new nodes follow
}

type testNode struct {
	core           *Core
	self           model.Member
	logUnreachable bool // cannot reach the log
	isolated       bool // has no links to peers
	inbox          []func(now time.Time)
	latestSnapshot *model.Snapshot
	notices        []*Notice
}

func newFleet(t *testing.T, retention time.Duration) *fleet {
	f := &fleet{t: t, now: time.Unix(1_700_000_000, 0), nodeByInstance: make(map[model.Instance]*testNode)}
	f.rng = rand.New(rand.NewPCG(1, 2))
	f.streams = []string{model.ConfigStream, model.MemberStream("tally"), model.GroupStream("viti")}
	f.log = memlog.New(func() time.Time { return f.now }, retention)
	return f
}

func (f *fleet) add(zone model.Zone) *testNode {
	name := model.Instance(fmt.Sprintf("node-%d", len(f.nodes)))
	self := model.Member{NodeID: model.NodeID{Instance: name, Incarnation: 1}, Service: "tally", Zone: zone, Region: "viti",
		PeerAddress: fmt.Sprintf("10.0.0.%d:7400", len(f.nodes)+1)}
	checker := invariant.New(event.Discard(), func(name, detail string) { f.t.Errorf("%s: %s", name, detail) })
	n := &testNode{self: self, core: New(self, f.streams, rand.New(rand.NewPCG(uint64(len(f.nodes)), 7)), checker)}
	f.nodes = append(f.nodes, n)
	f.nodeByInstance[name] = n
	return n
}

func (f *fleet) restart(n *testNode) {
	checker := invariant.New(event.Discard(), func(name, detail string) { f.t.Errorf("%s: %s", name, detail) })
	n.self.Incarnation++
	n.core = New(n.self, f.streams, f.rng, checker)
	n.inbox, n.latestSnapshot, n.notices = nil, nil, nil
}

// run advances the virtual time in steps.
func (f *fleet) run(d, step time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(step)
		for _, n := range f.nodes {
			f.step(n)
		}
	}
}

func (f *fleet) step(n *testNode) {
	n.core.SetPeers(f.peers(n))
	inbox := n.inbox
	n.inbox = nil
	for _, deliver := range inbox {
		deliver(f.now)
	}
	n.core.Tick(f.now)
	for _, a := range n.core.Actions() {
		f.perform(n, a)
	}
	if s := n.core.Snapshot(); s != nil {
		n.latestSnapshot = s
	}
}

func (f *fleet) peers(n *testNode) []model.Instance {
	if n.isolated {
		return nil
	}
	var out []model.Instance
	for _, other := range f.nodes {
		if other != n && !other.isolated {
			out = append(out, other.self.Instance)
		}
	}
	return out
}

func (f *fleet) perform(n *testNode, a Action) {
	switch a := a.(type) {
	case *ReadLog:
		f.read(n, a)
	case *Append:
		id := uuid.NewString()
		switch {
		case a.Publication != nil:
			a.Publication.ID = id
			f.append(n, a.Stream, id, a.Publication)
		case a.Member != nil:
			f.append(n, a.Stream, id, a.Member)
		case a.Group != nil:
			f.append(n, a.Stream, id, a.Group)
		}
	case *Send:
		f.send(n, a)
	case *Notice:
		n.notices = append(n.notices, a)
	}
}

func (f *fleet) read(n *testNode, a *ReadLog) {
	page, err := f.log.Read(context.Background(), a.Stream, a.From, logservice.ReadOptions{})
	core, started := n.core, f.now
	n.inbox = append(n.inbox, func(now time.Time) {
		if err != nil || n.logUnreachable {
			core.OnReadFailed(now, a.Stream)
			return
		}
		core.OnReadResult(now, ReadResult{Stream: a.Stream, From: a.From, SentAt: started, Page: page})
	})
}

func (f *fleet) append(n *testNode, stream, id string, record any) {
	body, err := json.Marshal(record)
	assert.NilError(f.t, err)
	if !n.logUnreachable {
		_, _ = f.log.Append(context.Background(), stream, id, body)
	}
}

func (f *fleet) send(n *testNode, a *Send) {
	to := f.nodeByInstance[a.To]
	if to.isolated || n.isolated {
		return
	}
	f.sends++
	from := n.self
	to.inbox = append(to.inbox, func(now time.Time) {
		switch {
		case a.Request != nil:
			to.core.OnRequest(now, from, a.Request)
		case a.Answer != nil:
			to.core.OnAnswer(now, from, a.Answer)
		default:
			to.core.OnWithdrawals(now, from, a.Withdrawals)
		}
	})
}

func (f *fleet) publish(p model.Publication) {
	f.t.Helper()
	if p.ID == "" {
		p.ID = uuid.NewString()
	}
	body, err := json.Marshal(p)
	assert.NilError(f.t, err)
	_, err = f.log.Append(context.Background(), model.ConfigStream, p.ID, body)
	assert.NilError(f.t, err)
}

func customer(name string, base uint64, rate float64) model.Amendment {
	body, _ := json.Marshal(model.CustomerConfig{Name: model.Customer(name), Rate: rate})
	return model.Amendment{Document: "customer/" + name, Base: base, Body: body}
}

func zones(names ...string) []model.Amendment {
	var out []model.Amendment
	for _, name := range names {
		out = append(out, model.Amendment{Document: "zone/" + name, Body: json.RawMessage(`{}`)})
	}
	return out
}

func (n *testNode) rate(c model.Customer) float64 {
	if n.latestSnapshot == nil || n.latestSnapshot.Customers[c] == nil {
		return -1
	}
	return n.latestSnapshot.Customers[c].Rate
}

const defaultStep = 100 * time.Millisecond
