package bench

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/admission"
	"github.com/oleanderworks/oleanderworks/policy/node/routing"
)

// fleet simulates a deployment with its nodes, targets and callers.
type fleet struct {
	loop             eventLoop
	rng              *rand.Rand
	deployment       *deployment
	variant          variant
	entryLimiter     entryLimiter
	nodes            []*node
	byService        [][]*node      // per service, in the order of the deployment
	documents        map[string]any // configuration by document name
	snapshotSequence uint64         // of the latest published snapshot
	lastID           model.CallID
	recorder         *recorder
	retry            retryPolicy
	demandFactor     func(service, customer int) float64 // multiplies the demand of callers
}

// node is a node with its target. It is the entry node of calls that callers and the
// target send to it.
type node struct {
	fleet      *fleet
	index      int
	service    int
	member     model.Member
	routing    *routing.Core
	admission  admissionPolicy
	target     *target
	entryCalls map[model.CallID]*entryCall // calls that callers or the target sent to this node
	attempts   map[model.CallID]*attempt   // calls that entry nodes sent to this node's target
	zoneOut    bool                        // its availability zone is out of service
	applying   bool                        // applyAdmission is in progress
	applyAgain bool                        // set by a nested applyAdmission, which may have caused new decisions
	decisions  []admission.Decision
}

// entryCall is a call at its entry node.
type entryCall struct {
	entry             *node
	request           *request
	step              *step
	attempt           *attempt // latest
	deadlineScheduled bool
	onAnswer          func(*model.Answer)
}

// attempt is one attempt of a call at a target. It begins when the entry node sends it.
type attempt struct {
	entryCall     *entryCall
	node          *node
	call          *model.Call
	targetCall    *targetCall
	ended         bool
	subCallFailed bool
}

func newFleet(d *deployment, v variant, seed uint64) *fleet {
	f := &fleet{
		rng:          rand.New(rand.NewPCG(seed, 1)),
		deployment:   d,
		variant:      v,
		documents:    make(map[string]any),
		demandFactor: func(int, int) float64 { return 1 },
	}
	if v.newEntryLimiter != nil {
		f.entryLimiter = v.newEntryLimiter(d)
	}
	f.documents[model.FleetDocument] = model.FleetConfig{Classes: d.classes, RetryBudget: 2, Groups: 1}
	for i := range d.services {
		f.addService(i)
	}
	for c := range customerShares {
		// The rates are so high that no case exceeds them.
		f.documents["customer/"+string(customerName(c))] = model.CustomerConfig{
			Name: customerName(c), Rate: 1e6, Burst: 1e6, Weight: 1,
		}
		f.documents["key/"+model.HashKey(keyOf(c)).String()] = model.KeyConfig{Customer: customerName(c)}
	}
	f.publish(0)
	f.recorder = newRecorder(f)
	for _, n := range f.nodes {
		f.tick(n)
	}
	return f
}

func customerName(c int) model.Customer { return model.Customer(fmt.Sprintf("customer-%d", c)) }

func keyOf(c int) string { return fmt.Sprintf("key-%d", c) }

// addService adds the configuration of a service and its nodes, with the availability
// zones assigned in turn.
func (f *fleet) addService(service int) {
	spec := &f.deployment.services[service]
	f.documents["service/"+string(spec.name)] = model.ServiceConfig{
		Name: spec.name, Slots: spec.slots, Connections: spec.connections,
		ColdFloor: max(spec.slots/coldFloorDivisor, 1), RampTime: model.Duration(rampTime),
		Routes: f.routes(),
	}
	var nodes []*node
	for ordinal := range spec.targets {
		zone := f.deployment.zones[ordinal%len(f.deployment.zones)]
		member := model.Member{
			NodeID:  model.NodeID{Instance: model.Instance(fmt.Sprintf("%s-%d", spec.name, ordinal)), Incarnation: 1},
			Service: spec.name, Zone: zone, Region: "region",
		}
		n := &node{
			fleet: f, index: len(f.nodes), service: service, member: member,
			routing:    routing.New(member, f.newRand(), invariantCheck),
			admission:  f.variant.newPolicy(member, spec, f.newRand()),
			target:     newTarget(&f.loop, spec),
			entryCalls: make(map[model.CallID]*entryCall),
			attempts:   make(map[model.CallID]*attempt),
		}
		f.nodes = append(f.nodes, n)
		nodes = append(nodes, n)
	}
	f.byService = append(f.byService, nodes)
}

// routes returns a route for each class, with the class as path.
func (f *fleet) routes() []model.Route {
	var routes []model.Route
	for _, class := range f.deployment.classes {
		routes = append(routes, model.Route{
			Prefix: "/" + string(class), Class: class, Idempotent: true, Timeout: model.Duration(routeTimeout),
		})
	}
	return routes
}

func (f *fleet) newRand() *rand.Rand { return rand.New(rand.NewPCG(f.rng.Uint64(), 2)) }

// publish delivers a snapshot of the documents to each node after a random delay of up
// to maxDelay.
func (f *fleet) publish(maxDelay time.Duration) {
	f.snapshotSequence++
	documents := make(map[string]model.Document)
	for name, doc := range f.documents {
		body, err := json.Marshal(doc)
		if err != nil {
			panic(err)
		}
		documents[name] = model.Document{Name: name, Version: f.snapshotSequence, Body: body}
	}
	snapshot, err := model.NewSnapshot(f.snapshotSequence, documents)
	if err != nil {
		panic(err)
	}
	for _, n := range f.nodes {
		snapshot.Members[n.member.Service] = append(snapshot.Members[n.member.Service], n.member)
	}
	for _, n := range f.nodes {
		if maxDelay == 0 {
			n.onSnapshot(snapshot)
			continue
		}
		f.loop.after(time.Duration(f.rng.Float64()*float64(maxDelay)), func() { n.onSnapshot(snapshot) })
	}
}

// onSnapshot passes a new configuration to the policies.
func (n *node) onSnapshot(s *model.Snapshot) {
	n.zoneOut = s.Zones[n.member.Zone].OutOfService
	n.routing.OnSnapshot(s)
	n.admission.OnSnapshot(n.fleet.loop.wallTime(), s)
	n.applyAdmission()
}

// tickInterval is the time between two calls of Tick on a node's policies. In a real
// node, the duties call Tick before each batch of messages instead.
const tickInterval = 10 * time.Millisecond

// tick runs the timers of a node's policies and schedules the next tick.
func (f *fleet) tick(n *node) {
	n.admission.Tick(f.loop.wallTime())
	n.routing.Tick(f.loop.wallTime())
	n.applyAdmission()
	n.applyRouting()
	f.loop.after(tickInterval, func() { f.tick(n) })
}

// latency returns the one-way latency between two nodes. Inside an availability zone,
// it is a fifth of the latency between zones.
func (f *fleet) latency(from, to *node) time.Duration {
	switch {
	case from == to:
		return 0
	case from.member.Zone == to.member.Zone:
		return f.deployment.zoneLatency / 5
	default:
		return f.deployment.zoneLatency
	}
}
