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

func only(actions []Action, k ActionKind) []Action {
	var out []Action
	for _, a := range actions {
		if a.Kind == k {
			out = append(out, a)
		}
	}
	return out
}

// connect opens one link as session 1.
func connect(t *testing.T, c *Core) model.Member {
	t.Helper()
	peer := members(1)[0]
	c.SetPeers(epoch, []model.Member{peer})
	c.Tick(epoch)
	assert.Equal(t, len(only(c.Actions(), Dial)), 1)
	c.OnConnected(epoch, peer.Instance, 1)
	assert.Equal(t, only(c.Actions(), UseSession)[0].Session, SessionID(1))
	return peer
}

// Guards against a connection that went silent staying in use, and against
// closing it before late answers had their second.
func TestSilentConnectionIsReplacedAndKept(t *testing.T) {
	c := newCore()
	peer := connect(t, c)
	at := epoch.Add(SilenceLimit - time.Millisecond)
	c.Tick(at)
	assert.Equal(t, len(only(c.Actions(), ReportSilent)), 0)

	at = epoch.Add(SilenceLimit)
	c.Tick(at)
	actions := c.Actions()
	assert.Equal(t, len(only(actions, ReportSilent)), 1)
	assert.Equal(t, only(actions, UseSession)[0].Session, SessionID(0))
	assert.Equal(t, len(only(actions, Dial)), 1)
	c.OnConnected(at, peer.Instance, 2)
	assert.Equal(t, only(c.Actions(), UseSession)[0].Session, SessionID(2))

	c.Tick(at.Add(SilentGracePeriod - time.Millisecond))
	assert.Equal(t, len(only(c.Actions(), CloseSession)), 0)
	c.Tick(at.Add(SilentGracePeriod))
	assert.Equal(t, only(c.Actions(), CloseSession)[0].Session, SessionID(1))
}

// Guards against cutting calls on a connection that only stalled.
func TestRecoveredConnectionDrains(t *testing.T) {
	c := newCore()
	peer := connect(t, c)
	at := epoch.Add(SilenceLimit)
	c.Tick(at)
	c.OnConnected(at, peer.Instance, 2)
	c.OnProgress(at, 1, 100, 3)
	at = at.Add(2 * SilentGracePeriod)
	c.OnProgress(at, 1, 200, 3)
	c.OnProgress(at, 2, 200, 0)
	c.Tick(at)
	assert.Equal(t, len(only(c.Actions(), CloseSession)), 0)
	c.OnProgress(at, 1, 300, 0)
	assert.Equal(t, only(c.Actions(), CloseSession)[0].Session, SessionID(1))
}

// Guards against a short stall leaving a link without a connection when no
// new one can be opened.
func TestStalledConnectionReturnsWhenDialFails(t *testing.T) {
	c := newCore()
	peer := connect(t, c)
	at := epoch.Add(SilenceLimit)
	c.Tick(at)
	c.Actions()
	c.OnProgress(at, 1, 100, 1)
	c.OnDialFailed(at, peer.Instance)
	assert.Equal(t, only(c.Actions(), UseSession)[0].Session, SessionID(1))
}

// Guards against a storm of dials when many peers vanish together.
func TestDialsArePaced(t *testing.T) {
	c := newCore()
	c.SetPeers(epoch, members(110))
	perSecond := make(map[int64]int)
	waits := make(map[model.Instance][]time.Time)
	for at := epoch; at.Before(epoch.Add(60 * time.Second)); at = at.Add(50 * time.Millisecond) {
		c.Tick(at)
		for _, a := range only(c.Actions(), Dial) {
			perSecond[at.Unix()]++
			waits[a.Peer.Instance] = append(waits[a.Peer.Instance], at)
			c.OnDialFailed(at, a.Peer.Instance)
		}
	}
	for second, n := range perSecond {
		assert.Assert(t, n <= maxDials, "%d dials in second %d", n, second)
	}
	assert.Equal(t, len(waits), 110)
}

// Guards against a back-off that does not grow, or grows beyond 5 s.
func TestBackoffDoublesToLimit(t *testing.T) {
	c := newCore()
	c.SetPeers(epoch, members(1))
	var last time.Time
	for at := epoch; at.Before(epoch.Add(time.Minute)); at = at.Add(10 * time.Millisecond) {
		c.Tick(at)
		for _, a := range only(c.Actions(), Dial) {
			if at.Sub(epoch) > 30*time.Second {
				gap := at.Sub(last)
				assert.Assert(t, gap >= maxBackoff/2 && gap <= 3*maxBackoff/2+tickPeriod, "gap %s", gap)
			}
			last = at
			c.OnDialFailed(at, a.Peer.Instance)
		}
	}
}

// Guards against an offset outside its bound, whatever the asymmetry of the
// way.
func TestOffsetStaysWithinBound(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	var c clock
	truth := 5 * time.Second
	for i := range 100 {
		sent := time.Duration(i) * time.Second
		there := time.Duration(rng.Int64N(int64(20 * time.Millisecond)))
		back := time.Duration(rng.Int64N(int64(20 * time.Millisecond)))
		held := time.Duration(rng.Int64N(int64(time.Second)))
		c.observe(sent, sent+there+held+back, sent+there+held+truth, held)
		o, ok := c.offset(sent + there + held + back)
		assert.Assert(t, ok)
		assert.Assert(t, (o.Value-truth).Abs() <= o.Bound, "%v, bound %v", o.Value, o.Bound)
	}
}

// Guards against a pause of this process being taken for silence of peers.
func TestPauseIsNoSilence(t *testing.T) {
	c := newCore()
	connect(t, c)
	at := epoch.Add(10 * time.Second)
	c.OnPaused(at)
	c.Tick(at)
	assert.Equal(t, len(only(c.Actions(), ReportSilent)), 0)
}
