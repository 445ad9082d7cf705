package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
)

// Guards against queued calls that run although a new configuration forbids them:
// they must be refused as not run.
func TestQueuedCallsAreCheckedOnConfigChange(t *testing.T) {
	for name, tc := range map[string]struct {
		document string
		body     any
		reason   model.Reason
	}{
		"zone out":      {"zone/suva", model.AvailabilityConfig{OutOfService: true}, model.ReasonZoneOut},
		"target out":    {"target/tally-1", model.AvailabilityConfig{OutOfService: true}, model.ReasonTargetOut},
		"key withdrawn": {"key/" + keyOf("c1").String(), model.KeyConfig{Customer: "c1", Withdrawn: true}, model.ReasonKeyUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.setWarm()
			running := f.arrive("c0", "lookup")
			waiting := f.arrive("c1", "lookup")
			f.docs[tc.document] = tc.body
			f.publishConfig()
			assert.Equal(t, refusalReasonOf(t, f, waiting), tc.reason)
			assert.Assert(t, f.running[running], "the running call was ended")
		})
	}
}

// Guards against handing over a call whose rate token expired in the queue.
func TestExpiredTokenIsRefusedAtDequeue(t *testing.T) {
	f := newFixture(t, 1)
	f.setWarm()
	running := f.arrive("c0", "lookup")
	waiting := f.arrive("c1", "lookup", func(c *model.Call) {
		c.Token = &model.Token{Expiry: f.now.Add(50 * time.Millisecond)}
	})
	f.advance(60 * time.Millisecond)
	f.finish(running, ResultOK)
	assert.Equal(t, refusalReasonOf(t, f, waiting), model.ReasonStaleToken)
}

// Guards against a shutdown that interrupts calls, accepts new ones or reports
// the end of the drain before the last call has ended.
func TestDrainEndsCallsAndRefusesNewOnes(t *testing.T) {
	f := newFixture(t, 1)
	f.setWarm()
	running := f.arrive("c0", "lookup")
	waiting := f.arrive("c0", "lookup")
	f.core.OnDrain(f.now)
	assert.Equal(t, refusalReasonOf(t, f, f.arrive("c0", "lookup")), model.ReasonTargetLeaving)
	f.finish(running, ResultOK)
	assert.Assert(t, f.running[waiting])
	assert.Equal(t, f.state(), "draining")
	f.finish(waiting, ResultOK)
	assert.Equal(t, f.state(), "drained")
	assert.Assert(t, f.signals[len(f.signals)-2].Drained) // the last signal is the change of state
}

// Guards against full load on a target that has just returned to service.
func TestTargetBackInServiceIsCold(t *testing.T) {
	f := newColdFixture(t)
	f.setWarm()
	f.docs["zone/suva"] = model.AvailabilityConfig{OutOfService: true}
	f.publishConfig()
	assert.Equal(t, f.state(), "out")
	f.docs["zone/suva"] = model.AvailabilityConfig{}
	f.publishConfig()
	assert.Equal(t, f.state(), "cold")
	assert.Equal(t, f.core.currentLimit(), 10)
}
