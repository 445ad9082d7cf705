package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
)

// Guards against queued calls that run by an older configuration: each change
// must refuse them before the handoff, as not run.
func TestWaitingCallsAreJudgedAgain(t *testing.T) {
	for name, test := range map[string]struct {
		document string
		body     any
		reason   model.Reason
	}{
		"zone out":      {"zone/suva", model.AvailabilityConfig{Out: true}, model.ReasonZoneOut},
		"target out":    {"target/tally-1", model.AvailabilityConfig{Out: true}, model.ReasonTargetOut},
		"key withdrawn": {"key/" + keyOf("c1").String(), model.KeyConfig{Customer: "c1", Withdrawn: true}, model.ReasonKeyUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.warm()
			running := f.arrive("c0", "lookup")
			waiting := f.arrive("c1", "lookup")
			f.docs[test.document] = test.body
			f.configure()
			assert.Equal(t, reasonOf(t, f, waiting), test.reason)
			assert.Assert(t, f.running[running], "the running call was ended")
		})
	}
}

// Guards against a rate token that expired in the queue and is used.
func TestTokenExpiresInQueue(t *testing.T) {
	f := newFixture(t, 1)
	f.warm()
	running := f.arrive("c0", "lookup")
	waiting := f.arrive("c1", "lookup", func(c *model.Call) {
		c.Token = &model.Token{Expiry: f.now.Add(50 * time.Millisecond)}
	})
	f.advance(60 * time.Millisecond)
	f.finish(running, ResultOK)
	assert.Equal(t, reasonOf(t, f, waiting), model.ReasonStaleToken)
}

// Guards against a shutdown that interrupts calls, takes new ones or reports
// empty too early.
func TestDrain(t *testing.T) {
	f := newFixture(t, 1)
	f.warm()
	running := f.arrive("c0", "lookup")
	waiting := f.arrive("c0", "lookup")
	f.core.OnDrain(f.now)
	assert.Equal(t, reasonOf(t, f, f.arrive("c0", "lookup")), model.ReasonTargetLeaving)
	f.finish(running, ResultOK)
	assert.Assert(t, f.running[waiting])
	assert.Equal(t, f.state(), "draining")
	f.finish(waiting, ResultOK)
	assert.Equal(t, f.state(), "drained")
	assert.Assert(t, f.signals[len(f.signals)-2].Drained)
}

// Guards against a returning target that gets full load at once.
func TestReturnedTargetIsCold(t *testing.T) {
	f := newColdFixture(t)
	f.warm()
	f.docs["zone/suva"] = model.AvailabilityConfig{Out: true}
	f.configure()
	assert.Equal(t, f.state(), "out")
	f.docs["zone/suva"] = model.AvailabilityConfig{}
	f.configure()
	assert.Equal(t, f.state(), "cold")
	assert.Equal(t, f.core.slots(), 10)
}
