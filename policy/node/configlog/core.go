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
	// maxGapWait is how long a starting node that misses expired records waits for
	// a peer's document set. After that it serves with the documents from the
	// records that the log still has.
	maxGapWait = 3 * time.Second
	// expiryCheckInterval is the time between checks for expired join records
	// of members, and for a due refresh of this node's own join record.
	expiryCheckInterval = time.Minute
)

// Core follows the log streams of one node and builds its configuration from
// them. It is not safe for concurrent use: the duty that owns it calls all
// methods on its thread.
type Core struct {
	self             model.Member
	rng              *rand.Rand
	machine          *chart.Machine[*follower]
	followers        []*follower
	followerByStream map[string]*follower

	config             *Configuration
	members            map[string]*Members // by stream
	groups             map[string]*Groups  // by stream
	builder            *model.SnapshotBuilder
	pendingWithdrawals map[model.KeyHash]*withdrawal

	peers               []model.Instance
	peerRequestWanted   bool
	nextPeerRequestAt   time.Time
	requestSentAt       [requestHistorySize]time.Time // indexed by sequence%requestHistorySize
	lastRequestSequence uint64
	incomingSet         partialSet
	cachedSets          []cachedSet

	startedAt          time.Time
	gapDetectedAt      time.Time // when records of the configuration stream were last found to have expired unread
	ready              bool      // the node may serve with its configuration
	dirty              bool      // something changed since the last snapshot
	snapshotSequence   uint64
	nextRefreshCheckAt time.Time
	nextExpiryCheckAt  time.Time
	pendingActions     []Action
}

// New returns a core that follows the streams. The checker may be nil.
func New(self model.Member, streams []string, rng *rand.Rand, checker *invariant.Checker) *Core {
	c := &Core{
		self:               self,
		rng:                rng,
		machine:            followerMachine(),
		followerByStream:   make(map[string]*follower),
		config:             NewConfiguration(self.Instance, checker),
		members:            make(map[string]*Members),
		groups:             make(map[string]*Groups),
		builder:            model.NewSnapshotBuilder(),
		pendingWithdrawals: make(map[model.KeyHash]*withdrawal),
	}
	for _, stream := range streams {
		c.follow(stream)
	}
	return c
}

// follow starts to follow a stream. It returns false if the node already
// follows it.
func (c *Core) follow(stream string) bool {
	if c.followerByStream[stream] != nil {
		return false
	}
	f := &follower{core: c, stream: stream, state: c.machine.Initial()}
	c.followers = append(c.followers, f)
	c.followerByStream[stream] = f
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

// followCallees follows the member streams of the services that this node's
// target may call. It never stops following a stream: the configuration rarely
// removes a callee, so that few streams are followed without need.
func (c *Core) followCallees(now time.Time) {
	service := c.builder.Service(c.self.Service)
	if service == nil {
		return
	}
	for _, callee := range service.Calls {
		stream := model.MemberStream(callee)
		if c.follow(stream) {
			c.followerByStream[stream].timeoutAt = now.Add(startLogTimeout)
		}
	}
}

// Actions returns the actions since the last call.
func (c *Core) Actions() []Action {
	out := c.pendingActions
	c.pendingActions = nil
	return out
}

// SetPeers sets the peers to which this node has open links.
func (c *Core) SetPeers(peers []model.Instance) { c.peers = peers }

// Snapshot returns a new snapshot if something changed since the last call. It
// returns nil otherwise, and while the node is not ready.
func (c *Core) Snapshot() *model.Snapshot {
	if !c.dirty || !c.ready {
		return nil
	}
	c.dirty = false
	c.snapshotSequence++
	return c.builder.Build(c.snapshotSequence)
}

// Configuration returns the node's configuration. Callers must not modify it.
func (c *Core) Configuration() *Configuration { return c.config }

// Ready reports whether the node may serve with its configuration.
func (c *Core) Ready() bool { return c.ready }

// LastLogContact returns the time at which the latest read that reached the end
// of the configuration stream was sent, or the zero time if there was none.
func (c *Core) LastLogContact() time.Time {
	if f := c.followerByStream[model.ConfigStream]; f != nil {
		return f.lastLogContact
	}
	return time.Time{}
}

// Positions returns the node's position in each stream that it follows.
func (c *Core) Positions() []Position {
	out := make([]Position, len(c.followers))
	for i, f := range c.followers {
		out[i] = Position{Stream: f.stream, Next: c.nextOffset(f.stream), KnownAsOf: f.knownAsOf}
	}
	return out
}

func (c *Core) emit(a Action) { c.pendingActions = append(c.pendingActions, a) }

func (c *Core) nextOffset(stream string) logservice.Offset {
	switch {
	case c.members[stream] != nil:
		return c.members[stream].NextOffset()
	case c.groups[stream] != nil:
		return c.groups[stream].NextOffset()
	default:
		return c.config.NextOffset()
	}
}

// OnReadResult applies the records of a read. If the next record has expired
// from the log, it first skips to the oldest record that the log still has.
func (c *Core) OnReadResult(now time.Time, result ReadResult) {
	f := c.followerByStream[result.Stream]
	if f == nil {
		return
	}
	f.readPending = false
	f.readSentAt = result.SentAt
	f.retention = result.Page.Retention
	f.resetTimeout(now)
	if result.Page.Oldest > c.nextOffset(f.stream) {
		c.skipExpired(now, f, result.Page.Oldest)
	}
	if f.stream == model.ConfigStream {
		c.config.seen.expire(result.Page.Oldest)
	}
	for _, record := range result.Page.Records {
		c.applyRecord(now, f, record)
	}
	if result.Page.Next < result.Page.End {
		f.step(now, eventMoreRemaining)
	} else {
		f.step(now, eventEndReached)
	}
	c.updateReady(now)
}

// OnReadFailed handles the failure of a read of a stream.
func (c *Core) OnReadFailed(now time.Time, stream string) {
	if f := c.followerByStream[stream]; f != nil {
		f.readPending = false
		f.shortenTimeout(now)
		f.step(now, eventReadFailed)
	}
}

// skipExpired skips the records that expired before this node read them.
func (c *Core) skipExpired(now time.Time, f *follower, oldest logservice.Offset) {
	c.emit(&Notice{Kind: NoticeGap, Stream: f.stream, Offset: oldest})
	f.dropRecent(oldest)
	switch {
	case c.members[f.stream] != nil:
		c.members[f.stream].SkipTo(oldest)
	case c.groups[f.stream] != nil:
		c.groups[f.stream].SkipTo(oldest)
	default:
		c.config.SkipTo(oldest)
		c.gapDetectedAt = now
	}
	c.scheduleRefreshCheck()
	f.step(now, eventGap)
}

// applyRecord applies a record. Records must come in log order; one before the
// next offset was applied earlier and is ignored.
func (c *Core) applyRecord(now time.Time, f *follower, r logservice.Record) {
	if r.Offset < c.nextOffset(f.stream) {
		return
	}
	f.addRecent(r)
	appendedAt := f.estimateAppendTime(now, r)
	if f.state != stateFollowing {
		c.scheduleRefreshCheck()
	}
	var err error
	switch {
	case c.members[f.stream] != nil:
		err = c.applyMemberRecord(f.stream, r, appendedAt)
	case c.groups[f.stream] != nil:
		err = c.applyGroupRecord(f.stream, r, appendedAt)
	default:
		err = c.applyConfigRecord(now, r, appendedAt)
	}
	if err != nil {
		c.emit(&Notice{Kind: NoticeMalformed, Stream: f.stream, Offset: r.Offset, Err: err})
	}
}

func (c *Core) applyMemberRecord(stream string, r logservice.Record, appendedAt time.Time) error {
	changed, err := c.members[stream].Apply(r, appendedAt)
	if changed {
		c.updateSnapshotMembers(stream)
	}
	return err
}

func (c *Core) updateSnapshotMembers(stream string) {
	service, _ := memberService(stream)
	c.builder.SetMembers(service, c.members[stream].Current())
	c.dirty = true
}

func (c *Core) applyGroupRecord(stream string, r logservice.Record, appendedAt time.Time) error {
	groupKey, changed, err := c.groups[stream].Apply(r, appendedAt)
	if changed {
		c.builder.SetGroup(groupKey, c.groups[stream].Compositions(groupKey))
		c.dirty = true
	}
	return err
}

func (c *Core) applyConfigRecord(now time.Time, r logservice.Record, appendedAt time.Time) error {
	outcome, err := c.config.Apply(r, appendedAt)
	switch outcome.Verdict {
	case Accepted:
		c.emit(&Notice{Kind: NoticeAccepted, Offset: r.Offset, ID: outcome.Publication.ID})
	case Conflict:
		c.emit(&Notice{Kind: NoticeRejected, Offset: r.Offset, ID: outcome.Publication.ID})
	}
	c.updateSnapshotDocuments(now)
	return err
}

// updateSnapshotDocuments passes changed documents to the snapshot builder, which
// decodes them. It also advances pending withdrawals and follows new callees.
func (c *Core) updateSnapshotDocuments(now time.Time) {
	ownService := model.DocumentName(model.KindService, string(c.self.Service))
	for _, name := range c.config.TakeChanged() {
		doc := c.config.Document(name)
		if err := c.builder.SetDocument(doc); err != nil {
			c.emit(&Notice{Kind: NoticeMalformed, Stream: model.ConfigStream, Err: err})
		}
		c.handleWithdrawnDocument(now, doc)
		c.dirty = true
		if name == ownService {
			c.followCallees(now)
		}
	}
}

// updateReady makes the node ready once it has read the configuration stream to
// the end. If the configuration has a gap, the node waits up to maxGapWait for
// a peer's document set.
func (c *Core) updateReady(now time.Time) {
	f := c.followerByStream[model.ConfigStream]
	if c.ready || f.state != stateFollowing {
		return
	}
	c.ready = !c.config.Gap() || now.Sub(c.startedAt) >= maxGapWait
}

// Tick does the work that is due and returns when it must be called again.
func (c *Core) Tick(now time.Time) time.Time {
	if c.startedAt.IsZero() {
		c.start(now)
	}
	next := now.Add(time.Second)
	for _, f := range c.followers {
		next = earlier(next, f.tick(now))
	}
	c.updateReady(now)
	c.tickPeerRequest(now)
	c.tickWithdrawals(now)
	c.tickRefresh(now)
	return next
}

func (c *Core) start(now time.Time) {
	c.startedAt = now
	for _, f := range c.followers {
		f.timeoutAt = now.Add(startLogTimeout)
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
