package quorum

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/quorum"
	"github.com/oleanderworks/oleanderworks/policy/record"
)

// orders stands in for the callers, the routing duties and the targets of a
// cluster. Each order is sent several times, to entry nodes that change, also
// while an earlier send is under way.
type orders struct {
	c       *cluster
	targets map[*process]*record.HandoffHistory
	handed  map[model.RequestID]int // handoffs to targets
	sends   map[model.RequestID]int
	calls   model.CallID
	results map[record.Outcome]int
	answers map[model.RequestID]string
	faulty  []string // breaches of "not run is true" and of replays
}

func newOrders(seed uint64, size, zones int) *orders {
	o := &orders{
		targets: make(map[*process]*record.HandoffHistory), handed: make(map[model.RequestID]int),
		sends: make(map[model.RequestID]int), results: make(map[record.Outcome]int),
		answers: make(map[model.RequestID]string),
	}
	config := &model.Snapshot{Customers: map[model.Customer]*model.CustomerConfig{
		"herders": {Name: "herders", Rate: 100, Burst: 100, Home: "viti"},
	}}
	config.Fleet.Groups = 2
	o.c = newCluster(seed, size, zones, config, func(p *process) { o.targets[p] = record.NewHandoffHistory(record.MaxHandoffs) })
	return o
}

// newID makes a UUIDv7 of the caller's clock, which is up to 2 s off.
func (o *orders) newID() model.RequestID {
	var id model.RequestID
	ms := o.c.now.Add(o.c.between(-2*time.Second, 2*time.Second)).UnixMilli()
	binary.BigEndian.PutUint64(id[8:], o.c.rng.Uint64())
	binary.BigEndian.PutUint64(id[:8], uint64(ms)<<16|uint64(o.c.rng.IntN(1<<12)))
	id[6] = 0x70 | id[6]&0x0f
	id[8] = 0x80 | id[8]&0x3f
	return id
}

func (o *orders) place(id model.RequestID) {
	p := o.c.nodes[o.c.rng.IntN(len(o.c.nodes))]
	if !p.up {
		return
	}
	o.sends[id]++
	o.calls++
	o.claim(p, p.life, id, o.calls, 0)
}

// claim asks the entry node's quorum duty for a claim and hands the order to
// a random target when it is granted.
func (o *orders) claim(p *process, life int, id model.RequestID, call model.CallID, attempt int) {
	target := o.c.nodes[o.c.rng.IntN(len(o.c.nodes))]
	incarnation := target.member.NodeID
	p.enter(life, func() {
		p.handler.Handle(o.c.now, []Message{&AcquireClaim{
			CallID: call, Customer: "herders", RequestID: id, Target: incarnation, Attempt: attempt,
			Deliver: func(r record.Result) {
				o.c.after(0, func() { p.enter(life, func() { o.decided(p, life, id, call, attempt, target, incarnation, r) }) })
			},
		}})
	})
}

func (o *orders) decided(p *process, life int, id model.RequestID, call model.CallID, attempt int, target *process, inc model.NodeID, r record.Result) {
	o.results[r.Outcome]++
	switch r.Outcome {
	case record.Unavailable:
		o.notRun(id, o.sends[id] == 1, "unavailable")
	case record.Replay:
		if got := string(r.Answer.Body); got != o.answers[id] {
			o.faulty = append(o.faulty, fmt.Sprintf("%s: replayed %q, first answer %q", id, got, o.answers[id]))
		}
	case record.Granted:
		answered := false
		o.c.transmit(p.index, target.index, func() {
			o.arrive(target, inc, r.Claim, func(run bool) {
				o.c.transmit(target.index, p.index, func() {
					if !answered {
						answered = true
						p.enter(life, func() { o.answered(p, life, call, attempt, r.Claim, run) })
					}
				})
			})
		})
	}
}

// arrive is the fence at the target's node. Some calls are refused after it.
func (o *orders) arrive(target *process, inc model.NodeID, claim *model.Claim, answer func(run bool)) {
	if !target.up || target.paused || target.member.NodeID != inc {
		return
	}
	seen := o.targets[target]
	if seen.Check(o.c.now, claim) != record.FirstHandoff {
		return
	}
	if o.c.rng.IntN(5) == 0 {
		seen.MarkRefused(claim)
		answer(false)
		return
	}
	o.handed[claim.RequestID]++
	life := target.life
	o.c.after(o.c.between(0, 300*time.Millisecond), func() {
		target.enter(life, func() { answer(true) })
	})
}

func (o *orders) answered(p *process, life int, call model.CallID, attempt int, claim *model.Claim, run bool) {
	switch {
	case run:
		text := fmt.Sprint("answer ", o.handed[claim.RequestID])
		o.answers[claim.RequestID] = text
		a := &model.Answer{Run: model.Completed, Status: 201, Body: []byte(text)}
		p.handler.Handle(o.c.now, []Message{&CompleteClaim{Claim: claim, Answer: a}})
	case attempt < 2:
		o.claim(p, life, claim.RequestID, call, attempt+1)
	default:
		o.notRun(claim.RequestID, true, "refused by all targets")
		p.handler.Handle(o.c.now, []Message{&ReleaseClaim{Claim: claim}})
	}
}

// notRun checks a refusal that tells the caller that the order did not run.
func (o *orders) notRun(id model.RequestID, told bool, why string) {
	if told && o.handed[id] > 0 {
		o.faulty = append(o.faulty, fmt.Sprintf("%s: told not run (%s) after it was handed over", id, why))
	}
}

// traffic places an order every 40 ms on average, each up to four times.
func (o *orders) traffic() {
	var step func()
	step = func() {
		id := o.newID()
		o.place(id)
		for range o.c.rng.IntN(4) {
			limit := []time.Duration{2 * time.Millisecond, time.Second, 20 * time.Second}[o.c.rng.IntN(3)]
			o.c.after(o.c.between(0, limit), func() { o.place(id) })
		}
		o.c.after(time.Duration(o.c.rng.ExpFloat64()*float64(40*time.Millisecond)), step)
	}
	o.c.after(0, step)
}

// run disturbs the fleet and returns the first breach, or "".
func (o *orders) run(disturbances int) string {
	o.c.run(2 * time.Second)
	o.traffic()
	for range disturbances {
		o.c.run(o.c.between(0, 6*time.Second))
		if breach := o.breach(); breach != "" {
			return breach
		}
		o.c.disturb()
	}
	o.c.run(8 * time.Second)
	return o.breach()
}

func (o *orders) breach() string {
	for id, n := range o.handed {
		if n > 1 {
			return fmt.Sprintf("%s was handed over %d times", id, n)
		}
	}
	if len(o.faulty) > 0 {
		return o.faulty[0]
	}
	return o.c.breach
}

func onceRun(seed uint64) *orders {
	rng := rand.New(rand.NewPCG(seed, 1))
	o := newOrders(seed, 1+rng.IntN(6), 1+rng.IntN(3))
	o.c.link = randomFaults(rng)
	return o
}

// Guards against a second handoff of one request, against "not run" for a
// request that was handed over and against replays of another answer, with
// lost and late answers, crossed sends, restarts, pauses, splits, changed
// compositions and a log that is down.
func TestHandedOverAtMostOnce(t *testing.T) {
	t.Parallel()
	total := make(map[record.Outcome]int)
	for seed := range uint64(*seeds) {
		o := onceRun(seed)
		assert.Equal(t, o.run(6), "", "seed %d", seed)
		for outcome, n := range o.results {
			total[outcome] += n
		}
	}
	t.Logf("outcomes (granted, in progress, replay, too old, unavailable, too far): %v", total)
	assert.Assert(t, total[record.Granted] > 500 && total[record.Replay] > 100, "%v", total)
}

// Guards against a test that could not fail: with each mutation of the
// protocol it finds a breach within the seeds.
func TestMutationsAreFound(t *testing.T) {
	t.Parallel()
	mutations := map[string]func(c *cluster, from, to int, m quorum.Message) []forgery{
		"majority of one":       majorityOfOne,
		"no seal":               withoutSeal,
		"records are forgotten": forgetRecords,
	}
	for name, mutate := range mutations {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(mutationSeeds) {
				o := onceRun(seed)
				o.c.rewrite = func(from, to int, m quorum.Message) []forgery { return mutate(o.c, from, to, m) }
				if breach := o.run(6); breach != "" {
					t.Logf("seed %d: %s", seed, breach)
					return
				}
			}
			t.Fatal("no breach was found")
		})
	}
}

const mutationSeeds = 200

func honest(c *cluster, from int, m quorum.Message) []forgery {
	return []forgery{{c.nodes[from].member.Instance, m}}
}

// majorityOfOne lets one member's vote stand for all.
func majorityOfOne(c *cluster, from, _ int, m quorum.Message) []forgery {
	a, ok := m.(*record.ClaimAnswer)
	if !ok || a.Vote != record.VoteYes {
		return honest(c, from, m)
	}
	var out []forgery
	for _, r := range c.epochs[a.Ballot.Key] {
		for _, member := range r.Members {
			forged := *a
			forged.Ballot.Voter = member.NodeID
			if r.Epoch == a.Ballot.Epoch {
				out = append(out, forgery{member.Instance, &forged})
			}
		}
	}
	return out
}

// withoutSeal answers requests to seal in place of the voter, which does not
// learn of them.
func withoutSeal(c *cluster, from, to int, m quorum.Message) []forgery {
	r, ok := m.(*quorum.SealRequest)
	if !ok || !c.nodes[to].up {
		return honest(c, from, m)
	}
	a := &quorum.SealAnswer{Ballot: r.Ballot, Status: quorum.VoterSealed, Time: r.Time, Voter: r.Ballot.Voter, Remaining: quorum.PromiseLifetime}
	c.carry(c.nodes[to], c.nodes[from], c.nodes[to].member.Instance, a)
	return nil
}

// forgetRecords turns a refusal into a vote.
func forgetRecords(c *cluster, from, _ int, m quorum.Message) []forgery {
	if a, ok := m.(*record.ClaimAnswer); ok && a.Vote == record.VoteClaimed {
		forged := *a
		forged.Vote = record.VoteYes
		m = &forged
	}
	return honest(c, from, m)
}
