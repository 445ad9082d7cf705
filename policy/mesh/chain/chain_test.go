package chain

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
)

// play is a service behind the first one, with a fixed number of slots, that the requests of
// one route call several times in sequence. Each step is 10 ms long.
type play struct {
	core     *Core
	now      time.Time
	rng      *rand.Rand
	slots    int
	callTime time.Duration
	calls    int
	active   []*activeRequest
	running  int
	arrived  float64
	shed     float64

	begun, completed, refused map[model.Customer]int
}

type activeRequest struct {
	customer model.Customer
	readyAt  time.Time // when its next call arrives, or its running call ends
	waitedAt time.Time // since when its call waits
	state    int       // 0 before its next call, 1 waits for a slot, 2 runs
	left     int
}

const (
	testService  = model.Service("ledger")
	testStep     = 10 * time.Millisecond
	testWait     = 600 * time.Millisecond // time after which a waiting call is refused
	testOwnWork  = 300 * time.Millisecond // before the first call
	testReports  = 250 * time.Millisecond // age of reports
	testCallTime = 80 * time.Millisecond
)

func newPlay(seed uint64, slots int, limited bool) *play {
	p := &play{
		now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 1)), slots: slots, callTime: testCallTime, calls: 4,
		begun: map[model.Customer]int{}, completed: map[model.Customer]int{}, refused: map[model.Customer]int{},
	}
	load, at := ServiceLoad{}, p.now
	p.core = New(func(now time.Time, _ model.Service) ServiceLoad {
		if now.Sub(at) >= testReports {
			at = now
			load = ServiceLoad{Targets: 1, Running: p.running, Nested: p.running, Limit: p.slots, ShedFraction: p.shed / max(p.arrived, 1), QueueDelay: p.queueDelay()}
		}
		if !limited {
			return ServiceLoad{}
		}
		return load
	}, rand.New(rand.NewPCG(seed, 2)))
	for range 50 {
		p.core.OnCompleted("view", "front", []model.ServiceWork{
			{Service: "front", Calls: 1, SlotTime: time.Second}, {Service: testService, Calls: 4, SlotTime: 4 * testCallTime},
		})
	}
	return p
}

func (p *play) queueDelay() time.Duration {
	var sum time.Duration
	n := 0
	for _, a := range p.active {
		if a.state == 1 {
			sum += p.now.Sub(a.waitedAt)
			n++
		}
	}
	return sum / time.Duration(max(n, 1))
}

// run plays for a time; arrivals gives the requests per second of each customer.
func (p *play) run(d time.Duration, priority int, arrivals map[model.Customer]float64) {
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(testStep) {
		p.arrived, p.shed = p.arrived*0.975, p.shed*0.975
		for _, name := range []model.Customer{"large", "small"} {
			for n := arrivals[name] * testStep.Seconds(); n > 0; n-- {
				if n < 1 && p.rng.Float64() >= n {
					break
				}
				if p.core.Admit(p.now, Request{Route: "view", Priority: priority, Customer: name}) != nil {
					p.refused[name]++
					continue
				}
				p.begun[name]++
				p.active = append(p.active, &activeRequest{customer: name, readyAt: p.now.Add(testOwnWork), left: p.calls})
			}
		}
		p.step()
	}
}

func (p *play) step() {
	kept := p.active[:0]
	for _, a := range p.active {
		if a.state == 2 && !p.now.Before(a.readyAt) {
			p.running--
			a.state, a.left, a.readyAt = 0, a.left-1, p.now.Add(testStep)
		}
		if a.state == 0 && a.left == 0 {
			p.completed[a.customer]++
			continue
		}
		if a.state == 0 && !p.now.Before(a.readyAt) {
			a.state, a.waitedAt = 1, p.now
			p.arrived++
		}
		if a.state == 1 && p.now.Sub(a.waitedAt) > testWait {
			p.shed++
			continue // the call is refused, and its request fails
		}
		if a.state == 1 && p.running < p.slots {
			p.running++
			a.state, a.readyAt = 2, p.now.Add(p.callTime)
		}
		kept = append(kept, a)
	}
	p.rng.Shuffle(len(kept), func(i, j int) { kept[i], kept[j] = kept[j], kept[i] })
	p.active = kept
}

func (p *play) total(m map[model.Customer]int) int { return m["large"] + m["small"] }

// Guards against chains that are begun although the last service cannot take their calls:
// their work is wasted and fewer requests complete.
func TestOverloadedLastServiceCompletesMoreRequests(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		// 64 slots bear 200 requests of 4 calls of 80 ms a second; 320 are asked.
		demand := map[model.Customer]float64{"large": 240, "small": 80}
		limited, unlimited := newPlay(seed, 64, true), newPlay(seed, 64, false)
		limited.run(20*time.Second, 0, demand)
		unlimited.run(20*time.Second, 0, demand)
		t.Logf("seed %d: completed %d limited, %d unlimited; begun %d, %d", seed,
			limited.total(limited.completed), unlimited.total(unlimited.completed), limited.total(limited.begun), unlimited.total(unlimited.begun))
		assert.Assert(t, limited.total(limited.completed) > 20*200*85/100)
		assert.Assert(t, limited.total(limited.completed) > unlimited.total(unlimited.completed)*12/10)
		assert.Assert(t, limited.total(limited.completed) > limited.total(limited.begun)*85/100, "requests that fail halfway")
		assert.Assert(t, limited.completed["small"] > 20*80*3/4, "a customer below its fair share: %v", limited.completed)
	}
}

// Guards against a limit that stays after the overload, and against refusals without one.
func TestLimitOpensWithinThreeSecondsAfterOverload(t *testing.T) {
	p := newPlay(7, 64, true)
	p.run(5*time.Second, 0, map[model.Customer]float64{"large": 120, "small": 40})
	assert.Equal(t, p.total(p.refused), 0)
	p.run(6*time.Second, 0, map[model.Customer]float64{"large": 480, "small": 120})
	assert.Assert(t, p.core.Limits()[0].Fraction < 0.6, "fraction %.2f", p.core.Limits()[0].Fraction)
	p.run(3*time.Second, 0, map[model.Customer]float64{"large": 120, "small": 40})
	refused, begun := p.total(p.refused), p.total(p.begun)
	p.run(2*time.Second, 0, map[model.Customer]float64{"large": 120, "small": 40})
	refused, begun = p.total(p.refused)-refused, p.total(p.begun)-begun
	assert.Assert(t, refused*9 <= begun, "%d refused, %d begun", refused, begun)
}

// Guards against requests of low priority that take the place of those of high priority, and
// against a low priority that starves.
func TestHighPriorityIsRefusedLast(t *testing.T) {
	var d demand
	rng := rand.New(rand.NewPCG(3, 3))
	now := time.Unix(0, 0)
	admitted := map[int]int{}
	for i := range 20_000 {
		now = now.Add(time.Millisecond)
		for priority := range 2 {
			r := Request{Priority: priority, Customer: "a"}
			if d.offer(now, rng, r, 0.3, 0.5) && i >= 10_000 {
				admitted[priority]++
			}
		}
		if i%100 == 0 {
			d.divide(now, 0.5)
		}
	}
	assert.Assert(t, admitted[0] > 8_000, "%v", admitted)
	assert.Assert(t, admitted[1] > 1_200 && admitted[1] < 2_200, "%v", admitted)
}

// Guards against refusals because of targets that turn calls away, or take them slowly while
// they are cold, although they have room, and because of reports that are missing.
func TestRejectionsWithoutLoadAndStaleReportsLimitNothing(t *testing.T) {
	load := ServiceLoad{Targets: 4, Running: 40, Limit: 200, ShedFraction: 0.55}
	c := New(func(time.Time, model.Service) ServiceLoad { return load }, rand.New(rand.NewPCG(1, 1)))
	c.OnCompleted("view", "front", []model.ServiceWork{{Service: "front", SlotTime: time.Second}, {Service: testService, SlotTime: time.Second}})
	now := time.Unix(0, 0)
	admitAll := func() {
		for range 1000 {
			now = now.Add(10 * time.Millisecond)
			assert.Assert(t, c.Admit(now, Request{Route: "view", Customer: "a"}) == nil)
		}
	}
	admitAll()
	load.QueueDelay = 500 * time.Millisecond // cold targets
	admitAll()
	load = ServiceLoad{}
	admitAll()
}

// Guards against callers that are all asked to return at the same time, or in another order.
func TestRefusedCallersReturnInOrder(t *testing.T) {
	load := ServiceLoad{Targets: 1, Running: 100, Limit: 100, ShedFraction: 0.9}
	c := New(func(time.Time, model.Service) ServiceLoad { return load }, rand.New(rand.NewPCG(1, 1)))
	c.OnCompleted("view", "front", []model.ServiceWork{{Service: "front", SlotTime: time.Second}, {Service: testService, SlotTime: time.Second}})
	now, last, times := time.Unix(0, 0), time.Time{}, map[time.Time]int{}
	for range 400 {
		now = now.Add(10 * time.Millisecond)
		r := c.Admit(now, Request{Route: "view", Customer: "a"})
		if r == nil {
			continue
		}
		assert.Assert(t, r.RetryAfter >= minReturnDelay && r.RetryAfter <= maxReturnDelay)
		at := now.Add(r.RetryAfter)
		assert.Assert(t, !at.Before(last))
		last = at
		times[at]++
	}
	assert.Assert(t, len(times) > 100)
}

// Guards against customers that are never served while two services on the path are limited,
// because the two limits admit different ones of their requests.
func TestTwoLimitsAdmitTheSameRequests(t *testing.T) {
	load := ServiceLoad{Targets: 1, Running: 100, Limit: 100, ShedFraction: 1}
	c := New(func(time.Time, model.Service) ServiceLoad { return load }, rand.New(rand.NewPCG(1, 1)))
	c.OnCompleted("view", "front", []model.ServiceWork{
		{Service: "front", SlotTime: time.Second}, {Service: "rates", SlotTime: time.Second}, {Service: testService, SlotTime: time.Second},
	})
	now, begun := time.Unix(0, 0), map[model.Customer]int{}
	customers := []model.Customer{"a", "b", "c", "d", "e", "f", "g", "h"}
	const rounds = 4000
	for range rounds {
		now = now.Add(10 * time.Millisecond)
		for _, name := range customers {
			if c.Admit(now, Request{Route: "view", Customer: name}) == nil {
				begun[name]++
			}
		}
	}
	for _, name := range customers {
		assert.Check(t, begun[name] >= rounds*minFraction*9/10 && begun[name] <= rounds*minFraction*12/10, "%s: %v", name, begun)
	}
}
