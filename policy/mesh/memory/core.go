// Package memory keeps the account of the bytes that a node holds for others: connections,
// heads and bodies of requests, answers that wait for their reader, and frames on links.
// While the account is short, it decides who waits, who is refused and whose connection is
// closed. It needs no network; its methods get the time.
//
// A charge is made before the bytes are read. Bodies may use less of the account than
// answers, and those less than small charges: a crowd that sends bodies leaves room for the
// answers of what has run, and one that does not read its answers for ordinary requests.
package memory

import (
	"slices"
	"time"

	"github.com/oleanderworks/oleanderworks/core/chart"
)

const (
	// waitTime is how long a charge may wait for room. Within it, slow holders are found and
	// closed.
	waitTime = 1500 * time.Millisecond
	// smallBytes is how much a holder may have for its body to count as small. Its connection
	// and two buffers, of which one is copied to the other, are included.
	smallBytes = 128 << 10
	// SampleInterval is the time between two samples of all holders while the account is
	// short.
	SampleInterval = 250 * time.Millisecond
)

// HolderID identifies a connection or a call that holds bytes.
type HolderID uint64

// ChargeID identifies a charge until it is decided.
type ChargeID uint64

// Use is what a charge is for.
type Use uint8

// Uses, in the order of how much of the account they may fill.
const (
	UseBody   Use = iota // a body that a caller sends; a small one counts as UseAnswer
	UseAnswer            // an answer, or a call that a peer has admitted
	UseSmall             // a connection or a head
	useCount
)

// Kind is the kind of a decision.
type Kind uint8

// Kinds of decisions.
const (
	Granted Kind = iota // Charge may be used
	Refused             // Charge found no room
	Close               // Holder must end
)

// Decision is a decision that Decisions returns.
type Decision struct {
	Kind   Kind
	Charge ChargeID
	Holder HolderID
	Held   int64   // by the holder
	Rate   float64 // bytes per second of the holder, for Close
	State  State   // of the holder, for Close
	Force  bool    // the holder was told before and has not ended
}

type charge struct {
	id     ChargeID
	holder *holder
	bytes  int64
	use    Use
	since  time.Time
}

// Core is the account. It must be used by one thread.
type Core struct {
	limits      Limits
	machine     *chart.Machine[*holder]
	now         time.Time // time of the current decision
	held        int64
	leaving     int64 // held by holders that were told to end
	connections int   // without those that were told to end
	byAddress   map[string]int
	holders     map[HolderID]*holder
	waiting     []charge // in the order of arrival
	decisions   []Decision
}

// New returns an empty account.
func New(l Limits) *Core {
	return &Core{limits: l, machine: newMachine(), holders: make(map[HolderID]*holder), byAddress: make(map[string]int)}
}

// limit returns how much of the account may be held after a charge.
func (c *Core) limit(u Use) int64 {
	switch u {
	case UseBody:
		return c.limits.Bytes - c.limits.Bytes/6
	case UseAnswer:
		return c.limits.Bytes - c.limits.Bytes/12
	default:
		return c.limits.Bytes
	}
}

// Held returns the bytes in use.
func (c *Core) Held() int64 { return c.held }

// Connections returns the number of open connections.
func (c *Core) Connections() int { return c.connections }

// Waiting returns the number of charges that wait.
func (c *Core) Waiting() int { return len(c.waiting) }

// Short reports whether the holders must be sampled.
func (c *Core) Short() bool {
	return len(c.waiting) > 0 || c.held > c.limits.Bytes/2 || c.connections > c.limits.Connections/2
}

// Open adds a connection to an address of the node and reports whether there is room for
// it. If there is none, the slow connection that holds most and moves least is closed.
func (c *Core) Open(now time.Time, id HolderID, address string) bool {
	if c.byAddress[address] >= c.limits.AddressConnections && !c.closeSlowest(now, 0, address) {
		return false
	}
	if c.connections >= c.limits.Connections && !c.closeSlowest(now, 0, "") {
		return false
	}
	limit := c.limit(UseSmall) - c.limits.ConnectionBytes
	if c.held > limit {
		c.closeSlowest(now, 0, "")
	}
	if c.held-c.leaving > limit {
		return false
	}
	c.holders[id] = &holder{core: c, id: id, connection: true, address: address, held: c.limits.ConnectionBytes, state: StateReading}
	c.held += c.limits.ConnectionBytes
	c.countConnection(address, 1)
	return true
}

func (c *Core) countConnection(address string, n int) {
	c.connections += n
	if c.byAddress[address] += n; c.byAddress[address] == 0 {
		delete(c.byAddress, address)
	}
}

// Add adds a holder that is no connection, such as a call of a peer, unless it is known. It
// is never closed.
func (c *Core) Add(id HolderID) {
	if c.holders[id] == nil {
		c.holders[id] = &holder{core: c, id: id}
	}
}

// Charge asks for bytes for a holder. The decision follows in Decisions, at once or later.
func (c *Core) Charge(now time.Time, id ChargeID, holderID HolderID, bytes int64, use Use) {
	h := c.holders[holderID]
	if h != nil && use == UseBody && h.held+bytes <= smallBytes {
		use = UseAnswer
	}
	if h == nil || h.held+bytes > c.limit(use) { // it can never be granted
		c.decisions = append(c.decisions, Decision{Kind: Refused, Charge: id, Holder: holderID})
		return
	}
	c.waiting = append(c.waiting, charge{id: id, holder: h, bytes: bytes, use: use, since: now})
	c.grantWaiting()
}

// Release returns bytes of a holder.
func (c *Core) Release(id HolderID, bytes int64) {
	if h := c.holders[id]; h != nil {
		bytes = min(bytes, h.held)
		h.held -= bytes
		c.held -= bytes
		if h.life == leaving {
			c.leaving -= bytes
		}
		c.grantWaiting()
	}
}

// Remove removes a holder and returns all its bytes. Its waiting charges are refused.
func (c *Core) Remove(id HolderID) {
	h := c.holders[id]
	if h == nil {
		return
	}
	h.step(eventRemoved)
	c.held -= h.held
	delete(c.holders, id)
	c.refuseWaiting(func(w charge) bool { return w.holder == h })
	c.grantWaiting()
}

// Move passes what a holder has to a connection and removes it: an answer is now held for
// the caller that reads it. Without the connection the bytes are returned.
func (c *Core) Move(from, to HolderID) {
	f, t := c.holders[from], c.holders[to]
	if f == nil || t == nil || f == t {
		c.Remove(from)
		return
	}
	t.held += f.held
	c.held += f.held // Remove subtracts it
	if t.life == leaving {
		c.leaving += f.held
	}
	c.Remove(from)
}

// Sample states what a connection waits for and how many bytes it has sent and read so far.
func (c *Core) Sample(now time.Time, id HolderID, state State, moved int64) {
	if h := c.holders[id]; h != nil {
		h.sample(now, state, moved)
	}
}

// Tick closes slow holders if charges wait, refuses charges that have waited too long, and
// returns when it must be called again; the zero time if the account is not short.
func (c *Core) Tick(now time.Time) time.Time {
	c.refuseWaiting(func(w charge) bool { return now.Sub(w.since) >= waitTime })
	c.closeForWaiting(now)
	if !c.Short() {
		return time.Time{}
	}
	return now.Add(SampleInterval)
}

// closeForWaiting closes slow holders until the charges that wait would find room.
func (c *Core) closeForWaiting(now time.Time) {
	var needed, minHeld int64
	for _, w := range c.waiting {
		needed = max(needed, c.held-c.leaving+w.bytes-c.limit(w.use))
	}
	for needed > 0 {
		// A connection that holds nothing besides itself frees too little for a body.
		minHeld = c.limits.ConnectionBytes + 1
		if needed <= c.limits.ConnectionBytes {
			minHeld = 0
		}
		before := c.leaving
		if !c.closeSlowest(now, minHeld, "") {
			return
		}
		needed -= c.leaving - before
	}
}

// closeSlowest closes the slow connection that holds most and, among equals, moves least.
// It reports whether there is one that holds at least minHeld and came to an address, or to
// any if that is empty.
func (c *Core) closeSlowest(now time.Time, minHeld int64, address string) bool {
	var victim *holder
	for _, h := range c.holders {
		closable := h.connection && h.life == slow && h.held >= minHeld && (address == "" || h.address == address)
		if closable && (victim == nil || h.goesBefore(victim)) {
			victim = h
		}
	}
	if victim == nil {
		return false
	}
	c.now = now
	victim.step(eventChosen)
	return true
}

// grantWaiting grants the charges that find room, the least restricted use first.
func (c *Core) grantWaiting() {
	for use := useCount; use > 0; use-- {
		c.waiting = slices.DeleteFunc(c.waiting, func(w charge) bool {
			if w.use != use-1 || c.held+w.bytes > c.limit(w.use) {
				return false
			}
			w.holder.held += w.bytes
			c.held += w.bytes
			if w.holder.life == leaving {
				c.leaving += w.bytes
			}
			c.decisions = append(c.decisions, Decision{Kind: Granted, Charge: w.id, Holder: w.holder.id})
			return true
		})
	}
}

func (c *Core) refuseWaiting(match func(charge) bool) {
	c.waiting = slices.DeleteFunc(c.waiting, func(w charge) bool {
		if !match(w) {
			return false
		}
		c.decisions = append(c.decisions, Decision{Kind: Refused, Charge: w.id, Holder: w.holder.id})
		return true
	})
}

// Decisions returns the decisions since the last call.
func (c *Core) Decisions() []Decision {
	d := c.decisions
	c.decisions = nil
	return d
}
