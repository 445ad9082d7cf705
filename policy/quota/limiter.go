// Package quota divides each customer's rate among the nodes, so that all nodes
// together stay within the rate although no node asks another before it admits a
// request.
//
// Each node has a token bucket that it refills with its share of the rate. The
// shares follow the demand that the nodes report to each other. A node that stops
// reporting keeps its share until it is known to have stopped, since it may still
// admit requests.
//
// Each node also estimates the level of the fleet's bucket: one bucket of the whole
// rate and burst, from which the requests of all nodes are taken. While that level is
// high, a node may borrow, that is, admit a few requests beyond its share. Borrowed
// requests are not given back.
//
// The package serves the nodes of package agent/mesh. In those of package agent,
// package tokenlease enforces the customers' rates through one grantor for each
// customer.
package quota

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// equalFraction is the fraction of a rate that is divided equally among the
	// nodes, so that a customer's first requests at a node find tokens.
	equalFraction = 0.2
	// distributedFraction is the fraction of a rate that the nodes' shares divide.
	// The rest is a margin for shares that add up to more than one while demand
	// moves between nodes: one test run admitted 2306 requests of a customer with
	// high demand in 5 s, where operators accept 2297.
	distributedFraction = 0.96
	// demandDecayTime is the time constant of the measured demand: long against the
	// time between two usage reports, short against lasting changes of a customer's
	// demand.
	demandDecayTime = 4 * time.Second
	// initialFill is the fraction of a bucket that is filled when the node starts.
	// With full buckets a restart of all nodes would grant the burst twice.
	initialFill = 0.1
	// minBorrowLevel is the fraction of the burst that must be left in the fleet's
	// bucket for a node to borrow.
	minBorrowLevel = 0.3
	// excessWindow, excessFraction and excessRequests define how many requests the
	// fleet may admit beyond the limit in a window: excessFraction x (rate x
	// excessWindow + burst) + excessRequests. Operators accept 10% and 20
	// requests in 5 s; half of that is left for clock differences and restarts.
	excessWindow   = 5 // seconds
	excessFraction = 0.05
	excessRequests = 10 // requests
	// minBorrowLimit is the least number of requests that a node may borrow while
	// the fleet's bucket is above minBorrowLevel, so that several requests of a small
	// customer may come at once at one node.
	minBorrowLimit = 4 // requests between two reports
	// A customer's usage is reported when requests were admitted since the last
	// report and either the fleet's bucket is below reportLevel of the burst or
	// maxUnreportedTime has passed. If the customer has a bucket at the node, its
	// usage is also reported when the node has borrowed, and when the demand has
	// changed by more than demandChange of the reported demand and of an equal share
	// of the rate. Each report goes to every node, so reports are avoided where they
	// change little.
	demandChange = 0.2
	// minDemandChange is what two requests add to the demand. Smaller changes are
	// reported only if the demand has sunk below demandDropRatio of the reported
	// one, since the other nodes would otherwise leave a part of the rate unused.
	minDemandChange   = 0.5 // requests a second
	demandDropRatio   = 0.25
	reportLevel       = 0.7
	maxUnreportedTime = time.Second
	// recentRequests and recentTime bound how many of the requests that a peer
	// admitted before its first report count: recentRequests, and those that its
	// demand explains within recentTime, the usual time between two usage reports.
	recentRequests = 2 // requests
	recentTime     = maxUnreportedTime
	// minNodes is the smallest number of nodes among which a rate is divided. A
	// node that has just started may not know the others yet.
	minNodes = 3
)

// Limiter holds the customers' accounts at one node. All methods run on one thread.
type Limiter struct {
	accounts map[model.Customer]*account
	peers    map[model.Instance]bool
}

// peerUsage is the latest report of a peer about a customer.
type peerUsage struct {
	incarnation model.Incarnation
	admitted    uint64
	demand      float64
}

// account is the account of one customer at this node.
type account struct {
	name             model.Customer
	rate, burst      float64 // 0 for no limit
	refilledAt       time.Time
	tokens           float64 // in this node's bucket
	fleetTokens      float64 // estimated tokens in a bucket of the whole fleet
	borrowed         float64 // requests borrowed since the last report
	admitted         uint64
	reportedAdmitted uint64  // admitted as last reported to the peers
	demand           float64 // requests a second
	reportedDemand   float64 // demand as last reported to the peers
	reportedAt       time.Time
	peers            map[model.Instance]*peerUsage
	peerDemand       float64 // sum of the peers' demand
}

// New returns a limiter without customers.
func New() *Limiter {
	return &Limiter{accounts: make(map[model.Customer]*account), peers: make(map[model.Instance]bool)}
}

// SetLimit sets a customer's rate in requests a second and its burst in
// requests. A rate of 0 means no limit.
func (l *Limiter) SetLimit(now time.Time, name model.Customer, rate, burst float64) {
	a := l.accounts[name]
	if a == nil {
		a = &account{name: name, refilledAt: now, peers: make(map[model.Instance]*peerUsage)}
		a.rate, a.burst = rate, burst
		a.tokens = initialFill * l.bucketSize(a)
		a.fleetTokens = initialFill * burst
		l.accounts[name] = a
		return
	}
	l.refill(now, a)
	a.rate, a.burst = rate, burst
	a.tokens = min(a.tokens, l.bucketSize(a))
	a.fleetTokens = min(a.fleetTokens, burst)
}

// Retain drops the accounts of customers that are no longer configured.
func (l *Limiter) Retain(configured func(model.Customer) bool) {
	for name := range l.accounts {
		if !configured(name) {
			delete(l.accounts, name)
		}
	}
}

// SetPeers replaces the nodes among which rates are divided, besides this one.
func (l *Limiter) SetPeers(peers []model.Instance) {
	clear(l.peers)
	for _, p := range peers {
		l.peers[p] = true
	}
	for _, a := range l.accounts {
		for p := range a.peers {
			if !l.peers[p] {
				delete(a.peers, p)
			}
		}
		a.sumPeerDemand()
	}
}

func (a *account) sumPeerDemand() {
	a.peerDemand = 0
	for _, p := range a.peers {
		a.peerDemand += p.demand
	}
}

// share returns this node's share of the rate, as a fraction.
func (l *Limiter) share(a *account) float64 {
	nodes := float64(max(len(l.peers)+1, minNodes))
	total := a.reportedDemand + a.peerDemand
	if total <= 0 {
		return 1 / nodes
	}
	return equalFraction/nodes + (1-equalFraction)*a.reportedDemand/total
}

// bucketSize returns the size of this node's bucket: its share of the burst and an
// equal part of excessRequests. If it is less than one request, because the
// customer's rate is small against the number of nodes or its demand at this node is
// low, all its requests here are borrowed: if each node had a token, all of them
// together would exceed the customer's burst.
func (l *Limiter) bucketSize(a *account) float64 {
	nodes := float64(max(len(l.peers)+1, minNodes))
	return l.share(a)*a.burst + excessRequests/nodes
}

// bucketTooSmall reports whether the customer's bucket at this node is too small for
// one request.
func (l *Limiter) bucketTooSmall(a *account) bool { return l.bucketSize(a) < 1 }

func (l *Limiter) refill(now time.Time, a *account) {
	elapsed := now.Sub(a.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	a.refilledAt = now
	a.tokens = min(a.tokens+elapsed*distributedFraction*a.rate*l.share(a), l.bucketSize(a))
	a.fleetTokens = min(a.fleetTokens+elapsed*a.rate, a.burst)
	a.demand *= math.Exp(-elapsed / demandDecayTime.Seconds())
}

// Take charges one request to a customer's rate. If the rate is used up, it returns
// false and the time after which another request may be admitted.
func (l *Limiter) Take(now time.Time, name model.Customer) (bool, time.Duration) {
	a := l.accounts[name]
	if a == nil || a.rate <= 0 {
		return true, 0
	}
	l.refill(now, a)
	a.demand += 1 / demandDecayTime.Seconds()
	switch {
	case a.tokens >= 1:
		a.tokens--
	case l.mayBorrow(a):
		a.borrowed++
	default:
		return false, l.retryAfter(a)
	}
	a.fleetTokens--
	a.admitted++
	return true, 0
}

// Describe returns the state of a customer's account at this node as text.
func (l *Limiter) Describe(name model.Customer) string {
	a := l.accounts[name]
	if a == nil {
		return "no account"
	}
	return fmt.Sprintf("level %.1f of %.1f, fleet %.1f of %.1f, part %.3f, demand %.1f of %.1f, %d peers",
		a.tokens, l.bucketSize(a), a.fleetTokens, a.burst, l.share(a), a.demand, a.reportedDemand+a.peerDemand, len(l.peers))
}

// Charge charges the retry of a request that may have run to its customer's rate,
// even if the rate is used up: a target may run the request a second time.
func (l *Limiter) Charge(now time.Time, name model.Customer) {
	a := l.accounts[name]
	if a == nil || a.rate <= 0 {
		return
	}
	l.refill(now, a)
	a.tokens--
	a.fleetTokens--
	a.admitted++
}

// Refund takes back the charge for a request that was admitted and has not run.
func (l *Limiter) Refund(now time.Time, name model.Customer) {
	a := l.accounts[name]
	if a == nil || a.rate <= 0 {
		return
	}
	l.refill(now, a)
	a.tokens = min(a.tokens+1, l.bucketSize(a))
	a.fleetTokens = min(a.fleetTokens+1, a.burst)
	if a.admitted > 0 {
		a.admitted--
	}
}

// mayBorrow reports whether the node may borrow another request. It bounds what all
// nodes together borrow between two usage reports by what operators accept beyond the
// rate, twice the excess, if the fleet's bucket is full, and by less in proportion to
// its level. In a large fleet minBorrowLimit at each node may add up to more.
func (l *Limiter) mayBorrow(a *account) bool {
	if a.fleetTokens < minBorrowLevel*a.burst || a.burst <= 0 {
		return false
	}
	nodes := float64(max(len(l.peers)+1, minNodes))
	excess := excessFraction*(excessWindow*a.rate+a.burst) + excessRequests
	fill := a.fleetTokens / a.burst
	return a.borrowed+1 <= max(2*fill*excess/nodes, minBorrowLimit)
}

func (l *Limiter) retryAfter(a *account) time.Duration {
	refill := distributedFraction * a.rate * l.share(a)
	if refill <= 0 {
		return time.Second
	}
	return time.Duration((1 - a.tokens) / refill * float64(time.Second))
}

// UsageToReport returns the usage that is to be reported to the peers. From now on the
// node's share is computed from the demand in this report.
func (l *Limiter) UsageToReport(now time.Time) []model.CustomerUsage {
	var usage []model.CustomerUsage
	for name, a := range l.accounts {
		l.refill(now, a)
		if !l.reportDue(now, a) {
			continue
		}
		a.borrowed = 0
		a.reportedDemand, a.reportedAt, a.reportedAdmitted = a.demand, now, a.admitted
		usage = append(usage, model.CustomerUsage{Customer: name, Admitted: a.admitted, Demand: a.demand})
	}
	slices.SortFunc(usage, func(a, b model.CustomerUsage) int { return cmp.Compare(a.Customer, b.Customer) })
	return usage
}

// reportDue reports whether the account's usage is to be reported to the peers now.
func (l *Limiter) reportDue(now time.Time, a *account) bool {
	newlyAdmitted := a.admitted != a.reportedAdmitted
	if newlyAdmitted && (a.fleetTokens < reportLevel*a.burst || now.Sub(a.reportedAt) >= maxUnreportedTime) {
		return true
	}
	if l.bucketTooSmall(a) {
		return false // its requests do not depend on the shares
	}
	equalRate := a.rate / float64(max(len(l.peers)+1, minNodes))
	minChange := max(demandChange*max(a.reportedDemand, equalRate), minDemandChange)
	return a.borrowed > 0 || math.Abs(a.demand-a.reportedDemand) > minChange || a.demand < demandDropRatio*a.reportedDemand
}

// OnUsage handles a peer's report of its usage. Most of what an incarnation had
// admitted before its first report was admitted long ago, so only as much of it
// counts as its demand explains.
func (l *Limiter) OnUsage(now time.Time, peer model.NodeID, usage []model.CustomerUsage) {
	for _, u := range usage {
		a := l.accounts[u.Customer]
		if a == nil {
			continue
		}
		l.refill(now, a)
		previous := a.peers[peer.Instance]
		if previous == nil {
			previous = new(peerUsage)
			a.peers[peer.Instance] = previous
		}
		if previous.incarnation != peer.Incarnation {
			previous.incarnation = peer.Incarnation
			previous.admitted = u.Admitted - min(u.Admitted, recentRequests+uint64(u.Demand*recentTime.Seconds()))
		}
		a.fleetTokens = min(a.fleetTokens-float64(int64(u.Admitted-previous.admitted)), a.burst)
		previous.admitted = u.Admitted
		a.peerDemand += u.Demand - previous.demand
		previous.demand = u.Demand
	}
}
