package configlog

import (
	"time"

	"github.com/oleanderworks/oleanderworks/logservice"
	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// askInterval separates the requests of a node that is cut off from the
	// log, and askPeers is how many peers it asks each time. Four times as
	// many nodes have a record after each round, so that 19,000 nodes have it
	// after some 9 rounds.
	askInterval = time.Second
	askPeers    = 3
	// gapAskInterval is the same for a node that serves from the log and only
	// wants a peer to settle what it could not read.
	gapAskInterval = 30 * time.Second
	// askedKept is how many requests may wait for an answer. Later answers say
	// nothing about how fresh they are.
	askedKept = 8
	// maxPartBytes and maxPartDocuments bound one part of a document set,
	// under the limit of 1 MiB for a frame.
	maxPartBytes     = 256 << 10
	maxPartDocuments = 2000
	// maxSetDocuments bounds the set that a node takes from a peer.
	maxSetDocuments = 200_000
	// maxHeldSets and heldSetLife bound the sets kept for askers.
	maxHeldSets = 4
	heldSetLife = 10 * time.Second
	// partTimeout ends the wait for a part of a set.
	partTimeout = 2 * time.Second
)

// heldSet is a set from which parts are being asked.
type heldSet struct {
	set  DocumentSet
	used time.Time
}

// incoming is a set that arrives in parts.
type incoming struct {
	peer    model.Instance
	set     DocumentSet
	waiting time.Time // when the latest part was asked for
}

func (c *Core) tickAsk(now time.Time) {
	if now.Before(c.askAt) {
		return
	}
	for _, t := range c.tracks {
		t.step(now, eventAskDue)
	}
	if c.config.Gap() {
		c.askWanted = true
	}
	if !c.askWanted || len(c.peers) == 0 {
		return
	}
	c.askWanted = false
	c.askAt = now.Add(askInterval)
	if c.ready && c.byName[model.ConfigStream].state == stateFollowing {
		c.askAt = now.Add(gapAskInterval)
	}
	c.sequenced++
	c.asked[c.sequenced%askedKept] = now
	request := &Request{Sequence: c.sequenced, Positions: c.Positions(), WantSet: c.config.Gap(), Withdrawn: c.pendingHashes()}
	for _, i := range c.rng.Perm(len(c.peers))[:min(askPeers, len(c.peers))] {
		c.emit(&Send{To: c.peers[i], Request: request})
	}
}

// OnRequest answers a peer with what it lacks.
func (c *Core) OnRequest(now time.Time, from model.Member, r *Request) {
	for _, hash := range r.Withdrawn {
		c.learnWithdrawal(now, hash)
	}
	answer := &Answer{Sequence: r.Sequence, Withdrawn: c.pendingHashes()}
	if r.SetFrom > 0 {
		answer.Set = c.part(now, r.SetPosition, r.SetFrom)
	} else {
		for _, p := range r.Positions {
			c.answerStream(now, answer, p, r.WantSet)
		}
	}
	if !answer.empty() {
		c.emit(&Send{To: from.Instance, Answer: answer})
	}
}

func (c *Core) answerStream(now time.Time, answer *Answer, p Position, wantSet bool) {
	t := c.byName[p.Stream]
	if t == nil {
		return
	}
	config := p.Stream == model.ConfigStream
	next := c.next(p.Stream)
	if config && wantSet && !c.config.Gap() && next >= p.Next && c.ready {
		answer.Set = c.part(now, next, 0)
		return
	}
	if p.Next > next || config && !c.ready {
		return
	}
	age := knownAge(now, t)
	if p.Next == next {
		if age > 0 {
			answer.Streams = append(answer.Streams, StreamRecords{Stream: p.Stream, From: next, Next: next, KnownAge: age})
		}
		return
	}
	records, kept := t.since(p.Next)
	if !kept && config {
		answer.Set = c.part(now, next, 0)
		return
	}
	s := StreamRecords{Stream: p.Stream, From: p.Next, Next: next, Records: records, KnownAge: age}
	if !kept {
		s.Compact, s.Records = true, c.compact(p.Stream)
	}
	answer.Streams = append(answer.Streams, s)
}

// knownAge returns how old the node's knowledge of a stream is, or 0 when it
// has none.
func knownAge(now time.Time, t *track) time.Duration {
	if t.known.IsZero() {
		return 0
	}
	return max(now.Sub(t.known), 1)
}

func (c *Core) compact(stream string) []logservice.Record {
	if m := c.members[stream]; m != nil {
		return m.compact()
	}
	return c.groups[stream].compact()
}

// part returns the documents of the set at a position from an index on. When
// that set is not held any more it returns the first part of the current one.
func (c *Core) part(now time.Time, position logservice.Offset, from int) *DocumentSet {
	set := c.heldSet(now, position)
	if set == nil {
		set, from = c.holdSet(now), 0
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

func (c *Core) heldSet(now time.Time, position logservice.Offset) *DocumentSet {
	for i := range c.held {
		h := &c.held[i]
		if h.set.Position == position && now.Sub(h.used) < heldSetLife {
			h.used = now
			return &h.set
		}
	}
	return nil
}

func (c *Core) holdSet(now time.Time) *DocumentSet {
	kept := c.held[:0]
	for _, h := range c.held {
		if now.Sub(h.used) < heldSetLife {
			kept = append(kept, h)
		}
	}
	if len(kept) == maxHeldSets {
		kept = kept[1:]
	}
	c.held = append(kept, heldSet{set: c.config.Export(now), used: now})
	return &c.held[len(c.held)-1].set
}

// OnAnswer applies what a peer passed on.
func (c *Core) OnAnswer(now time.Time, from model.Member, a *Answer) {
	for _, hash := range a.Withdrawn {
		c.learnWithdrawal(now, hash)
	}
	for _, s := range a.Streams {
		c.applyRelayed(now, from, s)
		c.learnKnown(a.Sequence, s)
	}
	if a.Set != nil {
		c.takePart(now, from.Instance, a.Set)
	}
}

// learnKnown counts a peer's knowledge from when it was asked, so that an
// answer that was delayed is not taken for fresh.
func (c *Core) learnKnown(sequence uint64, s StreamRecords) {
	t := c.byName[s.Stream]
	late := sequence == 0 || sequence > c.sequenced || c.sequenced-sequence >= askedKept
	if t == nil || late || s.KnownAge <= 0 || c.next(s.Stream) < s.Next {
		return
	}
	t.noteKnown(c.asked[sequence%askedKept].Add(-s.KnownAge))
}

func (c *Core) applyRelayed(now time.Time, from model.Member, s StreamRecords) {
	t := c.byName[s.Stream]
	next := c.next(s.Stream)
	if t == nil || s.Next <= next || !s.Compact && s.From != next {
		return
	}
	if s.Compact && !c.replace(now, t, s) {
		return
	}
	if !s.Compact {
		for _, r := range s.Records {
			c.apply(now, t, r)
		}
		// The peer has a whole configuration as of Next, and so has this node.
		c.ready = c.ready || s.Stream == model.ConfigStream && !c.config.Gap()
	}
	c.emit(&Notice{Kind: NoticeRelayed, Stream: s.Stream, Offset: s.Next, Peer: from.Instance, Count: len(s.Records)})
}

// replace takes a compacted stream of members or groups.
func (c *Core) replace(now time.Time, t *track, s StreamRecords) bool {
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
			_, _ = members.Apply(r, t.born(now, r))
			continue
		}
		_ = c.applyGroup(s.Stream, r, t.born(now, r))
	}
	if members != nil {
		members.rebuild()
		members.next = s.Next
		c.membersChanged(s.Stream)
	} else {
		groups.next = s.Next
	}
	t.forget(s.Next)
	return true
}

// takePart adds a part of a set and asks for the next, or adopts the set.
func (c *Core) takePart(now time.Time, peer model.Instance, part *DocumentSet) {
	in := &c.incoming
	busy := in.peer != "" && now.Sub(in.waiting) < partTimeout
	if busy && in.peer != peer || !c.config.ShouldAdopt(part.Position, part.Gap) || part.Total > maxSetDocuments {
		return
	}
	if part.From == 0 {
		*in = incoming{peer: peer, set: *part}
	} else {
		if in.peer != peer || in.set.Position != part.Position || len(in.set.Documents) != part.From {
			return
		}
		in.set.Documents = append(in.set.Documents, part.Documents...)
	}
	in.waiting = now
	if len(in.set.Documents) < part.Total {
		c.emit(&Send{To: peer, Request: &Request{SetPosition: part.Position, SetFrom: len(in.set.Documents)}})
		return
	}
	set := in.set
	c.incoming = incoming{}
	c.adopt(now, peer, set)
}

func (c *Core) adopt(now time.Time, peer model.Instance, set DocumentSet) {
	if !c.config.Adopt(now, set) {
		return
	}
	c.byName[model.ConfigStream].forget(set.Position)
	c.emit(&Notice{Kind: NoticeAdopted, Offset: set.Position, Peer: peer, Count: len(set.Documents)})
	c.rebuild(now)
	c.lookAgain()
	c.ready = true
}
