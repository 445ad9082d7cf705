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
	// joinTimeout is how long a node that starts waits for peers that it does not know or
	// that neither answer nor refuse its dial.
	joinTimeout = time.Second
)

// Action is an operation that the node must execute: Dial, CloseLink, RequestDocuments or
// PublishAddress.
type Action interface{ action() }

// Dial opens a link to a peer.
type Dial struct{ Peer model.Instance }

// CloseLink closes the link to a peer.
type CloseLink struct{ Peer model.Instance }

// RequestDocuments requests the operator's documents from a peer.
type RequestDocuments struct {
	Peer  model.Instance
	Known model.DocumentsState // what the node has
}

// PublishAddress writes the node's address to the log again.
type PublishAddress struct{}

func (Dial) action()             {}
func (CloseLink) action()        {}
func (RequestDocuments) action() {}
func (PublishAddress) action()   {}

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

	nodesEra         uint64 // era of the nodes that were loaded last
	nodesLoaded      bool   // the nodes in the log are known
	addressEra       uint64 // newest era in which the log is known to have the node's address
	addressPublished bool   // no append of the address is in progress

	documents         *documentSet
	documentsChanged  bool      // documents have changed since the last call of TakeDocumentsChanged
	joinDeadline      time.Time // zero unless the node has started and waits for a peer's documents
	aloneUntil        time.Time // until then, documents that only a peer retains may be in force; zero if the node has a peer's set
	requestDelayStart time.Time // when a peer first reported newer documents, or when they were last requested; zero if no peer has newer ones
	// stated holds what the peers with a link have stated last, if the node lacked some of
	// it then.
	stated       map[model.Instance]model.DocumentsState
	peersChanged bool // the set of peers has changed since the last call of ChangedPeers
}

type peer struct {
	core         *Core
	id           model.Instance
	state        chart.StateID
	now          time.Time
	backoff      time.Duration
	unreachable  bool // the latest dial has failed
	statedNoMore bool // by its latest statement, it has no documents that the node lacks
}

// New returns a core without peers and documents.
func New(self model.Instance, version VersionFunc, rng *rand.Rand) *Core {
	c := &Core{
		self:       self,
		rng:        rng,
		peers:      make(map[model.Instance]*peer),
		dialTimers: timers.New[model.Instance](),
		documents:  newDocumentSet(version),
		stated:     make(map[model.Instance]model.DocumentsState),
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

// OnDiscovered handles a node that has announced itself or connected to this one. If id
// cannot be the address of a node, it returns an error and changes nothing.
func (c *Core) OnDiscovered(now time.Time, id model.Instance) error {
	if err := CheckAddress(id); err != nil {
		return err
	}
	if id == c.self {
		return nil
	}
	if c.peers[id] == nil {
		c.peers[id] = &peer{core: c, id: id, state: c.machine.Initial(), backoff: minBackoff}
		c.peersChanged = true
	}
	c.step(now, id, eventDiscovered)
	return nil
}

// OnPeerLeft removes a peer that has left the fleet.
func (c *Core) OnPeerLeft(now time.Time, id model.Instance) {
	c.step(now, id, eventLeft)
	delete(c.stated, id)
}

// OnNodesLoaded handles the complete list of nodes in the log. A log that was restored may
// lack the node's address. Peers that the log lacks stay known.
func (c *Core) OnNodesLoaded(era uint64, listed bool) {
	c.nodesLoaded = true
	c.nodesEra = max(c.nodesEra, era)
	if listed {
		c.addressEra = max(c.addressEra, era)
	}
	c.publishLostAddress()
}

// OnAddressPublished handles the result of an append of the node's address: the first,
// which the node makes when it starts, or one after PublishAddress.
func (c *Core) OnAddressPublished(era uint64) {
	c.addressPublished = true
	c.addressEra = max(c.addressEra, era)
	c.publishLostAddress()
}

// publishLostAddress publishes the address again if the log began a new era after the last
// append and lacks it.
func (c *Core) publishLostAddress() {
	if c.addressPublished && c.addressEra < c.nodesEra {
		c.addressPublished = false
		c.actions = append(c.actions, PublishAddress{})
	}
}

// OnConnected handles a successful Dial.
func (c *Core) OnConnected(now time.Time, id model.Instance) { c.step(now, id, eventConnected) }

// OnDialFailed handles a failed Dial.
func (c *Core) OnDialFailed(now time.Time, id model.Instance) {
	c.step(now, id, eventDialFailed)
	if p := c.peers[id]; p != nil {
		p.unreachable = true
	}
}

// OnLinkClosed handles the end of a link.
func (c *Core) OnLinkClosed(now time.Time, id model.Instance) {
	c.step(now, id, eventClosed)
	delete(c.stated, id)
}

// OnPeerState handles a peer's report of the documents that it has. A node that joins
// requests them at once. A peer whose log was in an older era may have more than it says.
func (c *Core) OnPeerState(now time.Time, id model.Instance, state model.DocumentsState) {
	lacks := c.Needed().Lacks(state)
	if p := c.peers[id]; p != nil {
		p.unreachable = false
		p.statedNoMore = !lacks && state.End.Era >= c.documents.end.Era
	}
	if !lacks {
		delete(c.stated, id)
		return
	}
	c.stated[id] = state
	if c.requestDelayStart.IsZero() {
		c.requestDelayStart = now
		if c.Joining() {
			c.requestDelayStart = now.Add(-documentRequestDelay)
		}
	}
}

// documentSource returns the peer that has stated the newest documents, or "" if no peer
// has stated any that the node lacks.
func (c *Core) documentSource() model.Instance {
	known := c.Needed()
	var source model.Instance
	var newest model.DocumentsState
	for id, state := range c.stated {
		if known.Lacks(state) && (source == "" || newerDocuments(state, newest) || state == newest && id < source) {
			source, newest = id, state
		}
	}
	return source
}

// newerDocuments reports whether a is a statement of newer documents than b.
func newerDocuments(a, b model.DocumentsState) bool {
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return b.End.Before(a.End)
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
		c.documentsChanged = true
	}
	if c.Joining() && (!now.Before(c.joinDeadline) || c.nobodyHasMore()) {
		c.joinDeadline, c.aloneUntil = time.Time{}, now.Add(retentionTime)
	}
	if !c.aloneUntil.IsZero() && !now.Before(c.aloneUntil) {
		c.aloneUntil = time.Time{}
	}
	next := timers.Earlier(c.dialTimers.NextDue(), timers.Earlier(c.documents.nextExpiry(now), c.joinDeadline))
	if c.requestDelayStart.IsZero() {
		return next
	}
	requestAt := c.requestDelayStart.Add(documentRequestDelay)
	if now.Before(requestAt) {
		return timers.Earlier(next, requestAt)
	}
	source := c.documentSource()
	if source == "" { // the peers that had newer documents are gone
		c.requestDelayStart = time.Time{}
		return next
	}
	c.actions = append(c.actions, RequestDocuments{Peer: source, Known: c.Needed()})
	c.requestDelayStart = now
	return timers.Earlier(next, now.Add(documentRequestDelay))
}

// OnDocuments replaces all documents with those of the log up to a position. If they are
// not newer than the known ones, it changes nothing and returns false. After a restore of
// the log, documents that the log lacks stay in force: the configuration until there is a
// newer version, others for retentionTime. A node that has just started does not know
// these, nor whether the log was restored lately, and waits for the documents of a peer
// unless no peer has more than the log.
func (c *Core) OnDocuments(now time.Time, records []keyed.Record, end model.LogPosition) bool {
	joins := end.Era > 0 && c.documents.end == (model.LogPosition{})
	replaced := c.replaceDocuments(now, records, end)
	if joins {
		c.joinDeadline = now.Add(joinTimeout)
		if c.documentSource() != "" {
			c.requestDelayStart = now.Add(-documentRequestDelay)
		}
	}
	return replaced
}

// OnPeerDocuments takes what the node lacks from a peer's documents, and reports whether
// there was any. retainedFor is how long the peer retains documents without a version. A
// node that joins goes on waiting if another peer has stated a newer version.
func (c *Core) OnPeerDocuments(now time.Time, records []keyed.Record, end model.LogPosition, retainedFor time.Duration) bool {
	replaced := c.replaceDocuments(now, records, end)
	merged := c.documents.merge(now, records, end, retainedFor)
	c.aloneUntil = time.Time{}
	c.documentsChanged = c.documentsChanged || merged
	if c.Joining() && c.newestStatedVersion() > c.documents.newestVersion() {
		c.requestDelayStart = now.Add(-documentRequestDelay)
	} else {
		c.joinDeadline, c.requestDelayStart = time.Time{}, time.Time{}
	}
	return replaced || merged
}

func (c *Core) replaceDocuments(now time.Time, records []keyed.Record, end model.LogPosition) bool {
	if !c.documents.end.Before(end) {
		return false
	}
	c.documents.replace(now, records, end)
	c.requestDelayStart = time.Time{}
	c.documentsChanged = true
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
	c.documentsChanged = c.documentsChanged || added
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

// Joining reports whether the node has started and waits for a peer's documents, since a
// restored log may lack some that are in force. Until it ends, the node's documents must
// not be applied or sent to peers.
func (c *Core) Joining() bool { return !c.joinDeadline.IsZero() }

func (c *Core) newestStatedVersion() uint64 {
	newest := uint64(0)
	for _, state := range c.stated {
		newest = max(newest, state.Version)
	}
	return newest
}

// nobodyHasMore reports whether no known peer that can be reached has documents that the
// node lacks. If none can be reached, the log may have lost the addresses of others.
func (c *Core) nobodyHasMore() bool {
	if !c.nodesLoaded {
		return false
	}
	stated := false
	for _, p := range c.peers {
		if !p.unreachable && !p.statedNoMore {
			return false
		}
		stated = stated || p.statedNoMore
	}
	return stated
}

// State states which documents the node has.
func (c *Core) State() model.DocumentsState {
	state := model.DocumentsState{End: c.documents.end}
	if state.End.Era > 0 && !c.Joining() {
		state.Version = c.documents.newestVersion()
	}
	return state
}

// Needed states which documents the node does not need from a peer. It has no version if
// the node has started after a restore of the log without any peer's documents, since the
// peers may retain some that the log lacks.
func (c *Core) Needed() model.DocumentsState {
	state := c.State()
	if !c.aloneUntil.IsZero() {
		state.Version = 0
	}
	return state
}

// RetainedFor returns how long documents without a version stay in force that the log
// lacks.
func (c *Core) RetainedFor(now time.Time) time.Duration {
	return c.documents.retainedFor(now)
}

// OnLogAnswered handles an answer of the log to this node or to a peer, by which the
// documents were up to date at the time at.
func (c *Core) OnLogAnswered(at time.Time) { c.documents.confirm(at) }

// TakeDocumentsChanged reports whether the documents have changed since it last returned
// true. It returns false while the node joins.
func (c *Core) TakeDocumentsChanged() bool {
	if c.Joining() || !c.documentsChanged {
		return false
	}
	c.documentsChanged = false
	return true
}
