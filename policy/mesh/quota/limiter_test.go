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
	smallFleet     = 14    // number of nodes of a small deployment
	largeFleet     = 82    // number of nodes of a large one
	rate           = 171.0 // requests per second
	burst          = 171.0 // requests
	reportInterval = 250 * time.Millisecond
	customer       = model.Customer("herders")
)

// fleet simulates the requests of one customer at several nodes that report their usage
// to each other.
type fleet struct {
	rng          *rand.Rand
	nodes        int
	usageEntries int // usage entries in all reports
	limiters     []*Limiter
	now          time.Time
	admittedAt   []time.Time
	requests     int
	busyNode     int // index of a node that gets half of the requests; 0 means that there is no such node
	entryNodes   int // number of nodes at which requests arrive; 0 for all

	reportDelay     time.Duration // from the count of a node's usage to its arrival at the others
	reportsOnTheWay []sentReport
}

type sentReport struct {
	arrival time.Time
	node    int
	usage   []model.CustomerUsage
}

func newFleet(seed uint64, nodes int, rate, burst float64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), nodes: nodes, now: time.Unix(1000, 0)}
	for i := range nodes {
		f.limiters = append(f.limiters, f.newLimiter(i, rate, burst))
	}
	return f
}

func (f *fleet) newLimiter(self int, rate, burst float64) *Limiter {
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

// run simulates perSecond requests per second for a duration, each at a random node.
func (f *fleet) run(duration time.Duration, perSecond float64) {
	const step = 10 * time.Millisecond
	end := f.now.Add(duration)
	for f.now.Before(end) {
		f.now = f.now.Add(step)
		f.deliverReports()
		for range poisson(f.rng, perSecond*step.Seconds()) {
			f.requests++
			node := f.rng.IntN(f.nodes)
			if f.entryNodes > 0 {
				node %= f.entryNodes
			}
			if f.busyNode > 0 && f.rng.IntN(2) == 0 {
				node = f.busyNode
			}
			grant, _ := f.limiters[node].Take(f.now, customer)
			if grant != Refused {
				f.admittedAt = append(f.admittedAt, f.now)
			}
		}
		for i, l := range f.limiters {
			elapsed := f.now.Sub(time.Unix(1000, 0)) + time.Duration(i)*reportInterval/time.Duration(f.nodes)
			if elapsed/reportInterval != (elapsed-step)/reportInterval {
				f.report(i, l)
			}
		}
	}
}

func (f *fleet) report(i int, l *Limiter) {
	usage := l.UsageToReport(f.now)
	f.usageEntries += len(usage)
	f.reportsOnTheWay = append(f.reportsOnTheWay, sentReport{f.now.Add(f.reportDelay), i, usage})
	if f.reportDelay == 0 {
		f.deliverReports()
	}
}

func (f *fleet) deliverReports() {
	for len(f.reportsOnTheWay) > 0 && !f.reportsOnTheWay[0].arrival.After(f.now) {
		r := f.reportsOnTheWay[0]
		f.reportsOnTheWay = f.reportsOnTheWay[1:]
		for p, other := range f.limiters {
			if p != r.node {
				other.OnUsage(f.now, model.NodeID{Instance: instance(r.node), Incarnation: 1}, r.usage)
			}
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

// maxAdmittedIn5s returns the largest number of requests admitted in 5 s.
func (f *fleet) maxAdmittedIn5s() int {
	largest, first := 0, 0
	for i, at := range f.admittedAt {
		for at.Sub(f.admittedAt[first]) > 5*time.Second {
			first++
		}
		largest = max(largest, i-first+1)
	}
	return largest
}

// Guards against exceeding the operators' limit when a customer's demand rises at all
// nodes at the same time. The limit for any 5 s is the rate times 5 s plus the burst, plus
// 10% and 20 requests. The normal load in these tests is 1/1.6 of the rate; here it
// increases by a factor of eight.
func TestSurgeStaysWithinRate(t *testing.T) {
	for _, customerRate := range []float64{rate, 40, 12} {
		for seed := range uint64(20) {
			f := newFleet(seed, smallFleet, customerRate, customerRate)
			f.run(5*time.Second, customerRate/1.6)
			f.run(8*time.Second, customerRate/1.6*8)
			limit := (customerRate*5+customerRate)*1.1 + 20
			assert.Assert(t, float64(f.maxAdmittedIn5s()) <= limit, "rate %.0f, seed %d: %d requests in 5 s, limit %.0f", customerRate, seed, f.maxAdmittedIn5s(), limit)
		}
	}
}

// Guards against exceeding the operators' limit in a fleet of many nodes, because of the
// requests that each node may admit beyond its share.
func TestSurgeAtManyNodesStaysWithinRate(t *testing.T) {
	for _, customerRate := range []float64{350, 35, 12} {
		for seed := range uint64(5) {
			f := newFleet(seed, largeFleet, customerRate, customerRate)
			f.run(5*time.Second, customerRate/1.6)
			f.run(8*time.Second, customerRate/1.6*8)
			limit := (customerRate*5+customerRate)*1.1 + 20
			assert.Check(t, float64(f.maxAdmittedIn5s()) <= limit, "rate %.0f, seed %d: %d requests in 5 s, limit %.0f", customerRate, seed, f.maxAdmittedIn5s(), limit)
		}
	}
}

// Guards against refusing requests of a customer that stays within its rate in a large
// deployment, and against sending more than one usage entry per request.
func TestCustomerWithinRateAtManyNodesIsServed(t *testing.T) {
	for _, customerRate := range []float64{350, 35, 12} {
		for seed := range uint64(6) {
			f := newFleet(seed, largeFleet, customerRate, customerRate)
			f.entryNodes = []int{0, 3, 12}[seed%3]
			f.run(3*time.Second, customerRate/1.6)
			requests, admitted, entriesBefore := f.requests, len(f.admittedAt), f.usageEntries
			f.run(20*time.Second, customerRate/1.6)
			requests = f.requests - requests
			refused := float64(requests-len(f.admittedAt)+admitted) / float64(requests)
			assert.Check(t, refused < 0.01, "rate %.0f, seed %d, callers at %d nodes: %.2f%% refused", customerRate, seed, f.entryNodes, 100*refused)
			entriesPerRequest := float64(f.usageEntries-entriesBefore) / float64(requests)
			assert.Check(t, entriesPerRequest <= 1, "rate %.0f, seed %d: %.2f usage entries reported for each request", customerRate, seed, entriesPerRequest)
		}
	}
}

// Guards against exceeding the operators' limit while demand moves between nodes, when
// the shares may add up to more than one, for example because the callers of a large
// customer retry at a few nodes first.
func TestMovingDemandStaysWithinRate(t *testing.T) {
	const customerRate = 345.0 // rate of the largest customer of a deployment
	for seed := range uint64(60) {
		f := newFleet(seed, smallFleet, customerRate, customerRate)
		f.run(5*time.Second, customerRate/1.6)
		for range 14 {
			f.busyNode = f.rng.IntN(f.nodes)
			f.run(400*time.Millisecond, customerRate*5)
		}
		limit := (customerRate*5+customerRate)*1.1 + 20
		assert.Assert(t, float64(f.maxAdmittedIn5s()) <= limit, "seed %d: %d requests in 5 s, limit %.0f", seed, f.maxAdmittedIn5s(), limit)
	}
}

// Guards against refusing requests of customers that stay within their rate, whether the
// rate is high or low.
func TestCustomerWithinRateIsServed(t *testing.T) {
	for _, customerRate := range []float64{171, 40, 12} {
		for seed := range uint64(10) {
			f := newFleet(seed, smallFleet, customerRate, customerRate)
			f.run(2*time.Second, customerRate/1.6) // refusals at the start are not counted
			requests, admitted := f.requests, len(f.admittedAt)
			f.run(20*time.Second, customerRate/1.6)
			refused := float64(f.requests-requests-len(f.admittedAt)+admitted) / float64(f.requests-requests)
			assert.Assert(t, refused < 0.01, "rate %.0f, seed %d: %.2f%% refused", customerRate, seed, 100*refused)
		}
	}
}

// Guards against granting the burst twice when all nodes restart.
func TestRestartOfAllNodes(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(seed, smallFleet, rate, burst)
		f.run(3*time.Second, rate/1.6)
		f.run(2*time.Second, rate*3)
		for i := range f.limiters {
			f.limiters[i] = f.newLimiter(i, rate, burst)
		}
		f.run(5*time.Second, rate*3)
		limit := (rate*5+burst)*1.1 + 20
		assert.Assert(t, float64(f.maxAdmittedIn5s()) <= limit, "seed %d: %d requests in 5 s, limit %.0f", seed, f.maxAdmittedIn5s(), limit)
	}
}

// Guards against refusing requests of a customer that stays within its rate, in a large
// deployment, for more than six seconds after a restart of all nodes.
func TestCustomerIsServedAfterRestart(t *testing.T) {
	for _, customerRate := range []float64{350, 60, 35, 12} {
		for seed := range uint64(6) {
			f := newFleet(seed, largeFleet, customerRate, customerRate)
			f.entryNodes = []int{0, 3, 12}[seed%3]
			f.run(3*time.Second, customerRate/1.6)
			for i := range f.limiters {
				f.limiters[i] = f.newLimiter(i, customerRate, customerRate)
			}
			f.run(2*time.Second, customerRate)
			f.run(4*time.Second, customerRate/1.6)
			requests, admitted := f.requests, len(f.admittedAt)
			f.run(10*time.Second, customerRate/1.6)
			refused := float64(f.requests-requests-len(f.admittedAt)+admitted) / float64(f.requests-requests)
			assert.Check(t, refused < 0.02, "rate %.0f, seed %d, callers at %d nodes: %.2f%% refused", customerRate, seed, f.entryNodes, 100*refused)
		}
	}
}

// Guards against a node that refuses a small customer for long after its restart, because it
// counts some requests of each peer as recent.
func TestRestartedNodeServesSmallCustomer(t *testing.T) {
	for _, nodes := range []int{smallFleet, largeFleet, 195} {
		const customerRate = 12.0
		f := newFleet(1, nodes, customerRate, customerRate)
		f.run(20*time.Second, customerRate/1.6)
		f.limiters[0] = f.newLimiter(0, customerRate, customerRate)
		for i, l := range f.limiters[1:] { // what peers send when a link opens
			a := l.accounts[customer]
			usage := model.CustomerUsage{Customer: customer, Admitted: a.reportedAdmitted, Demand: a.reportedDemand}
			f.limiters[0].OnUsage(f.now, model.NodeID{Instance: instance(i + 1), Incarnation: 1}, []model.CustomerUsage{usage})
		}
		f.run(2*time.Second, customerRate/1.6)
		refused := 0
		for range 5 {
			if grant, _ := f.limiters[0].Take(f.now, customer); grant == Refused {
				refused++
			}
			f.run(400*time.Millisecond, customerRate/1.6)
		}
		assert.Check(t, refused <= 1, "%d nodes: %d of 5 requests refused: %s", nodes, refused, f.limiters[0].Describe(customer))
	}
}

// Guards against counting all requests that a peer has admitted so far as recent when its
// first report arrives. The node would then refuse the customer's requests.
func TestUsageBeforeFirstReportIsDiscounted(t *testing.T) {
	now := time.Unix(1000, 0)
	l := New()
	l.SetLimit(now, customer, rate, burst)
	now = now.Add(10 * time.Second)
	peer := model.NodeID{Instance: instance(1), Incarnation: 1}
	l.SetPeers([]model.Instance{peer.Instance})
	l.OnUsage(now, peer, []model.CustomerUsage{{Customer: "others", Admitted: 9}})
	l.OnUsage(now, peer, []model.CustomerUsage{{Customer: customer, Admitted: 5000, Demand: 20}})
	assert.Assert(t, l.accounts[customer].fleetTokens > burst/2, l.Describe(customer))
	l.OnUsage(now, peer, []model.CustomerUsage{{Customer: customer, Admitted: 5100, Demand: 20}})
	assert.Assert(t, l.accounts[customer].fleetTokens < burst/2, l.Describe(customer))
}

// Guards against exceeding the operators' limit while reports of usage are on their way: a
// node counts its usage every reportInterval, and sends it up to that much later. Shares
// and borrowed requests then follow from figures that the other nodes do not have.
func TestSurgeDuringReportsStaysWithinRate(t *testing.T) {
	for _, nodes := range []int{smallFleet, largeFleet, 195} {
		for _, customerRate := range []float64{350, 133, 35} {
			for seed := range uint64(3) {
				f := newFleet(seed, nodes, customerRate, customerRate)
				f.reportDelay = reportInterval
				f.run(2*time.Second, customerRate/1.6)
				f.run(6*time.Second, customerRate/1.6*8)
				limit := (customerRate*5+customerRate)*1.1 + 20
				assert.Check(t, float64(f.maxAdmittedIn5s()) <= limit, "%d nodes, rate %.0f, seed %d: %d requests in 5 s, limit %.0f",
					nodes, customerRate, seed, f.maxAdmittedIn5s(), limit)
			}
		}
	}
}

// Guards against a token for a request that took none: one that was borrowed and that its
// target refused.
func TestRefundOfBorrowedRequestAddsNoToken(t *testing.T) {
	l := newFleet(1, largeFleet, 12, 12).limiters[0]
	now := time.Unix(1010, 0)
	before := 0.0
	for range 3 {
		grant, _ := l.Take(now, customer)
		assert.Equal(t, grant, Borrowed, l.Describe(customer))
		before = l.accounts[customer].tokens
		l.Refund(now, customer, grant)
		assert.Equal(t, l.accounts[customer].tokens, before)
	}
	assert.Equal(t, l.accounts[customer].borrowed, 0.0)
}
