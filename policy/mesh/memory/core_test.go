package memory

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const mib = 1 << 20

var testLimits = Limits{Bytes: 96 * mib, Connections: 10, AddressConnections: 8, ConnectionBytes: 32 << 10}

// addressOf returns one of two addresses.
func addressOf(id HolderID) string { return []string{"a", "b"}[id%2] }

// decide returns the kinds of the decisions about charges and the holders to close.
func decide(c *Core) (charges map[ChargeID]Kind, closed []HolderID) {
	charges = make(map[ChargeID]Kind)
	for _, d := range c.Decisions() {
		if d.Kind == Close {
			closed = append(closed, d.Holder)
			continue
		}
		charges[d.Charge] = d.Kind
	}
	return charges, closed
}

// Guards against a crowd of bodies that leaves no room for small requests and answers, and
// against a wait that does not end.
func TestBodiesLeaveRoomForOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(testLimits)
	for id := HolderID(1); id <= 3; id++ {
		assert.Assert(t, c.Open(now, id, addressOf(id)))
		c.Charge(now, ChargeID(id), id, 40*mib, UseBody)
	}
	charges, _ := decide(c)
	assert.DeepEqual(t, charges, map[ChargeID]Kind{1: Granted}) // two would take the reserved part
	assert.Assert(t, c.Open(now, 4, "a"))
	c.Charge(now, 4, 4, 64<<10, UseSmall)
	c.Charge(now, 5, 4, 4*mib, UseAnswer)
	assert.Assert(t, c.Open(now, 5, "a"))
	c.Charge(now, 7, 5, 64<<10, UseBody) // small
	charges, _ = decide(c)
	assert.DeepEqual(t, charges, map[ChargeID]Kind{4: Granted, 5: Granted, 7: Granted})
	c.Remove(1)
	charges, _ = decide(c)
	assert.DeepEqual(t, charges, map[ChargeID]Kind{2: Granted})
	c.Tick(now.Add(waitTime))
	charges, _ = decide(c)
	assert.DeepEqual(t, charges, map[ChargeID]Kind{3: Refused})
	c.Charge(now, 6, 4, 100*mib, UseBody)
	charges, _ = decide(c)
	assert.DeepEqual(t, charges, map[ChargeID]Kind{6: Refused}) // it could never be granted
}

// Guards against closing a holder that moves or whose request runs, and one that holds
// little while another holds more.
func TestHolderOfMostThatMovesLeastIsClosed(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(testLimits)
	for id := HolderID(1); id <= 5; id++ {
		assert.Assert(t, c.Open(now, id, addressOf(id)))
		c.Charge(now, ChargeID(id), id, 10*mib+int64(id), UseBody)
	}
	sample := func() {
		moved := now.Sub(time.Unix(1000, 0)).Milliseconds() * 1000
		c.Sample(now, 1, StateReading, 0)
		c.Sample(now, 2, StateReading, 100)
		c.Sample(now, 3, StateReading, moved)
		c.Sample(now, 4, StateRunning, 0)
		c.Sample(now, 5, StateWriting, moved)
	}
	sample()
	now = now.Add(rateWindow)
	sample()
	c.Tick(now)
	_, closed := decide(c)
	assert.Equal(t, len(closed), 0, "nothing waits")
	assert.Assert(t, c.Open(now, 6, "a"))
	c.Charge(now, 6, 6, 39*mib, UseBody)
	c.Tick(now)
	_, closed = decide(c)
	assert.DeepEqual(t, closed, []HolderID{2})
	c.Remove(2)
	charges, _ := decide(c)
	assert.DeepEqual(t, charges, map[ChargeID]Kind{6: Granted})
}

// Guards against answers that nobody reads and that are not held against the connection of
// their caller.
func TestUnreadAnswerCountsForItsConnection(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(testLimits)
	assert.Assert(t, c.Open(now, 1, "a"))
	assert.Assert(t, c.Open(now, 2, "a"))
	for id := HolderID(3); id <= 4; id++ {
		c.Add(id)
		c.Charge(now, ChargeID(id), id, 40*mib, UseAnswer)
	}
	c.Move(3, 1)
	c.Move(4, 9) // its caller has gone
	assert.Equal(t, c.Held(), 40*mib+2*testLimits.ConnectionBytes)
	for range 2 {
		now = now.Add(rateWindow)
		c.Sample(now, 1, StateWriting, 0)
		c.Sample(now, 2, StateWriting, 0)
	}
	c.Charge(now, 5, 2, 60*mib, UseAnswer)
	c.Tick(now)
	_, closed := decide(c)
	assert.DeepEqual(t, closed, []HolderID{1})
	c.Remove(1)
	charges, _ := decide(c)
	assert.DeepEqual(t, charges, map[ChargeID]Kind{5: Granted})
}

// Guards against connections that stop halfway and take the place of new callers.
func TestConnectionLimitClosesSlowOnes(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(testLimits)
	for id := HolderID(1); id <= 10; id++ {
		assert.Assert(t, c.Open(now, id, addressOf(id)))
		c.Sample(now, id, StateReading, 0)
	}
	assert.Assert(t, !c.Open(now, 11, "c"), "all may still move")
	now = now.Add(rateWindow)
	for id := HolderID(1); id <= 10; id++ {
		c.Sample(now, id, StateReading, int64(id)<<20)
	}
	assert.Assert(t, !c.Open(now, 11, "c"))
	now = now.Add(rateWindow)
	c.Sample(now, 7, StateReading, 7<<20)
	assert.Assert(t, c.Open(now, 11, "c"))
	_, closed := decide(c)
	assert.DeepEqual(t, closed, []HolderID{7})
	c.Sample(now.Add(closeTimeout), 7, StateReading, 7<<20)
	assert.Assert(t, c.Decisions()[0].Force)
}

// Guards against closing a connection by force whose caller sent a request between the sample
// by which it was chosen and its end: the request runs, and its answer is pending.
func TestConnectionWithRequestIsNotClosedByForce(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(testLimits)
	for id := HolderID(1); id <= 10; id++ {
		assert.Assert(t, c.Open(now, id, addressOf(id)))
	}
	for range 2 {
		c.Sample(now, 7, StateIdle, 0)
		now = now.Add(rateWindow)
	}
	assert.Assert(t, c.Open(now, 11, "c"))
	_, closed := decide(c)
	assert.DeepEqual(t, closed, []HolderID{7})
	for range 10 {
		c.Sample(now, 7, StateRunning, 100)
		now = now.Add(closeTimeout / 2)
	}
	assert.Equal(t, len(c.Decisions()), 0)
	assert.Equal(t, c.Connections(), 11) // it has not left
	c.Remove(7)
	assert.Equal(t, c.Connections(), 10)
	assert.Equal(t, c.leaving, int64(0))
}

// Guards against one address of a node whose connections leave none for the others, and
// against limits that a single large body reaches on the smallest machine.
func TestLimits(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(testLimits)
	for id := HolderID(1); id <= 8; id++ {
		assert.Assert(t, c.Open(now, id, "a"))
	}
	assert.Assert(t, !c.Open(now, 9, "a"))
	assert.Assert(t, c.Open(now, 9, "b"))
	l := NewLimits(184*mib, 4096)
	c = New(l)
	assert.Assert(t, c.Open(now, 1, "a"))
	c.Charge(now, 1, 1, (16+64)*mib, UseBody) // a body of 64 MiB in chunks, while its buffer grows
	charges, _ := decide(c)
	assert.DeepEqual(t, charges, map[ChargeID]Kind{1: Granted})
	assert.Assert(t, l.Connections >= 1000, "%d connections", l.Connections)
}

// Guards against bytes that are lost or counted twice, and against charges beyond the
// limit, in random sequences.
func TestAccountStaysWithinLimit(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1000, 0)
	c := New(testLimits)
	for i := range 20000 {
		now = now.Add(time.Duration(r.IntN(100)) * time.Millisecond)
		id := HolderID(r.IntN(20))
		switch r.IntN(7) {
		case 0:
			if c.holders[id] == nil {
				c.Open(now, id, addressOf(id))
			}
		case 1, 2:
			c.Charge(now, ChargeID(i), id, int64(r.IntN(20*mib)), Use(r.IntN(int(useCount))))
		case 3:
			c.Release(id, int64(r.IntN(20*mib)))
		case 4:
			c.Sample(now, id, State(r.IntN(4)), int64(i)*int64(r.IntN(3))*mib)
		case 5:
			c.Remove(id)
		case 6:
			c.Add(id + 100)
			c.Charge(now, ChargeID(i), id+100, int64(r.IntN(mib)), UseAnswer)
			c.Move(id+100, id)
		}
		c.Tick(now)
		c.Decisions()
		var sum, leavingBytes int64
		open := 0
		for _, h := range c.holders {
			sum += h.held
			if h.life == leaving {
				leavingBytes += h.held
			} else if h.connection {
				open++
			}
		}
		assert.Equal(t, c.held, sum)
		assert.Equal(t, c.leaving, leavingBytes)
		assert.Equal(t, c.connections, open)
		assert.Assert(t, c.held-c.leaving <= testLimits.Bytes)
	}
}
