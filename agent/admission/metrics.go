package admission

import (
	"expvar"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/admission"
)

// metrics holds the metrics of the admission duty. Only the duty's thread
// updates them.
type metrics struct {
	vars    *expvar.Map
	state   *expvar.String // in the state chart target
	limit   *expvar.Int    // of calls that run concurrently
	running *expvar.Int
	waiting *expvar.Int
	sojourn *expvar.Int // recent minimum of the time that calls spend in the queue, in us
	started *expvar.Int // calls that were admitted
	changes *expvar.Int // of the target's state
	refused *expvar.Map // refused calls by reason
}

func newMetrics(core *admission.Core) *metrics {
	m := &metrics{
		vars:    new(expvar.Map).Init(),
		state:   new(expvar.String),
		limit:   new(expvar.Int),
		running: new(expvar.Int),
		waiting: new(expvar.Int),
		sojourn: new(expvar.Int),
		started: new(expvar.Int),
		changes: new(expvar.Int),
		refused: new(expvar.Map).Init(),
	}
	m.vars.Set("state", m.state)
	m.vars.Set("limit", m.limit)
	m.vars.Set("running", m.running)
	m.vars.Set("waiting", m.waiting)
	m.vars.Set("sojourn_us", m.sojourn)
	m.vars.Set("started", m.started)
	m.vars.Set("state_changes", m.changes)
	m.vars.Set("refused", m.refused)
	m.state.Set(core.State())
	return m
}

func (m *metrics) onRefusal(r model.Reason) { m.refused.Add(string(r), 1) }

func (m *metrics) onSignal(s admission.Signal) {
	m.changes.Add(1)
	m.state.Set(s.To)
}

func (m *metrics) publish(l model.Load) {
	m.limit.Set(int64(l.Limit))
	m.running.Set(int64(l.InFlight))
	m.waiting.Set(int64(l.Queued))
	m.sojourn.Set(int64(l.Sojourn / time.Microsecond))
}
