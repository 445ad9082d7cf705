// Package fleet decides when a node opens and closes the links to its peers. It also
// holds the operator's documents, such as the configuration and the availability zones
// that are out of service, which the node reads from the log or gets from a peer. It is
// used by the nodes of package agent/mesh; package link manages the links between the
// nodes of package agent.
package fleet

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oleanderworks/oleanderworks/charts"
	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/core/timers"
	"github.com/oleanderworks/oleanderworks/logservice/keyed"
	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// minBackoff and maxBackoff bound the mean delay after a failed dial; jitter makes
	// the delay 0.5 to 1.5 times as long. maxBackoff is short because a machine that
	// restarts answers within a second or two.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
	// documentRequestDelay is the time from a peer's report of newer documents until
	// the node requests them, and the time between two such requests. Usually the node
	// reads them from the log before that.
	documentRequestDelay = 300 * time.Millisecond
)

// Action is an operation that the node must execute: Dial, CloseLink or
// RequestDocuments.
type Action interface{ action() }

// Dial opens a link to a peer.
type Dial struct{ Peer model.Instance }

// CloseLink closes the link to a peer.
type CloseLink struct{ Peer model.Instance }

// RequestDocuments requests the operator's documents from a peer.
type RequestDocuments struct {
	Peer     model.Instance
	KnownEnd model.LogPosition // up to which the node has the documents
}

func (Dial) action()             {}
func (CloseLink) action()        {}
func (RequestDocuments) action() {}

// Events of the state chart mesh_peer, in the chart's order.
const (
	eventDialDue chart.EventID = iota
	eventConnected
	eventDialFailed
	eventClosed
	eventDiscovered
	eventLeft
)

// Core holds the known peers and documents of one node. It is not safe for concurrent
// use: the duty that owns it calls all methods from its thread.
type Core struct {
	self       model.Instance
	rng        *rand.Rand
	machine    *chart.Machine[*peer]
	peers      map[model.Instance]*peer
	dialTimers *timers.Queue[model.Instance]
	actions    []Action

	documents         *documentSet
	documentsExpired  bool           // documents have been dropped since the last call of TakeExpired
	requestDelayStart time.Time      // when a peer first reported newer documents, or when they were last requested; zero if no peer has newer ones
	documentSource    model.Instance // peer that last reported newer documents
	peersChanged      bool           // the set of peers has changed since the last call of ChangedPeers
}

type peer struct {
	core    *Core
	id      model.Instance
	state   chart.StateID
	now     time.Time
	backoff time.Duration
}

// New returns a core without peers and documents.
func New(self model.Instance, version VersionFunc, rng *rand.Rand) *Core {
	c := &Core{
		self:       self,
		rng:        rng,
		peers:      make(map[model.Instance]*peer),
		dialTimers: timers.New[model.Instance](),
		documents:  newDocumentSet(version),
	}
	c.machine = chart.MustCompile(charts.MustRead("mesh_peer"), chart.Binding[*peer]{
		States: []string{"waiting", "dialing", "up", "removed"},
		Events: []string{"dial_due", "connected", "dial_failed", "closed", "discovered", "left"},
		Guards: map[string]func(*peer) bool{},
		Actions: map[string]func(*peer){
			"dial":          func(p *peer) { c.actions = append(c.actions, Dial{Peer: p.id}) },
			"close_link":    func(p *peer) { c.actions = append(c.actions, CloseLink{Peer: p.id}) },
			"dial_now":      func(p *peer) { c.dialTimers.Set(p.id, p.now) },
			"back_off":      (*peer).backOff,
			"reset_backoff": func(p *peer) { p.backoff = minBackoff },
		},
	})
	return c
}

// backOff schedules the next dial with jitter and doubles the backoff.
func (p *peer) backOff() {
	c := p.core
	c.dialTimers.Set(p.id, p.now.Add(p.backoff/2+time.Duration(c.rng.Float64()*float64(p.backoff))))
	p.backoff = min(2*p.backoff, maxBackoff)
}

func (c *Core) step(now time.Time, id model.Instance, e chart.EventID) {
	p := c.peers[id]
	if p == nil {
		return
	}
	p.now = now
	p.state = c.machine.Step(p, p.state, e)
	if c.machine.Final(p.state) {
		delete(c.peers, id)
		c.dialTimers.Remove(id)
		c.peersChanged = true
	}
}

// Actions returns and clears the actions decided since the last call.
func (c *Core) Actions() []Action {
	actions := c.actions
	c.actions = nil
	return actions
}

// ChangedPeers returns the sorted peers and true if the set of peers has changed since
// the last call, and false otherwise.
func (c *Core) ChangedPeers() ([]model.Instance, bool) {
	if !c.peersChanged {
		return nil, false
	}
	c.peersChanged = false
	peers := make([]model.Instance, 0, len(c.peers))
	for id := range c.peers {
		peers = append(peers, id)
	}
	slices.Sort(peers)
	return peers, true
}

// OnDiscovered handles a node that has announced itself or connected to this one.
func (c *Core) OnDiscovered(now time.Time, id model.Instance) {
	if id == c.self {
		return
	}
	if c.peers[id] == nil {
		c.peers[id] = &peer{core: c, id: id, state: c.machine.Initial(), backoff: minBackoff}
		c.peersChanged = true
	}
	c.step(now, id, eventDiscovered)
}

// OnPeerLeft removes a peer that has left the fleet.
func (c *Core) OnPeerLeft(now time.Time, id model.Instance) { c.step(now, id, eventLeft) }

// OnConnected handles a successful Dial.
func (c *Core) OnConnected(now time.Time, id model.Instance) { c.step(now, id, eventConnected) }

// OnDialFailed handles a failed Dial.
func (c *Core) OnDialFailed(now time.Time, id model.Instance) { c.step(now, id, eventDialFailed) }

// OnLinkClosed handles the end of a link.
func (c *Core) OnLinkClosed(now time.Time, id model.Instance) { c.step(now, id, eventClosed) }

// OnPeerEnd handles a peer's report of the position up to which it has the documents.
func (c *Core) OnPeerEnd(now time.Time, id model.Instance, end model.LogPosition) {
	if !c.documents.end.Before(end) {
		return
	}
	if c.requestDelayStart.IsZero() {
		c.requestDelayStart = now
	}
	c.documentSource = id
}

// Tick runs the timers that are due and returns the time of the next one, or zero if
// there is none.
func (c *Core) Tick(now time.Time) time.Time {
	for {
		id, due := c.dialTimers.PopDue(now)
		if !due {
			break
		}
		c.step(now, id, eventDialDue)
	}
	if c.documents.expire(now) {
		c.documentsExpired = true
	}
	next := timers.Earlier(c.dialTimers.NextDue(), c.documents.retainUntil)
	if c.requestDelayStart.IsZero() {
		return next
	}
	requestAt := c.requestDelayStart.Add(documentRequestDelay)
	if !now.Before(requestAt) {
		c.actions = append(c.actions, RequestDocuments{Peer: c.documentSource, KnownEnd: c.documents.end})
		c.requestDelayStart = now
		requestAt = now.Add(documentRequestDelay)
	}
	return timers.Earlier(next, requestAt)
}

// OnDocuments replaces all documents with those up to a position, which come from the
// log or from a peer. If they are not newer than the known ones, it changes nothing and
// returns false. After a restore of the log, documents that the log lacks stay in force:
// the configuration until there is a newer version, others for retentionTime.
func (c *Core) OnDocuments(now time.Time, records []keyed.Record, end model.LogPosition) bool {
	if !c.documents.end.Before(end) {
		return false
	}
	c.documents.replace(now, records, end)
	c.requestDelayStart = time.Time{}
	return true
}

// OnRecords applies records of the log up to a position and skips those that were
// already applied. It reports whether any was new.
func (c *Core) OnRecords(records []keyed.Record, end model.LogPosition) bool {
	known := c.documents.end
	added := c.documents.add(records, end)
	if known.Before(c.documents.end) {
		c.requestDelayStart = time.Time{}
	}
	return added
}

// Documents returns the operator's documents sorted by key, and the position up to which
// they are complete.
func (c *Core) Documents() ([]keyed.Record, model.LogPosition) {
	return c.documents.list(), c.documents.end
}

// End returns the position up to which the documents are complete.
func (c *Core) End() model.LogPosition { return c.documents.end }

// Retained returns the sorted keys of the documents that stay in force although the log
// lacks them.
func (c *Core) Retained() []string { return c.documents.retained() }

// TakeOutdated returns and clears the records that were not taken because a newer version
// of their document is known.
func (c *Core) TakeOutdated() []keyed.Record {
	outdated := c.documents.outdated
	c.documents.outdated = nil
	return outdated
}

// TakeExpired reports whether documents have been dropped by Tick since the last call.
func (c *Core) TakeExpired() bool {
	expired := c.documentsExpired
	c.documentsExpired = false
	return expired
}
