package tokenlease

import (
	"math/rand/v2"
	"time"

	"github.com/oleanderworks/oleanderworks/core/timers"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/quorum"
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
	// MaxTokenWait is how long a request waits for its customer's next token.
	// A customer that keeps to its rate gets one within the lifetime of a
	// token, or within the 2 s in which its group may have no grantor.
	MaxTokenWait = 3 * time.Second
	// MaxGrantorWait is how long a request waits for a grantor. A lost grantor
	// is replaced once its lease of 2 s has expired, or after 2 s in a new
	// composition of the group.
	MaxGrantorWait = 5 * time.Second
)

// Delivery is the result of one call of Acquire and the callback that takes
// it.
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
	customers  map[model.Customer]*customerDemand
	grantors   map[model.GroupKey]model.Instance
	timers     *timers.Queue[*customerDemand]
	sequence   uint64
	deliveries []Delivery
}

// customerDemand holds the requests of one customer that wait for tokens, and
// the reports to be sent to the customer's grantor.
type customerDemand struct {
	customer     model.Customer
	group        model.GroupKey
	waiting      []waitingRequest
	openSequence uint64 // sequence number of the open token request; 0 if none is open
	requestedAt  time.Time
	dueAt        time.Time // when the open token request times out, or when the next one is sent
	attempts     int       // members asked since a grantor last answered
	answeredAt   time.Time // when a grantor last answered
	term         uint64    // term of the grantor that last answered
	reports      []Report
	reportsDueAt time.Time // when reports are sent without a token request
}

type waitingRequest struct {
	want         int
	waitingSince time.Time
	deliver      func(Result)
}

// NewAcquirer returns an acquirer without a configuration. Grant ids start at
// a random number, so that a restarted node does not reuse the ids of grants
// that have not expired yet.
func NewAcquirer(rng *rand.Rand) *Acquirer {
	return &Acquirer{
		timers:    timers.New[*customerDemand](),
		sequence:  rng.Uint64N(1 << 48),
		directory: quorum.NewDirectory("", nil),
		customers: make(map[model.Customer]*customerDemand),
		grantors:  make(map[model.GroupKey]model.Instance),
	}
}

// TakeDeliveries returns the deliveries since the last call.
func (c *Acquirer) TakeDeliveries() []Delivery {
	out := c.deliveries
	c.deliveries = nil
	return out
}

// SetDirectory replaces the compositions of the quorum groups.
func (c *Acquirer) SetDirectory(d *quorum.Directory) { c.directory = d }

// Acquire requests want tokens for a request of the customer. The result is
// returned by TakeDeliveries together with deliver.
func (c *Acquirer) Acquire(now time.Time, customer model.Customer, want int, deliver func(Result)) {
	d := c.demandOf(customer)
	r := waitingRequest{want: max(want, 1), waitingSince: now, deliver: deliver}
	if wait := d.dueAt.Sub(now); d.openSequence == 0 && wait > MaxTokenWait {
		c.deliver(r, Result{Customer: customer, Reason: model.ReasonRateLimited, RetryAfter: wait})
		return
	}
	d.waiting = append(d.waiting, r)
	if d.openSequence == 0 && !d.dueAt.After(now) {
		c.sendRequest(now, d)
	}
	c.schedule(now, d)
}

func (c *Acquirer) demandOf(customer model.Customer) *customerDemand {
	d := c.customers[customer]
	if d == nil {
		d = &customerDemand{customer: customer, group: c.directory.RateGroup(customer)}
		c.customers[customer] = d
	}
	return d
}

// AddReports queues reports for the grantor. They are sent with the next token
// request, or on their own after maxReportDelay. A lost report is not sent
// again, since the tokens it is about expire soon anyway.
func (c *Acquirer) AddReports(now time.Time, customer model.Customer, reports []Report) {
	d := c.demandOf(customer)
	if len(d.reports) == 0 {
		d.reportsDueAt = now.Add(maxReportDelay)
	}
	d.reports = append(d.reports, reports...)
	if n := len(d.reports) - maxQueuedReports; n > 0 {
		d.reports = d.reports[n:]
	}
	c.schedule(now, d)
}

// OnAnswer handles the answer to a token request.
func (c *Acquirer) OnAnswer(now time.Time, from model.Instance, a *TokenAnswer) {
	d := c.customers[a.Customer]
	if d == nil || d.openSequence != a.Sequence {
		return
	}
	d.openSequence = 0
	if a.NotGrantor {
		c.handleNonGrantorAnswer(now, d, from, a)
	} else {
		c.handleGrantorAnswer(now, d, from, a)
	}
	c.schedule(now, d)
}

func (c *Acquirer) handleGrantorAnswer(now time.Time, d *customerDemand, from model.Instance, a *TokenAnswer) {
	c.grantors[d.group] = from
	d.attempts, d.answeredAt = 0, now
	if d.term != a.Term {
		d.restartWaits(now, a.Term)
	}
	if a.Granted == 0 {
		d.dueAt = now.Add(a.RetryAfter)
		c.refuseLongWaits(now, d, a.RetryAfter)
		return
	}
	d.dueAt = now
	if d.requestedAt.Add(a.Lifetime).After(now) {
		c.distribute(d, a)
	}
	if len(d.waiting) > 0 {
		c.sendRequest(now, d)
	}
}

func (c *Acquirer) handleNonGrantorAnswer(now time.Time, d *customerDemand, from model.Instance, a *TokenAnswer) {
	delete(c.grantors, d.group)
	d.dueAt = now.Add(grantorSearchInterval)
	if a.Grantor != "" && a.Grantor != from && d.attempts < maxHintsFollowed {
		c.grantors[d.group] = a.Grantor
		c.sendRequest(now, d)
	}
}

// OnPaused restarts the waiting time of all requests, since the delay was
// caused by a pause of this process and not by the customers.
func (c *Acquirer) OnPaused(now time.Time) {
	for _, d := range c.customers {
		d.restartWaits(now, d.term)
	}
}

// restartWaits restarts the waiting time of all requests at a new grantor. Its
// bucket started empty, and the customer's requests must not be refused
// because of that.
func (d *customerDemand) restartWaits(now time.Time, term uint64) {
	d.term = term
	for i := range d.waiting {
		d.waiting[i].waitingSince = now
	}
}

// maxHintsFollowed bounds how many hints about the grantor are followed
// without a delay, since two members with outdated knowledge may name each
// other.
const maxHintsFollowed = 4

// distribute gives the granted tokens to the waiting requests in order of
// arrival.
func (c *Acquirer) distribute(d *customerDemand, a *TokenAnswer) {
	remaining := a.Granted
	grant := Grant{Customer: d.customer, Group: d.group.Group, Term: a.Term, ID: a.Sequence, Expiry: d.requestedAt.Add(a.Lifetime)}
	for remaining > 0 && len(d.waiting) > 0 {
		r := d.waiting[0]
		d.waiting = d.waiting[1:]
		grant.Count = min(remaining, r.want)
		remaining -= grant.Count
		result := Result{Customer: d.customer, Grant: grant}
		if grant.Count < r.want {
			result.RetryAfter = a.RetryAfter
		}
		c.deliver(r, result)
	}
}

// refuseLongWaits refuses the requests that would have to wait longer than
// MaxTokenWait for a token.
func (c *Acquirer) refuseLongWaits(now time.Time, d *customerDemand, retryAfter time.Duration) {
	kept := d.waiting[:0]
	for _, r := range d.waiting {
		if now.Add(retryAfter).Sub(r.waitingSince) <= MaxTokenWait {
			kept = append(kept, r)
			continue
		}
		c.deliver(r, Result{Customer: d.customer, Reason: model.ReasonRateLimited, RetryAfter: retryAfter})
	}
	d.waiting = kept
}

func (c *Acquirer) deliver(r waitingRequest, result Result) {
	c.deliveries = append(c.deliveries, Delivery{Deliver: r.deliver, Result: result})
}

// Tick repeats token requests and refuses requests for which no grantor was
// found in time. It returns the time of the next timer.
func (c *Acquirer) Tick(now time.Time) time.Time {
	for {
		d, ok := c.timers.PopDue(now)
		if !ok {
			return c.timers.Next()
		}
		if len(d.reports) > 0 && !d.reportsDueAt.After(now) {
			c.sendReports(d)
		}
		if !d.dueAt.After(now) {
			c.handleTimer(now, d)
		}
		c.schedule(now, d)
	}
}

// schedule sets the next timer of a customer, or removes a customer for which
// nothing is left to do.
func (c *Acquirer) schedule(now time.Time, d *customerDemand) {
	switch {
	case len(d.reports) > 0 && (!d.dueAt.After(now) || d.reportsDueAt.Before(d.dueAt)):
		c.timers.Set(d, d.reportsDueAt)
	case d.dueAt.After(now):
		c.timers.Set(d, d.dueAt)
	default:
		c.timers.Remove(d)
		delete(c.customers, d.customer)
	}
}

func (c *Acquirer) handleTimer(now time.Time, d *customerDemand) {
	if d.openSequence != 0 {
		delete(c.grantors, d.group)
	}
	kept := d.waiting[:0]
	for _, r := range d.waiting {
		if now.Sub(later(r.waitingSince, d.answeredAt)) < MaxGrantorWait {
			kept = append(kept, r)
			continue
		}
		c.deliver(r, Result{Customer: d.customer, Reason: model.ReasonRateUnavailable, RetryAfter: time.Second})
	}
	d.waiting = kept
	d.openSequence = 0
	if len(d.waiting) > 0 {
		c.sendRequest(now, d)
	}
}

// sendRequest sends one token request for all waiting requests of a customer.
func (c *Acquirer) sendRequest(now time.Time, d *customerDemand) {
	d.group = c.directory.RateGroup(d.customer)
	to, ok := c.grantors[d.group]
	composition := c.directory.LeaseEpoch(d.group, now)
	if !ok && composition == nil {
		d.openSequence = 0
		d.dueAt = now.Add(grantorSearchInterval)
		return
	}
	if !ok {
		to = composition.Members[d.attempts%len(composition.Members)].Instance
	}
	d.attempts++
	c.sequence++
	d.openSequence, d.requestedAt, d.dueAt = c.sequence, now, now.Add(answerTimeout)
	c.Send(to, &TokenRequest{Key: d.group, Customer: d.customer, Want: d.wantedTokens(), Sequence: d.openSequence, Reports: d.reports})
	d.reports = nil
}

func (c *Acquirer) sendReports(d *customerDemand) {
	if to, ok := c.grantors[d.group]; ok {
		c.Send(to, &TokenRequest{Key: d.group, Customer: d.customer, Reports: d.reports})
	}
	d.reports = nil
}

func (d *customerDemand) wantedTokens() int {
	n := 0
	for _, r := range d.waiting {
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
