package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
)

const (
	few      = 14 // nodes of a small deployment
	many     = 82 // nodes of a grown one
	rate     = 171.0
	burst    = 171.0
	interval = 250 * time.Millisecond
	customer = model.Customer("herders")
)

// fleet plays one customer's requests at several nodes that report to each
// other.
type fleet struct {
	rng     *rand.Rand
	nodes   int
	told    int // accounts in reports
	ledgers []*Ledger
	now     time.Time
	admits  []time.Time
	asked   int
	busy    int // node at which half of the requests arrive; 0 for none
	homes   int // nodes at which requests arrive; 0 for all
}

func newFleet(seed uint64, nodes int, rate, burst float64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), nodes: nodes, now: time.Unix(1000, 0)}
	for i := range nodes {
		f.ledgers = append(f.ledgers, f.newLedger(i, rate, burst))
	}
	return f
}

func (f *fleet) newLedger(self int, rate, burst float64) *Ledger {
	l := New()
	var peers []model.Instance
	for p := range f.nodes {
		if p != self {
			peers = append(peers, instance(p))
		}
	}
	l.SetPeers(peers)
	l.SetLimit(f.now, customer, rate, burst)
	return l
}

func instance(i int) model.Instance { return model.Instance(fmt.Sprintf("n%d", i)) }

// play sends perSecond requests for a time, each to a random node.
func (f *fleet) play(length time.Duration, perSecond float64) {
	const step = 10 * time.Millisecond
	end := f.now.Add(length)
	for f.now.Before(end) {
		f.now = f.now.Add(step)
		for range poisson(f.rng, perSecond*step.Seconds()) {
			f.asked++
			node := f.rng.IntN(f.nodes)
			if f.homes > 0 {
				node %= f.homes
			}
			if f.busy > 0 && f.rng.IntN(2) == 0 {
				node = f.busy
			}
			if ok, _ := f.ledgers[node].Take(f.now, customer); ok {
				f.admits = append(f.admits, f.now)
			}
		}
		for i, l := range f.ledgers {
			elapsed := f.now.Sub(time.Unix(1000, 0)) + time.Duration(i)*interval/time.Duration(f.nodes)
			if elapsed/interval != (elapsed-step)/interval {
				f.report(i, l)
			}
		}
	}
}

func (f *fleet) report(i int, l *Ledger) {
	use := l.Report(f.now)
	f.told += len(use)
	for p, other := range f.ledgers {
		if p != i {
			other.OnReport(f.now, model.NodeID{Instance: instance(i), Incarnation: 1}, use)
		}
	}
}

func poisson(rng *rand.Rand, mean float64) int {
	n := 0
	for t := rng.ExpFloat64(); t < mean; t += rng.ExpFloat64() {
		n++
	}
	return n
}

// worst returns the largest number of admitted requests in 5 s.
func (f *fleet) worst() int {
	most, first := 0, 0
	for i, at := range f.admits {
		for at.Sub(f.admits[first]) > 5*time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against a customer that gets more than its rate and burst when its
// demand rises at all nodes at once.
func TestHotCustomerStaysWithinRate(t *testing.T) {
	for _, size := range []float64{rate, 40, 12} {
		for seed := range uint64(20) {
			f := newFleet(seed, few, size, size)
			f.play(5*time.Second, size/1.6)
			f.play(8*time.Second, size/1.6*8)
			limit := (size*5+size)*1.1 + 20
			assert.Assert(t, float64(f.worst()) <= limit, "rate %.0f, seed %d: %d requests in 5 s, limit %.0f", size, seed, f.worst(), limit)
		}
	}
}

// Guards against the same in a grown deployment, where what each node may have
// beyond its part adds up.
func TestHotCustomerOfManyNodes(t *testing.T) {
	for _, size := range []float64{350, 35, 12} {
		for seed := range uint64(5) {
			f := newFleet(seed, many, size, size)
			f.play(5*time.Second, size/1.6)
			f.play(8*time.Second, size/1.6*8)
			limit := (size*5+size)*1.1 + 20
			assert.Check(t, float64(f.worst()) <= limit, "rate %.0f, seed %d: %d requests in 5 s, limit %.0f", size, seed, f.worst(), limit)
		}
	}
}

// Guards against a customer of a grown deployment that is refused although it
// keeps to its rate, and against reports that tell each request to all nodes.
func TestCustomerOfManyNodesIsServed(t *testing.T) {
	for _, size := range []float64{350, 35, 12} {
		for seed := range uint64(6) {
			f := newFleet(seed, many, size, size)
			f.homes = []int{0, 3, 12}[seed%3]
			f.play(3*time.Second, size/1.6)
			asked, admitted, told := f.asked, len(f.admits), f.told
			f.play(20*time.Second, size/1.6)
			asked = f.asked - asked
			refused := float64(asked-len(f.admits)+admitted) / float64(asked)
			assert.Check(t, refused < 0.01, "rate %.0f, seed %d, callers at %d nodes: %.2f%% refused", size, seed, f.homes, 100*refused)
			share := float64(f.told-told) / float64(asked)
			assert.Check(t, share <= 1, "rate %.0f, seed %d: %.2f accounts reported for each request", size, seed, share)
		}
	}
}

// Guards against shares that sum to more than the rate while demand moves
// between nodes: a large customer whose callers repeat at some nodes first.
func TestMovingDemandStaysWithinRate(t *testing.T) {
	const size = 345.0 // the largest customer of a deployment
	for seed := range uint64(60) {
		f := newFleet(seed, few, size, size)
		f.play(5*time.Second, size/1.6)
		for range 14 {
			f.busy = f.rng.IntN(f.nodes)
			f.play(400*time.Millisecond, size*5)
		}
		limit := (size*5+size)*1.1 + 20
		assert.Assert(t, float64(f.worst()) <= limit, "seed %d: %d requests in 5 s, limit %.0f", seed, f.worst(), limit)
	}
}

// Guards against refusals of customers that keep to their rate, large and
// small ones.
func TestCustomerWithinRateIsServed(t *testing.T) {
	for _, size := range []float64{171, 40, 12} {
		for seed := range uint64(10) {
			f := newFleet(seed, few, size, size)
			f.play(2*time.Second, size/1.6) // the start is judged apart
			asked, admitted := f.asked, len(f.admits)
			f.play(20*time.Second, size/1.6)
			refused := float64(f.asked-asked-len(f.admits)+admitted) / float64(f.asked-asked)
			assert.Assert(t, refused < 0.01, "rate %.0f, seed %d: %.2f%% refused", size, seed, 100*refused)
		}
	}
}

// Guards against a restart of all nodes that grants the burst twice.
func TestRestartOfAllNodes(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(seed, few, rate, burst)
		f.play(3*time.Second, rate/1.6)
		f.play(2*time.Second, rate*3)
		for i := range f.ledgers {
			f.ledgers[i] = f.newLedger(i, rate, burst)
		}
		f.play(5*time.Second, rate*3)
		limit := (rate*5+burst)*1.1 + 20
		assert.Assert(t, float64(f.worst()) <= limit, "seed %d: %d requests in 5 s, limit %.0f", seed, f.worst(), limit)
	}
}

// Guards against a customer of a grown deployment that is refused for long after
// a restart of all nodes.
func TestCustomerIsServedAfterRestart(t *testing.T) {
	for _, size := range []float64{350, 60, 35, 12} {
		for seed := range uint64(6) {
			f := newFleet(seed, many, size, size)
			f.homes = []int{0, 3, 12}[seed%3]
			f.play(3*time.Second, size/1.6)
			for i := range f.ledgers {
				f.ledgers[i] = f.newLedger(i, size, size)
			}
			f.play(2*time.Second, size)
			f.play(4*time.Second, size/1.6)
			asked, admitted := f.asked, len(f.admits)
			f.play(10*time.Second, size/1.6)
			refused := float64(f.asked-asked-len(f.admits)+admitted) / float64(f.asked-asked)
			assert.Check(t, refused < 0.02, "rate %.0f, seed %d, callers at %d nodes: %.2f%% refused", size, seed, f.homes, 100*refused)
		}
	}
}

// Guards against the whole use of a peer so far being taken for recent by a node
// that starts later or has lost its links, which then refuses the customer.
func TestUseBeforeTheFirstReportIsPast(t *testing.T) {
	now := time.Unix(1000, 0)
	l := New()
	l.SetLimit(now, customer, rate, burst)
	now = now.Add(10 * time.Second)
	peer := model.NodeID{Instance: instance(1), Incarnation: 1}
	l.SetPeers([]model.Instance{peer.Instance})
	l.OnReport(now, peer, []model.CustomerUsage{{Customer: "others", Admitted: 9}})
	l.OnReport(now, peer, []model.CustomerUsage{{Customer: customer, Admitted: 5000, Demand: 20}})
	assert.Assert(t, l.accounts[customer].fleet > burst/2, l.Describe(customer))
	l.OnReport(now, peer, []model.CustomerUsage{{Customer: customer, Admitted: 5100, Demand: 20}})
	assert.Assert(t, l.accounts[customer].fleet < burst/2, l.Describe(customer))
}
