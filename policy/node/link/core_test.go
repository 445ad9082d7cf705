package link

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
)

var epoch = time.Unix(1000, 0)

func newCore() *Core { return New(rand.New(rand.NewPCG(1, 2)), epoch) }

func members(n int) []model.Member {
	var out []model.Member
	for i := range n {
		name := model.Instance(fmt.Sprintf("peer-%03d", i))
		out = append(out, model.Member{NodeID: model.NodeID{Instance: name}})
	}
	return out
}

func ofKind(actions []Action, k ActionKind) []Action {
	var out []Action
	for _, a := range actions {
		if a.Kind == k {
			out = append(out, a)
		}
	}
	return out
}

// connect opens a link to one peer as session 1.
func connect(t *testing.T, c *Core) model.Member {
	t.Helper()
	peer := members(1)[0]
	c.SetPeers(epoch, []model.Member{peer})
	c.Tick(epoch)
	assert.Equal(t, len(ofKind(c.Actions(), Dial)), 1)
	c.OnConnected(epoch, peer.Instance, 1)
	assert.Equal(t, ofKind(c.Actions(), UseSession)[0].Session, SessionID(1))
	return peer
}

// Guards against using a silent connection, and against closing it before the end of the
// grace period for late answers.
func TestSilentConnectionIsReplacedThenClosed(t *testing.T) {
	c := newCore()
	peer := connect(t, c)
	at := epoch.Add(SilenceLimit - time.Millisecond)
	c.Tick(at)
	assert.Equal(t, len(ofKind(c.Actions(), ReportSilent)), 0)

	at = epoch.Add(SilenceLimit)
	c.Tick(at)
	actions := c.Actions()
	assert.Equal(t, len(ofKind(actions, ReportSilent)), 1)
	assert.Equal(t, ofKind(actions, UseSession)[0].Session, SessionID(0))
	assert.Equal(t, len(ofKind(actions, Dial)), 1)
	c.OnConnected(at, peer.Instance, 2)
	assert.Equal(t, ofKind(c.Actions(), UseSession)[0].Session, SessionID(2))

	c.Tick(at.Add(SilentGracePeriod - time.Millisecond))
	assert.Equal(t, len(ofKind(c.Actions(), CloseSession)), 0)
	c.Tick(at.Add(SilentGracePeriod))
	assert.Equal(t, ofKind(c.Actions(), CloseSession)[0].Session, SessionID(1))
}

// Guards against closing a connection that stalled and recovered while calls are in
// progress on it.
func TestRecoveredConnectionDrains(t *testing.T) {
	c := newCore()
	peer := connect(t, c)
	at := epoch.Add(SilenceLimit)
	c.Tick(at)
	c.OnConnected(at, peer.Instance, 2)
	c.OnTraffic(at, 1, 100, 3)
	at = at.Add(2 * SilentGracePeriod)
	c.OnTraffic(at, 1, 200, 3)
	c.OnTraffic(at, 2, 200, 0)
	c.Tick(at)
	assert.Equal(t, len(ofKind(c.Actions(), CloseSession)), 0)
	c.OnTraffic(at, 1, 300, 0)
	assert.Equal(t, ofKind(c.Actions(), CloseSession)[0].Session, SessionID(1))
}

// Guards against not using a connection again that recovered from a short stall when no
// new connection can be opened.
func TestStalledConnectionReturnsWhenDialFails(t *testing.T) {
	c := newCore()
	peer := connect(t, c)
	at := epoch.Add(SilenceLimit)
	c.Tick(at)
	c.Actions()
	c.OnTraffic(at, 1, 100, 1)
	c.OnDialFailed(at, peer.Instance)
	assert.Equal(t, ofKind(c.Actions(), UseSession)[0].Session, SessionID(1))
}

// Guards against a reconnect storm when many peers are lost at the same time.
func TestDialsAreRateLimited(t *testing.T) {
	c := newCore()
	c.SetPeers(epoch, members(110))
	perSecond := make(map[int64]int)
	dialed := make(map[model.Instance][]time.Time)
	for at := epoch; at.Before(epoch.Add(60 * time.Second)); at = at.Add(50 * time.Millisecond) {
		c.Tick(at)
		for _, a := range ofKind(c.Actions(), Dial) {
			perSecond[at.Unix()]++
			dialed[a.Peer.Instance] = append(dialed[a.Peer.Instance], at)
			c.OnDialFailed(at, a.Peer.Instance)
		}
	}
	for second, n := range perSecond {
		assert.Assert(t, n <= maxDials, "%d dials in second %d", n, second)
	}
	assert.Equal(t, len(dialed), 110)
}

// Guards against a backoff that does not reach its limit of 5 s or exceeds it: after half
// a minute the gaps between dials must be 0.5 to 1.5 times the limit, plus at most one
// tick.
func TestBackoffReachesItsLimit(t *testing.T) {
	c := newCore()
	c.SetPeers(epoch, members(1))
	var last time.Time
	for at := epoch; at.Before(epoch.Add(time.Minute)); at = at.Add(10 * time.Millisecond) {
		c.Tick(at)
		for _, a := range ofKind(c.Actions(), Dial) {
			if at.Sub(epoch) > 30*time.Second {
				gap := at.Sub(last)
				assert.Assert(t, gap >= maxBackoff/2 && gap <= 3*maxBackoff/2+tickPeriod, "gap %s", gap)
			}
			last = at
			c.OnDialFailed(at, a.Peer.Instance)
		}
	}
}

// Guards against a clock offset whose error exceeds its bound when the network delay
// differs between the two directions.
func TestOffsetStaysWithinBound(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	var estimator offsetEstimator
	trueOffset := 5 * time.Second
	for i := range 100 {
		sent := time.Duration(i) * time.Second
		outboundDelay := time.Duration(rng.Int64N(int64(20 * time.Millisecond)))
		returnDelay := time.Duration(rng.Int64N(int64(20 * time.Millisecond)))
		held := time.Duration(rng.Int64N(int64(time.Second)))
		estimator.observe(sent, sent+outboundDelay+held+returnDelay, sent+outboundDelay+held+trueOffset, held)
		o, ok := estimator.offset(sent + outboundDelay + held + returnDelay)
		assert.Assert(t, ok)
		assert.Assert(t, (o.Value-trueOffset).Abs() <= o.Bound, "%v, bound %v", o.Value, o.Bound)
	}
}

// Guards against treating the connections as silent after a pause of this process.
func TestPauseIsNotSilence(t *testing.T) {
	c := newCore()
	connect(t, c)
	at := epoch.Add(10 * time.Second)
	c.OnPaused(at)
	c.Tick(at)
	assert.Equal(t, len(ofKind(c.Actions(), ReportSilent)), 0)
}
