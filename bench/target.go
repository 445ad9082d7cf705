package bench

import (
	"container/heap"
	"math"
	"time"

	"github.com/oleanderworks/oleanderworks/policy/admission"
)

const (
	// overloadExponent: with n calls on c slots each call progresses at
	// (c/n)^2 of its usual speed, so that throughput falls beyond the slots.
	overloadExponent = 2
	// coldCrash: a cold target with more than this times what it bears fails
	// and starts again.
	coldCrashFactor = 2.0
	// restartTime is how long a restarting target takes no connections.
	restartTime = 500 * time.Millisecond
)

// target is a fake target. All running calls share its speed.
type target struct {
	loop        *loop
	spec        *serviceSpec
	slowdown    float64 // factor on service times while the target itself is slow
	startMarker string

	down         bool
	startedAt    time.Duration // start of the warming; far in the past when warm
	plannedStart time.Duration // the same, without failures from load
	starts       int

	inFlight    int
	workPerCall float64 // seconds of work that each running call has got so far
	advancedAt  time.Duration
	running     callHeap
	calls       map[*targetCall]struct{}
	wakeUpSeq   uint64 // number of the valid wake-up
	crashes     int
}

// work is one call at a target.
type targetCall struct {
	doneAt     float64 // progress at which the present step ends
	index      int     // place in the heap; -1 while it waits for a sub-call
	onWorkDone func()
	onEnd      func(admission.Result)
}

func newTarget(l *loop, spec *serviceSpec) *target {
	return &target{loop: l, spec: spec, slowdown: 1, startedAt: -time.Hour, plannedStart: -time.Hour, calls: make(map[*targetCall]struct{})}
}

// bears returns how many calls the target bears at once now.
func (t *target) capacity() float64 {
	if t.down {
		return 0
	}
	return t.capacityWhenStarted(t.startedAt)
}

// couldBear returns how many calls the target would bear now if it had not
// failed from load. It is what a policy is measured by.
func (t *target) capacityWithoutCrashes() float64 {
	if t.loop.now < t.plannedStart {
		return 0
	}
	return t.capacityWhenStarted(t.plannedStart)
}

func (t *target) capacityWhenStarted(start time.Duration) float64 {
	slots := float64(t.spec.slots)
	floor := float64(max(t.spec.slots/coldFloorDivisor, 1))
	age := float64(t.loop.now-start) / float64(rampTime)
	return floor + (slots-floor)*min(age, 1)
}

// fail restarts the target for a reason that is not its load.
func (t *target) restartOnSchedule() {
	t.plannedStart = t.loop.now + restartTime
	t.restart()
}

func (t *target) cold() bool { return t.loop.now-t.startedAt < rampTime }

// accept begins a call with d of own work. then runs when it is done.
func (t *target) accept(work time.Duration, onWorkDone func(), onEnd func(admission.Result)) *targetCall {
	if t.down || t.inFlight >= t.spec.connections {
		onEnd(admission.ResultConnectionRefused)
		return nil
	}
	t.advance()
	call := &targetCall{onEnd: onEnd, index: -1}
	t.calls[call] = struct{}{}
	t.inFlight++
	t.resume(call, work, onWorkDone)
	if t.cold() && float64(t.inFlight) > coldCrashFactor*t.capacity()+1 {
		t.crashes++
		t.restart()
	}
	return call
}

// resume gives a call another step of own work.
func (t *target) resume(call *targetCall, work time.Duration, onWorkDone func()) {
	t.advance()
	call.doneAt, call.onWorkDone = t.workPerCall+work.Seconds(), onWorkDone
	heap.Push(&t.running, call)
	t.schedule()
}

// finish ends a call at the target.
func (t *target) endCall(call *targetCall, r admission.Result) {
	if _, ok := t.calls[call]; !ok {
		return
	}
	t.advance()
	delete(t.calls, call)
	t.inFlight--
	if call.index >= 0 {
		heap.Remove(&t.running, call.index)
	}
	t.schedule()
	call.onEnd(r)
}

// restart loses all running calls; the target comes back cold.
func (t *target) restart() {
	t.down = true
	t.starts++
	for len(t.calls) > 0 {
		// The order in which connections break does not matter, but the map's
		// order would make runs differ.
		t.endCall(t.firstCall(), admission.ResultConnectionReset)
	}
	starts := t.starts
	t.loop.after(restartTime, func() {
		if t.starts == starts {
			t.down, t.startedAt = false, t.loop.now
		}
	})
}

func (t *target) firstCall() *targetCall {
	if len(t.running) > 0 {
		return t.running[0]
	}
	var first *targetCall
	for call := range t.calls {
		if first == nil || call.doneAt < first.doneAt {
			first = call
		}
	}
	return first
}

// speed is the seconds of work that each running call gets in a second.
func (t *target) speed() float64 {
	capacity := t.capacity()
	if capacity <= 0 {
		return 0
	}
	overload := max(float64(t.inFlight)/capacity, 1)
	return 1 / (t.slowdown * math.Pow(overload, overloadExponent))
}

func (t *target) advance() {
	t.workPerCall += (t.loop.now - t.advancedAt).Seconds() * t.speed()
	t.advancedAt = t.loop.now
}

// schedule plans the wake-up at the end of the step that ends first.
func (t *target) schedule() {
	t.wakeUpSeq++
	if len(t.running) == 0 {
		return
	}
	wake := t.wakeUpSeq
	speed := t.speed()
	if speed <= 0 {
		return
	}
	wait := time.Duration((t.running[0].doneAt - t.workPerCall) / speed * float64(time.Second))
	if t.cold() {
		wait = min(wait, 50*time.Millisecond) // the speed grows meanwhile
	}
	t.loop.after(wait, func() {
		if t.wakeUpSeq == wake {
			t.onWake()
		}
	})
}

func (t *target) onWake() {
	t.advance()
	const epsilon = 1e-7 // below the resolution of the virtual clock
	for len(t.running) > 0 && t.running[0].doneAt <= t.workPerCall+epsilon {
		call := heap.Pop(&t.running).(*targetCall)
		call.index = -1
		call.onWorkDone()
	}
	t.schedule()
}

// setSlow changes the factor on service times.
func (t *target) setSlowdown(factor float64) {
	t.advance()
	t.slowdown = factor
	t.schedule()
}

type callHeap []*targetCall

func (h callHeap) Len() int           { return len(h) }
func (h callHeap) Less(i, j int) bool { return h[i].doneAt < h[j].doneAt }
func (h callHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *callHeap) Push(x any) {
	call := x.(*targetCall)
	call.index = len(*h)
	*h = append(*h, call)
}
func (h *callHeap) Pop() any {
	old := *h
	call := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	call.index = -1
	return call
}
