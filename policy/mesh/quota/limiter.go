// Package quota implements a distributed rate limiter for customers. It divides each
// customer's rate among the nodes, so that all nodes together stay within the rate
// without coordination when a request is admitted.
//
// Each node has a token bucket per customer that is refilled with the node's share of
// the rate. The shares follow the demand that the nodes report to each other. A node
// that stops reporting keeps its share until it is known to have stopped, since it may
// still admit requests.
//
// Each node also estimates the level of the fleet's bucket, a virtual bucket with the
// whole rate and burst from which the requests of all nodes are taken. While that level
// is high, a node may borrow, that is, admit a few requests beyond its share. Borrowed
// requests are not paid back. What a node raises by its own figures, its share and what it
// borrows, waits until all nodes have the report of these figures.
//
// The package is used by the nodes of package agent/mesh. In the nodes of package agent,
// package tokenlease enforces the customers' rates through one grantor per customer.
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
	// equalFraction is the fraction of a rate that is divided equally among the nodes,
	// so that a node without previous demand has tokens for a customer's first
	// requests.
	equalFraction = 0.2
	// distributedFraction is the fraction of a rate that is distributed in shares. The
	// rest is a margin, because the shares may add up to more than one while demand
	// moves between nodes: one test run admitted 2306 requests of a customer with high
	// demand in 5 s, where the operators' limit is 2297.
	distributedFraction = 0.95
	// demandDecayTime is the time constant of the measured demand. It is long compared
	// to the time between two usage reports and short compared to lasting changes of a
	// customer's demand.
	demandDecayTime = 4 * time.Second
	// initialFill is the initial level of a bucket as a fraction of its size. With full
	// buckets, a restart of all nodes would grant the burst twice.
	initialFill = 0.1
	// minBorrowLevel is the lowest level of the fleet's bucket, as a fraction of the
	// burst, at which a node may borrow.
	minBorrowLevel = 0.33
	// excessWindow, excessFraction and excessRequests define how many requests the
	// fleet may admit beyond the limit in a window: excessFraction x (rate x
	// excessWindow + burst) + excessRequests. The operators' requirement allows 10% and
	// 20 requests in 5 s; half of that is left for clock differences and restarts.
	excessWindow   = 5 // seconds
	excessFraction = 0.05
	excessRequests = 10 // requests
	// minBorrowLimit is the number of requests that a node may always borrow while the
	// fleet's bucket is above minBorrowLevel, and minBorrowLimitNoTokens the same for a
	// customer whose bucket at the node holds less than smallBucket requests, so that a
	// customer with a low rate can send several requests to one node at the same time.
	minBorrowLimit         = 1 // requests
	minBorrowLimitNoTokens = 4 // requests
	smallBucket            = 2 // requests
	// maxBorrowLimitFewNodes limits what a node may borrow because few others have
	// requests of the customer.
	maxBorrowLimitFewNodes = 10 // requests
	// activeDemand is the reported demand from which on a node counts as one that has
	// requests of the customer.
	activeDemand = 0.1 // requests per second
	// A customer's usage is reported if requests were admitted since the last report
	// and either the fleet's bucket is below reportLevel of the burst or
	// maxUnreportedTime has passed. Unless the customer's bucket at the node is too
	// small for one request, its usage is also reported if the node has borrowed, or if
	// the demand has changed by more than the fraction demandChange of both the
	// reported demand and an equal share of the rate. Each report goes to every node,
	// so usage that has changed little is not reported.
	demandChange = 0.2
	// minDemandChange is the demand that two requests add. Smaller changes are reported
	// only if the demand has fallen below demandDropRatio of the reported demand, since
	// a part of the rate would otherwise remain unused.
	minDemandChange   = 0.5 // requests per second
	demandDropRatio   = 0.25
	reportLevel       = 0.7
	maxUnreportedTime = time.Second
	// recentRequests and recentTime define how many of the requests that a peer
	// admitted before its first report count as recent: recentRequests plus its demand
	// times recentTime, which is the usual time between two usage reports. A node that
	// has started within startTime leaves out recentRequests: all peers send it their
	// first report then, whether they admitted anything lately or not, and two requests
	// for each add up to several bursts of a small customer.
	recentRequests = 2 // requests
	recentTime     = maxUnreportedTime
	startTime      = 2 * time.Second
	// reportTravelTime is the time within which all nodes have a report. It is sent at
	// once and crosses two links, but may wait for busy nodes. A node
	// raises its share only after it. If it did so at once, the shares would add up to
	// several times the rate while demand rises at all nodes at the same time.
	reportTravelTime = 250 * time.Millisecond
	// minNodes is the minimum number of nodes among which a rate is divided, since a
	// node that has just started may not know the others yet.
	minNodes = 3
)

// Limiter enforces the customers' rates at one node. It is not safe for concurrent use.
type Limiter struct {
	accounts map[model.Customer]*account
	peers    map[model.Instance]bool
}

// peerUsage is a peer's latest report on a customer.
type peerUsage struct {
	incarnation model.Incarnation
	admitted    uint64
	demand      float64
}

// ownReport is a report of this node that may not have reached all peers.
type ownReport struct {
	demand   float64
	borrowed float64   // requests borrowed since the report before
	knownAt  time.Time // when all peers have the report
}

// active returns 1 if the peer has requests of the customer, and 0 otherwise.
func (p *peerUsage) active() int {
	if p.demand > activeDemand {
		return 1
	}
	return 0
}

// account holds the buckets and the measured demand of one customer at this node.
type account struct {
	name             model.Customer
	createdAt        time.Time
	rate, burst      float64 // requests per second and requests; rate 0 means no limit
	refilledAt       time.Time
	tokens           float64     // in this node's bucket
	fleetTokens      float64     // estimated tokens in the fleet's bucket
	borrowed         float64     // requests borrowed that some peers may not know of
	unreported       float64     // those of them that were borrowed since the last report
	admitted         uint64      // requests admitted since the start, less those refunded
	reportedAdmitted uint64      // admitted as last reported to the peers
	demand           float64     // requests per second
	reportedDemand   float64     // demand as last reported to the peers
	knownDemand      float64     // reported demand that all peers have
	pendingReports   []ownReport // reports that may not have reached all peers, oldest first
	reportedAt       time.Time
	peers            map[model.Instance]*peerUsage
	peerDemand       float64 // sum of the peers' demand
	activePeers      int     // peers that have requests of the customer
}

// New returns a limiter without customers.
func New() *Limiter {
	return &Limiter{accounts: make(map[model.Customer]*account), peers: make(map[model.Instance]bool)}
}

// SetLimit sets a customer's rate in requests per second and its burst in requests. A
// rate of 0 means no limit.
func (l *Limiter) SetLimit(now time.Time, name model.Customer, rate, burst float64) {
	a := l.accounts[name]
	if a == nil {
		a = &account{name: name, createdAt: now, refilledAt: now, peers: make(map[model.Instance]*peerUsage)}
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

// Retain removes the customers that are no longer configured.
func (l *Limiter) Retain(configured func(model.Customer) bool) {
	for name := range l.accounts {
		if !configured(name) {
			delete(l.accounts, name)
		}
	}
}

// SetPeers sets the other nodes among which the rates are divided.
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
	a.peerDemand, a.activePeers = 0, 0
	for _, p := range a.peers {
		a.peerDemand += p.demand
		a.activePeers += p.active()
	}
}

// share returns this node's share of the rate as a fraction.
func (l *Limiter) share(a *account) float64 {
	nodes := float64(max(len(l.peers)+1, minNodes))
	total := a.knownDemand + a.peerDemand
	if total <= 0 {
		return 1 / nodes
	}
	return equalFraction/nodes + (1-equalFraction)*a.knownDemand/total
}

// applyKnownReports applies the reports that all peers have by now.
func (a *account) applyKnownReports(now time.Time) {
	for len(a.pendingReports) > 0 && !now.Before(a.pendingReports[0].knownAt) {
		r := a.pendingReports[0]
		a.pendingReports = a.pendingReports[1:]
		a.knownDemand = r.demand
		a.borrowed -= min(r.borrowed, a.borrowed)
	}
}

// bucketSize returns the size of the customer's bucket at this node: the node's share of
// the burst plus an equal part of excessRequests. It may be less than one request if the
// rate is low for the number of nodes, or if the demand at this node is low. All requests
// are then borrowed: a minimum of one token at each node would add up to more than the
// customer's burst.
func (l *Limiter) bucketSize(a *account) float64 {
	nodes := float64(max(len(l.peers)+1, minNodes))
	return l.share(a)*a.burst + excessRequests/nodes
}

// bucketTooSmall reports whether the customer's bucket at this node is too small for
// one request.
func (l *Limiter) bucketTooSmall(a *account) bool { return l.bucketSize(a) < 1 }

// refill adds the tokens for the time since the last refill to both buckets and decays
// the demand.
func (l *Limiter) refill(now time.Time, a *account) {
	elapsed := now.Sub(a.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	a.refilledAt = now
	a.applyKnownReports(now)
	a.tokens = min(a.tokens+elapsed*distributedFraction*a.rate*l.share(a), l.bucketSize(a))
	a.fleetTokens = min(a.fleetTokens+elapsed*distributedFraction*a.rate, a.burst)
	a.demand *= math.Exp(-elapsed / demandDecayTime.Seconds())
}

// Grant states how Take admitted a request, for Refund.
type Grant uint8

// Results of Take.
const (
	Refused   Grant = iota // the rate is exhausted
	Unlimited              // the customer has no limit
	FromShare              // a token of this node's bucket
	Borrowed               // beyond this node's bucket, while the fleet's bucket allows it
)

// Take charges one request to a customer's rate. If the rate is exhausted, it returns
// Refused and the time after which the next request may be admitted.
func (l *Limiter) Take(now time.Time, name model.Customer) (Grant, time.Duration) {
	a := l.accounts[name]
	if a == nil || a.rate <= 0 {
		return Unlimited, 0
	}
	l.refill(now, a)
	a.demand += 1 / demandDecayTime.Seconds()
	grant := FromShare
	switch {
	case a.tokens >= 1:
		a.tokens--
	case l.mayBorrow(a):
		grant = Borrowed
		a.borrowed++
		a.unreported++
	default:
		return Refused, l.retryAfter(a)
	}
	a.fleetTokens--
	a.admitted++
	return grant, 0
}

// Describe returns the state of a customer's buckets at this node as text.
func (l *Limiter) Describe(name model.Customer) string {
	a := l.accounts[name]
	if a == nil {
		return "no account"
	}
	return fmt.Sprintf("level %.1f of %.1f, fleet %.1f of %.1f, part %.3f, demand %.1f of %.1f, %d peers",
		a.tokens, l.bucketSize(a), a.fleetTokens, a.burst, l.share(a), a.demand, a.reportedDemand+a.peerDemand, len(l.peers))
}

// Charge charges the retry of a request that may have run to its customer's rate, even
// if the rate is exhausted, since a target may run the request a second time.
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

// Refund reverses the charge for a request that Take admitted but that has not run.
func (l *Limiter) Refund(now time.Time, name model.Customer, grant Grant) {
	a := l.accounts[name]
	if a == nil || a.rate <= 0 {
		return
	}
	l.refill(now, a)
	switch grant {
	case FromShare:
		a.tokens = min(a.tokens+1, l.bucketSize(a))
	case Borrowed:
		a.borrowed = max(a.borrowed-1, 0)
		a.unreported = max(a.unreported-1, 0)
	default:
		return // nothing was charged
	}
	a.fleetTokens = min(a.fleetTokens+1, a.burst)
	if a.admitted > 0 {
		a.admitted--
	}
}

// mayBorrow reports whether the node may borrow another request. It limits the borrowed
// requests that some peers may not know of. While the fleet's bucket is full, all nodes
// together may borrow twice the excess, that is, as much as the operators' requirement
// allows beyond the limit in 5 s; at a lower level less, in proportion to the level. If few
// nodes have requests of the customer, each may borrow twice its part of that. In a large
// fleet the minBorrowLimit of the nodes may add up to more.
func (l *Limiter) mayBorrow(a *account) bool {
	if a.fleetTokens < minBorrowLevel*a.burst || a.burst <= 0 {
		return false
	}
	nodes := float64(max(len(l.peers)+1, minNodes))
	excess := excessFraction*(excessWindow*a.rate+a.burst) + excessRequests
	allowed := 2 * excess * a.fleetTokens / a.burst
	limit := max(allowed/nodes, minBorrowLimit, min(2*allowed/float64(a.activePeers+1), maxBorrowLimitFewNodes))
	if l.bucketSize(a) < smallBucket {
		limit = max(limit, minBorrowLimitNoTokens)
	}
	return a.borrowed+1 <= limit
}

// retryAfter returns the time until the node's bucket has a token.
func (l *Limiter) retryAfter(a *account) time.Duration {
	refill := distributedFraction * a.rate * l.share(a)
	if refill <= 0 {
		return time.Second
	}
	return time.Duration((1 - a.tokens) / refill * float64(time.Second))
}

// UsageToReport returns the usage to report to the peers now and records it as reported.
// The node's shares are computed from the reported demand, once all peers have it.
func (l *Limiter) UsageToReport(now time.Time) []model.CustomerUsage {
	var usage []model.CustomerUsage
	for name, a := range l.accounts {
		l.refill(now, a)
		if !l.reportDue(now, a) {
			continue
		}
		a.reportedDemand, a.reportedAt, a.reportedAdmitted = a.demand, now, a.admitted
		a.pendingReports = append(a.pendingReports, ownReport{a.demand, a.unreported, now.Add(reportTravelTime)})
		a.unreported = 0
		usage = append(usage, model.CustomerUsage{Customer: name, Admitted: a.admitted, Demand: a.demand})
	}
	slices.SortFunc(usage, func(a, b model.CustomerUsage) int { return cmp.Compare(a.Customer, b.Customer) })
	return usage
}

// reportDue reports whether a customer's usage must be reported to the peers now.
func (l *Limiter) reportDue(now time.Time, a *account) bool {
	newlyAdmitted := a.admitted != a.reportedAdmitted
	if newlyAdmitted && (a.fleetTokens < reportLevel*a.burst || now.Sub(a.reportedAt) >= maxUnreportedTime) {
		return true
	}
	if l.bucketTooSmall(a) {
		return false // all requests are borrowed, so the shares do not matter
	}
	equalRate := a.rate / float64(max(len(l.peers)+1, minNodes))
	minChange := max(demandChange*max(a.reportedDemand, equalRate), minDemandChange)
	return a.unreported > 0 || math.Abs(a.demand-a.reportedDemand) > minChange || a.demand < demandDropRatio*a.reportedDemand
}

// OnUsage handles a peer's usage report. Of the requests that an incarnation of the peer
// admitted before its first report, most were admitted long ago, so only those that can
// be recent according to its demand are taken from the fleet's bucket.
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
			recent := uint64(u.Demand * recentTime.Seconds())
			if now.Sub(a.createdAt) > startTime {
				recent += recentRequests
			}
			previous.admitted = u.Admitted - min(u.Admitted, recent)
		}
		a.fleetTokens = min(a.fleetTokens-float64(int64(u.Admitted-previous.admitted)), a.burst)
		previous.admitted = u.Admitted
		a.peerDemand += u.Demand - previous.demand
		a.activePeers -= previous.active()
		previous.demand = u.Demand
		a.activePeers += previous.active()
	}
}
