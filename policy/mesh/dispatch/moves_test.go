package dispatch

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/model/graph"
)

// Guards against a request that reaches more targets than its route allows, or is moved more
// than maxMoves times, because targets that are not full reject it; and against moves after
// such rejections that are not charged.
func TestMovesAfterRejectionsAreBounded(t *testing.T) {
	for attempts, want := range map[int]int{1: 1, 2: 2, 3: 3, 6: 1 + maxMoves} {
		c := newCore(t)
		for i := range 6 {
			c.OnReport(start, report(model.Instance(fmt.Sprintf("10.0.0.%d:7000", 10+i)), "north", model.TargetServing))
		}
		for range 100 { // the budget is not what bounds the moves
			c.budgetFor(service).onFirstAttempt(start, &model.Call{})
		}
		c.OnConfig(start, config(t, 2, func(r *graph.Route) { r.MaxAttempts = attempts }), nil)
		c.OnRequest(start, newRequest("/marks/1"))
		before := c.budgetFor(service).tokens
		sent := 0
		for d := onlyDecision(t, c); d.Answer == nil; d = onlyDecision(t, c) {
			sent++
			refusal := notRunAnswer(d.ID, model.ReasonShed)
			refusal.Status = http.StatusServiceUnavailable
			c.OnAnswer(start, d.Peer, refusal)
		}
		assert.Equal(t, sent, want, "route with %d attempts", attempts)
		assert.Equal(t, c.budgetFor(service).tokens, before-float64(sent-1))
	}
}
