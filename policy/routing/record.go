package routing

import (
	"time"

	"github.com/oleanderworks/oleanderworks/charts"
	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/model"
)

// Events of the request chart, in the chart's order.
const (
	eventAdmitted chart.EventID = iota
	eventRejected
	eventAnswered
	eventNotRun
	eventFailed
	eventCanceled
)

// maxMoves bounds how often a call that was not run is sent elsewhere. Such a
// move costs no retry budget, since nothing was executed.
const maxMoves = 3

// record is one call at its entry node.
type record struct {
	core    *Core
	now     time.Time
	state   chart.StateID
	request *model.Request
	call    *model.Call
	target  model.Member
	answer  *model.Answer
	tried   []model.Instance
	moves   int
}

func newMachine() *chart.Machine[*record] {
	return chart.MustCompile(charts.MustRead("request"), chart.Binding[*record]{
		States: []string{"received", "sending", "done"},
		Events: []string{"admitted", "rejected", "answered", "not_run", "failed", "canceled"},
		Guards: map[string]func(*record) bool{
			"may_retry": (*record).mayRetry,
		},
		Actions: map[string]func(*record){
			"send_attempt":   (*record).sendAttempt,
			"answer_refusal": (*record).answerCaller,
			"answer_failure": (*record).answerCaller,
			"record_success": func(*record) {},
		},
	})
}

func (r *record) step(e chart.EventID) {
	m := r.core.machine
	r.state = m.Step(r, r.state, e)
	if m.Final(r.state) {
		delete(r.core.calls, r.request.ID)
	}
}

// mayRetry chooses another target for a call that was not run, or that is
// idempotent and has retry budget left.
func (r *record) mayRetry() bool {
	if !r.now.Before(r.call.Deadline) {
		return false
	}
	if r.answer.Run == model.NotRun {
		if r.moves >= maxMoves {
			return false
		}
	} else if !r.call.Idempotent || r.call.RetryBudget == 0 {
		return false
	}
	target, refusal := r.core.choose(r.call, r.tried)
	if refusal != nil {
		return false
	}
	r.target = target
	return true
}

func (r *record) sendAttempt() {
	if r.answer != nil {
		r.call.Attempt++
		r.moves++
		if r.answer.Run != model.NotRun {
			r.call.RetryBudget--
		}
	}
	r.tried = append(r.tried, r.target.Instance)
	r.core.onSend(r.target.Instance)
	attempt := *r.call
	r.core.out = append(r.core.out, Decision{CallID: r.request.ID, Call: &attempt, Target: r.target})
}

func (r *record) answerCaller() {
	r.core.out = append(r.core.out, Decision{CallID: r.request.ID, Answer: r.answer})
}
