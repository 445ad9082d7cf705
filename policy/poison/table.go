// Package poison refuses requests that crash each target that runs them. It
// decides at the node of the caller.
//
// A crash takes all calls of a target with it, so that one crash says little
// about any of them. A call therefore carries the number of crashes that were
// known of its request when it was sent, and a crash counts as one more than
// that: any number of targets that crash at once count as one, and only a
// request that was sent again and again, and completed nowhere, is refused.
package poison

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderworks/oleanderworks/charts"
	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// Crashes in a row after which a request is refused. Operators accept three
	// crashes and three sends that were on their way.
	maxCrashes = 3
	// life is how long a suspicion lasts after the newest crash, like the marks
	// of the older node.
	life = 10 * time.Minute
	// maxSuspicions bounds the table; the oldest suspicion gives way. A crash
	// marks as many requests as the target ran, a hundred or two.
	maxSuspicions = 4096
)

// Events of the poison chart, in the chart's order.
const (
	eventLost chart.EventID = iota
	eventCompleted
	eventLapsed
)

// stateQuarantined is the place of the state quarantined in the chart.
const stateQuarantined chart.StateID = 2

// Fingerprint identifies a request that is sent again with another id.
func Fingerprint(call *model.Call) uint64 {
	h := xxhash.New()
	for _, part := range []string{call.Host, call.Method, call.Path} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(call.Body)
	return h.Sum64()
}

// Table holds the suspicions that one node knows. All methods run on one
// thread.
type Table struct {
	machine *chart.Machine[*suspicion]
	known   map[uint64]*suspicion
}

type suspicion struct {
	state   chart.StateID
	crashes int // known so far
	news    int // crashes of the loss that is being handled
	newest  time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		known: make(map[uint64]*suspicion),
		machine: chart.MustCompile(charts.MustRead("poison"), chart.Binding[*suspicion]{
			States:  []string{"unsuspected", "suspected", "quarantined", "cleared"},
			Events:  []string{"lost", "completed", "lapsed"},
			Guards:  map[string]func(*suspicion) bool{"proven": (*suspicion).proven},
			Actions: map[string]func(*suspicion){"count": (*suspicion).count},
		}),
	}
}

func (s *suspicion) proven() bool { return max(s.crashes, s.news) >= maxCrashes }
func (s *suspicion) count()       { s.crashes = max(s.crashes, s.news) }

func (t *Table) step(fingerprint uint64, s *suspicion, e chart.EventID) {
	s.state = t.machine.Step(s, s.state, e)
	if t.machine.Final(s.state) {
		delete(t.known, fingerprint)
	}
}

// OnCrashReport takes the news of a crash, or that a suspected request has completed.
func (t *Table) OnCrashReport(now time.Time, news model.CrashReport) {
	s := t.known[news.Fingerprint]
	if news.Count == 0 {
		if s != nil {
			t.step(news.Fingerprint, s, eventCompleted)
		}
		return
	}
	if s == nil {
		t.makeRoom()
		s = &suspicion{state: t.machine.Initial()}
		t.known[news.Fingerprint] = s
	}
	s.news, s.newest = news.Count, now
	t.step(news.Fingerprint, s, eventLost)
}

// Crashes returns the number of crashes in a row that are known of a call's
// request.
func (t *Table) Crashes(now time.Time, call *model.Call) int {
	if len(t.known) == 0 {
		return 0
	}
	fingerprint := Fingerprint(call)
	s := t.known[fingerprint]
	if s == nil {
		return 0
	}
	if now.Sub(s.newest) >= life {
		t.step(fingerprint, s, eventLapsed)
		return 0
	}
	return s.crashes
}

// Quarantined reports whether a call's request is refused.
func (t *Table) Quarantined(now time.Time, call *model.Call) bool {
	if t.Crashes(now, call) == 0 {
		return false
	}
	return t.known[Fingerprint(call)].state == stateQuarantined
}

// Len returns the number of suspicions.
func (t *Table) Len() int { return len(t.known) }

// makeRoom lets the oldest suspicion lapse when the table is full.
func (t *Table) makeRoom() {
	if len(t.known) < maxSuspicions {
		return
	}
	var oldest uint64
	for f, s := range t.known {
		if o := t.known[oldest]; o == nil || s.newest.Before(o.newest) {
			oldest = f
		}
	}
	t.step(oldest, t.known[oldest], eventLapsed)
}

// Recorder finds, at a target's node, which calls a crash took with it.
type Recorder struct {
	broken []brokenCall
	news   []model.CrashReport
}

type brokenCall struct {
	call *model.Call
	at   time.Time
}

// confirmTime is how long after its connection broke a call counts as lost
// with its target: the probe that finds the crash may wait for a second and
// take another one.
const confirmTime = 3 * time.Second

// OnConnectionBroken takes a call whose connection to the target broke.
func (r *Recorder) OnConnectionBroken(now time.Time, call *model.Call) {
	r.broken = slices.DeleteFunc(r.broken, func(b brokenCall) bool { return now.Sub(b.at) > confirmTime })
	r.broken = append(r.broken, brokenCall{call: call, at: now})
}

// OnCompleted takes a call that the target has answered. An attempt after one
// whose connection broke is no news, as long as nobody has heard of a crash.
func (r *Recorder) OnCompleted(call *model.Call) {
	if call.Suspected {
		r.news = append(r.news, model.CrashReport{Fingerprint: Fingerprint(call)})
	}
}

// OnTargetLost tells that the target has crashed, or has started again.
func (r *Recorder) OnTargetLost(now time.Time) {
	for _, b := range r.broken {
		if now.Sub(b.at) <= confirmTime {
			r.news = append(r.news, model.CrashReport{Fingerprint: Fingerprint(b.call), Count: b.call.CrashCount + 1})
		}
	}
	r.broken = r.broken[:0]
}

// TakeReports returns what the callers' nodes have to know since the last call.
func (r *Recorder) TakeReports() []model.CrashReport {
	out := r.news
	r.news = nil
	return out
}
