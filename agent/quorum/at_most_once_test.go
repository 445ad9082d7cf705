package quorum

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/quorum"
	"github.com/oleanderworks/oleanderworks/policy/node/record"
)

// claimWorkload simulates the callers, routing duties and targets of a cluster.
// Each request may be sent several times, to different entry nodes, also while
// an earlier send is in progress.
type claimWorkload struct {
	c              *cluster
	handoffHistory map[*simProcess]*record.HandoffHistory
	handoffs       map[model.RequestID]int // handoffs to targets
	sends          map[model.RequestID]int
	calls          model.CallID
	results        map[record.Outcome]int
	answers        map[model.RequestID]string
	violations     []string // wrong "not run" answers and wrong replays
}

func newClaimWorkload(seed uint64, size, zones int) *claimWorkload {
	w := &claimWorkload{
		handoffHistory: make(map[*simProcess]*record.HandoffHistory), handoffs: make(map[model.RequestID]int),
		sends: make(map[model.RequestID]int), results: make(map[record.Outcome]int),
		answers: make(map[model.RequestID]string),
	}
	config := &model.Snapshot{Customers: map[model.Customer]*model.CustomerConfig{
		"herders": {Name: "herders", Rate: 100, Burst: 100, Home: "viti"},
	}}
	config.Fleet.Groups = 2
	w.c = newCluster(seed, size, zones, config, func(p *simProcess) { w.handoffHistory[p] = record.NewHandoffHistory(record.MaxHandoffs) })
	return w
}

// newID returns a UUIDv7 with the time of the caller's clock, which deviates by
// up to 2 s.
func (w *claimWorkload) newID() model.RequestID {
	var id model.RequestID
	ms := w.c.now.Add(w.c.randomBetween(-2*time.Second, 2*time.Second)).UnixMilli()
	binary.BigEndian.PutUint64(id[8:], w.c.rng.Uint64())
	binary.BigEndian.PutUint64(id[:8], uint64(ms)<<16|uint64(w.c.rng.IntN(1<<12)))
	id[6] = 0x70 | id[6]&0x0f
	id[8] = 0x80 | id[8]&0x3f
	return id
}

func (w *claimWorkload) send(id model.RequestID) {
	p := w.c.nodes[w.c.rng.IntN(len(w.c.nodes))]
	if !p.up {
		return
	}
	w.sends[id]++
	w.calls++
	w.claim(p, p.generation, id, w.calls, 0)
}

// claim requests a claim from the entry node's quorum duty and, when it is
// granted, sends the request to a random target.
func (w *claimWorkload) claim(p *simProcess, gen int, id model.RequestID, call model.CallID, attempt int) {
	target := w.c.nodes[w.c.rng.IntN(len(w.c.nodes))]
	targetID := target.member.NodeID
	p.execute(gen, func() {
		p.handler.Handle(w.c.now, []Message{&AcquireClaim{
			CallID: call, Customer: "herders", RequestID: id, Target: targetID, Attempt: attempt,
			Deliver: func(r record.Result) {
				w.c.after(0, func() { p.execute(gen, func() { w.onResult(p, gen, id, call, attempt, target, targetID, r) }) })
			},
		}})
	})
}

func (w *claimWorkload) onResult(p *simProcess, generation int, id model.RequestID, call model.CallID, attempt int, target *simProcess, targetID model.NodeID, r record.Result) {
	w.results[r.Outcome]++
	switch r.Outcome {
	case record.Unavailable:
		w.checkNotRun(id, w.sends[id] == 1, "unavailable")
	case record.Replay:
		if got := string(r.Answer.Body); got != w.answers[id] {
			w.violations = append(w.violations, fmt.Sprintf("%s: replayed %q, first answer %q", id, got, w.answers[id]))
		}
	case record.Granted:
		answered := false
		w.c.transmit(p.index, target.index, func() {
			w.onHandoff(target, targetID, r.Claim, func(run bool) {
				w.c.transmit(target.index, p.index, func() {
					if !answered {
						answered = true
						p.execute(generation, func() { w.onAnswer(p, generation, call, attempt, r.Claim, run) })
					}
				})
			})
		})
	}
}

// onHandoff handles a request at the target's node, which runs it only if it is
// the first handoff. Some requests are refused after that check.
func (w *claimWorkload) onHandoff(target *simProcess, targetID model.NodeID, claim *model.Claim, answer func(run bool)) {
	if !target.up || target.paused || target.member.NodeID != targetID {
		return
	}
	history := w.handoffHistory[target]
	if history.Check(w.c.now, claim) != record.FirstHandoff {
		return
	}
	if w.c.rng.IntN(5) == 0 {
		history.MarkRefused(claim)
		answer(false)
		return
	}
	w.handoffs[claim.RequestID]++
	generation := target.generation
	w.c.after(w.c.randomBetween(0, 300*time.Millisecond), func() {
		target.execute(generation, func() { answer(true) })
	})
}

func (w *claimWorkload) onAnswer(p *simProcess, generation int, call model.CallID, attempt int, claim *model.Claim, run bool) {
	switch {
	case run:
		text := fmt.Sprint("answer ", w.handoffs[claim.RequestID])
		w.answers[claim.RequestID] = text
		a := &model.Answer{Run: model.Completed, Status: 201, Body: []byte(text)}
		p.handler.Handle(w.c.now, []Message{&CompleteClaim{Claim: claim, Answer: a}})
	case attempt < 2:
		w.claim(p, generation, claim.RequestID, call, attempt+1)
	default:
		w.checkNotRun(claim.RequestID, true, "refused by all targets")
		p.handler.Handle(w.c.now, []Message{&ReleaseClaim{Claim: claim}})
	}
}

// checkNotRun checks a refusal. If the caller is told that the request did not
// run, it must not have been handed to a target.
func (w *claimWorkload) checkNotRun(id model.RequestID, toldNotRun bool, reason string) {
	if toldNotRun && w.handoffs[id] > 0 {
		w.violations = append(w.violations, fmt.Sprintf("%s: told not run (%s) after it was handed over", id, reason))
	}
}

// startTraffic sends a new request every 40 ms on average, each up to four times.
func (w *claimWorkload) startTraffic() {
	var step func()
	step = func() {
		id := w.newID()
		w.send(id)
		for range w.c.rng.IntN(4) {
			limit := []time.Duration{2 * time.Millisecond, time.Second, 20 * time.Second}[w.c.rng.IntN(3)]
			w.c.after(w.c.randomBetween(0, limit), func() { w.send(id) })
		}
		w.c.after(time.Duration(w.c.rng.ExpFloat64()*float64(40*time.Millisecond)), step)
	}
	w.c.after(0, step)
}

// run runs the workload while faults are injected, and returns the first
// violation, or "".
func (w *claimWorkload) run(faults int) string {
	w.c.run(2 * time.Second)
	w.startTraffic()
	for range faults {
		w.c.run(w.c.randomBetween(0, 6*time.Second))
		if violation := w.violation(); violation != "" {
			return violation
		}
		w.c.injectFault()
	}
	w.c.run(8 * time.Second)
	return w.violation()
}

func (w *claimWorkload) violation() string {
	for id, n := range w.handoffs {
		if n > 1 {
			return fmt.Sprintf("%s was handed over %d times", id, n)
		}
	}
	if len(w.violations) > 0 {
		return w.violations[0]
	}
	return w.c.violation
}

func newFaultyClaimWorkload(seed uint64) *claimWorkload {
	rng := rand.New(rand.NewPCG(seed, 1))
	w := newClaimWorkload(seed, 1+rng.IntN(6), 1+rng.IntN(3))
	w.c.faults = randomFaults(rng)
	return w
}

// Guards against a second handoff of one request to a target, against "not run"
// for a request that was handed over, and against replays of a wrong answer,
// under lost and late messages, concurrent sends of a request, restarts, pauses,
// network partitions, changes of composition and outages of the log.
func TestHandedOverAtMostOnce(t *testing.T) {
	t.Parallel()
	total := make(map[record.Outcome]int)
	for seed := range uint64(*seeds) {
		w := newFaultyClaimWorkload(seed)
		assert.Equal(t, w.run(6), "", "seed %d", seed)
		for outcome, n := range w.results {
			total[outcome] += n
		}
	}
	t.Logf("results by record.Outcome (0 granted, 1 in progress, 2 replay, 3 too old, 4 unavailable, 5 too far ahead): %v", total)
	assert.Assert(t, total[record.Granted] > 500 && total[record.Replay] > 100, "%v", total)
}

// Guards against a workload that does not detect faults of the protocol: the
// checks of TestHandedOverAtMostOnce must detect each mutation with one of the
// seeds.
func TestMutationsAreDetected(t *testing.T) {
	t.Parallel()
	mutations := map[string]func(c *cluster, from, to int, m quorum.Message) []outgoing{
		"majority of one":       majorityOfOne,
		"no seal":               skipSeal,
		"records are forgotten": forgetRecords,
	}
	for name, mutate := range mutations {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(mutationSeeds) {
				w := newFaultyClaimWorkload(seed)
				w.c.mutation = func(from, to int, m quorum.Message) []outgoing { return mutate(w.c, from, to, m) }
				if violation := w.run(6); violation != "" {
					t.Logf("seed %d: %s", seed, violation)
					return
				}
			}
			t.Fatal("no seed detected the mutation")
		})
	}
}

const mutationSeeds = 200

func unchanged(c *cluster, from int, m quorum.Message) []outgoing {
	return []outgoing{{c.nodes[from].member.Instance, m}}
}

// majorityOfOne lets one member's vote count for all members.
func majorityOfOne(c *cluster, from, _ int, m quorum.Message) []outgoing {
	a, ok := m.(*record.ClaimAnswer)
	if !ok || a.Vote != record.VoteYes {
		return unchanged(c, from, m)
	}
	var out []outgoing
	for _, r := range c.epochs[a.Ballot.Group] {
		for _, member := range r.Members {
			forged := *a
			forged.Ballot.Voter = member.NodeID
			if r.Epoch == a.Ballot.Epoch {
				out = append(out, outgoing{member.Instance, &forged})
			}
		}
	}
	return out
}

// skipSeal answers a seal request in place of the voter, which does not receive
// the request and continues to vote.
func skipSeal(c *cluster, from, to int, m quorum.Message) []outgoing {
	r, ok := m.(*quorum.SealRequest)
	if !ok || !c.nodes[to].up {
		return unchanged(c, from, m)
	}
	a := &quorum.SealAnswer{Ballot: r.Ballot, Status: quorum.VoterSealed, Time: r.Time, Voter: r.Ballot.Voter, Remaining: quorum.PromiseLifetime}
	c.transmitMessage(c.nodes[to], c.nodes[from], c.nodes[to].member.Instance, a)
	return nil
}

// forgetRecords replaces the refusal of a claim for an already claimed request
// by a vote for the claim.
func forgetRecords(c *cluster, from, _ int, m quorum.Message) []outgoing {
	if a, ok := m.(*record.ClaimAnswer); ok && a.Vote == record.VoteClaimed {
		forged := *a
		forged.Vote = record.VoteYes
		m = &forged
	}
	return unchanged(c, from, m)
}
