package membership

import (
	"slices"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

// ContactLife is how long contact lasts. A withdrawn key stops working within
// this time on a node that is cut off.
const ContactLife = 5 * time.Second

// contactState holds what this node knows of its contact.
type contactState struct {
	logReadAt time.Time // begin of the latest successful read of the log
	until     time.Time // as last told to the other duties
	firstHand time.Time
}

// judgeContact tells the other duties when contact has changed.
//
// Contact at first hand is a read of the log, or heartbeats heard directly
// from a majority of the availability zones, this node's own included. It is
// all that heartbeats carry, as an age that grows until it is renewed, so
// that a few nodes cannot keep up each other's contact by repeating it. A
// node has contact when it read the log, or when nodes with contact at first
// hand are in a majority of the zones.
func (c *Core) judgeContact(now time.Time) {
	firstHand := later(c.contact.logReadAt, c.heard(now))
	through := c.majority(func(p *peer) time.Time { return p.contactAt }, firstHand)
	at := later(c.contact.logReadAt, through)
	var until time.Time
	if !at.IsZero() {
		until = at.Add(ContactLife)
	}
	if until.Equal(c.contact.until) && firstHand.Equal(c.contact.firstHand) {
		return
	}
	c.contact.until, c.contact.firstHand = until, firstHand
	c.emit(Action{Kind: Contact, Until: until, FirstHand: firstHand})
}

// heard returns since when a majority of the zones was heard directly.
func (c *Core) heard(now time.Time) time.Time {
	return c.majority(func(p *peer) time.Time { return p.directAt }, now)
}

// majority returns the latest time since which a majority of the zones has a
// node whose time is at least that; own stands for this node. Where there is
// only one zone, nodes take the place of zones, so that a node that is cut
// off does not count as the majority by itself.
func (c *Core) majority(timeOf func(*peer) time.Time, own time.Time) time.Time {
	zones := c.zones()
	if len(zones) > 1 {
		for _, p := range c.peers {
			zones[p.member.Zone] = later(zones[p.member.Zone], timeOf(p))
		}
		zones[c.self.Zone] = later(zones[c.self.Zone], own)
		return kthLatest(collect(zones))
	}
	times := []time.Time{own}
	for _, p := range c.peers {
		times = append(times, timeOf(p))
	}
	return kthLatest(times)
}

// zones returns the availability zones of the known nodes.
func (c *Core) zones() map[model.Zone]time.Time {
	out := map[model.Zone]time.Time{c.self.Zone: {}}
	for _, p := range c.peers {
		out[p.member.Zone] = time.Time{}
	}
	return out
}

func collect(m map[model.Zone]time.Time) []time.Time {
	out := make([]time.Time, 0, len(m))
	for _, t := range m {
		out = append(out, t)
	}
	return out
}

// kthLatest returns the time that a majority of times reach.
func kthLatest(times []time.Time) time.Time {
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[len(times)/2]
}
