package quorum

import (
	"time"

	"github.com/oleanderworks/oleanderworks/charts"
	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// firstDelay lets the members of a starting fleet announce themselves
	// before a first composition is made of those that are known.
	firstCompositionDelay = 500 * time.Millisecond
	// rankDelay separates the nodes that could act for a group, so that one
	// of them appends and the others see its record first.
	rankDelay = 300 * time.Millisecond
	// maxRank bounds the delay of the last ranks.
	maxRank = 30
	// watchers is the number of nodes outside a group that watch it, in case
	// all members are lost.
	outsideWatchers = 3
	// probeInterval is the time between two probes of a member.
	probeInterval = time.Second
	// lostAfter is the silence after which a member is replaced.
	memberLostAfter = 5 * time.Second
	// settleTime is how long a better composition must be possible before the
	// group is composed again for it.
	improvementDelay = 3 * time.Second
	// askTimeout bounds the wait for seals and candidates.
	sealTimeout = 500 * time.Millisecond
	// proposeTimeout bounds the wait for a record to come back from the log.
	proposeTimeout = 10 * time.Second
	// retryDelay separates failed attempts at a composition.
	retryDelay = 2 * time.Second
	// askedCandidates is how many candidates are asked at once.
	maxProbedCandidates = 8
	// majorityLostAfter is how long a majority must be lost before an
	// unsealed composition is made.
	majorityLostAfter = 30 * time.Second
	// PromiseLifetime is how long a voter promises a lease.
	PromiseLifetime = 2 * time.Second
	// contactFresh is the age of the log contact up to which a node composes.
	// Without the log a seal would end the group's service for nothing.
	maxContactAge = 5 * time.Second
	// UnsealedStartDelay is how far ahead an unsealed composition starts: the
	// horizon and a minute for differences between clocks.
	UnsealedStartDelay = IDGracePeriod + clockAllowance
	// futureIDs is how far ahead of a voter's clock an accepted id may be.
	maxIDAhead = time.Minute
	// goneDelay is how far ahead a composition starts whose majority counts
	// restarted voters: their ids may be a minute ahead of their clocks, and
	// their clocks a minute ahead of this one.
	restartedStartDelay = maxIDAhead + clockAllowance
)

// Events of the quorum_group chart, in the chart's order.
const (
	eventDue chart.EventID = iota
	eventAnswerReceived
	eventComposed
)

// Composer watches the groups of a region for which this node may act, and
// proposes compositions. All methods run on one thread.
type Composer struct {
	Outbox
	self      model.Member
	votes     *VoterState
	directory *Directory
	snapshot  *model.Snapshot
	machine   *chart.Machine[*group]
	groups    map[model.GroupKey]*group
	ordered   []*group // in order of their keys
	proposals []model.GroupRecord
	newID     func() string
}

// NewComposer returns a composer that knows no configuration yet. newID makes
// the ids of records.
func NewComposer(self model.Member, votes *VoterState, newID func() string) *Composer {
	return &Composer{
		self:    self,
		votes:   votes,
		newID:   newID,
		machine: newMachine(),
		groups:  make(map[model.GroupKey]*group),
	}
}

func newMachine() *chart.Machine[*group] {
	return chart.MustCompile(charts.MustRead("quorum_group"), chart.Binding[*group]{
		States: []string{"watching", "sealing", "proposing"},
		Events: []string{"due", "answer_received", "composed"},
		Guards: map[string]func(*group) bool{
			"composition_due":    (*group).compositionDue,
			"answers_complete":   (*group).answersComplete,
			"sealed_by_majority": (*group).sealedByMajority,
			"majority_lost":      (*group).majorityLost,
		},
		Actions: map[string]func(*group){
			"probe":            (*group).probe,
			"request_seals":    (*group).requestSeals,
			"propose_sealed":   (*group).proposeSealed,
			"propose_unsealed": (*group).proposeUnsealed,
			"back_off":         func(g *group) { g.dueAt = g.now.Add(retryDelay) },
			"reset":            (*group).reset,
		},
	})
}

// TakeProposals returns the records to append since the last call.
func (c *Composer) TakeProposals() []model.GroupRecord {
	out := c.proposals
	c.proposals = nil
	return out
}

// OnSnapshot takes a new configuration. Groups that this node does not watch
// are forgotten.
func (c *Composer) OnSnapshot(now time.Time, s *model.Snapshot, d *Directory) {
	c.snapshot, c.directory = s, d
	for i := range d.GroupCount() {
		key := model.GroupKey{Region: c.self.Region, Group: i}
		c.updateGroup(now, key)
	}
}

func (c *Composer) updateGroup(now time.Time, key model.GroupKey) {
	g := c.groups[key]
	if g == nil {
		g = &group{composer: c, key: key, state: c.machine.Initial(), now: now}
		g.reset()
		c.groups[key] = g
		c.ordered = append(c.ordered, g)
	}
	g.candidates = rankCandidates(c.snapshot, key)
	latest := c.directory.LatestEpoch(key)
	g.rank = g.rankIn(latest)
	if latest != nil && latest.Epoch > g.epoch() {
		g.current = latest
		g.step(now, eventComposed)
	}
}

// OnProbeAnswer takes the answer of a member or a candidate.
func (c *Composer) OnProbeAnswer(now time.Time, a *ProbeAnswer) {
	if g := c.groups[a.Ballot.Key]; g != nil {
		g.observe(now, a.Ballot, a.Status, a.Voter)
		g.step(now, eventAnswerReceived)
	}
}

// OnSealAnswer takes a member's seal.
func (c *Composer) OnSealAnswer(now time.Time, a *SealAnswer) {
	g := c.groups[a.Ballot.Key]
	if g == nil || a.Ballot.Epoch != g.epoch() {
		return
	}
	g.observe(now, a.Ballot, a.Status, a.Voter)
	if a.Status == VoterSealed || a.Status == VoterRetired {
		g.seals[a.Ballot.Voter] = seal{a.Time, a.Remaining}
	}
	g.step(now, eventAnswerReceived)
}

// OnPaused forgets what was observed before the pause.
func (c *Composer) OnPaused(now time.Time) {
	for _, g := range c.ordered {
		g.reset()
		g.dueAt = now
	}
}

// Tick runs the timers that are due and returns the time of the next one.
func (c *Composer) Tick(now time.Time) time.Time {
	var next time.Time
	for _, g := range c.ordered {
		if !g.dueAt.After(now) {
			g.step(now, eventDue)
		}
		if next.IsZero() || g.dueAt.Before(next) {
			next = g.dueAt
		}
	}
	return next
}
