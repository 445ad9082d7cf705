package logappend

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/logservice"
)

type simulation struct {
	core *Core
	now  time.Time
}

func newSimulation(capacity int) *simulation {
	return &simulation{core: New(rand.New(rand.NewPCG(1, 1)), capacity), now: time.Unix(1_700_000_000, 0)}
}

// nextAction advances the time to the next action and returns it.
func (r *simulation) nextAction(t *testing.T) Action {
	t.Helper()
	for range 100 {
		due := r.core.Tick(r.now)
		if actions := r.core.Actions(); len(actions) > 0 {
			assert.Equal(t, len(actions), 1)
			return actions[0]
		}
		assert.Assert(t, !due.IsZero(), "nothing is planned")
		r.now = due
	}
	t.Fatal("no action")
	return Action{}
}

// Guards against a second append after a lost answer before the log was searched for
// the record.
func TestLostAnswerIsSearchedFirst(t *testing.T) {
	r := newSimulation(1)
	var offset logservice.Offset
	reports := 0
	record := &Record{Done: func(o logservice.Offset, err error) { offset, reports = o, reports+1 }}
	assert.NilError(t, r.core.Add(r.now, record))
	assert.Assert(t, !r.nextAction(t).Search)
	r.core.OnAppend(r.now, record, 0, logservice.ErrUnavailable)
	assert.Assert(t, r.nextAction(t).Search)
	r.core.OnSearch(r.now, record, 0, false, logservice.ErrUnavailable)
	assert.Assert(t, r.nextAction(t).Search)
	r.core.OnSearch(r.now, record, 0, false, nil)
	assert.Assert(t, !r.nextAction(t).Search)
	r.core.OnAppend(r.now, record, 0, logservice.ErrUnavailable)
	assert.Assert(t, r.nextAction(t).Search)
	r.core.OnSearch(r.now, record, 7, true, nil)
	assert.Equal(t, offset, logservice.Offset(7))
	assert.Equal(t, reports, 1)
	assert.Equal(t, r.core.Len(), 0)
}

// Guards against a queue that grows without bound during an outage, and against
// retrying a record that the log refuses for good.
func TestQueueBoundAndRefusedRecord(t *testing.T) {
	r := newSimulation(1)
	var failure error
	record := &Record{Done: func(_ logservice.Offset, err error) { failure = err }}
	assert.NilError(t, r.core.Add(r.now, record))
	assert.ErrorIs(t, r.core.Add(r.now, &Record{}), ErrBusy)
	r.nextAction(t)
	r.core.OnAppend(r.now, record, 0, logservice.ErrTooLarge)
	assert.Assert(t, errors.Is(failure, logservice.ErrTooLarge))
	assert.NilError(t, r.core.Add(r.now, &Record{}))
}

// Guards against calling the log service too often during an outage: a record must be
// tried less than once in four seconds on average.
func TestOutageCausesFewCalls(t *testing.T) {
	r := newSimulation(1)
	record := &Record{Done: func(logservice.Offset, error) {}}
	assert.NilError(t, r.core.Add(r.now, record))
	began, calls := r.now, 0
	for r.now.Sub(began) < time.Hour {
		calls++
		if r.nextAction(t).Search {
			r.core.OnSearch(r.now, record, 0, false, logservice.ErrUnavailable)
		} else {
			r.core.OnAppend(r.now, record, 0, logservice.ErrUnavailable)
		}
	}
	t.Logf("%d calls in an hour of outage", calls)
	assert.Assert(t, calls < 3600/4)
}
