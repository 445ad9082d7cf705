package bench

import (
	"container/heap"
	"math"
	"time"

	"github.com/oleanderworks/oleanderworks/policy/node/admission"
)

const (
	// overloadExponent makes throughput fall under overload: with n calls in flight
	// and a capacity c below n, the speed of each call is its normal speed times c/n
	// raised to this power. n includes calls that wait for a sub-call.
	overloadExponent = 2
	// coldCrashFactor determines when a cold target crashes and restarts: when more
	// calls are in flight than this multiple of its capacity, plus one.
	coldCrashFactor = 2.0
	// restartTime is how long a restarting target refuses connections.
	restartTime = 500 * time.Millisecond
)

// target is a simulated target. It models processor sharing: all calls that do their
// own work, i.e. do not wait for a sub-call, progress at the same speed.
type target struct {
	loop        *eventLoop
	spec        *serviceSpec
	slowdown    float64 // multiplies service times; 1 normally
	startMarker string  // always empty: simulated targets send no start marker

	down                    bool
	startedAt               time.Duration // latest start, from which the ramp is counted; far in the past in a new target, which is warm
	startedAtWithoutCrashes time.Duration // startedAt if the target had never crashed from overload
	restarts                int

	inFlight     int
	attainedWork float64 // seconds of work that a call in running since the start of the run would have done
	advancedAt   time.Duration
	running      callHeap                 // calls that do their own work
	calls        map[*targetCall]struct{} // all calls in flight
	wakeUpSeq    uint64                   // identifies the latest scheduled wake-up; earlier ones are ignored
	crashes      int                      // from overload
}

// targetCall is one call at a target.
type targetCall struct {
	doneAtWork float64 // value of the target's attainedWork at which its own work is done
	index      int     // index in the heap; -1 while it waits for a sub-call
	onWorkDone func()
	onEnd      func(admission.Result)
}

func newTarget(l *eventLoop, spec *serviceSpec) *target {
	return &target{loop: l, spec: spec, slowdown: 1, startedAt: -time.Hour, startedAtWithoutCrashes: -time.Hour, calls: make(map[*targetCall]struct{})}
}

// capacity returns how many calls can currently be in flight without overload.
func (t *target) capacity() float64 {
	if t.down {
		return 0
	}
	return t.capacityAfterStart(t.startedAt)
}

// capacityWithoutCrashes returns the capacity that the target would have now if it had
// never crashed from overload. The measures use it, so that crashes count against a
// policy.
func (t *target) capacityWithoutCrashes() float64 {
	if t.loop.now < t.startedAtWithoutCrashes {
		return 0
	}
	return t.capacityAfterStart(t.startedAtWithoutCrashes)
}

// capacityAfterStart returns the current capacity of a target that started at the given
// time.
func (t *target) capacityAfterStart(start time.Duration) float64 {
	slots := float64(t.spec.slots)
	floor := float64(max(t.spec.slots/coldFloorDivisor, 1))
	rampedShare := float64(t.loop.now-start) / float64(rampTime)
	return floor + (slots-floor)*min(rampedShare, 1)
}

// injectRestart restarts the target as a fault that the case injects.
func (t *target) injectRestart() {
	t.startedAtWithoutCrashes = t.loop.now + restartTime
	t.restart()
}

// cold reports whether the target is still in its ramp.
func (t *target) cold() bool { return t.loop.now-t.startedAt < rampTime }

// accept starts a call and its own work. onWorkDone is called when the work is done,
// onEnd when the call ends. If the call is refused, accept calls onEnd and returns nil.
func (t *target) accept(work time.Duration, onWorkDone func(), onEnd func(admission.Result)) *targetCall {
	if t.down || t.inFlight >= t.spec.connections {
		onEnd(admission.ResultConnectionRefused)
		return nil
	}
	t.advance()
	call := &targetCall{onEnd: onEnd, index: -1}
	t.calls[call] = struct{}{}
	t.inFlight++
	t.startWork(call, work, onWorkDone)
	if t.cold() && float64(t.inFlight) > coldCrashFactor*t.capacity()+1 {
		t.crashes++
		t.restart()
	}
	return call
}

// startWork begins the own work of a call.
func (t *target) startWork(call *targetCall, work time.Duration, onWorkDone func()) {
	t.advance()
	call.doneAtWork, call.onWorkDone = t.attainedWork+work.Seconds(), onWorkDone
	heap.Push(&t.running, call)
	t.scheduleWakeUp()
}

// endCall ends a call at the target.
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
	t.scheduleWakeUp()
	call.onEnd(r)
}

// restart ends all calls with connection resets. The target is down for restartTime and
// cold afterwards.
func (t *target) restart() {
	t.down = true
	t.restarts++
	for len(t.calls) > 0 {
		// The order must be deterministic for runs to be repeatable, which the
		// iteration order of a map is not.
		t.endCall(t.firstCall(), admission.ResultConnectionReset)
	}
	restarts := t.restarts
	t.loop.after(restartTime, func() {
		if t.restarts == restarts {
			t.down, t.startedAt = false, t.loop.now
		}
	})
}

// firstCall returns the call whose own work is done next or, if none is working, the one
// whose work was done first.
func (t *target) firstCall() *targetCall {
	if len(t.running) > 0 {
		return t.running[0]
	}
	var first *targetCall
	for call := range t.calls {
		if first == nil || call.doneAtWork < first.doneAtWork {
			first = call
		}
	}
	return first
}

// speed returns the seconds of work that each working call does per second.
func (t *target) speed() float64 {
	capacity := t.capacity()
	if capacity <= 0 {
		return 0
	}
	overload := max(float64(t.inFlight)/capacity, 1)
	return 1 / (t.slowdown * math.Pow(overload, overloadExponent))
}

// advance updates attainedWork to the current time, at the current speed. It is called
// before a change of the speed.
func (t *target) advance() {
	t.attainedWork += (t.loop.now - t.advancedAt).Seconds() * t.speed()
	t.advancedAt = t.loop.now
}

// scheduleWakeUp schedules a wake-up for when the own work of the next call is done, in
// place of an earlier one.
func (t *target) scheduleWakeUp() {
	t.wakeUpSeq++
	if len(t.running) == 0 {
		return
	}
	seq := t.wakeUpSeq
	speed := t.speed()
	if speed <= 0 {
		return
	}
	wait := time.Duration((t.running[0].doneAtWork - t.attainedWork) / speed * float64(time.Second))
	if t.cold() {
		wait = min(wait, 50*time.Millisecond) // the speed rises while the target warms up
	}
	t.loop.after(wait, func() {
		if t.wakeUpSeq == seq {
			t.onWakeUp()
		}
	})
}

// onWakeUp handles the calls whose own work is done.
func (t *target) onWakeUp() {
	t.advance()
	const workTolerance = 1e-7 // seconds; covers the rounding of wake-up times to nanoseconds
	for len(t.running) > 0 && t.running[0].doneAtWork <= t.attainedWork+workTolerance {
		call := heap.Pop(&t.running).(*targetCall)
		call.index = -1
		call.onWorkDone()
	}
	t.scheduleWakeUp()
}

// setSlowdown sets the factor by which service times are multiplied.
func (t *target) setSlowdown(factor float64) {
	t.advance()
	t.slowdown = factor
	t.scheduleWakeUp()
}

type callHeap []*targetCall

func (h callHeap) Len() int           { return len(h) }
func (h callHeap) Less(i, j int) bool { return h[i].doneAtWork < h[j].doneAtWork }
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
