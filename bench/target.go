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
	coldCrash = 2.0
	// restartTime is how long a restarting target takes no connections.
	restartTime = 500 * time.Millisecond
)

// target is a fake target. All running calls share its speed.
type target struct {
	loop  *loop
	size  *serviceSize
	slow  float64 // factor on service times while the target itself is slow
	start string

	down     bool
	coldFrom time.Duration // start of the warming; far in the past when warm
	planned  time.Duration // the same, without failures from load
	starts   int

	inFlight int
	progress float64 // seconds of work that each running call has got so far
	at       time.Duration
	working  workHeap
	calls    map[*work]struct{}
	wake     uint64 // number of the valid wake-up
	crashes  int
}

// work is one call at a target.
type work struct {
	until float64 // progress at which the present step ends
	index int     // place in the heap; -1 while it waits for a sub-call
	then  func()
	end   func(admission.Result)
}

func newTarget(l *loop, size *serviceSize) *target {
	return &target{loop: l, size: size, slow: 1, coldFrom: -time.Hour, planned: -time.Hour, calls: make(map[*work]struct{})}
}

// bears returns how many calls the target bears at once now.
func (t *target) bears() float64 {
	if t.down {
		return 0
	}
	return t.bearsSince(t.coldFrom)
}

// couldBear returns how many calls the target would bear now if it had not
// failed from load. It is what a policy is measured by.
func (t *target) couldBear() float64 {
	if t.loop.now < t.planned {
		return 0
	}
	return t.bearsSince(t.planned)
}

func (t *target) bearsSince(start time.Duration) float64 {
	slots := float64(t.size.slots)
	floor := float64(max(t.size.slots/coldPart, 1))
	age := float64(t.loop.now-start) / float64(rampTime)
	return floor + (slots-floor)*min(age, 1)
}

// fail restarts the target for a reason that is not its load.
func (t *target) fail() {
	t.planned = t.loop.now + restartTime
	t.restart()
}

func (t *target) cold() bool { return t.loop.now-t.coldFrom < rampTime }

// accept begins a call with d of own work. then runs when it is done.
func (t *target) accept(d time.Duration, then func(), end func(admission.Result)) *work {
	if t.down || t.inFlight >= t.size.connections {
		end(admission.ResultConnectionRefused)
		return nil
	}
	t.advance()
	w := &work{end: end, index: -1}
	t.calls[w] = struct{}{}
	t.inFlight++
	t.resume(w, d, then)
	if t.cold() && float64(t.inFlight) > coldCrash*t.bears()+1 {
		t.crashes++
		t.restart()
	}
	return w
}

// resume gives a call another step of own work.
func (t *target) resume(w *work, d time.Duration, then func()) {
	t.advance()
	w.until, w.then = t.progress+d.Seconds(), then
	heap.Push(&t.working, w)
	t.schedule()
}

// finish ends a call at the target.
func (t *target) finish(w *work, r admission.Result) {
	if _, ok := t.calls[w]; !ok {
		return
	}
	t.advance()
	delete(t.calls, w)
	t.inFlight--
	if w.index >= 0 {
		heap.Remove(&t.working, w.index)
	}
	t.schedule()
	w.end(r)
}

// restart loses all running calls; the target comes back cold.
func (t *target) restart() {
	t.down = true
	t.starts++
	for len(t.calls) > 0 {
		// The order in which connections break does not matter, but the map's
		// order would make runs differ.
		t.finish(t.firstCall(), admission.ResultConnectionReset)
	}
	starts := t.starts
	t.loop.after(restartTime, func() {
		if t.starts == starts {
			t.down, t.coldFrom = false, t.loop.now
		}
	})
}

func (t *target) firstCall() *work {
	if len(t.working) > 0 {
		return t.working[0]
	}
	var first *work
	for w := range t.calls {
		if first == nil || w.until < first.until {
			first = w
		}
	}
	return first
}

// speed is the seconds of work that each running call gets in a second.
func (t *target) speed() float64 {
	bears := t.bears()
	if bears <= 0 {
		return 0
	}
	over := max(float64(t.inFlight)/bears, 1)
	return 1 / (t.slow * math.Pow(over, overloadExponent))
}

func (t *target) advance() {
	t.progress += (t.loop.now - t.at).Seconds() * t.speed()
	t.at = t.loop.now
}

// schedule plans the wake-up at the end of the step that ends first.
func (t *target) schedule() {
	t.wake++
	if len(t.working) == 0 {
		return
	}
	wake := t.wake
	speed := t.speed()
	if speed <= 0 {
		return
	}
	wait := time.Duration((t.working[0].until - t.progress) / speed * float64(time.Second))
	if t.cold() {
		wait = min(wait, 50*time.Millisecond) // the speed grows meanwhile
	}
	t.loop.after(wait, func() {
		if t.wake == wake {
			t.onWake()
		}
	})
}

func (t *target) onWake() {
	t.advance()
	const epsilon = 1e-7 // below the resolution of the virtual clock
	for len(t.working) > 0 && t.working[0].until <= t.progress+epsilon {
		w := heap.Pop(&t.working).(*work)
		w.index = -1
		w.then()
	}
	t.schedule()
}

// setSlow changes the factor on service times.
func (t *target) setSlow(factor float64) {
	t.advance()
	t.slow = factor
	t.schedule()
}

type workHeap []*work

func (h workHeap) Len() int           { return len(h) }
func (h workHeap) Less(i, j int) bool { return h[i].until < h[j].until }
func (h workHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *workHeap) Push(x any) {
	w := x.(*work)
	w.index = len(*h)
	*h = append(*h, w)
}
func (h *workHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.index = -1
	return w
}
