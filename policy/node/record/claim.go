package record

import (
	"time"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/quorum"
)

// claim is the claim of one call, at the call's entry node. It requests the
// members' votes in rounds until it has a majority or is refused.
type claim struct {
	claimant *Claimant
	key      callKey
	target   model.NodeID
	attempt  int
	deliver  func(Result)

	composition     *model.GroupRecord // composition asked in the latest round; nil before the first
	round           int
	sequence        uint64 // sequence number of the current round; 0 between rounds
	votes           map[model.NodeID]Vote
	answer          *model.Answer // the target's first answer; set when a member votes VoteCompleted
	contendedRounds int
	roundDelay      time.Duration
	deadline        time.Time
}

func (cl *claim) holder() Holder { return Holder{Node: cl.claimant.self, Call: cl.key.call} }

func (cl *claim) group() model.GroupKey {
	return model.GroupKey{Region: cl.composition.Region, Group: cl.composition.Group}
}

func (cl *claim) ballot(m model.Member) quorum.Ballot {
	return quorum.Ballot{Group: cl.group(), Epoch: cl.composition.Epoch, Voter: m.NodeID}
}

// startRound starts a round of voting among the members of the epoch to which
// the request id belongs.
func (cl *claim) startRound(now time.Time) {
	d := cl.claimant.directory
	group := d.RecordGroup(cl.key.request.Customer, cl.key.request.ID)
	composition := d.CompositionAt(group, model.RequestIDTime(cl.key.request.ID))
	if composition == nil {
		cl.handleNoComposition(now, len(d.Compositions(group)) > 0)
		return
	}
	cl.claimant.sequence++
	cl.composition, cl.sequence = composition, cl.claimant.sequence
	cl.round++
	cl.votes = make(map[model.NodeID]Vote)
	cl.claimant.openRounds[cl.sequence] = cl
	cl.sendRequests(now)
}

// handleNoComposition waits for the first composition of the group. If the
// group has compositions but the id is older than all of them, the claim is
// refused, since the request may have run under a composition that is no longer
// in the configuration.
func (cl *claim) handleNoComposition(now time.Time, hasCompositions bool) {
	if hasCompositions {
		cl.finish(Result{Outcome: TooOld})
		return
	}
	cl.claimant.timers.Set(cl, now.Add(minRoundDelay))
}

// sendRequests sends a claim request to the members that have not voted in this
// round.
func (cl *claim) sendRequests(now time.Time) {
	cl.claimant.timers.Set(cl, now.Add(resendInterval))
	for _, m := range cl.composition.Members {
		if _, voted := cl.votes[m.NodeID]; voted {
			continue
		}
		cl.claimant.Send(m.Instance, &ClaimRequest{
			Ballot: cl.ballot(m), Key: cl.key.request, Holder: cl.holder(),
			Target: cl.target, Round: cl.round, Sequence: cl.sequence,
		})
	}
}

// evaluateVotes ends the round once the votes determine its result.
func (cl *claim) evaluateVotes(now time.Time) {
	size := len(cl.composition.Members)
	majority := quorum.Majority(size)
	switch yes := cl.countVotes(VoteYes); {
	case cl.answer != nil:
		cl.releaseVotes()
		cl.finish(Result{Outcome: Replay, Answer: cl.answer})
	case yes >= majority:
		cl.grant(now)
	case size-(len(cl.votes)-yes) < majority:
		cl.handleNoMajority(now)
	}
}

func (cl *claim) countVotes(v Vote) int {
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
	cl.markGranted(now)
	cl.claimant.deliver(cl, Result{Outcome: Granted, Claim: &model.Claim{
		Customer: cl.key.request.Customer, RequestID: cl.key.request.ID,
		Group: cl.composition.Group, Epoch: cl.composition.Epoch,
		Attempt: cl.attempt, Holder: cl.claimant.self, Target: cl.target,
	}})
}

// markGranted moves the claim to the granted ones, where it is kept for at
// least as long as the members keep its record.
func (cl *claim) markGranted(now time.Time) {
	cl.remove()
	cl.claimant.granted[cl.key.request] = cl
	cl.claimant.grantedExpiries = append(cl.claimant.grantedExpiries, claimExpiry{cl, now.Add(RetentionTime + MaxIDAhead)})
}

// handleNoMajority ends a round that cannot reach a majority and releases its
// votes. If a member voted for another claim, another round follows after a
// short random delay, up to maxContendedRounds. An id that is too old or too
// far ahead ends the claim. After any other refusal (unknown or sealed epoch,
// no room, voter retired or restarted) another round follows after a growing
// delay, until the claim times out.
func (cl *claim) handleNoMajority(now time.Time) {
	cl.releaseVotes()
	switch {
	case cl.countVotes(VoteClaimed) > 0:
		cl.contendedRounds++
		if cl.contendedRounds >= maxContendedRounds {
			cl.finish(Result{Outcome: InProgress})
			return
		}
		cl.claimant.timers.Set(cl, now.Add(time.Millisecond+time.Duration(cl.claimant.rng.Int64N(int64(maxContentionDelay)))))
	case cl.countVotes(VoteTooOld) > 0:
		cl.finish(Result{Outcome: TooOld})
	case cl.countVotes(VoteTooFarAhead) > 0:
		cl.finish(Result{Outcome: TooFarAhead})
	default:
		cl.claimant.timers.Set(cl, now.Add(cl.nextRoundDelay()))
	}
}

// nextRoundDelay doubles the delay between rounds without a majority, up to
// maxRoundDelay. This limits the messages to an unreachable group while the
// number of waiting requests grows.
func (cl *claim) nextRoundDelay() time.Duration {
	cl.roundDelay = min(max(2*cl.roundDelay, minRoundDelay), maxRoundDelay)
	return cl.roundDelay
}

func (cl *claim) handleTimer(now time.Time) {
	if !now.Before(cl.deadline) {
		cl.timeOut()
		return
	}
	if cl.sequence != 0 {
		cl.sendRequests(now)
		return
	}
	cl.startRound(now)
}

// timeOut ends a claim that got no majority in time.
func (cl *claim) timeOut() {
	outcome := Unavailable
	if cl.countVotes(VoteClaimed) > 0 {
		outcome = InProgress
	}
	cl.releaseVotes()
	cl.finish(Result{Outcome: outcome})
}

// releaseVotes releases the votes of all rounds. The release is also sent to
// members that have not answered, since their votes may still be in transit.
func (cl *claim) releaseVotes() {
	cl.endRound()
	if cl.composition == nil {
		return
	}
	for _, m := range cl.composition.Members {
		cl.claimant.Send(m.Instance, &ClaimRelease{Ballot: cl.ballot(m), Key: cl.key.request, Holder: cl.holder(), Round: cl.round})
	}
}

func (cl *claim) endRound() {
	delete(cl.claimant.openRounds, cl.sequence)
	cl.sequence = 0
}

func (cl *claim) finish(r Result) {
	cl.remove()
	cl.claimant.deliver(cl, r)
}

func (cl *claim) remove() {
	cl.endRound()
	delete(cl.claimant.pending, cl.key)
	cl.claimant.timers.Remove(cl)
	if cl.claimant.granted[cl.key.request] == cl {
		delete(cl.claimant.granted, cl.key.request)
	}
}
