package admission

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/core/invariant"
	"github.com/oleanderworks/oleanderworks/model"
)

const (
	testZone     = model.Zone("suva")
	testInstance = model.Instance("tally-1")
	testService  = model.Service("tally")
)

// fixture runs a core in virtual time and records the decisions on its calls.
type fixture struct {
	t        testingT
	core     *Core
	now      time.Time
	config   model.ServiceConfig
	docs     map[string]any
	nextID   model.CallID
	running  map[model.CallID]bool
	refusals map[model.CallID]*model.Answer
	signals  []Signal
}

type testingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

func newFixture(t testingT, slots int) *fixture {
	f := &fixture{
		t:        t,
		now:      time.Unix(1000, 0),
		running:  make(map[model.CallID]bool),
		refusals: make(map[model.CallID]*model.Answer),
		docs:     make(map[string]any),
	}
	check := invariant.New(event.Discard(), func(name, detail string) { t.Fatalf("invariant %s: %s", name, detail) })
	self := model.Member{NodeID: model.NodeID{Instance: testInstance}, Service: testService, Zone: testZone}
	f.core = New(self, Options{Rand: rand.New(rand.NewPCG(1, 2)), Check: check})
	f.config = model.ServiceConfig{Slots: slots, Connections: 8 * slots}
	f.docs[model.FleetDocument] = model.FleetConfig{Classes: []model.Class{"browse", "lookup", "filing"}}
	for i := range 4 {
		f.addCustomer(customerName(i), 1)
	}
	f.publishConfig()
	return f
}

func customerName(i int) model.Customer { return model.Customer(fmt.Sprintf("c%d", i)) }

func keyOf(c model.Customer) model.KeyHash { return model.HashKey(string(c)) }

func (f *fixture) addCustomer(name model.Customer, weight float64) {
	f.docs["customer/"+string(name)] = model.CustomerConfig{Name: name, Weight: weight}
	f.docs["key/"+keyOf(name).String()] = model.KeyConfig{Customer: name}
}

// publishConfig applies the fixture's documents to the core.
func (f *fixture) publishConfig() {
	f.docs["service/"+string(testService)] = f.config
	documents := make(map[string]model.Document)
	for name, doc := range f.docs {
		body, err := json.Marshal(doc)
		if err != nil {
			f.t.Fatalf("%s: %v", name, err)
		}
		documents[name] = model.Document{Name: name, Version: 1, Body: body}
	}
	snapshot, err := model.NewSnapshot(1, documents)
	if err != nil {
		f.t.Fatalf("%v", err)
	}
	f.core.OnSnapshot(f.now, snapshot)
	f.collect()
}

// setWarm puts the target into the state warm with the full limit.
func (f *fixture) setWarm() {
	f.core.target.state = stateWarm
	f.core.limit.resetToConfiguredSlots()
	f.core.signals = nil
}

func (f *fixture) arrive(customer model.Customer, class model.Class, modify ...func(*model.Call)) model.CallID {
	f.nextID++
	call := &model.Call{
		ID: f.nextID, Service: testService, Customer: customer, KeyHash: keyOf(customer),
		Class: class, Deadline: f.now.Add(time.Second),
	}
	for _, c := range modify {
		c(call)
	}
	f.core.OnArrival(f.now, call)
	f.collect()
	return call.ID
}

func (f *fixture) finish(id model.CallID, r Result) {
	f.finishWith(Outcome{CallID: id, Result: r})
}

func (f *fixture) finishWith(o Outcome) {
	delete(f.running, o.CallID)
	f.core.OnFinished(f.now, o)
	f.collect()
}

func (f *fixture) advance(d time.Duration) {
	f.now = f.now.Add(d)
	f.core.Tick(f.now)
	f.collect()
}

// collect records the decisions. It checks that no call is started or refused
// while it runs, and that none gets a decision after its refusal.
func (f *fixture) collect() {
	f.t.Helper()
	for _, d := range f.core.Decisions() {
		if f.refusals[d.CallID] != nil {
			f.t.Fatalf("call %d got a decision after its refusal", d.CallID)
		}
		switch {
		case d.Run && f.running[d.CallID]:
			f.t.Fatalf("call %d was started while it ran", d.CallID)
		case d.Run:
			f.running[d.CallID] = true
		case d.Answer != nil && f.running[d.CallID]:
			f.t.Fatalf("call %d was refused while it ran", d.CallID)
		case d.Answer != nil:
			f.refusals[d.CallID] = d.Answer
		}
	}
	f.signals = append(f.signals, f.core.Signals()...)
}

func (f *fixture) state() string { return f.core.State() }

// serve keeps the target at its limit for the time total: calls of the first
// customer fill the free slots, and all running calls end after d.
func (f *fixture) serve(total, d time.Duration, r Result) {
	for end := f.now.Add(total); f.now.Before(end); {
		for f.core.running < f.core.currentLimit() {
			before := f.core.running
			f.arrive(customerName(0), "filing")
			if f.core.running == before {
				break
			}
		}
		f.advance(d)
		for id := range f.running {
			f.finish(id, r)
		}
	}
}

// refusalReasonOf returns the reason of a call's refusal, and checks that the
// refusal says "not run".
func refusalReasonOf(t *testing.T, f *fixture, id model.CallID) model.Reason {
	t.Helper()
	assert.Assert(t, f.refusals[id] != nil, "call %d has no refusal", id)
	assert.Equal(t, f.refusals[id].Run, model.NotRun)
	return f.refusals[id].Reason
}
