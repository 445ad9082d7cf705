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
	searchInterval = 50 * time.Millisecond
	// reportDelay bounds how long a report waits for a question to go with.
	reportDelay = 5 * time.Millisecond
	// maxReports bounds the reports of a customer that wait.
	maxReports = 256
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
	customers  map[model.Customer]*demand
	grantors   map[model.GroupKey]model.Instance
	timers     *timers.Queue[*demand]
	sequence   uint64
	deliveries []Delivery
}

// demand is what waits for tokens of one customer.
type demand struct {
	customer model.Customer
	key      model.GroupKey
	waiting  []request
	sequence uint64 // of the question under way; 0 when there is none
	askedAt  time.Time
	due      time.Time // end of the wait for an answer, or next question
	tries    int       // members asked since the latest answer of a grantor
	foundAt  time.Time // latest answer of a grantor
	term     uint64    // of the latest grantor
	reports  []Report
	reportAt time.Time // when reports go without a question
}

type request struct {
	want    int
	since   time.Time
	deliver func(Result)
}

// NewAcquirer returns an acquirer that knows no configuration yet. The ids of
// grants start at random, so that a restarted node does not use the ids of
// grants that still live.
func NewAcquirer(rng *rand.Rand) *Acquirer {
	return &Acquirer{
		timers:    timers.New[*demand](),
		sequence:  rng.Uint64N(1 << 48),
		directory: quorum.NewDirectory("", nil),
		customers: make(map[model.Customer]*demand),
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
	d := c.demand(customer)
	r := request{want: max(want, 1), since: now, deliver: deliver}
	if wait := d.due.Sub(now); d.sequence == 0 && wait > MaxTokenWait {
		c.deliver(r, Result{Customer: customer, Reason: model.ReasonRateLimited, RetryAfter: wait})
		return
	}
	d.waiting = append(d.waiting, r)
	if d.sequence == 0 && !d.due.After(now) {
		c.ask(now, d)
	}
	c.plan(now, d)
}

func (c *Acquirer) demand(customer model.Customer) *demand {
	d := c.customers[customer]
	if d == nil {
		d = &demand{customer: customer, key: c.directory.RateGroup(customer)}
		c.customers[customer] = d
	}
	return d
}

// AddReports takes reports for the grantor. They go with the next question, or
// alone after reportDelay. One that is lost is not sent again: the life of
// its tokens ends soon.
func (c *Acquirer) AddReports(now time.Time, customer model.Customer, reports []Report) {
	d := c.demand(customer)
	if len(d.reports) == 0 {
		d.reportAt = now.Add(reportDelay)
	}
	d.reports = append(d.reports, reports...)
	if n := len(d.reports) - maxReports; n > 0 {
		d.reports = d.reports[n:]
	}
	c.plan(now, d)
}

// OnAnswer takes the answer to a question.
func (c *Acquirer) OnAnswer(now time.Time, from model.Instance, a *TokenAnswer) {
	d := c.customers[a.Customer]
	if d == nil || d.sequence != a.Sequence {
		return
	}
	d.sequence = 0
	if a.NotGrantor {
		c.onNotGrantor(now, d, from, a)
	} else {
		c.onGrantor(now, d, from, a)
	}
	c.plan(now, d)
}

func (c *Acquirer) onGrantor(now time.Time, d *demand, from model.Instance, a *TokenAnswer) {
	c.grantors[d.key] = from
	d.tries, d.foundAt = 0, now
	if d.term != a.Term {
		d.restart(now, a.Term)
	}
	if a.Granted == 0 {
		d.due = now.Add(a.RetryAfter)
		c.refuse(now, d, a.RetryAfter)
		return
	}
	d.due = now
	if d.askedAt.Add(a.Lifetime).After(now) {
		c.share(d, a)
	}
	if len(d.waiting) > 0 {
		c.ask(now, d)
	}
}

func (c *Acquirer) onNotGrantor(now time.Time, d *demand, from model.Instance, a *TokenAnswer) {
	delete(c.grantors, d.key)
	d.due = now.Add(searchInterval)
	if a.Grantor != "" && a.Grantor != from && d.tries < maxHints {
		c.grantors[d.key] = a.Grantor
		c.ask(now, d)
	}
}

// OnPaused begins all waits anew: the process, not the customers, was late.
func (c *Acquirer) OnPaused(now time.Time) {
	for _, d := range c.customers {
		d.restart(now, d.term)
	}
}

// restart begins the wait of all requests anew at a new grantor, whose bucket
// started empty: its customers are not to pay for the change.
func (d *demand) restart(now time.Time, term uint64) {
	d.term = term
	for i := range d.waiting {
		d.waiting[i].since = now
	}
}

// maxHints bounds how often a hint is followed at once, since two members
// with old knowledge may name each other.
const maxHints = 4

// share hands the granted tokens to the waiting requests in order.
func (c *Acquirer) share(d *demand, a *TokenAnswer) {
	left := a.Granted
	grant := Grant{Customer: d.customer, Group: d.key.Group, Term: a.Term, ID: a.Sequence, Expiry: d.askedAt.Add(a.Lifetime)}
	for left > 0 && len(d.waiting) > 0 {
		r := d.waiting[0]
		d.waiting = d.waiting[1:]
		grant.Count = min(left, r.want)
		left -= grant.Count
		result := Result{Customer: d.customer, Grant: grant}
		if grant.Count < r.want {
			result.RetryAfter = a.RetryAfter
		}
		c.deliver(r, result)
	}
}

// refuse answers requests that would wait longer than MaxTokenWait for a token.
func (c *Acquirer) refuse(now time.Time, d *demand, retryAfter time.Duration) {
	kept := d.waiting[:0]
	for _, r := range d.waiting {
		if now.Add(retryAfter).Sub(r.since) <= MaxTokenWait {
			kept = append(kept, r)
			continue
		}
		c.deliver(r, Result{Customer: d.customer, Reason: model.ReasonRateLimited, RetryAfter: retryAfter})
	}
	d.waiting = kept
}

func (c *Acquirer) deliver(r request, result Result) {
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
		if len(d.reports) > 0 && !d.reportAt.After(now) {
			c.sendReports(d)
		}
		if !d.due.After(now) {
			c.onDue(now, d)
		}
		c.plan(now, d)
	}
}

// plan sets the next event of a customer, or forgets one without any.
func (c *Acquirer) plan(now time.Time, d *demand) {
	switch {
	case len(d.reports) > 0 && (!d.due.After(now) || d.reportAt.Before(d.due)):
		c.timers.Set(d, d.reportAt)
	case d.due.After(now):
		c.timers.Set(d, d.due)
	default:
		c.timers.Remove(d)
		delete(c.customers, d.customer)
	}
}

func (c *Acquirer) onDue(now time.Time, d *demand) {
	if d.sequence != 0 {
		delete(c.grantors, d.key)
	}
	kept := d.waiting[:0]
	for _, r := range d.waiting {
		if now.Sub(later(r.since, d.foundAt)) < MaxGrantorWait {
			kept = append(kept, r)
			continue
		}
		c.deliver(r, Result{Customer: d.customer, Reason: model.ReasonRateUnavailable, RetryAfter: time.Second})
	}
	d.waiting = kept
	d.sequence = 0
	if len(d.waiting) > 0 {
		c.ask(now, d)
	}
}

// ask sends one question for all that waits.
func (c *Acquirer) ask(now time.Time, d *demand) {
	d.key = c.directory.RateGroup(d.customer)
	to, ok := c.grantors[d.key]
	record := c.directory.LeaseEpoch(d.key, now)
	if !ok && record == nil {
		d.sequence = 0
		d.due = now.Add(searchInterval)
		return
	}
	if !ok {
		to = record.Members[d.tries%len(record.Members)].Instance
	}
	d.tries++
	c.sequence++
	d.sequence, d.askedAt, d.due = c.sequence, now, now.Add(answerTimeout)
	c.Send(to, &TokenRequest{Key: d.key, Customer: d.customer, Want: d.want(), Sequence: d.sequence, Reports: d.reports})
	d.reports = nil
}

func (c *Acquirer) sendReports(d *demand) {
	if to, ok := c.grantors[d.key]; ok {
		c.Send(to, &TokenRequest{Key: d.key, Customer: d.customer, Reports: d.reports})
	}
	d.reports = nil
}

func (d *demand) want() int {
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
