package quorum

import (
	"time"

	"github.com/oleanderworks/oleanderworks/charts"
	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// firstCompositionDelay lets the nodes of a starting fleet announce
	// themselves before the first composition is chosen.
	firstCompositionDelay = 500 * time.Millisecond
	// rankDelay is the delay between nodes of successive ranks that may propose
	// a composition of a group, so that usually only one of them does: the
	// others read its proposal from the log first.
	rankDelay = 300 * time.Millisecond
	// maxRank is the rank above which the delay does not increase any more.
	maxRank = 30
	// outsideWatchers is the number of nodes outside a group that watch it, in
	// case all members are lost.
	outsideWatchers = 3
	// probeInterval is the time between two probes of a member.
	probeInterval = time.Second
	// maxMemberSilence is how long a member may be silent before it is
	// replaced.
	maxMemberSilence = 5 * time.Second
	// improvementDelay is how long a larger or better spread composition must
	// be possible before it is proposed.
	improvementDelay = 3 * time.Second
	// sealTimeout bounds the wait for seals and for answers of candidates.
	sealTimeout = 500 * time.Millisecond
	// proposeTimeout bounds the wait for a proposed record to be read from the
	// log.
	proposeTimeout = 10 * time.Second
	// retryDelay is the time between failed attempts at a composition.
	retryDelay = 2 * time.Second
	// maxProbedCandidates is how many candidates are probed at once.
	maxProbedCandidates = 8
	// unsealedProposalDelay is how long a majority must be silent before an
	// unsealed composition is proposed.
	unsealedProposalDelay = 30 * time.Second
	// PromiseLifetime is how long a voter's promise of a lease is valid.
	PromiseLifetime = 2 * time.Second
	// maxContactAge is the maximum age of a node's last contact to the log for
	// it to start a new composition. If the log cannot be reached, sealing the
	// group would stop it, since no new composition could follow.
	maxContactAge = 5 * time.Second
	// UnsealedStartDelay is how far ahead of its proposal an unsealed
	// composition starts: the time for which voters accept ids without the
	// log, and a minute for differences between clocks.
	UnsealedStartDelay = IDGracePeriod + clockAllowance
	// maxIDAhead is how far ahead of a voter's clock the time of an accepted
	// id may be. It must equal record.MaxIDAhead, which record.Store enforces.
	maxIDAhead = time.Minute
	// restartedStartDelay is how far ahead a composition starts if restarted
	// voters were needed for the majority that has stopped. It is unknown which
	// ids they accepted. The time of such an id may be maxIDAhead ahead of the
	// voter's clock, and the voter's clock may be clockAllowance ahead of this
	// node's.
	restartedStartDelay = maxIDAhead + clockAllowance
)

// Events of the quorum_group chart, in the order of the chart.
const (
	eventTimerDue chart.EventID = iota
	eventAnswerReceived
	eventComposed
)

// Composer watches groups of this node's region and proposes new compositions
// of them. All methods run on one thread.
type Composer struct {
	Outbox
	self         model.Member
	voter        *VoterState
	directory    *Directory
	snapshot     *model.Snapshot
	machine      *chart.Machine[*group]
	groups       map[model.GroupKey]*group
	sortedGroups []*group // by key
	proposals    []model.GroupRecord
	newID        func() string
}

// NewComposer returns a composer without a configuration. newID generates the
// ids of log records.
func NewComposer(self model.Member, voter *VoterState, newID func() string) *Composer {
	return &Composer{
		self:    self,
		voter:   voter,
		newID:   newID,
		machine: newMachine(),
		groups:  make(map[model.GroupKey]*group),
	}
}

func newMachine() *chart.Machine[*group] {
	return chart.MustCompile(charts.MustRead("quorum_group"), chart.Binding[*group]{
		States: []string{"idle", "sealing", "proposing"},
		Events: []string{"timer_due", "answer_received", "composed"},
		Guards: map[string]func(*group) bool{
			"composition_due":  (*group).compositionDue,
			"answers_complete": (*group).answersComplete,
			"majority_stopped": (*group).majorityStopped,
			"majority_silent":  (*group).majoritySilent,
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

// TakeProposals returns the records proposed since the last call. The caller
// appends them to the log.
func (c *Composer) TakeProposals() []model.GroupRecord {
	out := c.proposals
	c.proposals = nil
	return out
}

// OnSnapshot handles a new configuration. Groups that this node does not watch
// (rank notWatching) are neither probed nor given new compositions.
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
		c.sortedGroups = append(c.sortedGroups, g)
	}
	g.candidates = rankCandidates(c.snapshot, key)
	latest := c.directory.LatestComposition(key)
	g.watcherRank = g.computeWatcherRank(latest)
	if latest != nil && latest.Epoch > g.epoch() {
		g.current = latest
		g.step(now, eventComposed)
	}
}

// OnProbeAnswer handles the answer of a member or a candidate.
func (c *Composer) OnProbeAnswer(now time.Time, a *ProbeAnswer) {
	if g := c.groups[a.Ballot.Group]; g != nil {
		g.observe(now, a.Ballot, a.Status, a.Voter)
		g.step(now, eventAnswerReceived)
	}
}

// OnSealAnswer handles a member's answer to a seal request.
func (c *Composer) OnSealAnswer(now time.Time, a *SealAnswer) {
	g := c.groups[a.Ballot.Group]
	if g == nil || a.Ballot.Epoch != g.epoch() {
		return
	}
	g.observe(now, a.Ballot, a.Status, a.Voter)
	if a.Status == VoterSealed || a.Status == VoterRetired {
		g.seals[a.Ballot.Voter] = seal{a.Time, a.Remaining}
	}
	g.step(now, eventAnswerReceived)
}

// OnPaused discards the answers received before a pause of the process.
func (c *Composer) OnPaused(now time.Time) {
	for _, g := range c.sortedGroups {
		g.reset()
		g.dueAt = now
	}
}

// Tick runs the timers that are due and returns the time of the next one.
func (c *Composer) Tick(now time.Time) time.Time {
	var next time.Time
	for _, g := range c.sortedGroups {
		if !g.dueAt.After(now) {
			g.step(now, eventTimerDue)
		}
		if next.IsZero() || g.dueAt.Before(next) {
			next = g.dueAt
		}
	}
	return next
}
