package record

import (
	"time"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/quorum"
)

// claim is one call's claim at its entry node.
type claim struct {
	core    *Claimant
	key     callKey
	target  model.NodeID
	attempt int
	deliver func(Result)

	record    *model.GroupRecord // epoch of the round; nil before the first
	round     int
	sequence  uint64 // of the round under way; 0 between rounds
	votes     map[model.NodeID]Vote
	answer    *model.Answer
	contended int
	delay     time.Duration
	deadline  time.Time
}

func (cl *claim) holder() Holder { return Holder{Node: cl.core.self, Call: cl.key.call} }

func (cl *claim) group() model.GroupKey {
	return model.GroupKey{Region: cl.record.Region, Group: cl.record.Group}
}

func (cl *claim) ballot(m model.Member) quorum.Ballot {
	return quorum.Ballot{Key: cl.group(), Epoch: cl.record.Epoch, Voter: m.NodeID}
}

// ask starts a round at the members of the epoch to which the id belongs.
func (cl *claim) ask(now time.Time) {
	d := cl.core.directory
	group := d.RecordGroup(cl.key.key.Customer, cl.key.key.ID)
	record := d.EpochAt(group, model.RequestIDTime(cl.key.key.ID))
	if record == nil {
		cl.noEpoch(now, len(d.Epochs(group)) > 0)
		return
	}
	cl.core.sequence++
	cl.record, cl.sequence = record, cl.core.sequence
	cl.round++
	cl.votes = make(map[model.NodeID]Vote)
	cl.core.rounds[cl.sequence] = cl
	cl.send(now)
}

// noEpoch waits for a first composition. An id older than all epochs may
// have run under one that is forgotten.
func (cl *claim) noEpoch(now time.Time, known bool) {
	if known {
		cl.finish(Result{Outcome: TooOld})
		return
	}
	cl.core.timers.Set(cl, now.Add(epochDelay))
}

// send asks the members that have not voted yet.
func (cl *claim) send(now time.Time) {
	cl.core.timers.Set(cl, now.Add(resendInterval))
	for _, m := range cl.record.Members {
		if _, voted := cl.votes[m.NodeID]; voted {
			continue
		}
		cl.core.Send(m.Instance, &ClaimRequest{
			Ballot: cl.ballot(m), Key: cl.key.key, Holder: cl.holder(),
			Target: cl.target, Round: cl.round, Sequence: cl.sequence,
		})
	}
}

// count decides as soon as the votes allow it.
func (cl *claim) count(now time.Time) {
	size := len(cl.record.Members)
	majority := quorum.Majority(size)
	switch yes := cl.tally(VoteYes); {
	case cl.answer != nil:
		cl.release()
		cl.finish(Result{Outcome: Replay, Answer: cl.answer})
	case yes >= majority:
		cl.grant(now)
	case size-(len(cl.votes)-yes) < majority:
		cl.lose(now)
	}
}

func (cl *claim) tally(v Vote) int {
	n := 0
	for _, vote := range cl.votes {
		if vote == v {
			n++
		}
	}
	return n
}

func (cl *claim) grant(now time.Time) {
	cl.endRound()
	cl.hold(now)
	cl.core.deliver(cl, Result{Outcome: Granted, Claim: &model.Claim{
		Customer: cl.key.key.Customer, RequestID: cl.key.key.ID,
		Group: cl.record.Group, Epoch: cl.record.Epoch,
		Attempt: cl.attempt, Holder: cl.core.self, Target: cl.target,
	}})
}

// hold keeps the claim for as long as the members keep its record.
func (cl *claim) hold(now time.Time) {
	cl.forget()
	cl.core.held[cl.key.key] = cl
	cl.core.expiry = append(cl.core.expiry, expiringClaim{cl, now.Add(RetentionTime + MaxIDAhead)})
}

// lose handles a round that can have no majority. The votes it got are given
// back. Contenders may have split the votes, and members may not have read
// the composition yet, so both are tried again.
func (cl *claim) lose(now time.Time) {
	cl.release()
	switch {
	case cl.tally(VoteClaimed) > 0:
		cl.contended++
		if cl.contended >= contentionRounds {
			cl.finish(Result{Outcome: InProgress})
			return
		}
		cl.core.timers.Set(cl, now.Add(time.Millisecond+time.Duration(cl.core.rng.Int64N(int64(contentionDelay)))))
	case cl.tally(VoteTooOld) > 0:
		cl.finish(Result{Outcome: TooOld})
	case cl.tally(VoteTooFarAhead) > 0:
		cl.finish(Result{Outcome: TooFarAhead})
	default:
		cl.core.timers.Set(cl, now.Add(cl.backOff()))
	}
}

// backOff doubles the delay between rounds without a majority, so that a
// group that is away is not asked more and more as requests pile up.
func (cl *claim) backOff() time.Duration {
	cl.delay = min(max(2*cl.delay, epochDelay), maxEpochDelay)
	return cl.delay
}

func (cl *claim) onDue(now time.Time) {
	if !now.Before(cl.deadline) {
		cl.expire()
		return
	}
	if cl.sequence != 0 {
		cl.send(now)
		return
	}
	cl.ask(now)
}

// expire ends a claim that found no majority in time.
func (cl *claim) expire() {
	outcome := Unavailable
	if cl.tally(VoteClaimed) > 0 {
		outcome = InProgress
	}
	cl.release()
	cl.finish(Result{Outcome: outcome})
}

// release gives the votes of all rounds back. Members that have not answered
// are told as well, since their vote may be on its way.
func (cl *claim) release() {
	cl.endRound()
	if cl.record == nil {
		return
	}
	for _, m := range cl.record.Members {
		cl.core.Send(m.Instance, &ClaimRelease{Ballot: cl.ballot(m), Key: cl.key.key, Holder: cl.holder(), Round: cl.round})
	}
}

func (cl *claim) endRound() {
	delete(cl.core.rounds, cl.sequence)
	cl.sequence = 0
}

func (cl *claim) finish(r Result) {
	cl.forget()
	cl.core.deliver(cl, r)
}

func (cl *claim) forget() {
	cl.endRound()
	delete(cl.core.pending, cl.key)
	cl.core.timers.Remove(cl)
	if cl.core.held[cl.key.key] == cl {
		delete(cl.core.held, cl.key.key)
	}
}
