package record

import (
	"time"

	"github.com/oleanderworks/oleanderworks/charts"
	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/quorum"
)

const (
	// MaxRecords bounds the records of one node. A new claim beyond it gets
	// no vote.
	MaxRecords = 400_000
	// MaxStoredBytes bounds the kept answers of one node. Answers beyond it
	// are not kept; their re-sends learn that the request completed.
	MaxStoredBytes = 64 << 20
	// sweepInterval is the time between two looks for records to drop.
	sweepInterval = time.Second
)

// Events of the request_record chart, in the chart's order.
const (
	eventClaim chart.EventID = iota
	eventComplete
	eventRelease
)

// Store keeps the records of the groups in which this node votes. All methods
// run on one thread.
type Store struct {
	votes   *quorum.VoterState
	machine *chart.Machine[*step]
	records map[storeKey]*item
	queue   []expiry // in order of insertion
	floor   time.Time
	swept   time.Time
	stored  int
}

// storeKey names a record. The epoch is part of it, so that a node that votes
// in two epochs never takes a record of one for the other.
type storeKey struct {
	group model.GroupKey
	epoch uint64
	key   Key
}

// item is one record.
type item struct {
	state  chart.StateID
	holder Holder
	target model.NodeID
	round  int
	answer *model.Answer
	bytes  int
}

type expiry struct {
	key storeKey
	at  time.Time
}

// step is one event of a record with its message.
type step struct {
	store  *Store
	item   *item
	holder Holder
	target model.NodeID
	round  int
	answer *model.Answer
	vote   Vote
}

// NewStore returns a store without records.
func NewStore(votes *quorum.VoterState) *Store {
	return &Store{votes: votes, machine: newMachine(), records: make(map[storeKey]*item)}
}

func newMachine() *chart.Machine[*step] {
	return chart.MustCompile(charts.MustRead("request_record"), chart.Binding[*step]{
		States: []string{"vacant", "claimed", "released", "completed"},
		Events: []string{"claim", "complete", "release"},
		Guards: map[string]func(*step) bool{
			"same_holder": func(s *step) bool { return s.item.holder == s.holder },
			"later_round": func(s *step) bool { return s.round > s.item.round },
			"same_round":  func(s *step) bool { return s.round == s.item.round },
		},
		Actions: map[string]func(*step){
			"accept":       (*step).accept,
			"repeat":       (*step).repeat,
			"refuse":       func(s *step) { s.vote = VoteClaimed },
			"replay":       func(s *step) { s.vote = VoteCompleted },
			"store_answer": (*step).storeAnswer,
			"give_up":      func(s *step) { s.item.holder, s.item.round = s.holder, s.round },
		},
	})
}

// Len returns the number of records.
func (s *Store) Len() int { return len(s.records) }

// OnClaim votes on a claim.
func (s *Store) OnClaim(now time.Time, r *ClaimRequest) *ClaimAnswer {
	a := &ClaimAnswer{Ballot: r.Ballot, Key: r.Key, Sequence: r.Sequence}
	k := storeKey{r.Ballot.Key, r.Ballot.Epoch, r.Key}
	a.Vote = s.admit(now, k, r)
	if a.Vote != VoteYes {
		return a
	}
	st := &step{store: s, item: s.item(now, k), holder: r.Holder, target: r.Target, round: r.Round}
	st.item.state = s.machine.Step(st, st.item.state, eventClaim)
	a.Vote, a.Answer = st.vote, st.item.answer
	return a
}

// admit decides whether the store may vote on the claim at all. A record that
// exists answers in any standing; a new one needs a vote.
func (s *Store) admit(now time.Time, k storeKey, r *ClaimRequest) Vote {
	t := model.RequestIDTime(r.Key.ID)
	if t.Before(s.ageLimit(now)) {
		return VoteTooOld
	}
	if t.After(now.Add(MaxIDAhead)) {
		return VoteTooFarAhead
	}
	found := s.records[k]
	if found != nil && found.answer != nil {
		return VoteYes
	}
	if found == nil && len(s.records) >= MaxRecords {
		return VoteNone
	}
	switch s.votes.AcceptID(now, r.Ballot, t) {
	case quorum.VoterActive:
		return VoteYes
	case quorum.VoterSealed:
		return VoteSealed
	case quorum.VoterUninformed:
		return VoteUnknownEpoch
	default:
		return VoteNone
	}
}

// ageLimit returns the time before which ids are too old. It never goes back,
// also when the wall clock does, since records up to it were dropped.
func (s *Store) ageLimit(now time.Time) time.Time {
	s.floor = later(s.floor, now.Add(-MaxIDAge))
	return s.floor
}

func (s *Store) item(now time.Time, k storeKey) *item {
	found := s.records[k]
	if found == nil {
		found = &item{state: s.machine.Initial()}
		s.records[k] = found
		s.queue = append(s.queue, expiry{k, now.Add(MaxIDAge + MaxIDAhead)})
	}
	return found
}

// OnRelease takes back a claim.
func (s *Store) OnRelease(now time.Time, r *ClaimRelease) {
	k := storeKey{r.Ballot.Key, r.Ballot.Epoch, r.Key}
	if s.records[k] == nil && !s.standing(now, r.Ballot) {
		return
	}
	st := &step{store: s, item: s.item(now, k), holder: r.Holder, round: r.Round}
	st.item.state = s.machine.Step(st, st.item.state, eventRelease)
}

// OnComplete stores an answer. Only the holder of a majority's votes sends
// one, so it is stored by members that did not vote as well.
func (s *Store) OnComplete(now time.Time, r *ClaimComplete) {
	k := storeKey{r.Ballot.Key, r.Ballot.Epoch, r.Key}
	if s.records[k] == nil && !s.standing(now, r.Ballot) {
		return
	}
	st := &step{store: s, item: s.item(now, k), holder: r.Holder, answer: r.Answer}
	st.item.state = s.machine.Step(st, st.item.state, eventComplete)
}

// standing reports whether the addressed voter keeps records of the epoch.
func (s *Store) standing(now time.Time, b quorum.Ballot) bool {
	switch s.votes.Status(now, b) {
	case quorum.VoterActive, quorum.VoterSealed:
		return len(s.records) < MaxRecords
	default:
		return false
	}
}

// Tick drops records whose ids are too old and returns the time of the next
// look.
func (s *Store) Tick(now time.Time) time.Time {
	if now.Sub(s.swept) < sweepInterval {
		return s.swept.Add(sweepInterval)
	}
	s.swept = now
	s.ageLimit(now)
	n := 0
	for n < len(s.queue) && now.After(s.queue[n].at) {
		s.drop(s.queue[n].key)
		n++
	}
	s.queue = s.queue[n:]
	return now.Add(sweepInterval)
}

func (s *Store) drop(k storeKey) {
	s.floor = later(s.floor, model.RequestIDTime(k.key.ID).Add(time.Millisecond))
	if found := s.records[k]; found != nil {
		s.stored -= found.bytes
		delete(s.records, k)
	}
}

func (s *step) accept() {
	s.item.holder, s.item.target, s.item.round = s.holder, s.target, s.round
	s.vote = VoteYes
}

// repeat confirms a claim that was already accepted, for its target only.
func (s *step) repeat() {
	s.vote = VoteYes
	if s.item.target != s.target {
		s.vote = VoteClaimed
	}
}

// storeAnswer keeps the first answer. One that is too large, or for which
// there is no room, is kept without its body.
func (s *step) storeAnswer() {
	a := *s.answer
	if len(a.Body) > MaxStoredAnswerBytes || s.store.stored+len(a.Body) > MaxStoredBytes {
		a = model.Answer{Run: model.Completed, Reason: model.ReasonAnswerCut, Detail: "the first answer was not kept"}
	}
	s.item.answer, s.item.holder = &a, s.holder
	s.item.bytes = len(a.Body)
	s.store.stored += s.item.bytes
}
