package configlog

import (
	"time"

	"github.com/oleanderworks/oleanderworks/logservice"
	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// peerRequestInterval separates the requests of a node that cannot reach the
	// log, and peersPerRequest is how many peers it asks each time. Each round
	// makes four times as many nodes have a record, so that 19,000 nodes, the design
	// size, have it
	// after about 9 rounds.
	peerRequestInterval = time.Second
	peersPerRequest     = 3
	// gapPeerRequestInterval is the same for a node that reads the log and only
	// needs a peer to confirm documents whose records expired unread.
	gapPeerRequestInterval = 30 * time.Second
	// keptSendTimes is the number of latest requests whose send times are kept.
	// The answer to an older request does not advance Position.KnownAsOf.
	keptSendTimes = 8
	// maxPartBytes and maxPartDocuments bound one part of a document set,
	// under the limit of 1 MiB for a frame.
	maxPartBytes     = 256 << 10
	maxPartDocuments = 2000
	// maxSetDocuments bounds the document set that a node accepts from a peer.
	maxSetDocuments = 200_000
	// maxCachedSets and cachedSetLifetime bound the document sets kept for peers
	// that request them part by part.
	maxCachedSets     = 4
	cachedSetLifetime = 10 * time.Second
	// setPartTimeout bounds the wait for the next part of a document set.
	setPartTimeout = 2 * time.Second
)

// cachedSet is a document set whose parts peers request.
type cachedSet struct {
	set      DocumentSet
	lastUsed time.Time
}

// partialSet is a document set of which some parts have arrived.
type partialSet struct {
	peer        model.Instance
	set         DocumentSet
	requestedAt time.Time // when the next part was requested
}

// tickPeerRequest sends a request to a few random peers when one is due.
func (c *Core) tickPeerRequest(now time.Time) {
	if now.Before(c.peerRequestAt) {
		return
	}
	for _, t := range c.trackers {
		t.step(now, eventPeerRequestDue)
	}
	if c.config.Gap() {
		c.peerRequestWanted = true
	}
	if !c.peerRequestWanted || len(c.peers) == 0 {
		return
	}
	c.peerRequestWanted = false
	c.peerRequestAt = now.Add(peerRequestInterval)
	if c.ready && c.trackerByStream[model.ConfigStream].state == stateFollowing {
		c.peerRequestAt = now.Add(gapPeerRequestInterval)
	}
	c.requestSequence++
	c.requestSentAt[c.requestSequence%keptSendTimes] = now
	request := &Request{Sequence: c.requestSequence, Positions: c.Positions(), WantSet: c.config.Gap(), Withdrawn: c.pendingHashes()}
	for _, i := range c.rng.Perm(len(c.peers))[:min(peersPerRequest, len(c.peers))] {
		c.emit(&Send{To: c.peers[i], Request: request})
	}
}

// OnRequest answers a peer with the records and withdrawals that it lacks.
func (c *Core) OnRequest(now time.Time, from model.Member, request *Request) {
	for _, hash := range request.Withdrawn {
		c.applyWithdrawal(now, hash)
	}
	answer := &Answer{Sequence: request.Sequence, Withdrawn: c.pendingHashes()}
	if request.SetFrom > 0 {
		answer.Set = c.setPart(now, request.SetPosition, request.SetFrom)
	} else {
		for _, p := range request.Positions {
			c.answerStream(now, answer, p, request.WantSet)
		}
	}
	if !answer.empty() {
		c.emit(&Send{To: from.Instance, Answer: answer})
	}
}

// answerStream adds to the answer what a peer at a position of a stream lacks.
func (c *Core) answerStream(now time.Time, answer *Answer, p Position, wantSet bool) {
	t := c.trackerByStream[p.Stream]
	if t == nil {
		return
	}
	isConfig := p.Stream == model.ConfigStream
	next := c.next(p.Stream)
	if isConfig && wantSet && !c.config.Gap() && next >= p.Next && c.ready {
		answer.Set = c.setPart(now, next, 0)
		return
	}
	if p.Next > next || isConfig && !c.ready {
		return
	}
	age := knownAge(now, t)
	if p.Next == next {
		if age > 0 {
			answer.Streams = append(answer.Streams, StreamRecords{Stream: p.Stream, From: next, Next: next, KnownAge: age})
		}
		return
	}
	records, kept := t.recentSince(p.Next)
	if !kept && isConfig {
		answer.Set = c.setPart(now, next, 0)
		return
	}
	s := StreamRecords{Stream: p.Stream, From: p.Next, Next: next, Records: records, KnownAge: age}
	if !kept {
		s.Compact, s.Records = true, c.compact(p.Stream)
	}
	answer.Streams = append(answer.Streams, s)
}

// knownAge returns the age of the node's knowledge of a stream, or 0 when it
// has none.
func knownAge(now time.Time, t *streamTracker) time.Duration {
	if t.knownAsOf.IsZero() {
		return 0
	}
	return max(now.Sub(t.knownAsOf), 1)
}

func (c *Core) compact(stream string) []logservice.Record {
	if m := c.members[stream]; m != nil {
		return m.compact()
	}
	return c.groups[stream].compact()
}

// setPart returns the part from an index on of the document set at a position.
// When that set is no longer cached, it returns the first part of the current
// one.
func (c *Core) setPart(now time.Time, position logservice.Offset, from int) *DocumentSet {
	set := c.findCachedSet(now, position)
	if set == nil {
		set, from = c.cacheCurrentSet(now), 0
	}
	out := *set
	out.From = from
	out.Documents = nil
	size := 0
	for _, d := range set.Documents[min(from, len(set.Documents)):] {
		size += len(d.Body) + len(d.Name)
		if len(out.Documents) > 0 && (size > maxPartBytes || len(out.Documents) == maxPartDocuments) {
			break
		}
		out.Documents = append(out.Documents, d)
	}
	return &out
}

func (c *Core) findCachedSet(now time.Time, position logservice.Offset) *DocumentSet {
	for i := range c.cachedSets {
		h := &c.cachedSets[i]
		if h.set.Position == position && now.Sub(h.lastUsed) < cachedSetLifetime {
			h.lastUsed = now
			return &h.set
		}
	}
	return nil
}

func (c *Core) cacheCurrentSet(now time.Time) *DocumentSet {
	kept := c.cachedSets[:0]
	for _, h := range c.cachedSets {
		if now.Sub(h.lastUsed) < cachedSetLifetime {
			kept = append(kept, h)
		}
	}
	if len(kept) == maxCachedSets {
		kept = kept[1:]
	}
	c.cachedSets = append(kept, cachedSet{set: c.config.DocumentSet(now), lastUsed: now})
	return &c.cachedSets[len(c.cachedSets)-1].set
}

// OnAnswer applies the records, documents and withdrawals of a peer's answer.
func (c *Core) OnAnswer(now time.Time, from model.Member, answer *Answer) {
	for _, hash := range answer.Withdrawn {
		c.applyWithdrawal(now, hash)
	}
	for _, s := range answer.Streams {
		c.applyRelayed(now, from, s)
		c.updateKnownAsOf(answer.Sequence, s)
	}
	if answer.Set != nil {
		c.addSetPart(now, from.Instance, answer.Set)
	}
}

// updateKnownAsOf counts the age of a peer's knowledge from when the request
// was sent, so that a delayed answer is not taken for fresh.
func (c *Core) updateKnownAsOf(sequence uint64, s StreamRecords) {
	t := c.trackerByStream[s.Stream]
	late := sequence == 0 || sequence > c.requestSequence || c.requestSequence-sequence >= keptSendTimes
	if t == nil || late || s.KnownAge <= 0 || c.next(s.Stream) < s.Next {
		return
	}
	t.advanceKnownAsOf(c.requestSentAt[sequence%keptSendTimes].Add(-s.KnownAge))
}

// applyRelayed applies the records that a peer sent for a stream.
func (c *Core) applyRelayed(now time.Time, from model.Member, s StreamRecords) {
	t := c.trackerByStream[s.Stream]
	next := c.next(s.Stream)
	if t == nil || s.Next <= next || !s.Compact && s.From != next {
		return
	}
	if s.Compact && !c.replaceWithCompacted(now, t, s) {
		return
	}
	if !s.Compact {
		for _, r := range s.Records {
			c.apply(now, t, r)
		}
		// The peer has a complete configuration as of Next, and so has this node.
		c.ready = c.ready || s.Stream == model.ConfigStream && !c.config.Gap()
	}
	c.emit(&Notice{Kind: NoticeRelayed, Stream: s.Stream, Offset: s.Next, Peer: from.Instance, Count: len(s.Records)})
}

// replaceWithCompacted replaces the members or groups of a stream by those of
// its compacted records. It returns false for the configuration stream.
func (c *Core) replaceWithCompacted(now time.Time, t *streamTracker, s StreamRecords) bool {
	members, groups := c.members[s.Stream], c.groups[s.Stream]
	switch {
	case members != nil:
		members.reset()
	case groups != nil:
		groups.reset()
	default:
		return false
	}
	for _, r := range s.Records {
		if members != nil {
			_, _ = members.Apply(r, t.estimateAppendTime(now, r))
			continue
		}
		_ = c.applyGroup(s.Stream, r, t.estimateAppendTime(now, r))
	}
	if members != nil {
		members.rebuild()
		members.next = s.Next
		c.membersChanged(s.Stream)
	} else {
		groups.next = s.Next
	}
	t.dropRecent(s.Next)
	return true
}

// addSetPart adds a part of a document set and requests the next one, or
// adopts the set when it is complete.
func (c *Core) addSetPart(now time.Time, peer model.Instance, part *DocumentSet) {
	in := &c.incomingSet
	busy := in.peer != "" && now.Sub(in.requestedAt) < setPartTimeout
	if busy && in.peer != peer || !c.config.ShouldAdopt(part.Position, part.Gap) || part.Total > maxSetDocuments {
		return
	}
	if part.From == 0 {
		*in = partialSet{peer: peer, set: *part}
	} else {
		if in.peer != peer || in.set.Position != part.Position || len(in.set.Documents) != part.From {
			return
		}
		in.set.Documents = append(in.set.Documents, part.Documents...)
	}
	in.requestedAt = now
	if len(in.set.Documents) < part.Total {
		c.emit(&Send{To: peer, Request: &Request{SetPosition: part.Position, SetFrom: len(in.set.Documents)}})
		return
	}
	set := in.set
	c.incomingSet = partialSet{}
	c.adopt(now, peer, set)
}

func (c *Core) adopt(now time.Time, peer model.Instance, set DocumentSet) {
	if !c.config.Adopt(now, set) {
		return
	}
	c.trackerByStream[model.ConfigStream].dropRecent(set.Position)
	c.emit(&Notice{Kind: NoticeAdopted, Offset: set.Position, Peer: peer, Count: len(set.Documents)})
	c.decodeChanged(now)
	c.scheduleRefreshCheck()
	c.ready = true
}
