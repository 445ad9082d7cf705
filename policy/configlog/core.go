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
	// gapWaitLimit is how long a newly started node that misses expired records
	// waits for a peer's document set before it serves with the records that the
	// log still has.
	gapWaitLimit = 3 * time.Second
	// expiryCheckInterval separates checks for members whose join has expired,
	// and for a refresh of this node's own join that is due.
	expiryCheckInterval = time.Minute
)

// Core follows the log streams of one node and builds its configuration from
// them. All methods run on one thread.
type Core struct {
	self            model.Member
	rng             *rand.Rand
	machine         *chart.Machine[*streamTracker]
	trackers        []*streamTracker
	trackerByStream map[string]*streamTracker

	config             *Configuration
	members            map[string]*Members
	groups             map[string]*Groups
	builder            *model.Builder
	pendingWithdrawals map[model.KeyHash]*withdrawal

	peers             []model.Instance
	peerRequestWanted bool
	peerRequestAt     time.Time
	requestSentAt     [keptSendTimes]time.Time // at sequence%keptSendTimes
	requestSequence   uint64
	incomingSet       partialSet
	cachedSets        []cachedSet

	startedAt        time.Time
	gapFoundAt       time.Time // when expired records were last found missing
	ready            bool      // the node may serve with its configuration
	dirty            bool      // something changed since the last snapshot
	snapshotSequence uint64
	refreshCheckAt   time.Time
	expiryCheckAt    time.Time
	out              []Action
}

// New returns a core that follows the streams. The checker may be nil.
func New(self model.Member, streams []string, rng *rand.Rand, checker *invariant.Checker) *Core {
	c := &Core{
		self:               self,
		rng:                rng,
		machine:            followerMachine(),
		trackerByStream:    make(map[string]*streamTracker),
		config:             NewConfiguration(self.Instance, checker),
		members:            make(map[string]*Members),
		groups:             make(map[string]*Groups),
		builder:            model.NewBuilder(),
		pendingWithdrawals: make(map[model.KeyHash]*withdrawal),
	}
	for _, stream := range streams {
		c.follow(stream)
	}
	return c
}

// follow adds a stream. It returns false when the stream is followed already.
func (c *Core) follow(stream string) bool {
	if c.trackerByStream[stream] != nil {
		return false
	}
	t := &streamTracker{core: c, stream: stream, state: c.machine.Initial()}
	c.trackers = append(c.trackers, t)
	c.trackerByStream[stream] = t
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

// followCallees follows the members of the services that this node's target
// may call. A stream is never dropped again, since the configuration rarely
// removes a callee.
func (c *Core) followCallees(now time.Time) {
	service := c.builder.Service(c.self.Service)
	if service == nil {
		return
	}
	for _, callee := range service.Calls {
		stream := model.MemberStream(callee)
		if c.follow(stream) {
			c.trackerByStream[stream].timeoutAt = now.Add(startLogTimeout)
		}
	}
}

// Actions returns the actions since the last call.
func (c *Core) Actions() []Action {
	out := c.out
	c.out = nil
	return out
}

// SetPeers sets the peers to which links are open.
func (c *Core) SetPeers(peers []model.Instance) { c.peers = peers }

// Snapshot returns a new snapshot when something changed since the last
// call, and nil otherwise or while the node has no configuration.
func (c *Core) Snapshot() *model.Snapshot {
	if !c.dirty || !c.ready {
		return nil
	}
	c.dirty = false
	c.snapshotSequence++
	return c.builder.Build(c.snapshotSequence)
}

// Configuration returns the configuration. Callers must not change it.
func (c *Core) Configuration() *Configuration { return c.config }

// Ready reports whether the node may serve with its configuration.
func (c *Core) Ready() bool { return c.ready }

// LastLogContact returns when the latest read that reached the end of the
// configuration stream was sent. It is zero when there was none.
func (c *Core) LastLogContact() time.Time {
	if t := c.trackerByStream[model.ConfigStream]; t != nil {
		return t.lastLogContact
	}
	return time.Time{}
}

// Positions returns the next offset of each stream.
func (c *Core) Positions() []Position {
	out := make([]Position, len(c.trackers))
	for i, t := range c.trackers {
		out[i] = Position{Stream: t.stream, Next: c.next(t.stream), KnownAsOf: t.knownAsOf}
	}
	return out
}

func (c *Core) emit(a Action) { c.out = append(c.out, a) }

func (c *Core) next(stream string) logservice.Offset {
	switch {
	case c.members[stream] != nil:
		return c.members[stream].NextOffset()
	case c.groups[stream] != nil:
		return c.groups[stream].NextOffset()
	default:
		return c.config.NextOffset()
	}
}

// OnReadResult applies the records of a read. It first handles a gap when
// the log no longer holds the next record.
func (c *Core) OnReadResult(now time.Time, result ReadResult) {
	t := c.trackerByStream[result.Stream]
	if t == nil {
		return
	}
	t.readPending = false
	t.readSentAt = result.SentAt
	t.retention = result.Page.Retention
	t.logAnswered(now)
	if result.Page.Oldest > c.next(t.stream) {
		c.skipExpired(now, t, result.Page.Oldest)
	}
	if t.stream == model.ConfigStream {
		c.config.seen.expire(result.Page.Oldest)
	}
	for _, record := range result.Page.Records {
		c.apply(now, t, record)
	}
	if result.Page.Next < result.Page.End {
		t.step(now, eventMoreRemaining)
	} else {
		t.step(now, eventEndReached)
	}
	c.updateReady(now)
}

// OnReadFailed reports that a read of a stream failed.
func (c *Core) OnReadFailed(now time.Time, stream string) {
	if t := c.trackerByStream[stream]; t != nil {
		t.readPending = false
		t.logFailed(now)
		t.step(now, eventReadFailed)
	}
}

// skipExpired skips records that expired before this node read them.
func (c *Core) skipExpired(now time.Time, t *streamTracker, oldest logservice.Offset) {
	c.emit(&Notice{Kind: NoticeGap, Stream: t.stream, Offset: oldest})
	t.dropRecent(oldest)
	switch {
	case c.members[t.stream] != nil:
		c.members[t.stream].SkipTo(oldest)
	case c.groups[t.stream] != nil:
		c.groups[t.stream].SkipTo(oldest)
	default:
		c.config.SkipTo(oldest)
		c.gapFoundAt = now
	}
	c.scheduleRefreshCheck()
	t.step(now, eventGap)
}

// apply applies one record in log order. It ignores a record before the next
// offset, which was applied already.
func (c *Core) apply(now time.Time, t *streamTracker, r logservice.Record) {
	if r.Offset < c.next(t.stream) {
		return
	}
	t.keepRecent(r)
	appendedAt := t.estimateAppendTime(now, r)
	if t.state != stateFollowing {
		c.scheduleRefreshCheck()
	}
	var err error
	switch {
	case c.members[t.stream] != nil:
		err = c.applyMember(t.stream, r, appendedAt)
	case c.groups[t.stream] != nil:
		err = c.applyGroup(t.stream, r, appendedAt)
	default:
		err = c.applyConfig(now, r, appendedAt)
	}
	if err != nil {
		c.emit(&Notice{Kind: NoticeMalformed, Stream: t.stream, Offset: r.Offset, Err: err})
	}
}

func (c *Core) applyMember(stream string, r logservice.Record, appendedAt time.Time) error {
	changed, err := c.members[stream].Apply(r, appendedAt)
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

func (c *Core) applyGroup(stream string, r logservice.Record, appendedAt time.Time) error {
	key, changed, err := c.groups[stream].Apply(r, appendedAt)
	if changed {
		c.builder.SetGroup(key, c.groups[stream].Compositions(key))
		c.dirty = true
	}
	return err
}

func (c *Core) applyConfig(now time.Time, r logservice.Record, appendedAt time.Time) error {
	outcome, err := c.config.Apply(r, appendedAt)
	switch outcome.Verdict {
	case Accepted:
		c.emit(&Notice{Kind: NoticeAccepted, Offset: r.Offset, ID: outcome.Publication.ID})
	case Conflict:
		c.emit(&Notice{Kind: NoticeRejected, Offset: r.Offset, ID: outcome.Publication.ID})
	}
	c.decodeChanged(now)
	return err
}

// decodeChanged passes the documents that changed to the snapshot builder,
// which decodes them.
func (c *Core) decodeChanged(now time.Time) {
	ownService := model.DocumentName(model.KindService, string(c.self.Service))
	for _, name := range c.config.TakeChanged() {
		doc := c.config.Document(name)
		if err := c.builder.SetDocument(doc); err != nil {
			c.emit(&Notice{Kind: NoticeMalformed, Stream: model.ConfigStream, Err: err})
		}
		c.markWithdrawalInConfiguration(now, doc)
		c.dirty = true
		if name == ownService {
			c.followCallees(now)
		}
	}
}

// updateReady makes the node ready at the end of the configuration stream,
// unless expired records are missing; it then waits up to gapWaitLimit for a
// peer's document set.
func (c *Core) updateReady(now time.Time) {
	t := c.trackerByStream[model.ConfigStream]
	if c.ready || t.state != stateFollowing {
		return
	}
	c.ready = !c.config.Gap() || now.Sub(c.startedAt) >= gapWaitLimit
}

// Tick runs the work that is due and returns the time of the next tick.
func (c *Core) Tick(now time.Time) time.Time {
	if c.startedAt.IsZero() {
		c.start(now)
	}
	next := now.Add(time.Second)
	for _, t := range c.trackers {
		next = earlier(next, t.tick(now))
	}
	c.updateReady(now)
	c.tickPeerRequest(now)
	c.tickWithdrawals(now)
	c.tickRefresh(now)
	return next
}

func (c *Core) start(now time.Time) {
	c.startedAt = now
	for _, t := range c.trackers {
		t.timeoutAt = now.Add(startLogTimeout)
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
