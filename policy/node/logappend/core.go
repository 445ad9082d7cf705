// Package logappend schedules the appends of a node, or of the operators' client in package
// publish, to the log and retries them. If the outcome of an append is unknown, the stream is
// first searched for the record's id, and the record is appended again only if it is missing,
// so that it is not appended twice.
package logappend

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/charts"
	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/logservice"
)

const (
	// minBackoff is the mean delay after the first failure.
	minBackoff = 200 * time.Millisecond
	// maxBackoff bounds the mean delay between two attempts for a record, and thereby
	// the delay of its append after an outage. 19,000 nodes with one waiting record each
	// make about 1,300 attempts per second, spread by jitter; the log service refuses
	// those beyond its capacity.
	maxBackoff = 15 * time.Second
	// maxInFlight is the maximum number of concurrent appends and searches of one Core.
	maxInFlight = 4
)

// ErrBusy reports that a record was not accepted because too many records wait.
var ErrBusy = errors.New("too many records wait for the log")

// Events of the state chart log_record, in the chart's order.
const (
	eventTimerDue chart.EventID = iota
	eventAppendDone
	eventAppendOutcomeUnknown
	eventAppendRefused
	eventFound
	eventNotFound
	eventSearchFailed
)

// Record is a record that a writer wants to append to the log.
type Record struct {
	Stream string
	ID     string // UUID by which the record is searched for after an append with unknown outcome
	Body   []byte // JSON
	// From is the offset at which a search starts. With zero it starts at the oldest
	// record of the stream, which is slower.
	From logservice.Offset
	// Done is called once with the record's offset, or with an error if the log service
	// has permanently refused the record. It must not block.
	Done func(logservice.Offset, error)
}

// Action is a request to the log service that the owner must execute, an append or a
// search. Its outcome is reported with OnAppend or OnSearch.
type Action struct {
	Record *Record
	Search bool
}

// Core holds the records that are not yet in the log. It is not safe for concurrent use:
// its owner, in a node the appender duty, calls all methods from one thread.
type Core struct {
	rng      *rand.Rand
	machine  *chart.Machine[*entry]
	capacity int
	entries  map[*Record]*entry
	order    []*entry // in order of arrival, to prevent starvation
	inFlight int
	actions  []Action
}

// entry is the state of one record.
type entry struct {
	core           *Core
	record         *Record
	state          chart.StateID
	now            time.Time
	dueAt          time.Time // when the next append or search is due; zero while one is in progress
	backoff        time.Duration
	outcomeUnknown bool
	offset         logservice.Offset
	err            error
}

// New returns a core that holds at most capacity records.
func New(rng *rand.Rand, capacity int) *Core {
	return &Core{rng: rng, machine: newMachine(), capacity: capacity, entries: make(map[*Record]*entry)}
}

func newMachine() *chart.Machine[*entry] {
	return chart.MustCompile(charts.MustRead("log_record"), chart.Binding[*entry]{
		States: []string{"waiting", "appending", "searching", "appended", "refused"},
		Events: []string{"timer_due", "append_done", "append_outcome_unknown", "append_refused", "found", "not_found", "search_failed"},
		Guards: map[string]func(*entry) bool{
			"outcome_unknown": func(e *entry) bool { return e.outcomeUnknown },
		},
		Actions: map[string]func(*entry){
			"append":               func(e *entry) { e.emit(Action{Record: e.record}) },
			"search":               func(e *entry) { e.emit(Action{Record: e.record, Search: true}) },
			"back_off":             (*entry).backOff,
			"mark_outcome_unknown": func(e *entry) { e.outcomeUnknown = true },
			"report_done":          func(e *entry) { e.report(e.offset, nil) },
			"report_refused":       func(e *entry) { e.report(0, e.err) },
		},
	})
}

// Len returns the number of records that are not yet in the log.
func (c *Core) Len() int { return len(c.entries) }

// Add queues a record. It returns ErrBusy if the core already holds capacity records.
func (c *Core) Add(now time.Time, r *Record) error {
	if len(c.entries) >= c.capacity {
		return ErrBusy
	}
	e := &entry{core: c, record: r, dueAt: now, backoff: minBackoff}
	c.entries[r] = e
	c.order = append(c.order, e)
	return nil
}

// OnAppend handles the outcome of an append.
func (c *Core) OnAppend(now time.Time, r *Record, offset logservice.Offset, err error) {
	e := c.completeAction(r)
	if e == nil {
		return
	}
	e.offset, e.err = offset, err
	switch {
	case err == nil:
		c.step(now, e, eventAppendDone)
	case errors.Is(err, logservice.ErrTooLarge):
		c.step(now, e, eventAppendRefused)
	default:
		c.step(now, e, eventAppendOutcomeUnknown)
	}
}

// OnSearch handles the outcome of a search.
func (c *Core) OnSearch(now time.Time, r *Record, offset logservice.Offset, found bool, err error) {
	e := c.completeAction(r)
	if e == nil {
		return
	}
	e.offset, e.err = offset, err
	switch {
	case err != nil:
		c.step(now, e, eventSearchFailed)
	case found:
		c.step(now, e, eventFound)
	default:
		c.step(now, e, eventNotFound)
	}
}

// Tick starts the appends and searches that are due, up to maxInFlight concurrently. It
// returns the time at which the next one is due, or zero if none is due later.
func (c *Core) Tick(now time.Time) time.Time {
	var next time.Time
	for _, e := range c.order {
		if e.dueAt.IsZero() {
			continue
		}
		if e.dueAt.After(now) {
			if next.IsZero() || e.dueAt.Before(next) {
				next = e.dueAt
			}
			continue
		}
		if c.inFlight == maxInFlight {
			continue
		}
		c.step(now, e, eventTimerDue)
	}
	return next
}

// Actions returns and clears the actions decided since the last call.
func (c *Core) Actions() []Action {
	actions := c.actions
	c.actions = nil
	return actions
}

// completeAction counts the end of a record's action and returns the record's entry, or
// nil if the record is unknown.
func (c *Core) completeAction(r *Record) *entry {
	e := c.entries[r]
	if e != nil {
		c.inFlight--
	}
	return e
}

func (c *Core) step(now time.Time, e *entry, event chart.EventID) {
	e.now = now
	e.state = c.machine.Step(e, e.state, event)
	if c.machine.Final(e.state) {
		c.remove(e)
	}
}

func (c *Core) remove(e *entry) {
	delete(c.entries, e.record)
	for i, other := range c.order {
		if other == e {
			c.order = append(c.order[:i:i], c.order[i+1:]...)
			return
		}
	}
}

func (e *entry) emit(a Action) {
	e.dueAt = time.Time{}
	e.core.inFlight++
	e.core.actions = append(e.core.actions, a)
}

// backOff schedules the next append or search with jitter and doubles the backoff.
func (e *entry) backOff() {
	jitter := time.Duration(e.core.rng.Int64N(int64(e.backoff)))
	e.dueAt = e.now.Add(e.backoff/2 + jitter)
	e.backoff = min(2*e.backoff, maxBackoff)
}

func (e *entry) report(offset logservice.Offset, err error) {
	if e.record.Done != nil {
		e.record.Done(offset, err)
	}
}
