package agent

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/oleanderworks/oleanderworks/logservice/memlog"
	"github.com/oleanderworks/oleanderworks/model"
)

// Guards, with two nodes and many callers, against more concurrent calls at a target
// than it has slots, and against a call that is reported as not run although the
// target ran it.
func TestOverloadDoesNotExceedTargetSlots(t *testing.T) {
	const slots, callers = 2, 150
	var running, maxRunning, served atomic.Int64
	target := startTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		now := running.Add(1)
		defer running.Add(-1)
		for seen := maxRunning.Load(); now > seen && !maxRunning.CompareAndSwap(seen, now); seen = maxRunning.Load() {
		}
		time.Sleep(20 * time.Millisecond)
		served.Add(1)
	})
	log := memlog.New(time.Now, memlog.DefaultRetention)
	publish(t, log, map[string]any{
		model.FleetDocument: model.FleetConfig{Classes: []model.Class{"lookup"}, RetryBudget: 2},
		"service/registry":  model.ServiceConfig{Slots: slots, Routes: []model.Route{{Prefix: "/", Class: "lookup", Open: true}}},
		"service/tally":     model.ServiceConfig{Slots: slots, Routes: []model.Route{{Prefix: "/", Class: "lookup", Open: true, Idempotent: true}}},
	})
	entry := startNode(t, log, "registry-1", "registry", target)
	startNode(t, log, "tally-1", "tally", target)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if resp, text := call(t, entry, http.MethodGet, "/tally/count", nil); resp.StatusCode != http.StatusOK {
			return poll.Continue("status %d: %s", resp.StatusCode, text)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(10*time.Millisecond))

	served.Store(0)
	maxRunning.Store(0)
	var completed, shed atomic.Int64
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			resp, text := call(t, entry, http.MethodGet, "/tally/count", nil)
			switch run := resp.Header.Get("Oleander-Run"); run {
			case "completed":
				completed.Add(1)
			case "not-run":
				shed.Add(1)
				assert.Check(t, resp.Header.Get("Retry-After") != "", text)
			default:
				t.Errorf("run %q: %s", run, text)
			}
		})
	}
	wg.Wait()
	assert.Equal(t, completed.Load(), served.Load())
	assert.Equal(t, completed.Load()+shed.Load(), int64(callers))
	assert.Assert(t, shed.Load() > 0 && completed.Load() > 0, "completed %d, shed %d", completed.Load(), shed.Load())
	assert.Assert(t, maxRunning.Load() <= slots, "%d calls ran at once", maxRunning.Load())
}
