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

// nextAction advances the simulated time to the next action and returns the action.
func (s *simulation) nextAction(t *testing.T) Action {
	t.Helper()
	for range 100 {
		due := s.core.Tick(s.now)
		if actions := s.core.Actions(); len(actions) > 0 {
			assert.Equal(t, len(actions), 1)
			return actions[0]
		}
		assert.Assert(t, !due.IsZero(), "no action is scheduled")
		s.now = due
	}
	t.Fatal("no action in 100 ticks")
	return Action{}
}

// Guards against appending a record a second time after an append with unknown outcome
// without searching the log for it first.
func TestLogIsSearchedBeforeSecondAppend(t *testing.T) {
	s := newSimulation(1)
	var offset logservice.Offset
	reports := 0
	record := &Record{Done: func(o logservice.Offset, err error) { offset, reports = o, reports+1 }}
	assert.NilError(t, s.core.Add(s.now, record))
	assert.Assert(t, !s.nextAction(t).Search)
	s.core.OnAppend(s.now, record, 0, logservice.ErrUnavailable)
	assert.Assert(t, s.nextAction(t).Search)
	s.core.OnSearch(s.now, record, 0, false, logservice.ErrUnavailable)
	assert.Assert(t, s.nextAction(t).Search)
	s.core.OnSearch(s.now, record, 0, false, nil)
	assert.Assert(t, !s.nextAction(t).Search)
	s.core.OnAppend(s.now, record, 0, logservice.ErrUnavailable)
	assert.Assert(t, s.nextAction(t).Search)
	s.core.OnSearch(s.now, record, 7, true, nil)
	assert.Equal(t, offset, logservice.Offset(7))
	assert.Equal(t, reports, 1)
	assert.Equal(t, s.core.Len(), 0)
}

// Guards against unbounded growth of the queue during an outage, and against retrying a
// record that the log service permanently refuses.
func TestQueueBoundAndRefusedRecord(t *testing.T) {
	s := newSimulation(1)
	var failure error
	record := &Record{Done: func(_ logservice.Offset, err error) { failure = err }}
	assert.NilError(t, s.core.Add(s.now, record))
	assert.ErrorIs(t, s.core.Add(s.now, &Record{}), ErrBusy)
	s.nextAction(t)
	s.core.OnAppend(s.now, record, 0, logservice.ErrTooLarge)
	assert.Assert(t, errors.Is(failure, logservice.ErrTooLarge))
	assert.NilError(t, s.core.Add(s.now, &Record{}))
}

// Guards against calling the log service too often during an outage: there must be less
// than one call per record in four seconds on average.
func TestOutageCausesFewCalls(t *testing.T) {
	s := newSimulation(1)
	record := &Record{Done: func(logservice.Offset, error) {}}
	assert.NilError(t, s.core.Add(s.now, record))
	outageStart, calls := s.now, 0
	for s.now.Sub(outageStart) < time.Hour {
		calls++
		if s.nextAction(t).Search {
			s.core.OnSearch(s.now, record, 0, false, logservice.ErrUnavailable)
		} else {
			s.core.OnAppend(s.now, record, 0, logservice.ErrUnavailable)
		}
	}
	t.Logf("%d calls in an hour of outage", calls)
	assert.Assert(t, calls < 3600/4)
}
