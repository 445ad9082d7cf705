package tokenlease

import (
	"math/rand/v2"
	"time"

	"github.com/oleanderworks/oleanderworks/core/timers"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/quorum"
)

const (
	// answerTimeout is the wait for one answer before another member is asked.
	answerTimeout = 150 * time.Millisecond
	// searchInterval separates questions while no grantor is known.
	grantorSearchInterval = 50 * time.Millisecond
	// reportDelay bounds how long a report waits for a question to go with.
	maxReportDelay = 5 * time.Millisecond
	// maxReports bounds the reports of a customer that wait.
	maxQueuedReports = 256
	// MaxTokenWait is how long a request waits for its customer's next token. A
	// customer that keeps to its rate has one within a token life, or within
	// the 2 s that it lacked a grantor.
	MaxTokenWait = 3 * time.Second
	// MaxGrantorWait is how long a request waits for a grantor. A lost grantor is
	// followed after its lease of 2 s, or after 2 s in a new composition.
	MaxGrantorWait = 5 * time.Second
)

// Delivery is a result for one request of the routing duty.
type Delivery struct {
	Deliver func(Result)
	Result  Result
}

// Acquirer asks grantors for tokens on behalf of this node. It has at most
// one question under way for each customer, so that no customer fills the
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

// demand is what waits for tokens of one customer.
type customerDemand struct {
	customer     model.Customer
	group        model.GroupKey
	waiting      []waitingRequest
	openSequence uint64 // of the question under way; 0 when there is none
	requestedAt  time.Time
	dueAt        time.Time // end of the wait for an answer, or next question
	attempts     int       // members asked since the latest answer of a grantor
	answeredAt   time.Time // latest answer of a grantor
	term         uint64    // of the latest grantor
	reports      []Report
	reportsDueAt time.Time // when reports go without a question
}

type waitingRequest struct {
	want         int
	waitingSince time.Time
	deliver      func(Result)
}

// NewAcquirer returns an acquirer that knows no configuration yet. The ids of
// grants start at random, so that a restarted node does not use the ids of
// grants that still live.
func NewAcquirer(rng *rand.Rand) *Acquirer {
	return &Acquirer{
		timers:    timers.New[*customerDemand](),
		sequence:  rng.Uint64N(1 << 48),
		directory: quorum.NewDirectory("", nil),
		customers: make(map[model.Customer]*customerDemand),
		grantors:  make(map[model.GroupKey]model.Instance),
	}
}

// TakeDeliveries returns the results since the last call.
func (c *Acquirer) TakeDeliveries() []Delivery {
	out := c.deliveries
	c.deliveries = nil
	return out
}

// SetDirectory takes new compositions.
func (c *Acquirer) SetDirectory(d *quorum.Directory) { c.directory = d }

// Acquire asks for want tokens. deliver is handed out with the result.
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

// AddReports takes reports for the grantor. They go with the next question, or
// alone after reportDelay. One that is lost is not sent again: the life of
// its tokens ends soon.
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

// OnAnswer takes the answer to a question.
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

// OnPaused begins all waits anew: the process, not the customers, was late.
func (c *Acquirer) OnPaused(now time.Time) {
	for _, d := range c.customers {
		d.restartWaits(now, d.term)
	}
}

// restart begins the wait of all requests anew at a new grantor, whose bucket
// started empty: its customers are not to pay for the change.
func (d *customerDemand) restartWaits(now time.Time, term uint64) {
	d.term = term
	for i := range d.waiting {
		d.waiting[i].waitingSince = now
	}
}

// maxHints bounds how often a hint is followed at once, since two members
// with old knowledge may name each other.
const maxHintsFollowed = 4

// share hands the granted tokens to the waiting requests in order.
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

// refuse answers requests that would wait longer than MaxTokenWait for a token.
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

// Tick repeats questions and ends those that found no grantor. It returns the
// time of the next event.
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

// plan sets the next event of a customer, or forgets one without any.
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

// ask sends one question for all that waits.
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
