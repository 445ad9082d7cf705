// Package freshness bounds how long a node treats the silence of the log as "no newer
// documents". A read that waits for records cannot tell whether the log has none or has
// lost the read. The node therefore checks the end of the log unless it, or a peer that
// told it so, has had an answer from the log lately. It is used by the nodes of package
// agent/mesh; package configlog does the same for the nodes of package agent.
package freshness

import (
	"math/rand/v2"
	"time"

	"github.com/oleanderworks/oleanderworks/charts"
	"github.com/oleanderworks/oleanderworks/core/chart"
)

const (
	// checkInterval is the age of the latest confirmation from which on a node checks
	// the log. A change that all reads have missed is found after it, and has to be in
	// force within two seconds.
	checkInterval = 750 * time.Millisecond
	// checkSpread is the range of a random delay added to checkInterval, in which the
	// node that checks first tells its peers the result. Few nodes check then, at any
	// size of the fleet.
	checkSpread = 500 * time.Millisecond
	// minCheckTimeout and maxCheckTimeout bound the time for a check. The log answers
	// within milliseconds; each check that fails doubles the time for the next one, so
	// that a slow log is found to be up to date as well.
	minCheckTimeout = 500 * time.Millisecond
	maxCheckTimeout = 1200 * time.Millisecond
	// slowAnswerFactor is the timeout of a check as a multiple of the time that the
	// answer to the one before took.
	slowAnswerFactor = 3
	// minBackoff and maxBackoff bound the mean delay after a failed check; the delay is
	// 0.5 to 1.5 times as long. An outage may end right after a check was sent; the next
	// one must then succeed within three seconds of its end.
	minBackoff = 200 * time.Millisecond
	maxBackoff = time.Second
	// peerCheckSpacing is the least mean time between the checks that the linked nodes
	// make together while the log does not answer. One success is enough for all.
	peerCheckSpacing = 10 * time.Millisecond
)

// Events of the state chart log_freshness, in the chart's order.
const (
	eventCheckDue chart.EventID = iota
	eventUpToDate
	eventCheckFailed
	eventCheckOvertaken
)

// Core holds the freshness of one node's documents. It is not safe for concurrent use:
// the duty that owns it calls all methods from its thread.
type Core struct {
	rng     *rand.Rand
	machine *chart.Machine[*Core]
	state   chart.StateID
	now     time.Time // time of the current step

	confirmedAt  time.Time // zero until the first confirmation
	answeredAt   time.Time // of the latest confirmation by an answer to this node
	checkAt      time.Time
	checkTimeout time.Duration
	backoff      time.Duration
	links        int
	checkDue     bool
	readsInDoubt bool
}

// New returns a core without a confirmation.
func New(rng *rand.Rand) *Core {
	c := &Core{rng: rng, backoff: minBackoff, checkTimeout: minCheckTimeout}
	c.machine = chart.MustCompile(charts.MustRead("log_freshness"), chart.Binding[*Core]{
		States: []string{"loading", "confirmed", "checking", "unconfirmed", "checking_again"},
		Events: []string{"check_due", "up_to_date", "check_failed", "check_overtaken"},
		Guards: map[string]func(*Core) bool{},
		Actions: map[string]func(*Core){
			"check":          func(c *Core) { c.checkDue = true },
			"schedule_check": (*Core).scheduleCheck,
			"back_off":       (*Core).backOff,
			"restart_reads":  func(c *Core) { c.readsInDoubt = true },
		},
	})
	c.state = c.machine.Initial()
	return c
}

func (c *Core) step(now time.Time, e chart.EventID) {
	c.now = now
	c.state = c.machine.Step(c, c.state, e)
}

// OnAnswer handles an answer of the log to this node, by which its documents were up to
// date at the time at.
func (c *Core) OnAnswer(now, at time.Time) {
	if at.After(c.answeredAt) {
		c.answeredAt = at
	}
	c.confirm(now, at)
}

// OnCheckAnswered handles the answer to a check that was sent at sentAt. OnAnswer or
// OnCheckOvertaken tells what it says about the documents.
func (c *Core) OnCheckAnswered(now, sentAt time.Time) {
	c.checkTimeout = min(max(slowAnswerFactor*now.Sub(sentAt), minCheckTimeout), maxCheckTimeout)
}

// OnPeerAnswer handles an answer of the log to a peer, by which the documents of both
// nodes were up to date at the time at.
func (c *Core) OnPeerAnswer(now, at time.Time) { c.confirm(now, at) }

func (c *Core) confirm(now, at time.Time) {
	if !at.After(c.confirmedAt) {
		return
	}
	c.confirmedAt = at
	c.step(now, eventUpToDate)
}

// OnCheckFailed handles a check that the log has not answered.
func (c *Core) OnCheckFailed(now time.Time) {
	c.checkTimeout = min(2*c.checkTimeout, maxCheckTimeout)
	c.step(now, eventCheckFailed)
}

// CheckTimeout returns the time after which the next check counts as failed.
func (c *Core) CheckTimeout() time.Duration { return c.checkTimeout }

// OnCheckOvertaken handles the answer to a check that says nothing about the node's
// documents, since newer ones have come from a peer meanwhile.
func (c *Core) OnCheckOvertaken(now time.Time) { c.step(now, eventCheckOvertaken) }

// SetLinks sets the number of peers that learn of a successful check from this node.
func (c *Core) SetLinks(n int) { c.links = n }

// scheduleCheck schedules the next check. A confirmation that a peer passed on may be
// so old that the check is due at once.
func (c *Core) scheduleCheck() {
	c.backoff = minBackoff
	c.checkAt = c.confirmedAt.Add(checkInterval + time.Duration(c.rng.Float64()*float64(checkSpread)))
}

func (c *Core) backOff() {
	mean := max(c.backoff, time.Duration(c.links)*peerCheckSpacing)
	c.checkAt = c.now.Add(mean/2 + time.Duration(c.rng.Float64()*float64(mean)))
	c.backoff = min(2*c.backoff, maxBackoff)
}

// Tick runs the timer if it is due and returns the time of the next check, or zero if
// none is scheduled.
func (c *Core) Tick(now time.Time) time.Time {
	if c.checkAt.IsZero() || now.Before(c.checkAt) {
		return c.checkAt
	}
	c.checkAt = time.Time{}
	c.step(now, eventCheckDue)
	return c.checkAt
}

// TakeCheck reports whether the node must check the log now. It returns true once for
// each check.
func (c *Core) TakeCheck() bool {
	due := c.checkDue
	c.checkDue = false
	return due
}

// TakeRestart reports whether reads that wait for records must be sent again, since the
// log may have dropped them. It returns true once for each restart.
func (c *Core) TakeRestart() bool {
	restart := c.readsInDoubt
	c.readsInDoubt = false
	return restart
}

// ConfirmedAt returns the time of the latest confirmation, or zero if there is none.
func (c *Core) ConfirmedAt() time.Time { return c.confirmedAt }

// AgeForPeers returns the time since the latest answer of the log to this node, or -1 if
// it is of no use to peers. Confirmations by peers are not passed on: each hop would add
// its delay to the true age.
func (c *Core) AgeForPeers(now time.Time) time.Duration {
	if age := now.Sub(c.answeredAt); !c.answeredAt.IsZero() && age < checkInterval {
		return age
	}
	return -1
}
