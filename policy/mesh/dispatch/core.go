// Package dispatch implements request routing at the entry node of a request, which is
// the node of its caller. It decides whether the request is accepted, which target gets
// it, and whether it is sent to another target or retried. It is used by the nodes of
// package agent/mesh; package routing does the same for the nodes of package agent.
package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/oleanderworks/oleanderworks/charts"
	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/core/timers"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/model/graph"
	"github.com/oleanderworks/oleanderworks/policy/mesh/chain"
	"github.com/oleanderworks/oleanderworks/policy/mesh/poison"
	"github.com/oleanderworks/oleanderworks/policy/mesh/quota"
	"github.com/oleanderworks/oleanderworks/policy/mesh/rollout"
)

// maxConfigAge is the time since its confirmation for which a configuration proves that a
// route or a key does not exist. A change has to be in force within it.
const maxConfigAge = 2 * time.Second

// runTimeReserve is the multiple of a request's expected time that must be left in a
// shutdown for it to be sent. Few requests take longer.
const runTimeReserve = 3

// Decision tells the node what to do with a request. Exactly one of Call, Cancel and
// Answer is set.
type Decision struct {
	ID     model.CallID   // of the request and of all calls made for it
	Call   *model.Call    // send it to Peer
	Peer   model.Instance // node of the chosen target
	Cancel bool           // cancel the call at Peer
	Answer *model.Answer  // for the caller

	Route         string        // name of the request's route, for logs
	RetryReason   model.Reason  // why the previous attempt was refused or failed; empty for the first, and after a target's answer with status 500
	ConfigVersion uint64        // version of the configuration in use
	ReportAge     time.Duration // age of the target's latest report
	RetryDenied   bool          // with Answer: the retry budget allowed no further attempt
}

// Core holds the requests in progress from one node's callers and the known state of
// the targets. It is not safe for concurrent use: the duty that owns it calls all
// methods from its thread.
type Core struct {
	self       model.Instance
	zone       model.Zone
	service    model.Service
	rng        *rand.Rand
	machine    *chart.Machine[*request]
	config     *graph.Config
	zonesOut   map[model.Zone]bool // availability zones out of service
	requests   map[model.CallID]*request
	expiry     *timers.Queue[model.CallID]
	targets    *targetSet
	rates      *quota.Limiter
	budgets    map[model.Service]*retryBudget
	profiles   callProfiles
	splitters  map[*graph.Route]*splitter
	chain      *chain.Core
	parents    map[string]*Parent // calls that run at the node's own target, by AttemptID; nested requests name it in Parent
	suspicions *poison.Table
	archive    *poison.Archive
	rollouts   *rollout.Core // nil unless orders to move services to other versions are enabled
	decisions  []Decision

	endsAt      time.Time // when the node gives up the requests in progress, since it stops; zero unless it stops
	confirmedAt time.Time // when the configuration was last known to be the newest; zero if that is not tracked
}

// New returns a core without a configuration. self and zone are those of the node, and
// service is the service of its own target.
func New(self model.Instance, zone model.Zone, service model.Service, rng *rand.Rand) *Core {
	c := &Core{
		self:       self,
		zone:       zone,
		service:    service,
		rng:        rng,
		machine:    newMachine(),
		zonesOut:   make(map[model.Zone]bool),
		requests:   make(map[model.CallID]*request),
		expiry:     timers.New[model.CallID](),
		targets:    newTargetSet(self, zone, rng),
		rates:      quota.New(),
		budgets:    make(map[model.Service]*retryBudget),
		profiles:   make(callProfiles),
		splitters:  make(map[*graph.Route]*splitter),
		parents:    make(map[string]*Parent),
		suspicions: poison.NewTable(),
		archive:    poison.NewArchive(rng),
	}
	c.chain = chain.New(c.serviceLoad, rng)
	return c
}

func newMachine() *chart.Machine[*request] {
	return chart.MustCompile(charts.MustRead("dispatch"), chart.Binding[*request]{
		States: []string{"received", "sent", "ended"},
		Events: []string{"admitted", "refused", "answered", "not_run", "failed", "canceled", "expired"},
		Guards: map[string]func(*request) bool{
			"may_move":  (*request).mayMove,
			"may_retry": (*request).mayRetry,
		},
		Actions: map[string]func(*request){
			"send":         (*request).send,
			"count_move":   (*request).countMove,
			"charge_retry": (*request).chargeRetry,
			"cancel_call":  (*request).cancelCall,
			"answer":       (*request).reply,
			"end_attempt":  (*request).endAttempt,
		},
	})
}

// Decisions returns and clears the decisions made since the last call. The slice is
// valid until the next method call.
func (c *Core) Decisions() []Decision {
	decisions := c.decisions
	c.decisions = c.decisions[:0]
	return decisions
}

// OnConfig replaces the configuration and the set of availability zones that are
// out of service. A nil configuration keeps the one in use.
func (c *Core) OnConfig(now time.Time, config *graph.Config, zonesOut []model.Zone) {
	clear(c.zonesOut)
	for _, zone := range zonesOut {
		c.zonesOut[zone] = true
	}
	if config == nil || config == c.config {
		return
	}
	c.config = config
	clear(c.splitters)
	routes := routeNames(config)
	c.profiles.retain(routes)
	c.chain.Retain(func(route string) bool { return routes[route] })
	c.retainBudgets(config)
	c.targets.retainShares(config)
	for name, customer := range config.Customers {
		c.rates.SetLimit(now, name, customer.Rate, customer.Burst)
	}
	c.rates.Retain(func(name model.Customer) bool { return config.Customers[name] != nil })
}

// SetConfirmedAt sets when the configuration was last known to be the newest.
func (c *Core) SetConfirmedAt(t time.Time) {
	c.confirmedAt = t
	if c.rollouts != nil {
		c.rollouts.SetLogConfirmedAt(t)
	}
}

// configOutdated reports whether a newer configuration may be in force that the node
// does not have.
func (c *Core) configOutdated(now time.Time) bool {
	return !c.confirmedAt.IsZero() && now.Sub(c.confirmedAt) > maxConfigAge
}

// SetPeers sets the other nodes among which the customers' rates are divided.
func (c *Core) SetPeers(peers []model.Instance) {
	c.rates.SetPeers(peers)
	if c.rollouts != nil {
		c.rollouts.SetPeers(peers)
	}
}

// OnReport handles a node's report on itself and its target.
func (c *Core) OnReport(now time.Time, r *model.NodeReport) {
	c.targets.onReport(now, r)
	if c.rollouts != nil {
		c.rollouts.OnReport(now, r)
	}
	c.onCrashReports(now, r.Crashes, r.Node.Instance == c.self)
	c.OnUsage(now, r.Node, r.Usage)
}

// OnUsage handles another node's usage of the customers' rates.
func (c *Core) OnUsage(now time.Time, node model.NodeID, usage []model.CustomerUsage) {
	if node.Instance != c.self {
		c.rates.OnUsage(now, node, usage)
	}
}

// UsageToReport returns this node's usage of the customers' rates, for its peers.
func (c *Core) UsageToReport(now time.Time) []model.CustomerUsage { return c.rates.UsageToReport(now) }

// OnRequest handles a request from a caller, which may be the node's own target.
func (c *Core) OnRequest(now time.Time, req *model.Request) {
	r := &request{core: c, now: now, state: c.machine.Initial(), id: req.ID, arrived: now}
	c.requests[req.ID] = r
	if r.answer = r.admit(req); r.answer != nil {
		r.step(now, eventRefused)
		return
	}
	c.expiry.Set(r.id, r.call.Deadline)
	c.budgetFor(r.call.Service).onFirstAttempt(now, r.call)
	r.step(now, eventAdmitted)
}

// OnAnswer handles the answer to a call from the node to which it was sent.
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
	case a.FromNode() || isRetryableError(a):
		r.step(now, eventFailed)
	default:
		r.step(now, eventAnswered)
	}
}

// OnLinkLost fails the calls that were in progress at a peer when the link to it
// broke.
func (c *Core) OnLinkLost(now time.Time, peer model.Instance) {
	c.targets.onLinkLost(peer)
	if c.rollouts != nil {
		c.rollouts.OnLinkLost(peer)
	}
	for id, r := range c.requests {
		if r.target != nil && r.target.peer == peer {
			c.OnAnswer(now, peer, model.NewFailure(id, model.ReasonPeerUnreachable, "the link to the target's node broke"))
		}
	}
}

// OnCanceled handles the cancellation of a request whose caller has disconnected.
func (c *Core) OnCanceled(now time.Time, id model.CallID) {
	if r := c.requests[id]; r != nil {
		r.step(now, eventCanceled)
	}
}

// OnStopping handles the start of the node's shutdown. At endsAt, FailAll will be called.
// From now on a request is only sent to a target that can be expected to end it before.
func (c *Core) OnStopping(endsAt time.Time) { c.endsAt = endsAt }

// mayEndInTime reports whether a request that is sent to a target now can be expected to
// end before the node does.
func (c *Core) mayEndInTime(now time.Time, t *target) bool {
	return c.endsAt.IsZero() || now.Add(c.targets.expectedTime(t)*runTimeReserve).Before(c.endsAt)
}

// Abort forgets a request without an answer, after an unexpected error in its handling. A
// call that was sent for it is not canceled.
func (c *Core) Abort(id model.CallID) {
	if r := c.requests[id]; r != nil && r.target != nil && len(r.tried) > 0 {
		r.target.outstanding--
		if c.rollouts != nil {
			c.rollouts.OnEnded(r.call.Service, r.sent.version)
		}
	}
	delete(c.requests, id)
	c.expiry.Remove(id)
}

// FailAll answers every request in progress when the node stops. The answers state
// that the request may have run, with the same reason as for a request that has not
// ended by its deadline.
func (c *Core) FailAll(now time.Time) {
	for id, r := range c.requests {
		r.answer = model.NewFailure(id, model.ReasonDeadline, "the node of the caller ends")
		r.step(now, eventExpired)
	}
}

// Tick runs the timers that are due and returns the time of the next one, or zero if
// there is none.
func (c *Core) Tick(now time.Time) time.Time {
	for {
		id, due := c.expiry.PopDue(now)
		if !due {
			break
		}
		r := c.requests[id]
		if r == nil {
			continue
		}
		r.answer = model.NewFailure(id, model.ReasonDeadline, "the time limit passed while a target's node had the request")
		r.step(now, eventExpired)
	}
	next := timers.Earlier(c.expiry.NextDue(), c.suspicions.Tick(now))
	if c.rollouts != nil {
		next = timers.Earlier(next, c.rollouts.Tick(now))
	}
	c.archiveChanges(now, false)
	return timers.Earlier(next, c.archive.Tick(now))
}

// Len returns the number of requests in progress.
func (c *Core) Len() int { return len(c.requests) }

// Ready reports whether the node has a configuration and can serve callers.
func (c *Core) Ready() bool { return c.config != nil }

// ConfigVersion returns the version of the configuration in use, or 0 if there is none.
func (c *Core) ConfigVersion() uint64 {
	if c.config == nil {
		return 0
	}
	return c.config.Version
}
