// Package fleet keeps a node's links to its peers and the operator's documents
// that it has from the log or from a peer.
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
	// firstPause and maxPause bound the pause after a failed connection. A
	// machine that starts again answers within a second or two.
	firstPause = 100 * time.Millisecond
	maxPause   = time.Second
	// behindTime is how long a peer may have newer documents before they are
	// asked for: the own read of the log usually brings them sooner.
	behindTime = 300 * time.Millisecond
)

// Action is what the node does next: Dial, CloseLink or RequestDocuments.
type Action interface{ action() }

// Dial opens a link to a peer.
type Dial struct{ Peer model.Instance }

// CloseLink closes the link to a peer.
type CloseLink struct{ Peer model.Instance }

// RequestDocuments asks a peer for the operator's documents.
type RequestDocuments struct {
	Peer     model.Instance
	KnownEnd int64 // known already
}

func (Dial) action()             {}
func (CloseLink) action()        {}
func (RequestDocuments) action() {}

// Events of the peer chart, in the chart's order.
const (
	eventDue chart.EventID = iota
	eventConnected
	eventFailed
	eventClosed
	eventFound
	eventWithdrawn
)

// Core holds what one node knows of its peers. All methods run on one thread.
type Core struct {
	self    model.Instance
	rng     *rand.Rand
	machine *chart.Machine[*peer]
	peers   map[model.Instance]*peer
	dials   *timers.Queue[model.Instance]
	actions []Action

	documents map[string]keyed.Record
	end       int64
	behind    time.Time // since when a peer has newer documents; zero if none
	ahead     model.Instance
	changed   bool // the set of peers
}

type peer struct {
	core  *Core
	id    model.Instance
	state chart.StateID
	now   time.Time
	pause time.Duration
}

// New returns a core that knows no peers.
func New(self model.Instance, rng *rand.Rand) *Core {
	c := &Core{
		self:      self,
		rng:       rng,
		peers:     make(map[model.Instance]*peer),
		dials:     timers.New[model.Instance](),
		documents: make(map[string]keyed.Record),
	}
	c.machine = chart.MustCompile(charts.MustRead("mesh_peer"), chart.Binding[*peer]{
		States: []string{"waiting", "dialing", "up", "forgotten"},
		Events: []string{"due", "connected", "failed", "closed", "found", "withdrawn"},
		Guards: map[string]func(*peer) bool{},
		Actions: map[string]func(*peer){
			"dial":        func(p *peer) { c.actions = append(c.actions, Dial{Peer: p.id}) },
			"hang_up":     func(p *peer) { c.actions = append(c.actions, CloseLink{Peer: p.id}) },
			"retry_now":   func(p *peer) { c.dials.Set(p.id, p.now) },
			"back_off":    (*peer).backOff,
			"reset_pause": func(p *peer) { p.pause = firstPause },
		},
	})
	return c
}

func (p *peer) backOff() {
	c := p.core
	c.dials.Set(p.id, p.now.Add(p.pause/2+time.Duration(c.rng.Float64()*float64(p.pause))))
	p.pause = min(2*p.pause, maxPause)
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
		c.dials.Remove(id)
		c.changed = true
	}
}

// Actions returns what is to be done since the last call.
func (c *Core) Actions() []Action {
	out := c.actions
	c.actions = nil
	return out
}

// Peers returns the known peers, and whether they have changed since the last
// call.
func (c *Core) Peers() ([]model.Instance, bool) {
	if !c.changed {
		return nil, false
	}
	c.changed = false
	out := make([]model.Instance, 0, len(c.peers))
	for id := range c.peers {
		out = append(out, id)
	}
	slices.Sort(out)
	return out, true
}

// OnDiscovered takes the address of a node that has announced itself, or that has
// connected to this one.
func (c *Core) OnDiscovered(now time.Time, id model.Instance) {
	if id == c.self {
		return
	}
	if c.peers[id] == nil {
		c.peers[id] = &peer{core: c, id: id, state: c.machine.Initial(), pause: firstPause}
		c.changed = true
	}
	c.step(now, id, eventFound)
}

// OnPeerLeft forgets a node that has left.
func (c *Core) OnPeerLeft(now time.Time, id model.Instance) { c.step(now, id, eventWithdrawn) }

// OnConnected takes the result of a successful Dial.
func (c *Core) OnConnected(now time.Time, id model.Instance) { c.step(now, id, eventConnected) }

// OnDialFailed takes the result of a Dial without success.
func (c *Core) OnDialFailed(now time.Time, id model.Instance) { c.step(now, id, eventFailed) }

// OnLinkClosed takes the end of a link.
func (c *Core) OnLinkClosed(now time.Time, id model.Instance) { c.step(now, id, eventClosed) }

// OnPeerAhead takes a peer's word that it has documents up to an end offset.
func (c *Core) OnPeerAhead(now time.Time, id model.Instance, end int64) {
	if end <= c.end {
		return
	}
	if c.behind.IsZero() {
		c.behind = now
	}
	c.ahead = id
}

// Tick runs timers and returns the time of the next one; zero for none.
func (c *Core) Tick(now time.Time) time.Time {
	for {
		id, due := c.dials.PopDue(now)
		if !due {
			break
		}
		c.step(now, id, eventDue)
	}
	next := c.dials.Next()
	if c.behind.IsZero() {
		return next
	}
	ask := c.behind.Add(behindTime)
	if !now.Before(ask) {
		c.actions = append(c.actions, RequestDocuments{Peer: c.ahead, KnownEnd: c.end})
		c.behind = now
		ask = now.Add(behindTime)
	}
	if next.IsZero() || ask.Before(next) {
		return ask
	}
	return next
}

// OnDocuments takes all documents as of an end offset, from the log or from a
// peer. It reports whether they are newer than the known ones.
func (c *Core) OnDocuments(records []keyed.Record, end int64) bool {
	if end <= c.end {
		return false
	}
	clear(c.documents)
	for _, r := range records {
		c.set(r)
	}
	c.advance(end)
	return true
}

// OnRecords takes the records up to an end offset that follow the known ones.
// It reports whether they change anything.
func (c *Core) OnRecords(records []keyed.Record, end int64) bool {
	changed := false
	for _, r := range records {
		if r.Offset >= c.end {
			c.set(r)
			changed = true
		}
	}
	c.advance(end)
	return changed
}

func (c *Core) set(r keyed.Record) {
	if len(r.Value) == 0 {
		delete(c.documents, r.Key)
		return
	}
	c.documents[r.Key] = r
}

func (c *Core) advance(end int64) {
	if end > c.end {
		c.end = end
		c.behind = time.Time{}
	}
}

// Documents returns the operator's documents in order of their keys, and the
// end offset as of which they are complete.
func (c *Core) Documents() ([]keyed.Record, int64) {
	out := make([]keyed.Record, 0, len(c.documents))
	for _, r := range c.documents {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b keyed.Record) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	return out, c.end
}

// EndOffset returns the end offset as of which the documents are complete.
func (c *Core) EndOffset() int64 { return c.end }
