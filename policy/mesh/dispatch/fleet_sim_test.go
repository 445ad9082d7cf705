package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oleanderworks/oleanderworks/core/timers"
	"github.com/oleanderworks/oleanderworks/model"
)

// choice is a way to choose the target of a call.
type choice func(s *targetSet, now time.Time, call *model.Call) *target

// fleetSim simulates the nodes and the targets of one service in virtual time.
type fleetSim struct {
	zoneSizes   []int     // targets of each availability zone
	speeds      []float64 // of the targets, in turn
	utilization float64   // calls that arrive, as a fraction of what the targets can bear
	wave        float64   // part by which the demand rises and falls
	slowPart    float64   // fraction of the targets that are slow at a time
	nested      bool
	objective   time.Duration
	length      time.Duration
	choose      choice

	rng     *rand.Rand
	now     time.Time
	events  *timers.Queue[*func()]
	nodes   []*targetSet
	targets map[model.Instance]*simTarget
	order   []*simTarget
	result  simResult
}

// simResult holds what a simulation measured.
type simResult struct {
	busiest  float64       // calls of the busiest target, as a multiple of the mean of its service, relative to what each can bear; mean over the seconds
	p99Wait  time.Duration // for a slot
	meanTime time.Duration // until the end of a call
	leftZone float64       // fraction of the calls
	waits    []time.Duration
	left     int
	timeSum  time.Duration
	seconds  []float64 // busiest, in each second
	turns    int       // changes of direction, by at least 0.1, of the part of a zone's calls that leaves it
	spans    map[model.Zone]*simSpan
}

// simSpan counts the calls of a zone's nodes in a short time.
type simSpan struct {
	calls, left int
	extreme     float64 // part that left, at the latest change of direction or beyond it
	rising      bool
}

func (r simResult) String() string {
	return fmt.Sprintf("busiest %.2f, p99 wait %v, mean time %v, left zone %.3f, turns %d", r.busiest, r.p99Wait.Round(time.Millisecond), r.meanTime.Round(100*time.Microsecond), r.leftZone, r.turns)
}

type simTarget struct {
	report           model.NodeReport
	speed            float64
	slowUntil        time.Time
	running, arrived int
	meanRunTime      float64 // seconds
	queue            []*simCall
	sentLoad         int // load as last reported to other zones
	sentAt           time.Time
}

type simCall struct {
	target           *target
	arrivedAt, ranAt time.Time
	travel           time.Duration
}

const (
	simLimit        = 68 // of each target
	simRunTime      = 81 * time.Millisecond
	reportEvery     = 250 * time.Millisecond
	simNodesPerZone = 20
	simZoneDelay    = 900 * time.Microsecond // between availability zones, each way
	simSlowFactor   = 2.5
	simSlowFor      = 600 * time.Millisecond
	simWavePeriod   = 11 * time.Second
	simSpanLength   = 250 * time.Millisecond
	simWarmUp       = 2 * time.Second
)

func (f *fleetSim) after(d time.Duration, do func()) {
	f.events.Set(&do, f.now.Add(d))
}

func (f *fleetSim) run(seed uint64) simResult {
	f.rng, f.now, f.targets = rand.New(rand.NewPCG(seed, 7)), start, make(map[model.Instance]*simTarget)
	f.result.spans, f.events = make(map[model.Zone]*simSpan), timers.New[*func()]()
	for zone, size := range f.zoneSizes {
		name := model.Zone(fmt.Sprint("z", zone))
		f.result.spans[name] = &simSpan{rising: true}
		for range simNodesPerZone {
			rng := rand.New(rand.NewPCG(f.rng.Uint64(), 1))
			f.nodes = append(f.nodes, newTargetSet("", name, rng))
		}
		for range size {
			i := len(f.order)
			t := &simTarget{speed: f.speeds[i%len(f.speeds)]}
			t.meanRunTime = simRunTime.Seconds() / t.speed
			t.report = *report(model.Instance(fmt.Sprint("t", i)), name, model.TargetServing)
			t.report.Limit = simLimit
			f.order, f.targets[t.report.Node.Instance] = append(f.order, t), t
			f.after(time.Duration(f.rng.Float64()*float64(reportEvery)), func() { f.sendReports(t) })
		}
	}
	for _, n := range f.nodes {
		for _, t := range f.order {
			n.onReport(f.now, &t.report)
		}
	}
	f.after(0, f.arrive)
	f.after(0, f.slowDown)
	f.after(simWarmUp, f.endSecond)
	f.after(simWarmUp, f.endSpan)
	for end := start.Add(f.length); f.now.Before(end); {
		f.now = f.events.NextDue()
		do, _ := f.events.PopDue(f.now)
		(*do)()
	}
	return f.summary()
}

func (f *fleetSim) sendReports(t *simTarget) {
	load := t.running + len(t.queue)
	t.report.Running, t.report.Queued = t.running, len(t.queue)
	t.report.MeanRunTime = time.Duration(t.meanRunTime * float64(time.Second))
	remote := f.now.Sub(t.sentAt) >= time.Second || math.Abs(float64(load-t.sentLoad)) > 0.25*float64(simLimit)
	if remote {
		t.sentLoad, t.sentAt = load, f.now
	}
	for _, n := range f.nodes {
		if n.zone == t.report.Zone || remote {
			n.onReport(f.now, &t.report)
		}
	}
	f.after(reportEvery, func() { f.sendReports(t) })
}

func (f *fleetSim) slowDown() {
	for _, i := range f.rng.Perm(len(f.order))[:int(f.slowPart*float64(len(f.order)))] {
		f.order[i].slowUntil = f.now.Add(simSlowFor)
	}
	f.after(simSlowFor, f.slowDown)
}

func (f *fleetSim) arrive() {
	capacity := 0.0
	for _, t := range f.order {
		capacity += f.bears(t)
	}
	rate := f.utilization * capacity * (1 + f.wave*math.Sin(2*math.Pi*f.now.Sub(start).Seconds()/simWavePeriod.Seconds()))
	f.after(time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), f.arrive)
	n := f.nodes[f.rng.IntN(len(f.nodes))]
	call := &model.Call{Service: service, Nested: f.nested, SLODeadline: f.now.Add(f.objective)}
	t := f.choose(n, f.now, call)
	t.outstanding++
	span := f.result.spans[n.zone]
	span.calls++
	c := &simCall{target: t, arrivedAt: f.now}
	if t.zone != n.zone {
		c.travel = simZoneDelay
		span.left++
	}
	f.after(c.travel, func() {
		t := f.targets[c.target.peer]
		t.arrived++
		t.queue = append(t.queue, c)
		f.startWaiting(t)
	})
}

// bears returns the calls per second that a target can bear while it is not slow.
func (f *fleetSim) bears(t *simTarget) float64 {
	return float64(simLimit) * t.speed / simRunTime.Seconds()
}

func (f *fleetSim) startWaiting(t *simTarget) {
	for t.running < simLimit && len(t.queue) > 0 {
		c := t.queue[0]
		t.queue = t.queue[1:]
		t.running++
		c.ranAt = f.now
		seconds := simRunTime.Seconds() / t.speed * (0.7 + 0.6*f.rng.Float64())
		if f.now.Before(t.slowUntil) {
			seconds *= simSlowFactor
		}
		f.after(time.Duration(seconds*float64(time.Second)), func() { f.end(t, c, seconds) })
	}
}

func (f *fleetSim) end(t *simTarget, c *simCall, seconds float64) {
	t.running--
	t.meanRunTime += 0.05 * (seconds - t.meanRunTime)
	f.startWaiting(t)
	answer := &model.Answer{Load: model.Load{InFlight: t.running, Queued: len(t.queue)}, Run: model.Completed}
	f.after(c.travel, func() {
		c.target.onAnswer(f.now, answer)
		c.target.outstanding--
	})
	if r := &f.result; f.now.After(start.Add(simWarmUp)) {
		if c.travel > 0 {
			r.left++
		}
		r.waits = append(r.waits, c.ranAt.Sub(c.arrivedAt)-c.travel)
		r.timeSum += f.now.Sub(c.arrivedAt) + c.travel
	}
}

func (f *fleetSim) endSecond() {
	var busiest, sum, bears float64
	for _, t := range f.order {
		busiest = max(busiest, float64(t.arrived)/f.bears(t))
		sum += float64(t.arrived)
		bears += f.bears(t)
		t.arrived = 0
	}
	if f.now.After(start.Add(simWarmUp)) {
		f.result.seconds = append(f.result.seconds, busiest/(sum/bears))
	}
	f.after(time.Second, f.endSecond)
}

// endSpan counts the changes of direction.
func (f *fleetSim) endSpan() {
	for _, span := range f.result.spans {
		part := float64(span.left) / float64(max(span.calls, 1))
		span.calls, span.left = 0, 0
		switch {
		case span.rising == (part > span.extreme):
			span.extreme = part
		case math.Abs(part-span.extreme) >= 0.1:
			span.extreme, span.rising = part, !span.rising
			f.result.turns++
		}
	}
	f.after(simSpanLength, f.endSpan)
}

func (f *fleetSim) summary() simResult {
	r := f.result
	slices.Sort(r.waits)
	r.p99Wait = r.waits[len(r.waits)*99/100]
	r.meanTime = r.timeSum / time.Duration(len(r.waits))
	r.leftZone = float64(r.left) / float64(len(r.waits))
	for _, busiest := range r.seconds {
		r.busiest += busiest / float64(len(r.seconds))
	}
	return r
}
