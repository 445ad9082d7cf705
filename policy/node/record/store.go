package record

import (
	"time"

	"github.com/oleanderworks/oleanderworks/charts"
	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/quorum"
)

const (
	// MaxRecords bounds the records of one node. A full store does not vote on
	// new requests.
	MaxRecords = 400_000
	// MaxStoredBytes bounds the bodies of the stored answers of one node. Instead
	// of an answer that would exceed it, the store keeps one that states only that
	// the request has completed.
	MaxStoredBytes = 64 << 20
	// sweepInterval is the time between two sweeps that drop old records.
	sweepInterval = time.Second
)

// Events of the request_record chart, in the order of the chart.
const (
	eventClaim chart.EventID = iota
	eventComplete
	eventRelease
)

// Store keeps the records of the groups in which this node votes. All methods
// run on one thread.
type Store struct {
	voter       *quorum.VoterState
	machine     *chart.Machine[*recordEvent]
	records     map[recordKey]*requestRecord
	expiries    []recordExpiry // in order of insertion
	minIDTime   time.Time
	lastSweep   time.Time
	storedBytes int
}

// recordKey identifies a record. The epoch is part of it, so that a node that
// votes in two epochs keeps their records apart.
type recordKey struct {
	group   model.GroupKey
	epoch   uint64
	request RequestKey
}

// requestRecord is the record of one request.
type requestRecord struct {
	state       chart.StateID
	holder      Holder
	target      model.NodeID
	round       int
	answer      *model.Answer
	answerBytes int
}

type recordExpiry struct {
	key recordKey
	at  time.Time
}

// recordEvent is one chart event of a record, with the contents of its
// message.
type recordEvent struct {
	store  *Store
	record *requestRecord
	holder Holder
	target model.NodeID
	round  int
	answer *model.Answer
	vote   Vote
}

// NewStore returns a store without records.
func NewStore(voter *quorum.VoterState) *Store {
	return &Store{voter: voter, machine: newMachine(), records: make(map[recordKey]*requestRecord)}
}

func newMachine() *chart.Machine[*recordEvent] {
	return chart.MustCompile(charts.MustRead("request_record"), chart.Binding[*recordEvent]{
		States: []string{"unclaimed", "claimed", "released", "completed"},
		Events: []string{"claim", "complete", "release"},
		Guards: map[string]func(*recordEvent) bool{
			"same_holder": func(e *recordEvent) bool { return e.record.holder == e.holder },
			"later_round": func(e *recordEvent) bool { return e.round > e.record.round },
			"same_round":  func(e *recordEvent) bool { return e.round == e.record.round },
		},
		Actions: map[string]func(*recordEvent){
			"accept":        (*recordEvent).accept,
			"confirm":       (*recordEvent).confirm,
			"refuse":        func(e *recordEvent) { e.vote = VoteClaimed },
			"replay":        func(e *recordEvent) { e.vote = VoteCompleted },
			"store_answer":  (*recordEvent).storeAnswer,
			"mark_released": func(e *recordEvent) { e.record.holder, e.record.round = e.holder, e.round },
		},
	})
}

// Len returns the number of records.
func (s *Store) Len() int { return len(s.records) }

// OnClaim votes on a claim.
func (s *Store) OnClaim(now time.Time, r *ClaimRequest) *ClaimAnswer {
	a := &ClaimAnswer{Ballot: r.Ballot, Key: r.Key, Sequence: r.Sequence}
	k := recordKey{r.Ballot.Group, r.Ballot.Epoch, r.Key}
	a.Vote = s.checkEligibility(now, k, r)
	if a.Vote != VoteYes {
		return a
	}
	e := &recordEvent{store: s, record: s.getOrCreateRecord(now, k), holder: r.Holder, target: r.Target, round: r.Round}
	e.record.state = s.machine.Step(e, e.record.state, eventClaim)
	a.Vote, a.Answer = e.vote, e.record.answer
	return a
}

// checkEligibility checks whether the store may vote on a claim. It returns the
// vote that refuses the claim, or VoteYes if the vote depends on the record's
// state. The time of the id must be valid. Unless the answer of the request is
// stored, there must also be room for its record, and the voter must be allowed
// to accept the id.
func (s *Store) checkEligibility(now time.Time, k recordKey, r *ClaimRequest) Vote {
	t := model.RequestIDTime(r.Key.ID)
	if t.Before(s.raiseMinIDTime(now)) {
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
	switch s.voter.AcceptID(now, r.Ballot, t) {
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

// raiseMinIDTime updates and returns the time before which ids are too old. It
// never decreases, even if the wall clock is set back, since records up to it
// may have been dropped.
func (s *Store) raiseMinIDTime(now time.Time) time.Time {
	s.minIDTime = later(s.minIDTime, now.Add(-MaxIDAge))
	return s.minIDTime
}

func (s *Store) getOrCreateRecord(now time.Time, k recordKey) *requestRecord {
	found := s.records[k]
	if found == nil {
		found = &requestRecord{state: s.machine.Initial()}
		s.records[k] = found
		s.expiries = append(s.expiries, recordExpiry{k, now.Add(MaxIDAge + MaxIDAhead)})
	}
	return found
}

// OnRelease handles the release of a claim.
func (s *Store) OnRelease(now time.Time, r *ClaimRelease) {
	k := recordKey{r.Ballot.Group, r.Ballot.Epoch, r.Key}
	if s.records[k] == nil && !s.mayAddRecord(now, r.Ballot) {
		return
	}
	e := &recordEvent{store: s, record: s.getOrCreateRecord(now, k), holder: r.Holder, round: r.Round}
	e.record.state = s.machine.Step(e, e.record.state, eventRelease)
}

// OnComplete stores an answer. Only the holder of a granted claim sends one,
// so members that did not vote for the claim store it as well.
func (s *Store) OnComplete(now time.Time, r *ClaimComplete) {
	k := recordKey{r.Ballot.Group, r.Ballot.Epoch, r.Key}
	if s.records[k] == nil && !s.mayAddRecord(now, r.Ballot) {
		return
	}
	e := &recordEvent{store: s, record: s.getOrCreateRecord(now, k), holder: r.Holder, answer: r.Answer}
	e.record.state = s.machine.Step(e, e.record.state, eventComplete)
}

// mayAddRecord reports whether the addressed voter keeps records of the epoch
// and the store is not full.
func (s *Store) mayAddRecord(now time.Time, b quorum.Ballot) bool {
	switch s.voter.Status(now, b) {
	case quorum.VoterActive, quorum.VoterSealed:
		return len(s.records) < MaxRecords
	default:
		return false
	}
}

// Tick drops expired records, whose ids are too old by then, and returns the
// time of the next sweep.
func (s *Store) Tick(now time.Time) time.Time {
	if now.Sub(s.lastSweep) < sweepInterval {
		return s.lastSweep.Add(sweepInterval)
	}
	s.lastSweep = now
	s.raiseMinIDTime(now)
	n := 0
	for n < len(s.expiries) && now.After(s.expiries[n].at) {
		s.drop(s.expiries[n].key)
		n++
	}
	s.expiries = s.expiries[n:]
	return now.Add(sweepInterval)
}

func (s *Store) drop(k recordKey) {
	s.minIDTime = later(s.minIDTime, model.RequestIDTime(k.request.ID).Add(time.Millisecond))
	if found := s.records[k]; found != nil {
		s.storedBytes -= found.answerBytes
		delete(s.records, k)
	}
}

func (e *recordEvent) accept() {
	e.record.holder, e.record.target, e.record.round = e.holder, e.target, e.round
	e.vote = VoteYes
}

// confirm repeats the vote for a claim that was accepted before, if it is for
// the same target.
func (e *recordEvent) confirm() {
	e.vote = VoteYes
	if e.record.target != e.target {
		e.vote = VoteClaimed
	}
}

// storeAnswer stores the first answer. If its body exceeds MaxStoredAnswerBytes
// or the remaining part of MaxStoredBytes, it stores an answer that states only
// that the request has completed.
func (e *recordEvent) storeAnswer() {
	a := *e.answer
	if len(a.Body) > MaxStoredAnswerBytes || e.store.storedBytes+len(a.Body) > MaxStoredBytes {
		a = model.Answer{Run: model.Completed, Reason: model.ReasonAnswerCut, Detail: "the first answer was not kept"}
	}
	e.record.answer, e.record.holder = &a, e.holder
	e.record.answerBytes = len(a.Body)
	e.store.storedBytes += e.record.answerBytes
}
