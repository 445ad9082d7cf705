package configlog

import (
	"math/rand/v2"
	"time"

	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/core/invariant"
	"github.com/oleanderworks/oleanderworks/logservice"
	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// gapPatience is how long a fresh node that misses records waits for a
	// peer's set before it serves from the records that the log has.
	gapPatience = 3 * time.Second
	// expiryInterval separates looks for members whose join has expired.
	expiryInterval = time.Minute
)

// Core follows the streams of one node. All methods run on one thread.
type Core struct {
	self    model.Member
	rng     *rand.Rand
	machine *chart.Machine[*track]
	tracks  []*track
	byName  map[string]*track

	config  *State
	members map[string]*Members
	groups  map[string]*Groups
	builder *model.Builder
	pending map[model.KeyHash]*withdrawal

	peers     []model.Instance
	askWanted bool
	askAt     time.Time
	asked     [askedKept]time.Time // by sequence
	sequenced uint64
	incoming  incoming
	held      []heldSet

	began     time.Time
	gapAt     time.Time // when records were found missing
	ready     bool      // the node may serve with its configuration
	dirty     bool      // the snapshot differs from the one published last
	sequence  uint64
	refreshAt time.Time
	expireAt  time.Time
	out       []Action
}

// New returns a core that follows the streams. The checker may be nil.
func New(self model.Member, streams []string, rng *rand.Rand, checker *invariant.Checker) *Core {
	c := &Core{
		self:    self,
		rng:     rng,
		machine: machine(),
		byName:  make(map[string]*track),
		config:  NewState(self.Instance, checker),
		members: make(map[string]*Members),
		groups:  make(map[string]*Groups),
		builder: model.NewBuilder(),
		pending: make(map[model.KeyHash]*withdrawal),
	}
	for _, stream := range streams {
		c.follow(stream)
	}
	return c
}

// follow adds a stream. It reports false when the stream is followed already.
func (c *Core) follow(stream string) bool {
	if c.byName[stream] != nil {
		return false
	}
	t := &track{core: c, stream: stream, state: c.machine.Initial()}
	c.tracks = append(c.tracks, t)
	c.byName[stream] = t
	if stream == model.ConfigStream {
		return true
	}
	if _, ok := memberService(stream); ok {
		c.members[stream] = NewMembers()
		return true
	}
	c.groups[stream] = NewGroups(c.self.Instance)
	return true
}

// followCalls follows the members of the services that this node's target
// calls. A stream once followed stays, since few calls are ever removed.
func (c *Core) followCalls(now time.Time) {
	service := c.builder.Service(c.self.Service)
	if service == nil {
		return
	}
	for _, callee := range service.Calls {
		stream := model.MemberStream(callee)
		if c.follow(stream) {
			c.byName[stream].silentAt = now.Add(startSilence)
		}
	}
}

// Actions returns the actions since the last call.
func (c *Core) Actions() []Action {
	out := c.out
	c.out = nil
	return out
}

// SetPeers sets the peers with open links.
func (c *Core) SetPeers(peers []model.Instance) { c.peers = peers }

// Snapshot returns a new snapshot when something changed since the last
// call, and nil otherwise or while the node has no configuration.
func (c *Core) Snapshot() *model.Snapshot {
	if !c.dirty || !c.ready {
		return nil
	}
	c.dirty = false
	c.sequence++
	return c.builder.Build(c.sequence)
}

// State returns the configuration, for reading.
func (c *Core) State() *State { return c.config }

// Ready reports whether the node may serve with its configuration.
func (c *Core) Ready() bool { return c.ready }

// LastContact returns when the latest read of the configuration that reached the
// end of the log began. It is zero when there was none.
func (c *Core) LastContact() time.Time {
	if t := c.byName[model.ConfigStream]; t != nil {
		return t.contact
	}
	return time.Time{}
}

// Positions returns the next offset of each stream.
func (c *Core) Positions() []Position {
	out := make([]Position, len(c.tracks))
	for i, t := range c.tracks {
		out[i] = Position{Stream: t.stream, Next: c.next(t.stream), KnownAsOf: t.known}
	}
	return out
}

func (c *Core) emit(a Action) { c.out = append(c.out, a) }

func (c *Core) next(stream string) logservice.Offset {
	switch {
	case c.members[stream] != nil:
		return c.members[stream].Next()
	case c.groups[stream] != nil:
		return c.groups[stream].Next()
	default:
		return c.config.Next()
	}
}

// OnReadResult applies the records of a read.
func (c *Core) OnReadResult(now time.Time, r ReadResult) {
	t := c.byName[r.Stream]
	if t == nil {
		return
	}
	t.reading = false
	t.started = r.Started
	t.retention = r.Page.Retention
	t.heard(now)
	if r.Page.Oldest > c.next(t.stream) {
		c.skip(now, t, r.Page.Oldest)
	}
	if t.stream == model.ConfigStream {
		c.config.seen.expire(r.Page.Oldest)
	}
	for _, record := range r.Page.Records {
		c.apply(now, t, record)
	}
	if r.Page.Next < r.Page.End {
		t.step(now, eventPageMore)
	} else {
		t.step(now, eventPageEnd)
	}
	c.updateReady(now)
}

// OnReadFailed notes that a read got no answer.
func (c *Core) OnReadFailed(now time.Time, stream string) {
	if t := c.byName[stream]; t != nil {
		t.reading = false
		t.failed(now)
		t.step(now, eventReadFailed)
	}
}

func (c *Core) skip(now time.Time, t *track, oldest logservice.Offset) {
	c.emit(&Notice{Kind: NoticeGap, Stream: t.stream, Offset: oldest})
	t.forget(oldest)
	switch {
	case c.members[t.stream] != nil:
		c.members[t.stream].SkipTo(oldest)
	case c.groups[t.stream] != nil:
		c.groups[t.stream].SkipTo(oldest)
	default:
		c.config.SkipTo(oldest)
		c.gapAt = now
	}
	c.lookAgain()
	t.step(now, eventGap)
}

// apply applies one record that is next in log order; an older one was
// applied before and is skipped.
func (c *Core) apply(now time.Time, t *track, r logservice.Record) {
	if r.Offset < c.next(t.stream) {
		return
	}
	t.keep(r)
	born := t.born(now, r)
	if t.state != stateFollowing {
		c.lookAgain()
	}
	var err error
	switch {
	case c.members[t.stream] != nil:
		err = c.applyMember(t.stream, r, born)
	case c.groups[t.stream] != nil:
		err = c.applyGroup(t.stream, r, born)
	default:
		err = c.applyConfig(now, r, born)
	}
	if err != nil {
		c.emit(&Notice{Kind: NoticeMalformed, Stream: t.stream, Offset: r.Offset, Err: err})
	}
}

func (c *Core) applyMember(stream string, r logservice.Record, born time.Time) error {
	changed, err := c.members[stream].Apply(r, born)
	if changed {
		c.membersChanged(stream)
	}
	return err
}

func (c *Core) membersChanged(stream string) {
	service, _ := memberService(stream)
	c.builder.SetMembers(service, c.members[stream].Current())
	c.dirty = true
}

func (c *Core) applyGroup(stream string, r logservice.Record, born time.Time) error {
	key, changed, err := c.groups[stream].Apply(r, born)
	if changed {
		c.builder.SetGroup(key, c.groups[stream].Epochs(key))
		c.dirty = true
	}
	return err
}

func (c *Core) applyConfig(now time.Time, r logservice.Record, born time.Time) error {
	outcome, err := c.config.Apply(r, born)
	switch outcome.Verdict {
	case Accepted:
		c.emit(&Notice{Kind: NoticeAccepted, Offset: r.Offset, ID: outcome.Publication.ID})
	case Conflict:
		c.emit(&Notice{Kind: NoticeRejected, Offset: r.Offset, ID: outcome.Publication.ID})
	}
	c.rebuild(now)
	return err
}

// rebuild decodes the documents that changed.
func (c *Core) rebuild(now time.Time) {
	own := model.DocumentName(model.KindService, string(c.self.Service))
	for _, name := range c.config.Changed() {
		doc := c.config.Document(name)
		if err := c.builder.SetDocument(doc); err != nil {
			c.emit(&Notice{Kind: NoticeMalformed, Stream: model.ConfigStream, Err: err})
		}
		c.settleWithdrawal(now, doc)
		c.dirty = true
		if name == own {
			c.followCalls(now)
		}
	}
}

// updateReady decides whether the node has a whole configuration.
func (c *Core) updateReady(now time.Time) {
	t := c.byName[model.ConfigStream]
	if c.ready || t.state != stateFollowing {
		return
	}
	c.ready = !c.config.Gap() || now.Sub(c.began) >= gapPatience
}

// Tick runs what is due and returns the time of the next step.
func (c *Core) Tick(now time.Time) time.Time {
	if c.began.IsZero() {
		c.begin(now)
	}
	next := now.Add(time.Second)
	for _, t := range c.tracks {
		next = earlier(next, t.tick(now))
	}
	c.updateReady(now)
	c.tickAsk(now)
	c.tickWithdrawals(now)
	c.tickRefresh(now)
	return next
}

func (c *Core) begin(now time.Time) {
	c.began = now
	for _, t := range c.tracks {
		t.silentAt = now.Add(startSilence)
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
