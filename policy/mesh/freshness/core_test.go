package freshness

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// simulation is a fleet of linked nodes that check one log, in virtual time.
type simulation struct {
	now    time.Time
	nodes  []*Core
	checks int
	answer time.Duration // time until the log answers
	silent func(now time.Time) bool
	relay  func(c *Core, sentAt time.Time) // handles an answer to c; tells all nodes at once by default
	due    map[time.Time][]func()
}

const (
	step      = time.Millisecond
	relayTime = 2 * time.Millisecond
)

func newSimulation(nodes int) *simulation {
	s := &simulation{now: time.Unix(1, 0), answer: 4 * time.Millisecond, silent: func(time.Time) bool { return false }, due: make(map[time.Time][]func())}
	s.relay = s.tellAll
	for i := range nodes {
		c := New(rand.New(rand.NewPCG(uint64(i), 7)))
		c.SetLinks(nodes - 1)
		c.OnAnswer(s.now, s.now)
		s.nodes = append(s.nodes, c)
	}
	return s
}

func (s *simulation) after(d time.Duration, f func()) {
	at := s.now.Add(d)
	s.due[at] = append(s.due[at], f)
}

// run advances the time by d and calls each after every step.
func (s *simulation) run(d time.Duration, each func()) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(step) {
		for _, f := range s.due[s.now] {
			f()
		}
		delete(s.due, s.now)
		for _, c := range s.nodes {
			c.Tick(s.now)
			if c.TakeCheck() {
				s.check(c)
			}
		}
		each()
	}
}

func (s *simulation) check(c *Core) {
	s.checks++
	sentAt := s.now
	if timeout := c.CheckTimeout(); s.silent(s.now) || s.answer > timeout {
		s.after(timeout, func() { c.OnCheckFailed(s.now) })
		return
	}
	s.after(s.answer, func() {
		c.OnCheckAnswered(s.now, sentAt)
		c.OnAnswer(s.now, sentAt)
		s.relay(c, sentAt)
	})
}

func (s *simulation) tellAll(_ *Core, sentAt time.Time) {
	s.after(relayTime, func() {
		for _, peer := range s.nodes {
			peer.OnPeerAnswer(s.now, sentAt)
		}
	})
}

// Guards against a node that takes silence for "no newer documents" for longer than a
// configuration may take to be in force.
func TestConfirmationIsNeverOld(t *testing.T) {
	for _, n := range []int{1, 14, 82} {
		s := newSimulation(n)
		s.run(20*time.Second, func() {
			for _, c := range s.nodes {
				assert.Assert(t, s.now.Sub(c.ConfirmedAt()) < 1500*time.Millisecond, "%d nodes", n)
			}
		})
	}
}

// Guards against checks whose number grows with the fleet.
func TestPeersSaveChecks(t *testing.T) {
	for _, n := range []int{14, 82} {
		s := newSimulation(n)
		s.run(60*time.Second, func() {})
		perSecond := float64(s.checks) / 60
		t.Logf("%d nodes: %.1f checks a second", n, perSecond)
		assert.Assert(t, perSecond < 8, "%d nodes: %.1f checks a second", n, perSecond)
	}
}

// Guards against a log that is slow and never counts as answering.
func TestSlowLogIsChecked(t *testing.T) {
	for _, n := range []int{1, 14} {
		s := newSimulation(n)
		s.answer = 700 * time.Millisecond
		s.run(5*time.Second, func() {})
		s.run(20*time.Second, func() {
			for _, c := range s.nodes {
				assert.Assert(t, s.now.Sub(c.ConfirmedAt()) < 4*time.Second, "%d nodes", n)
			}
		})
	}
}

// Guards against a large fleet that overloads a log which has just fallen silent.
func TestLargeFleetSpreadsFailedChecks(t *testing.T) {
	const nodes, window = 1000, 5 * time.Second
	s := newSimulation(nodes)
	s.silent = func(time.Time) bool { return true }
	s.run(2*time.Second, func() {}) // each node checks once
	before := s.checks
	s.run(window, func() {})
	perSecond := float64(s.checks-before) / window.Seconds()
	assert.Assert(t, perSecond < 200, "%.0f checks a second", perSecond)
}

// Guards against documents that stay unconfirmed after the log has recovered, and
// against waiting reads that are kept although the log may have dropped them.
func TestRecoveryAfterSilence(t *testing.T) {
	const silence = 10 * time.Second
	for _, n := range []int{1, 14, 82} {
		s := newSimulation(n)
		endsAt := s.now.Add(silence)
		s.silent = func(now time.Time) bool { return now.Before(endsAt) }
		s.run(silence, func() {})
		assert.Assert(t, s.checks <= int(silence/time.Second)*max(3*n, 100), "%d nodes: %d checks", n, s.checks)
		s.run(2500*time.Millisecond, func() {})
		for _, c := range s.nodes {
			assert.Assert(t, c.ConfirmedAt().After(endsAt.Add(-step)), "%d nodes", n)
			assert.Assert(t, c.TakeRestart(), "%d nodes", n)
		}
	}
}

// Guards against a late confirmation that makes newer ones appear older.
func TestOlderConfirmationIsIgnored(t *testing.T) {
	c := New(rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(1, 0)
	c.OnPeerAnswer(now, now)
	c.OnPeerAnswer(now.Add(time.Second), now.Add(-time.Second))
	assert.Equal(t, c.ConfirmedAt(), now)
}

// Guards against confirmations that go round between nodes on slow links and become
// younger with each hop.
func TestSlowLinksDoNotHideOldDocuments(t *testing.T) {
	const slowLink, reportInterval, bound = 300 * time.Millisecond, 250 * time.Millisecond, 1750 * time.Millisecond
	s := newSimulation(14)
	delay := func(i int) time.Duration {
		if i < 3 {
			return slowLink
		}
		return step
	}
	type claim struct {
		node *Core
		at   time.Time
	}
	answers := make(map[claim]time.Time) // when the log gave the answer behind a claim
	latest := make(map[*Core]time.Time)
	for _, c := range s.nodes {
		answers[claim{c, s.now}], latest[c] = s.now, s.now
	}
	s.relay = func(c *Core, sentAt time.Time) { answers[claim{c, sentAt}], latest[c] = sentAt, sentAt }
	for i, from := range s.nodes {
		var report func()
		report = func() {
			s.after(reportInterval, report)
			age := from.AgeForPeers(s.now)
			if age < 0 {
				return
			}
			answer := answers[claim{from, s.now.Add(-age)}]
			for j, to := range s.nodes {
				s.after(delay(i)+delay(j), func() {
					if at := s.now.Add(-age); at.After(to.ConfirmedAt()) {
						to.OnPeerAnswer(s.now, at)
						answers[claim{to, at}], latest[to] = answer, answer
					}
				})
			}
		}
		s.after(time.Duration(i)*step, report)
	}
	s.run(60*time.Second, func() {
		for _, c := range s.nodes {
			assert.Assert(t, s.now.Sub(latest[c]) < bound, "documents are %v old", s.now.Sub(latest[c]))
		}
	})
}

// Guards against a node that stops checking after a check whose answer was older than
// the documents that a peer sent meanwhile.
func TestOvertakenCheckIsRepeated(t *testing.T) {
	for _, failedBefore := range []bool{false, true} {
		s := newSimulation(1)
		c := s.nodes[0]
		nextCheck := func() {
			for !c.TakeCheck() {
				assert.Assert(t, s.now.Before(time.Unix(60, 0)), "no check for a minute")
				s.now = s.now.Add(step)
				c.Tick(s.now)
			}
		}
		nextCheck()
		if failedBefore {
			c.OnCheckFailed(s.now)
			nextCheck()
		}
		c.OnCheckOvertaken(s.now)
		nextCheck()
	}
}
