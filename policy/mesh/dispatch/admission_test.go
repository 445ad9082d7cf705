package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
)

// Guards against requests beyond a customer's rate that count as demand for the services
// behind and take the place of other customers' requests there.
func TestRateIsCheckedBeforeTheChain(t *testing.T) {
	c := newCore(t)
	behind := report("10.0.0.9:7000", "north", model.TargetServing)
	behind.Service, behind.Limit, behind.Running, behind.Nested, behind.ShedFraction = "other", 10, 10, 10, 0.9
	c.chain.OnCompleted("lookup", service, []model.ServiceWork{{Service: service, SlotTime: time.Second}, {Service: "other", SlotTime: time.Second}})
	reasons := make(map[model.Reason]int)
	now := start
	for range 200 {
		now = now.Add(20 * time.Millisecond)
		c.OnReport(now, behind)
		r := newRequest("/tags/1")
		r.Key = "key-e" // 2 requests a second
		c.OnRequest(now, r)
		if a := onlyDecision(t, c).Answer; a != nil {
			reasons[a.Reason]++
		}
	}
	assert.Assert(t, reasons[model.ReasonRateLimited] > 100, "%v", reasons)
}
