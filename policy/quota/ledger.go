// Package quota divides each customer's rate among the nodes, so that the sum
// over all of them stays within the rate although no request asks anyone.
//
// Each node refills its own bucket with a part of the rate. The parts follow
// the demand that the nodes report to each other; a node that falls silent
// keeps its part until it is known to have ended, since it may still admit
// requests. A node may borrow a few requests beyond its part while the fleet
// as a whole is far from the limit.
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
	// equalPart is the portion of a rate that is divided equally, so that a
	// customer's first requests at a node find tokens.
	equalPart = 0.2
	// dividedPart is the portion of a rate that is divided among the nodes. The
	// rest covers parts that sum to more than one while demand moves: on a
	// hunted day a hot customer got 2306 requests in 5 s with 2297 accepted.
	dividedPart = 0.96
	// demandTime is the averaging time of demand: long against the interval
	// between reports, short against a change of a customer's habits.
	demandTime = 4 * time.Second
	// startFill is the part of a bucket that is full when the node starts.
	// With full buckets a restart of all nodes would grant the burst twice.
	startFill = 0.1
	// borrowLevel is the part of the burst that must be left in the fleet's
	// bucket before a node borrows.
	borrowLevel = 0.3
	// overWindow, overPart and overBase describe what the fleet may admit
	// beyond the rate in a window: overPart of rate x overWindow + burst, plus
	// overBase requests. Operators accept 10% and 20 requests in 5 s; half of
	// that is left for clocks and restarts.
	overWindow = 5 // seconds
	overPart   = 0.05
	overBase   = 10 // requests
	// minBorrow lets a small customer's requests come in pairs at one node.
	minBorrow = 4 // requests between two reports
	// A customer's use is reported when its demand has changed by demandChange
	// of what was reported and of a node's equal part of the rate, when the
	// fleet's bucket is below reportLevel of the burst, when the node has
	// borrowed, or after quietTime. Each report goes to every node.
	demandChange = 0.2
	// leastChange is what two requests add to the demand. A
	// demand that has sunk to goneDemand of what was reported is told all the
	// same, since the other nodes would leave a part of the rate unused for it.
	leastChange = 0.5 // requests a second
	goneDemand  = 0.25
	reportLevel = 0.7
	quietTime   = time.Second
	// recentBase and recentTime bound how much of what a peer has admitted before
	// it is heard of counts: the requests of one report, and those of its demand
	// since the report before.
	recentBase = 2 // requests
	recentTime = quietTime
	// minNodes is the least number of nodes among which a rate is divided. A
	// node that has just started may not know the others yet.
	minNodes = 3
)

// Ledger holds the accounts of one node. All methods run on one thread.
type Ledger struct {
	accounts map[model.Customer]*account
	peers    map[model.Instance]bool
}

type peerUse struct {
	start    model.Incarnation
	admitted uint64
	demand   float64
}

// account is one customer at this node.
type account struct {
	name        model.Customer
	rate, burst float64 // 0 for no limit
	at          time.Time
	level       float64 // tokens of this node
	fleet       float64 // estimated tokens of the whole fleet
	borrowed    float64 // since the last report
	admitted    uint64
	told        uint64  // admitted, as last told to the peers
	demand      float64 // requests a second
	reported    float64 // demand as last told to the peers
	reportedAt  time.Time
	peers       map[model.Instance]*peerUse
	others      float64 // sum of the peers' demand
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{accounts: make(map[model.Customer]*account), peers: make(map[model.Instance]bool)}
}

// SetLimit sets a customer's rate in requests a second and its burst in
// requests. A rate of 0 means no limit.
func (l *Ledger) SetLimit(now time.Time, name model.Customer, rate, burst float64) {
	a := l.accounts[name]
	if a == nil {
		a = &account{name: name, at: now, peers: make(map[model.Instance]*peerUse)}
		a.rate, a.burst = rate, burst
		a.level = startFill * l.depth(a)
		a.fleet = startFill * burst
		l.accounts[name] = a
		return
	}
	l.refill(now, a)
	a.rate, a.burst = rate, burst
	a.level = min(a.level, l.depth(a))
	a.fleet = min(a.fleet, burst)
}

// Retain drops the accounts of customers that are not configured any more.
func (l *Ledger) Retain(configured func(model.Customer) bool) {
	for name := range l.accounts {
		if !configured(name) {
			delete(l.accounts, name)
		}
	}
}

// SetPeers replaces the nodes among which rates are divided, besides this one.
func (l *Ledger) SetPeers(peers []model.Instance) {
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
		a.sumOthers()
	}
}

func (a *account) sumOthers() {
	a.others = 0
	for _, p := range a.peers {
		a.others += p.demand
	}
}

// part is the portion of the rate that belongs to this node.
func (l *Ledger) part(a *account) float64 {
	nodes := float64(max(len(l.peers)+1, minNodes))
	total := a.reported + a.others
	if total <= 0 {
		return 1 / nodes
	}
	return equalPart/nodes + (1-equalPart)*a.reported/total
}

// depth is the size of this node's bucket: its part of the burst and of the
// requests that operators accept beyond it. Where it is less than one request,
// the customer is small against the number of nodes, and its requests are all
// borrowed from the fleet's bucket: one request at each node would be more than
// its burst.
func (l *Ledger) depth(a *account) float64 {
	nodes := float64(max(len(l.peers)+1, minNodes))
	return l.part(a)*a.burst + overBase/nodes
}

// small reports whether a customer has no bucket at this node.
func (l *Ledger) small(a *account) bool { return l.depth(a) < 1 }

func (l *Ledger) refill(now time.Time, a *account) {
	elapsed := now.Sub(a.at).Seconds()
	if elapsed <= 0 {
		return
	}
	a.at = now
	a.level = min(a.level+elapsed*dividedPart*a.rate*l.part(a), l.depth(a))
	a.fleet = min(a.fleet+elapsed*a.rate, a.burst)
	a.demand *= math.Exp(-elapsed / demandTime.Seconds())
}

// Take draws one request from a customer's rate. If it is used up, it returns
// false and the time after which another request may pass.
func (l *Ledger) Take(now time.Time, name model.Customer) (bool, time.Duration) {
	a := l.accounts[name]
	if a == nil || a.rate <= 0 {
		return true, 0
	}
	l.refill(now, a)
	a.demand += 1 / demandTime.Seconds()
	switch {
	case a.level >= 1:
		a.level--
	case l.mayBorrow(a):
		a.borrowed++
	default:
		return false, l.wait(a)
	}
	a.fleet--
	a.admitted++
	return true, 0
}

// Describe tells what a customer's rate looks like at this node, for logs.
func (l *Ledger) Describe(name model.Customer) string {
	a := l.accounts[name]
	if a == nil {
		return "no account"
	}
	return fmt.Sprintf("level %.1f of %.1f, fleet %.1f of %.1f, part %.3f, demand %.1f of %.1f, %d peers",
		a.level, l.depth(a), a.fleet, a.burst, l.part(a), a.demand, a.reported+a.others, len(l.peers))
}

// Charge draws a repeat of a request that may have run from its customer's
// rate, also when nothing is left: it counts as another request at the target.
func (l *Ledger) Charge(now time.Time, name model.Customer) {
	a := l.accounts[name]
	if a == nil || a.rate <= 0 {
		return
	}
	l.refill(now, a)
	a.level--
	a.fleet--
	a.admitted++
}

// Refund gives back a request that was admitted and did not run.
func (l *Ledger) Refund(now time.Time, name model.Customer) {
	a := l.accounts[name]
	if a == nil || a.rate <= 0 {
		return
	}
	l.refill(now, a)
	a.level = min(a.level+1, l.depth(a))
	a.fleet = min(a.fleet+1, a.burst)
	if a.admitted > 0 {
		a.admitted--
	}
}

// mayBorrow bounds what all nodes together borrow between two reports by what
// operators accept beyond the rate.
func (l *Ledger) mayBorrow(a *account) bool {
	if a.fleet < borrowLevel*a.burst || a.burst <= 0 {
		return false
	}
	nodes := float64(max(len(l.peers)+1, minNodes))
	over := overPart*(overWindow*a.rate+a.burst) + overBase
	fill := a.fleet / a.burst
	return a.borrowed+1 <= max(2*fill*over/nodes, minBorrow)
}

func (l *Ledger) wait(a *account) time.Duration {
	refill := dividedPart * a.rate * l.part(a)
	if refill <= 0 {
		return time.Second
	}
	return time.Duration((1 - a.level) / refill * float64(time.Second))
}

// Report returns what peers have to know of this node's use. From now on the
// node's part follows the demand that it states.
func (l *Ledger) Report(now time.Time) []model.CustomerUsage {
	var out []model.CustomerUsage
	for name, a := range l.accounts {
		l.refill(now, a)
		if !l.news(now, a) {
			continue
		}
		a.borrowed = 0
		a.reported, a.reportedAt, a.told = a.demand, now, a.admitted
		out = append(out, model.CustomerUsage{Customer: name, Admitted: a.admitted, Demand: a.demand})
	}
	slices.SortFunc(out, func(a, b model.CustomerUsage) int { return cmp.Compare(a.Customer, b.Customer) })
	return out
}

// news reports whether peers have to know the account's use now.
func (l *Ledger) news(now time.Time, a *account) bool {
	admitted := a.admitted != a.told
	if admitted && (a.fleet < reportLevel*a.burst || now.Sub(a.reportedAt) >= quietTime) {
		return true
	}
	if l.small(a) {
		return false // its requests do not depend on parts
	}
	equal := a.rate / float64(max(len(l.peers)+1, minNodes))
	change := max(demandChange*max(a.reported, equal), leastChange)
	return a.borrowed > 0 || math.Abs(a.demand-a.reported) > change || a.demand < goneDemand*a.reported
}

// OnReport takes a peer's use. What a peer that is heard of for the first time
// has admitted is mostly long past: only as much of it counts as its demand
// explains.
func (l *Ledger) OnReport(now time.Time, peer model.NodeID, use []model.CustomerUsage) {
	for _, u := range use {
		a := l.accounts[u.Customer]
		if a == nil {
			continue
		}
		l.refill(now, a)
		p := a.peers[peer.Instance]
		if p == nil {
			p = new(peerUse)
			a.peers[peer.Instance] = p
		}
		if p.start != peer.Incarnation {
			p.start = peer.Incarnation
			p.admitted = u.Admitted - min(u.Admitted, recentBase+uint64(u.Demand*recentTime.Seconds()))
		}
		a.fleet = min(a.fleet-float64(int64(u.Admitted-p.admitted)), a.burst)
		p.admitted = u.Admitted
		a.others += u.Demand - p.demand
		p.demand = u.Demand
	}
}
