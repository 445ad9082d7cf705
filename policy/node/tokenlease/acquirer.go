package tokenlease

import (
	"math/rand/v2"
	"time"

	"github.com/oleanderworks/oleanderworks/core/timers"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/quorum"
)

const (
	// answerTimeout is how long the acquirer waits for an answer before it
	// asks another member of the group.
	answerTimeout = 150 * time.Millisecond
	// grantorSearchInterval is the time between token requests while no
	// grantor is known.
	grantorSearchInterval = 50 * time.Millisecond
	// maxReportDelay bounds how long a report waits for a token request that
	// can carry it.
	maxReportDelay = 5 * time.Millisecond
	// maxQueuedReports bounds the reports of one customer that wait to be
	// sent.
	maxQueuedReports = 256
	// MaxTokenWait bounds how long Acquire waits for the customer's next token.
	// If the grantor announces a longer wait, Acquire is refused immediately. A
	// customer that keeps to its rate gets a token within the lifetime of a
	// token, or, if its grantor is lost, once the promises to that grantor
	// have expired (PromiseLifetime, 2 s).
	MaxTokenWait = 3 * time.Second
	// MaxGrantorWait bounds how long Acquire waits for a grantor. A lost grantor
	// is replaced once the promises to it have expired (PromiseLifetime, 2 s);
	// the members of a new composition of the group wait at most as long before
	// they promise its lease.
	MaxGrantorWait = 5 * time.Second
)

// Delivery is the result of one call of Acquire, with the callback to which it
// is passed.
type Delivery struct {
	Deliver func(Result)
	Result  Result
}

// Acquirer requests tokens from grantors on behalf of this node. It has at
// most one token request open for each customer, so that no customer fills the
// grantor's ring. All methods run on one thread.
type Acquirer struct {
	quorum.Outbox
	directory  *quorum.Directory
	customers  map[model.Customer]*customerQueue
	grantors   map[model.GroupKey]model.Instance
	timers     *timers.Queue[*customerQueue]
	sequence   uint64
	deliveries []Delivery
}

// customerQueue holds the pending calls of Acquire for one customer, and the
// reports to be sent to the customer's grantor.
type customerQueue struct {
	customer     model.Customer
	group        model.GroupKey
	pending      []pendingAcquire
	openSequence uint64 // sequence number of the open token request; 0 if none is open
	requestedAt  time.Time
	dueAt        time.Time // when the open token request times out, or when the next one is sent
	requestsSent int       // token requests sent since a grantor last answered
	answeredAt   time.Time // when a grantor last answered
	term         uint64    // term of the grantor that last answered
	reports      []Report
	reportsDueAt time.Time // when reports are sent without a token request
}

// pendingAcquire is a call of Acquire that has no result yet.
type pendingAcquire struct {
	want         int
	waitingSince time.Time
	deliver      func(Result)
}

// NewAcquirer returns an acquirer without a configuration. Grant ids start at
// a random number, so that a restarted node does not reuse the ids of grants
// that have not expired yet.
func NewAcquirer(rng *rand.Rand) *Acquirer {
	return &Acquirer{
		timers:    timers.New[*customerQueue](),
		sequence:  rng.Uint64N(1 << 48),
		directory: quorum.NewDirectory("", nil),
		customers: make(map[model.Customer]*customerQueue),
		grantors:  make(map[model.GroupKey]model.Instance),
	}
}

// TakeDeliveries returns the deliveries since the last call.
func (acq *Acquirer) TakeDeliveries() []Delivery {
	out := acq.deliveries
	acq.deliveries = nil
	return out
}

// SetDirectory replaces the compositions of the quorum groups.
func (acq *Acquirer) SetDirectory(d *quorum.Directory) { acq.directory = d }

// Acquire asks for want tokens for requests of the customer. The result is
// returned by TakeDeliveries together with deliver.
func (acq *Acquirer) Acquire(now time.Time, customer model.Customer, want int, deliver func(Result)) {
	q := acq.getOrCreateQueue(customer)
	r := pendingAcquire{want: max(want, 1), waitingSince: now, deliver: deliver}
	if wait := q.dueAt.Sub(now); q.openSequence == 0 && wait > MaxTokenWait {
		acq.deliver(r, Result{Customer: customer, Reason: model.ReasonRateLimited, RetryAfter: wait})
		return
	}
	q.pending = append(q.pending, r)
	if q.openSequence == 0 && !q.dueAt.After(now) {
		acq.sendRequest(now, q)
	}
	acq.schedule(now, q)
}

func (acq *Acquirer) getOrCreateQueue(customer model.Customer) *customerQueue {
	q := acq.customers[customer]
	if q == nil {
		q = &customerQueue{customer: customer, group: acq.directory.RateGroup(customer)}
		acq.customers[customer] = q
	}
	return q
}

// AddReports queues reports for the grantor. They are sent with the next token
// request, or on their own after maxReportDelay. A lost report is not sent
// again, since the tokens it is about expire soon anyway.
func (acq *Acquirer) AddReports(now time.Time, customer model.Customer, reports []Report) {
	q := acq.getOrCreateQueue(customer)
	if len(q.reports) == 0 {
		q.reportsDueAt = now.Add(maxReportDelay)
	}
	q.reports = append(q.reports, reports...)
	if n := len(q.reports) - maxQueuedReports; n > 0 {
		q.reports = q.reports[n:]
	}
	acq.schedule(now, q)
}

// OnAnswer handles the answer to a token request.
func (acq *Acquirer) OnAnswer(now time.Time, from model.Instance, a *TokenAnswer) {
	q := acq.customers[a.Customer]
	if q == nil || q.openSequence != a.Sequence {
		return
	}
	q.openSequence = 0
	if a.NotGrantor {
		acq.handleNonGrantorAnswer(now, q, from, a)
	} else {
		acq.handleGrantorAnswer(now, q, from, a)
	}
	acq.schedule(now, q)
}

func (acq *Acquirer) handleGrantorAnswer(now time.Time, q *customerQueue, from model.Instance, a *TokenAnswer) {
	acq.grantors[q.group] = from
	q.requestsSent, q.answeredAt = 0, now
	if q.term != a.Term {
		q.restartWaits(now, a.Term)
	}
	if a.Granted == 0 {
		q.dueAt = now.Add(a.RetryAfter)
		acq.refuseLongWaits(now, q, a.RetryAfter)
		return
	}
	q.dueAt = now
	if q.requestedAt.Add(a.Lifetime).After(now) {
		acq.distributeTokens(q, a)
	}
	if len(q.pending) > 0 {
		acq.sendRequest(now, q)
	}
}

func (acq *Acquirer) handleNonGrantorAnswer(now time.Time, q *customerQueue, from model.Instance, a *TokenAnswer) {
	delete(acq.grantors, q.group)
	q.dueAt = now.Add(grantorSearchInterval)
	if a.Grantor != "" && a.Grantor != from && q.requestsSent < maxUndelayedRequests {
		acq.grantors[q.group] = a.Grantor
		acq.sendRequest(now, q)
	}
}

// OnPaused restarts the waiting time of all pending calls of Acquire, since the
// delay was caused by a pause of this process and not by the customers.
func (acq *Acquirer) OnPaused(now time.Time) {
	for _, q := range acq.customers {
		q.restartWaits(now, q.term)
	}
}

// restartWaits restarts the waiting time of the customer's pending calls of
// Acquire. This prevents refusals at a new grantor, whose buckets start empty.
func (q *customerQueue) restartWaits(now time.Time, term uint64) {
	q.term = term
	for i := range q.pending {
		q.pending[i].waitingSince = now
	}
}

// maxUndelayedRequests is the number of token requests without a grantor's
// answer that are sent without delay when a member names another node as
// grantor. Further requests wait for grantorSearchInterval, since two members
// with outdated information may name each other.
const maxUndelayedRequests = 4

// distributeTokens distributes the granted tokens to the pending calls of
// Acquire in order of arrival.
func (acq *Acquirer) distributeTokens(q *customerQueue, a *TokenAnswer) {
	remaining := a.Granted
	grant := Grant{Customer: q.customer, Group: q.group.Group, Term: a.Term, ID: a.Sequence, Expiry: q.requestedAt.Add(a.Lifetime)}
	for remaining > 0 && len(q.pending) > 0 {
		r := q.pending[0]
		q.pending = q.pending[1:]
		grant.Count = min(remaining, r.want)
		remaining -= grant.Count
		result := Result{Customer: q.customer, Grant: grant}
		if grant.Count < r.want {
			result.RetryAfter = a.RetryAfter
		}
		acq.deliver(r, result)
	}
}

// refuseLongWaits refuses the pending calls of Acquire that would wait longer
// than MaxTokenWait for a token.
func (acq *Acquirer) refuseLongWaits(now time.Time, q *customerQueue, retryAfter time.Duration) {
	kept := q.pending[:0]
	for _, r := range q.pending {
		if now.Add(retryAfter).Sub(r.waitingSince) <= MaxTokenWait {
			kept = append(kept, r)
			continue
		}
		acq.deliver(r, Result{Customer: q.customer, Reason: model.ReasonRateLimited, RetryAfter: retryAfter})
	}
	q.pending = kept
}

func (acq *Acquirer) deliver(r pendingAcquire, result Result) {
	acq.deliveries = append(acq.deliveries, Delivery{Deliver: r.deliver, Result: result})
}

// Tick sends the token requests and reports that are due, and refuses the
// pending calls of Acquire for which no grantor was found in time. It returns
// the time of the next timer.
func (acq *Acquirer) Tick(now time.Time) time.Time {
	for {
		q, ok := acq.timers.PopDue(now)
		if !ok {
			return acq.timers.NextDue()
		}
		if len(q.reports) > 0 && !q.reportsDueAt.After(now) {
			acq.sendReports(q)
		}
		if !q.dueAt.After(now) {
			acq.handleTimer(now, q)
		}
		acq.schedule(now, q)
	}
}

// schedule sets the next timer of a customer, or removes a customer for which
// nothing is left to do.
func (acq *Acquirer) schedule(now time.Time, q *customerQueue) {
	switch {
	case len(q.reports) > 0 && (!q.dueAt.After(now) || q.reportsDueAt.Before(q.dueAt)):
		acq.timers.Set(q, q.reportsDueAt)
	case q.dueAt.After(now):
		acq.timers.Set(q, q.dueAt)
	default:
		acq.timers.Remove(q)
		delete(acq.customers, q.customer)
	}
}

func (acq *Acquirer) handleTimer(now time.Time, q *customerQueue) {
	if q.openSequence != 0 {
		delete(acq.grantors, q.group)
	}
	kept := q.pending[:0]
	for _, r := range q.pending {
		if now.Sub(later(r.waitingSince, q.answeredAt)) < MaxGrantorWait {
			kept = append(kept, r)
			continue
		}
		acq.deliver(r, Result{Customer: q.customer, Reason: model.ReasonRateUnavailable, RetryAfter: time.Second})
	}
	q.pending = kept
	q.openSequence = 0
	if len(q.pending) > 0 {
		acq.sendRequest(now, q)
	}
}

// sendRequest sends one token request for all pending calls of Acquire of a
// customer.
func (acq *Acquirer) sendRequest(now time.Time, q *customerQueue) {
	q.group = acq.directory.RateGroup(q.customer)
	to, ok := acq.grantors[q.group]
	composition := acq.directory.LeaseComposition(q.group, now)
	if !ok && composition == nil {
		q.openSequence = 0
		q.dueAt = now.Add(grantorSearchInterval)
		return
	}
	if !ok {
		to = composition.Members[q.requestsSent%len(composition.Members)].Instance
	}
	q.requestsSent++
	acq.sequence++
	q.openSequence, q.requestedAt, q.dueAt = acq.sequence, now, now.Add(answerTimeout)
	acq.Send(to, &TokenRequest{Group: q.group, Customer: q.customer, Want: q.wantedTokens(), Sequence: q.openSequence, Reports: q.reports})
	q.reports = nil
}

func (acq *Acquirer) sendReports(q *customerQueue) {
	if to, ok := acq.grantors[q.group]; ok {
		acq.Send(to, &TokenRequest{Group: q.group, Customer: q.customer, Reports: q.reports})
	}
	q.reports = nil
}

func (q *customerQueue) wantedTokens() int {
	n := 0
	for _, r := range q.pending {
		n += r.want
	}
	return n
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
