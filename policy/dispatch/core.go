// Package dispatch decides, at the node of the caller, whether a request is
// accepted, which target gets it and whether it is sent again.
package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/oleanderworks/oleanderworks/charts"
	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/core/timers"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/model/graph"
	"github.com/oleanderworks/oleanderworks/policy/poison"
	"github.com/oleanderworks/oleanderworks/policy/quota"
)

// Decision is what the node does next for a request. Exactly one of Call,
// Recall and Answer is set.
type Decision struct {
	ID     model.CallID
	Call   *model.Call    // send it to Peer
	Peer   model.Instance // node of the chosen target
	Cancel bool           // tell Peer that the caller has gone
	Answer *model.Answer  // for the caller

	Route         string // of Answer and Call, for logs
	RetryReason   model.Reason
	ConfigVersion uint64 // version by which the request was judged
	ReportAge     time.Duration
}

// Core holds the requests of one node's callers. All methods run on one
// thread.
type Core struct {
	self     model.Instance
	zone     model.Zone
	service  model.Service
	rng      *rand.Rand
	machine  *chart.Machine[*request]
	config   *graph.Config
	out      map[model.Zone]bool // availability zones out of service
	requests map[model.CallID]*request
	expiry   *timers.Queue[model.CallID]
	targets  *targets
	rates    *quota.Ledger
	budgets  map[model.Service]*budget
	splits   map[string]*split
	parents  map[string]*model.Call // calls that run at the node's own target
	poison   *poison.Table
	dec      []Decision
}

// New returns a core that knows no configuration yet. Callers' requests
// originate at a target of service on the instance self.
func New(self model.Instance, zone model.Zone, service model.Service, rng *rand.Rand) *Core {
	return &Core{
		self:     self,
		zone:     zone,
		service:  service,
		rng:      rng,
		machine:  newMachine(),
		out:      make(map[model.Zone]bool),
		requests: make(map[model.CallID]*request),
		expiry:   timers.New[model.CallID](),
		targets:  newTargets(self, zone, rng),
		rates:    quota.New(),
		budgets:  make(map[model.Service]*budget),
		splits:   make(map[string]*split),
		parents:  make(map[string]*model.Call),
		poison:   poison.NewTable(),
	}
}

func newMachine() *chart.Machine[*request] {
	return chart.MustCompile(charts.MustRead("dispatch"), chart.Binding[*request]{
		States: []string{"received", "sent", "ended"},
		Events: []string{"admitted", "rejected", "answered", "not_run", "failed", "canceled", "expired"},
		Guards: map[string]func(*request) bool{
			"may_move":  (*request).mayMove,
			"may_retry": (*request).mayRetry,
		},
		Actions: map[string]func(*request){
			"send":        (*request).send,
			"count_move":  (*request).countMove,
			"spend_retry": (*request).spendRetry,
			"recall":      (*request).recall,
			"answer":      (*request).reply,
			"settle":      (*request).settle,
		},
	})
}

// Decisions returns the decisions made since the last call. The slice is valid
// until the next call of a method.
func (c *Core) Decisions() []Decision {
	out := c.dec
	c.dec = c.dec[:0]
	return out
}

// OnConfig takes a configuration into use, with the availability zones that
// are out of service.
func (c *Core) OnConfig(now time.Time, config *graph.Config, out []model.Zone) {
	clear(c.out)
	for _, zone := range out {
		c.out[zone] = true
	}
	if config == nil || config == c.config {
		return
	}
	c.config = config
	clear(c.splits)
	for name, u := range config.Customers {
		c.rates.SetLimit(now, name, u.Rate, u.Burst)
	}
	c.rates.Retain(func(name model.Customer) bool { return config.Customers[name] != nil })
}

// OnPeers replaces the nodes among which rates are divided.
func (c *Core) OnPeers(peers []model.Instance) { c.rates.SetPeers(peers) }

// OnReport takes what a node says of itself and its target.
func (c *Core) OnReport(now time.Time, r *model.NodeReport) {
	c.targets.onReport(now, r)
	for _, crash := range r.Crashes {
		c.poison.OnCrashReport(now, crash)
	}
	c.OnUsage(now, r.Node, r.Usage)
}

// OnUsage takes what another node's callers use of the customers' rates.
func (c *Core) OnUsage(now time.Time, node model.NodeID, list []model.CustomerUsage) {
	if node.Instance != c.self {
		c.rates.OnReport(now, node, list)
	}
}

// Usage returns what this node's customers use, for its peers.
func (c *Core) Usage(now time.Time) []model.CustomerUsage { return c.rates.Report(now) }

// OnRequest takes a request of a caller.
func (c *Core) OnRequest(now time.Time, req *model.Request) {
	r := &request{core: c, now: now, state: c.machine.Initial(), id: req.ID, arrived: now}
	c.requests[req.ID] = r
	if r.answer = r.judge(req); r.answer != nil {
		r.step(now, eventRejected)
		return
	}
	c.expiry.Set(r.id, r.call.Deadline)
	c.budget(r.call.Service).onFirst(r.call.IsRetry)
	r.step(now, eventAdmitted)
}

// OnAnswer takes the result of a call from the node that had it.
func (c *Core) OnAnswer(now time.Time, peer model.Instance, a *model.Answer) {
	r := c.requests[a.ID]
	if r == nil || r.target == nil || r.target.peer != peer {
		return
	}
	r.answer = a
	r.target.onAnswer(now, a)
	switch {
	case a.Run == model.NotRun:
		r.step(now, eventNotRun)
	case a.FromSystem() || r.wantsOther(a):
		r.step(now, eventFailed)
	default:
		r.step(now, eventAnswered)
	}
}

// OnLinkLost ends the calls that a peer had when the link to it broke.
func (c *Core) OnLinkLost(now time.Time, peer model.Instance) {
	c.targets.onLost(peer)
	for id, r := range c.requests {
		if r.target != nil && r.target.peer == peer {
			c.OnAnswer(now, peer, model.NewFailure(id, model.ReasonPeerUnreachable, "the link to the target's node broke"))
		}
	}
}

// OnParentStarted registers a call that the node's own target is about to run. The calls
// that the target makes for it have its priority and belong to its customer:
// refusing them would waste what was done for it.
func (c *Core) OnParentStarted(call *model.Call) { c.parents[call.AttemptID] = call }

// OnParentEnded forgets a call that has ended at the own target.
func (c *Core) OnParentEnded(call *model.Call) {
	if c.parents[call.AttemptID] == call {
		delete(c.parents, call.AttemptID)
	}
}

// OnCanceled ends a request whose caller has gone.
func (c *Core) OnCanceled(now time.Time, id model.CallID) {
	if r := c.requests[id]; r != nil {
		r.step(now, eventCanceled)
	}
}

// FailAll answers every request in progress, since the node ends. They may have
// run.
func (c *Core) FailAll(now time.Time) {
	for id, r := range c.requests {
		r.answer = model.NewFailure(id, model.ReasonDeadline, "the node of the caller ends")
		r.step(now, eventExpired)
	}
}

// Tick runs timers and returns the time of the next one; zero for none.
func (c *Core) Tick(now time.Time) time.Time {
	for {
		id, due := c.expiry.PopDue(now)
		if !due {
			return c.expiry.Next()
		}
		r := c.requests[id]
		if r == nil {
			continue
		}
		r.answer = model.NewFailure(id, model.ReasonDeadline, "the time limit passed while a target's node had the request")
		r.step(now, eventExpired)
	}
}

// Len returns the number of requests in progress.
func (c *Core) Len() int { return len(c.requests) }

// Ready reports whether the node knows enough to serve callers.
func (c *Core) Ready() bool { return c.config != nil }

// ConfigVersion returns the version of the configuration in use.
func (c *Core) ConfigVersion() uint64 {
	if c.config == nil {
		return 0
	}
	return c.config.Version
}
