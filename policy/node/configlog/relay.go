package configlog

import (
	"time"

	"github.com/oleanderworks/oleanderworks/logservice"
	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// peerRequestInterval is the time between requests of a node that cannot reach
	// the log, and peersPerRequest is the number of peers that it asks each time.
	// Each round about quadruples the number of nodes that have a record, so that
	// the 19,000 nodes of the design size have it after about 9 rounds.
	peerRequestInterval = time.Second
	peersPerRequest     = 3
	// gapPeerRequestInterval replaces peerRequestInterval on a node that reads the
	// log and needs peers only to confirm documents after a gap.
	gapPeerRequestInterval = 30 * time.Second
	// requestHistorySize is the number of latest requests whose send times are
	// kept. The answer to an older request does not advance Position.KnownAsOf.
	requestHistorySize = 8
	// maxSetPartBytes and maxSetPartDocuments limit one part of a document set so
	// that it stays below the limit of 1 MiB for a frame.
	maxSetPartBytes     = 256 << 10
	maxSetPartDocuments = 2000
	// maxSetDocuments limits the document set that a node accepts from a peer.
	maxSetDocuments = 200_000
	// maxCachedSets and cachedSetLifetime limit the document sets that are kept for
	// peers that request them part by part.
	maxCachedSets     = 4
	cachedSetLifetime = 10 * time.Second
	// setPartTimeout limits the wait for the next part of a document set.
	setPartTimeout = 2 * time.Second
)

// cachedSet is a document set that is kept for peers that request it part by part.
type cachedSet struct {
	set      DocumentSet
	lastUsed time.Time
}

// partialSet is a document set from a peer that has not arrived completely.
type partialSet struct {
	peer        model.Instance
	set         DocumentSet
	requestedAt time.Time // when the next part was requested
}

// tickPeerRequest sends a request to a few random peers when one is due.
func (c *Core) tickPeerRequest(now time.Time) {
	if now.Before(c.nextPeerRequestAt) {
		return
	}
	for _, f := range c.followers {
		f.step(now, eventPeerRequestDue)
	}
	if c.config.Gap() {
		c.peerRequestWanted = true
	}
	if !c.peerRequestWanted || len(c.peers) == 0 {
		return
	}
	c.peerRequestWanted = false
	c.nextPeerRequestAt = now.Add(peerRequestInterval)
	if c.ready && c.followerByStream[model.ConfigStream].state == stateFollowing {
		c.nextPeerRequestAt = now.Add(gapPeerRequestInterval)
	}
	c.lastRequestSequence++
	c.requestSentAt[c.lastRequestSequence%requestHistorySize] = now
	request := &Request{Sequence: c.lastRequestSequence, Positions: c.Positions(), WantSet: c.config.Gap(), Withdrawn: c.pendingWithdrawalHashes()}
	for _, i := range c.rng.Perm(len(c.peers))[:min(peersPerRequest, len(c.peers))] {
		c.emit(&Send{To: c.peers[i], Request: request})
	}
}

// OnRequest answers a peer with the records and withdrawals that it lacks.
func (c *Core) OnRequest(now time.Time, from model.Member, request *Request) {
	for _, hash := range request.Withdrawn {
		c.applyWithdrawal(now, hash)
	}
	answer := &Answer{Sequence: request.Sequence, Withdrawn: c.pendingWithdrawalHashes()}
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

// answerStream adds to the answer what a peer at the given position of a stream
// lacks.
func (c *Core) answerStream(now time.Time, answer *Answer, p Position, wantSet bool) {
	f := c.followerByStream[p.Stream]
	if f == nil {
		return
	}
	isConfig := p.Stream == model.ConfigStream
	next := c.nextOffset(p.Stream)
	if isConfig && wantSet && !c.config.Gap() && next >= p.Next && c.ready {
		answer.Set = c.setPart(now, next, 0)
		return
	}
	if p.Next > next || isConfig && !c.ready {
		return
	}
	age := knownAge(now, f)
	if p.Next == next {
		if age > 0 {
			answer.Streams = append(answer.Streams, StreamRecords{Stream: p.Stream, From: next, Next: next, KnownAge: age})
		}
		return
	}
	records, kept := f.recentRecordsSince(p.Next)
	if !kept && isConfig {
		answer.Set = c.setPart(now, next, 0)
		return
	}
	s := StreamRecords{Stream: p.Stream, From: p.Next, Next: next, Records: records, KnownAge: age}
	if !kept {
		s.Compact, s.Records = true, c.recordsInForce(p.Stream)
	}
	answer.Streams = append(answer.Streams, s)
}

// knownAge returns the age of this node's Position.KnownAsOf for a stream, or 0
// if that is unknown.
func knownAge(now time.Time, f *follower) time.Duration {
	if f.knownAsOf.IsZero() {
		return 0
	}
	return max(now.Sub(f.knownAsOf), 1)
}

func (c *Core) recordsInForce(stream string) []logservice.Record {
	if m := c.members[stream]; m != nil {
		return m.recordsInForce()
	}
	return c.groups[stream].recordsInForce()
}

// setPart returns the part of the document set at a position that starts with the
// document at index from. If that set is no longer cached, it returns the first
// part of the current set.
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
		if len(out.Documents) > 0 && (size > maxSetPartBytes || len(out.Documents) == maxSetPartDocuments) {
			break
		}
		out.Documents = append(out.Documents, d)
	}
	return &out
}

func (c *Core) findCachedSet(now time.Time, position logservice.Offset) *DocumentSet {
	for i := range c.cachedSets {
		cached := &c.cachedSets[i]
		if cached.set.Position == position && now.Sub(cached.lastUsed) < cachedSetLifetime {
			cached.lastUsed = now
			return &cached.set
		}
	}
	return nil
}

func (c *Core) cacheCurrentSet(now time.Time) *DocumentSet {
	kept := c.cachedSets[:0]
	for _, cached := range c.cachedSets {
		if now.Sub(cached.lastUsed) < cachedSetLifetime {
			kept = append(kept, cached)
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

// updateKnownAsOf advances Position.KnownAsOf by a peer's answer. It subtracts
// the age that the peer reports from the time at which the request was sent, so
// that a delayed answer does not count as recent.
func (c *Core) updateKnownAsOf(sequence uint64, s StreamRecords) {
	f := c.followerByStream[s.Stream]
	sendTimeUnknown := sequence == 0 || sequence > c.lastRequestSequence || c.lastRequestSequence-sequence >= requestHistorySize
	if f == nil || sendTimeUnknown || s.KnownAge <= 0 || c.nextOffset(s.Stream) < s.Next {
		return
	}
	f.advanceKnownAsOf(c.requestSentAt[sequence%requestHistorySize].Add(-s.KnownAge))
}

// applyRelayed applies the records of a stream from a peer's answer.
func (c *Core) applyRelayed(now time.Time, from model.Member, s StreamRecords) {
	f := c.followerByStream[s.Stream]
	next := c.nextOffset(s.Stream)
	if f == nil || s.Next <= next || !s.Compact && s.From != next {
		return
	}
	if s.Compact && !c.replaceWithCompacted(now, f, s) {
		return
	}
	if !s.Compact {
		for _, r := range s.Records {
			c.applyRecord(now, f, r)
		}
		// The peer was ready, so the configuration is complete as of Next.
		c.ready = c.ready || s.Stream == model.ConfigStream && !c.config.Gap()
	}
	c.emit(&Notice{Kind: NoticeRelayed, Stream: s.Stream, Offset: s.Next, Peer: from.Instance, Count: len(s.Records)})
}

// replaceWithCompacted replaces the members or groups of a stream with those in a
// peer's compact records. It returns false for the configuration stream, whose
// documents are sent as a document set.
func (c *Core) replaceWithCompacted(now time.Time, f *follower, s StreamRecords) bool {
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
			_, _ = members.Apply(r, f.estimateAppendTime(now, r))
			continue
		}
		_ = c.applyGroupRecord(s.Stream, r, f.estimateAppendTime(now, r))
	}
	if members != nil {
		members.rebuildCurrent()
		members.nextOffset = s.Next
		c.updateSnapshotMembers(s.Stream)
	} else {
		groups.nextOffset = s.Next
	}
	f.dropRecent(s.Next)
	return true
}

// addSetPart adds a part of a document set from a peer. It requests the next part,
// or adopts the set if it is complete. Sets of other peers are ignored until the
// current one is complete or has timed out.
func (c *Core) addSetPart(now time.Time, peer model.Instance, part *DocumentSet) {
	incoming := &c.incomingSet
	receiving := incoming.peer != "" && now.Sub(incoming.requestedAt) < setPartTimeout
	if receiving && incoming.peer != peer || !c.config.ShouldAdopt(part.Position, part.Gap) || part.Total > maxSetDocuments {
		return
	}
	if part.From == 0 {
		*incoming = partialSet{peer: peer, set: *part}
	} else {
		if incoming.peer != peer || incoming.set.Position != part.Position || len(incoming.set.Documents) != part.From {
			return
		}
		incoming.set.Documents = append(incoming.set.Documents, part.Documents...)
	}
	incoming.requestedAt = now
	if len(incoming.set.Documents) < part.Total {
		c.emit(&Send{To: peer, Request: &Request{SetPosition: part.Position, SetFrom: len(incoming.set.Documents)}})
		return
	}
	set := incoming.set
	c.incomingSet = partialSet{}
	c.adopt(now, peer, set)
}

func (c *Core) adopt(now time.Time, peer model.Instance, set DocumentSet) {
	if !c.config.Adopt(now, set) {
		return
	}
	c.followerByStream[model.ConfigStream].dropRecent(set.Position)
	c.emit(&Notice{Kind: NoticeAdopted, Offset: set.Position, Peer: peer, Count: len(set.Documents)})
	c.updateSnapshotDocuments(now)
	c.scheduleRefreshCheck()
	c.ready = true
}
