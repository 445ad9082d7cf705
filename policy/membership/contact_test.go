package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
)

// fleet runs cores that send each other heartbeats with their age of contact.
type fleet struct {
	cores map[model.Instance]*Core
	cut   func(from, to model.Instance) bool
	log   func(i model.Instance) bool // the node reads the log
	until map[model.Instance]time.Time
	first map[model.Instance]time.Time
}

func newFleet(members ...model.Member) *fleet {
	f := &fleet{
		cores: make(map[model.Instance]*Core),
		until: make(map[model.Instance]time.Time),
		first: make(map[model.Instance]time.Time),
		cut:   func(model.Instance, model.Instance) bool { return false },
		log:   func(model.Instance) bool { return true },
	}
	for i := range members {
		rotated := append(append([]model.Member(nil), members[i:]...), members[:i]...)
		f.cores[members[i].Instance] = newFleetCore(rotated...)
	}
	return f
}

func (f *fleet) run(from, to time.Time) {
	for now := from; now.Before(to); now = now.Add(time.Second) {
		for i, c := range f.cores {
			if f.log(i) {
				c.OnLogRead(now, now, time.Hour)
			}
			f.beat(now, i)
		}
		for i, c := range f.cores {
			c.Tick(now)
			f.collect(i, c)
		}
	}
}

func (f *fleet) beat(now time.Time, from model.Instance) {
	age := time.Duration(-1)
	if !f.first[from].IsZero() {
		age = now.Sub(f.first[from])
	}
	for to, c := range f.cores {
		if to != from && !f.cut(from, to) {
			c.OnHeard(now, now, f.cores[from].Self(), age)
		}
	}
}

func (f *fleet) collect(i model.Instance, c *Core) {
	for _, action := range only(c.Actions(), Contact) {
		f.until[i], f.first[i] = action.Until, action.FirstHand
	}
}

func (f *fleet) has(now time.Time, i model.Instance) bool { return now.Before(f.until[i]) }

// Guards against a refusal of keyed requests by the whole fleet when only the
// log is away.
func TestFleetKeepsContactWithoutLog(t *testing.T) {
	f := newFleet(a, b, d)
	f.run(epoch, epoch.Add(5*time.Second))
	f.log = func(model.Instance) bool { return false }
	end := epoch.Add(time.Minute)
	f.run(epoch.Add(5*time.Second), end)
	for i := range f.cores {
		assert.Assert(t, f.has(end, i), i)
	}
}

// Guards against two nodes that keep up each other's contact by repeating it
// although they are cut off from the log and from the other zones.
func TestMinorityLosesContact(t *testing.T) {
	f := newFleet(a, e, b, d)
	f.run(epoch, epoch.Add(5*time.Second))
	minority := map[model.Instance]bool{a.Instance: true, e.Instance: true}
	f.cut = func(from, to model.Instance) bool { return minority[from] != minority[to] }
	f.log = func(i model.Instance) bool { return !minority[i] }
	end := epoch.Add(5*time.Second + ContactLife)
	f.run(epoch.Add(5*time.Second), end)
	assert.Assert(t, !f.has(end, a.Instance) && !f.has(end, e.Instance))
	assert.Assert(t, f.has(end, b.Instance) && f.has(end, d.Instance))
}

// Guards against contact through nodes that have none themselves: of five
// zones, each leaf hears only the hub.
func TestLeavesWithoutMajorityGiveNoContact(t *testing.T) {
	hub := a
	f := newFleet(hub, b, d, member("tally-f", "labasa"), member("tally-g", "savusavu"))
	f.log = func(model.Instance) bool { return false }
	f.cut = func(from, to model.Instance) bool {
		return from != hub.Instance && to != hub.Instance || from == "tally-f" || from == "tally-g"
	}
	end := epoch.Add(20 * time.Second)
	f.run(epoch, end)
	for i := range f.cores {
		assert.Assert(t, !f.has(end, i), i)
	}
}

// Guards against keyed requests served after a pause with knowledge from
// before it.
func TestPauseDropsContact(t *testing.T) {
	c := newFleetCore(a, b, d)
	c.OnLogRead(epoch, epoch, time.Hour)
	assert.Assert(t, epoch.Before(only(c.Actions(), Contact)[0].Until))
	resumed := epoch.Add(3 * time.Second)
	c.OnPaused(resumed)
	assert.Assert(t, only(c.Actions(), Contact)[0].Until.IsZero())
	// A read that began before the pause and ended after it.
	c.OnLogRead(resumed, epoch.Add(time.Second), time.Hour)
	for _, action := range only(c.Actions(), Contact) {
		assert.Assert(t, action.Until.IsZero())
	}
	c.OnLogRead(resumed, resumed, time.Hour)
	assert.Assert(t, resumed.Before(only(c.Actions(), Contact)[0].Until))
}

// Guards against a single node that refuses everybody while the log is away.
func TestSingleNodeHasContact(t *testing.T) {
	f := newFleet(a)
	f.log = func(model.Instance) bool { return false }
	end := epoch.Add(time.Minute)
	f.run(epoch, end)
	assert.Assert(t, f.has(end, a.Instance))
}
