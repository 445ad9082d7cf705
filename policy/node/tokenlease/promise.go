package tokenlease

import (
	"time"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/quorum"
)

const (
	// PromiseLifetime is how long a promise is valid. It starts with the voter's
	// answer and is measured by the voter's monotonic clock.
	PromiseLifetime = quorum.PromiseLifetime
	// renewInterval is the time between two renewals of a lease.
	renewInterval = 500 * time.Millisecond
	// leaseMargin is subtracted from the promises' lifetime to get that of the
	// lease, to allow for clocks that run at slightly different speeds.
	leaseMargin = 50 * time.Millisecond
)

// Promises holds the lease promises that this node has made as a voter, one
// for each group.
type Promises struct {
	voter    *quorum.VoterState
	promises map[model.GroupKey]*promise
}

type promise struct {
	holder model.NodeID
	term   uint64
	expiry time.Time
}

// NewPromises returns an empty set of promises.
func NewPromises(voter *quorum.VoterState) *Promises {
	return &Promises{voter: voter, promises: make(map[model.GroupKey]*promise)}
}

// OnRequest promises the lease, unless the request may not replace the current
// promise or the voter may not promise leases in the epoch at now.
func (p *Promises) OnRequest(now time.Time, r *PromiseRequest) *PromiseAnswer {
	current := p.promises[r.Ballot.Group]
	a := &PromiseAnswer{Ballot: r.Ballot, Sequence: r.Sequence}
	if current != nil {
		a.Holder, a.Term, a.Remaining = current.holder, current.term, max(current.expiry.Sub(now), 0)
	}
	if !p.voter.MayPromiseLease(now, r.Ballot, r.Continued) || !current.mayBeReplacedBy(now, r) {
		return a
	}
	p.promises[r.Ballot.Group] = &promise{holder: r.Holder, term: r.Term, expiry: now.Add(PromiseLifetime)}
	a.Promised, a.Holder, a.Term, a.Remaining = true, r.Holder, r.Term, PromiseLifetime
	return a
}

// mayBeReplacedBy reports whether a request may replace the current promise: a
// renewal by its holder under the same or a higher term, or, once the promise
// has expired, any request with a higher term. A lower term is refused, since
// another node may have been grantor in between.
func (p *promise) mayBeReplacedBy(now time.Time, r *PromiseRequest) bool {
	if p == nil {
		return true
	}
	live := now.Before(p.expiry)
	if live {
		return p.holder == r.Holder && p.term <= r.Term
	}
	return r.Term > p.term || r.Term == p.term && r.Holder == p.holder
}

// OnRelease shortens a promise that its holder releases.
func (p *Promises) OnRelease(now time.Time, r *PromiseRelease) {
	current := p.promises[r.Ballot.Group]
	if current != nil && current.holder == r.Holder && current.term == r.Term {
		current.expiry = earlier(current.expiry, now.Add(r.Remaining))
	}
}

// Holder returns the node to which the lease of a group is promised. It
// returns false if there is none.
func (p *Promises) Holder(now time.Time, key model.GroupKey) (model.NodeID, bool) {
	current := p.promises[key]
	if current == nil || !now.Before(current.expiry) {
		return model.NodeID{}, false
	}
	return current.holder, true
}

// Remaining returns the remaining lifetime of a group's promise.
func (p *Promises) Remaining(now time.Time, key model.GroupKey) time.Duration {
	if current := p.promises[key]; current != nil {
		return max(current.expiry.Sub(now), 0)
	}
	return 0
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Clear drops all promises. It is called when the voter gets a new incarnation,
// which has made none.
func (p *Promises) Clear() { clear(p.promises) }
