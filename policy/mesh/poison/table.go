// Package poison detects poison requests, which crash every target that runs them, and
// quarantines them at the nodes of their callers. It is used by the nodes of package
// agent/mesh; those of package agent use package quarantine, which decides at the nodes
// of the targets.
//
// When a target crashes, all calls that run there fail, so a single crash does not show
// which of them caused it. Each call therefore carries the number of crashes that were
// known for its request when the call was sent, and a crash is reported with that number
// plus one. Thus targets that crash at the same time count as one crash, and a request is
// refused only if it was sent again after each crash and never completed.
package poison

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderworks/oleanderworks/charts"
	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/core/timers"
	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// maxCrashes is the number of consecutive crashes after which a request is refused.
	// The operators' requirement allows three crashes, and three more by attempts that
	// were already sent.
	maxCrashes = 3
	// suspicionLifetime is the time after the latest crash or completion at which a
	// record expires, the same as for the crash marks of package quarantine.
	suspicionLifetime = 10 * time.Minute
	// maxSuspicions bounds the table; when it is full, a record is evicted.
	// A crash adds a suspicion for each request that the target ran, one or two hundred.
	maxSuspicions = 4096
	// maxReports bounds what a peer is told when a link opens, to about 9 KB. A node that
	// starts gets it from each of its peers.
	maxReports = 512
)

// Events of the state chart poison, in the chart's order.
const (
	eventCrashed chart.EventID = iota
	eventCompleted
	eventExpired
)

// States of the state chart poison, in the chart's order.
const (
	stateUnsuspected chart.StateID = iota
	stateSuspected
	stateQuarantined
	stateCleared
	stateForgotten
)

// Fingerprint returns a hash of a request's host, method, path and body. It identifies
// the request also when it is sent again with another id. It differs from the field
// Fingerprint of the call, which includes the customer instead of the host.
func Fingerprint(call *model.Call) uint64 {
	h := xxhash.New()
	for _, part := range []string{call.Host, call.Method, call.Path} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(call.Body)
	return h.Sum64()
}

// Table holds the suspected, quarantined and cleared requests at one node by fingerprint.
// Nodes whose link has just opened exchange their tables, so that what one of them knows
// outlives its restart and reaches those that were cut off. It is not safe for concurrent
// use.
type Table struct {
	machine    *chart.Machine[*suspicion]
	suspicions map[uint64]*suspicion
	suspected  int                   // suspicions in the states suspected and quarantined
	expiry     *timers.Queue[uint64] // of the quarantined requests; others expire when they are looked up
	changes    []Change
}

// Change tells that a request is refused from now on, or no longer refused.
type Change struct {
	Fingerprint uint64
	Refused     bool
	At          time.Time // time of the latest crash, or of the completion
}

// suspicion is the state of one request that ran when a target crashed.
type suspicion struct {
	state           chart.StateID
	crashes         int       // known consecutive crashes
	reportedCrashes int       // crashes according to the report that is being handled
	changedAt       time.Time // time of the latest crash, or of the completion
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		suspicions: make(map[uint64]*suspicion),
		expiry:     timers.New[uint64](),
		machine: chart.MustCompile(charts.MustRead("poison"), chart.Binding[*suspicion]{
			States: []string{"unsuspected", "suspected", "quarantined", "cleared", "forgotten"},
			Events: []string{"crashed", "completed", "expired"},
			Guards: map[string]func(*suspicion) bool{"crash_limit_reached": (*suspicion).crashLimitReached},
			Actions: map[string]func(*suspicion){
				"record_crashes": (*suspicion).recordCrashes,
				"forget_crashes": func(s *suspicion) { s.crashes = 0 },
			},
		}),
	}
}

func (s *suspicion) crashLimitReached() bool { return max(s.crashes, s.reportedCrashes) >= maxCrashes }
func (s *suspicion) recordCrashes()          { s.crashes = max(s.crashes, s.reportedCrashes) }

func (t *Table) step(fingerprint uint64, s *suspicion, e chart.EventID) {
	wasSuspected, wasRefused := s.suspected(), s.state == stateQuarantined
	s.state = t.machine.Step(s, s.state, e)
	if t.machine.Final(s.state) {
		delete(t.suspicions, fingerprint)
	}
	switch suspected := s.suspected(); {
	case suspected && !wasSuspected:
		t.suspected++
	case wasSuspected && !suspected:
		t.suspected--
	}
	refused := s.state == stateQuarantined
	if refused {
		t.expiry.Set(fingerprint, s.changedAt.Add(suspicionLifetime))
	} else {
		t.expiry.Remove(fingerprint)
	}
	if refused != wasRefused {
		t.changes = append(t.changes, Change{Fingerprint: fingerprint, Refused: refused, At: s.changedAt})
	}
}

// TakeChanges returns and clears the changes since the last call.
func (t *Table) TakeChanges() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}

// OnRecord handles a record of the log. loaded tells that the node has loaded all records,
// so that the time of this one is not known.
func (t *Table) OnRecord(now time.Time, record Record, loaded bool) {
	report := model.CrashReport{Fingerprint: record.Fingerprint, Age: max(record.Age, 0)}
	if record.Refused {
		report.Count = maxCrashes
		if loaded {
			report.Age = max(report.Age, loadedRecordAge)
		}
	}
	t.OnCrashReport(now, report)
}

// Tick drops the quarantined requests that have expired, and returns the time at which the
// next one does, or zero if there is none.
func (t *Table) Tick(now time.Time) time.Time {
	for {
		fingerprint, due := t.expiry.PopDue(now)
		if !due {
			return t.expiry.NextDue()
		}
		t.find(now, fingerprint)
	}
}

func (s *suspicion) suspected() bool {
	return s.state == stateSuspected || s.state == stateQuarantined
}

// find returns the record of a request, or nil if there is none or it has expired.
func (t *Table) find(now time.Time, fingerprint uint64) *suspicion {
	s := t.suspicions[fingerprint]
	if s != nil && now.Sub(s.changedAt) >= suspicionLifetime {
		t.step(fingerprint, s, eventExpired)
		return nil
	}
	return s
}

// OnCrashReport handles a report that a target has crashed while a request ran, or,
// with a count of 0, that a suspected request has completed. A report of a peer may be
// older than what the table has; a crash from before a completion does not count, nor
// does a completion from before a crash.
func (t *Table) OnCrashReport(now time.Time, report model.CrashReport) {
	if report.Age >= suspicionLifetime {
		return
	}
	at := now.Add(-report.Age)
	s := t.find(now, report.Fingerprint)
	if s == nil {
		t.evict()
		s = &suspicion{state: t.machine.Initial(), changedAt: at}
		t.suspicions[report.Fingerprint] = s
	}
	completed := report.Count == 0
	if at.Before(s.changedAt) {
		if completed || s.state == stateCleared {
			return
		}
		at = s.changedAt
	}
	s.reportedCrashes, s.changedAt = report.Count, at
	if completed {
		t.step(report.Fingerprint, s, eventCompleted)
	} else {
		t.step(report.Fingerprint, s, eventCrashed)
	}
}

// Reports returns what the table holds, for a peer that may lack it. If that is more than
// maxReports, the records that would be evicted first are left out.
func (t *Table) Reports(now time.Time) []model.CrashReport {
	fingerprints := make([]uint64, 0, len(t.suspicions))
	for f := range t.suspicions {
		if t.find(now, f) != nil {
			fingerprints = append(fingerprints, f)
		}
	}
	if len(fingerprints) > maxReports {
		slices.SortFunc(fingerprints, func(a, b uint64) int { return t.suspicions[b].compareEviction(t.suspicions[a]) })
		fingerprints = fingerprints[:maxReports]
	}
	reports := make([]model.CrashReport, len(fingerprints))
	for i, f := range fingerprints {
		s := t.suspicions[f]
		reports[i] = model.CrashReport{Fingerprint: f, Count: s.crashes, Age: now.Sub(s.changedAt)}
	}
	return reports
}

// Crashes returns the number of known consecutive crashes of targets that ran a call's
// request.
func (t *Table) Crashes(now time.Time, call *model.Call) int {
	if t.suspected == 0 {
		return 0
	}
	if s := t.find(now, Fingerprint(call)); s != nil {
		return s.crashes
	}
	return 0
}

// Quarantined reports whether a call's request must be refused.
func (t *Table) Quarantined(now time.Time, call *model.Call) bool {
	if t.Crashes(now, call) == 0 {
		return false
	}
	return t.suspicions[Fingerprint(call)].state == stateQuarantined
}

// Describe returns what is known of a call's request, for logs.
func (t *Table) Describe(now time.Time, call *model.Call) string {
	fingerprint := Fingerprint(call)
	s := t.find(now, fingerprint)
	if s == nil {
		return fmt.Sprintf("no crash is known for the fingerprint %d", fingerprint)
	}
	return fmt.Sprintf("targets have crashed in a row while the request ran: %d, the latest %d ms ago, fingerprint %d",
		s.crashes, now.Sub(s.changedAt).Milliseconds(), fingerprint)
}

// Len returns the number of suspected and quarantined requests.
func (t *Table) Len() int { return t.suspected }

// evict removes a record if the table is full: a cleared one if there is any, else a
// suspected one, else a quarantined one, and the oldest of these.
func (t *Table) evict() {
	if len(t.suspicions) < maxSuspicions {
		return
	}
	var victim uint64
	for f, s := range t.suspicions {
		if v := t.suspicions[victim]; v == nil || s.compareEviction(v) < 0 {
			victim = f
		}
	}
	t.step(victim, t.suspicions[victim], eventExpired)
}

// compareEviction is negative if a record is evicted before another. The crashes of a few
// targets add a suspicion for each of their calls, most of which are harmless.
func (s *suspicion) compareEviction(other *suspicion) int {
	return cmp.Or(cmp.Compare(s.evictionRank(), other.evictionRank()), s.changedAt.Compare(other.changedAt))
}

func (s *suspicion) evictionRank() int {
	switch s.state {
	case stateQuarantined:
		return 2
	case stateSuspected:
		return 1
	default:
		return 0
	}
}

// Recorder records, at a target's node, which calls ran when the target crashed. It is
// not safe for concurrent use.
type Recorder struct {
	broken  []brokenCall
	lostAt  time.Time // when the target was last found to be lost; zero if it never was
	reports []model.CrashReport
}

type brokenCall struct {
	call     *model.Call
	brokenAt time.Time
}

// crashAttributionWindow is the time before the detection of a crash within which a
// call's connection must have broken for the crash to be attributed to the call. The
// probe that detects the crash may start a second after it and take another second.
const crashAttributionWindow = 3 * time.Second

// OnConnectionBroken handles a call, started at startedAt, whose connection to the target
// broke or could not be opened, and reports whether that is known to be due to a crash
// already. A connection that the target refused does not count.
func (r *Recorder) OnConnectionBroken(now, startedAt time.Time, call *model.Call) bool {
	if !startedAt.After(r.lostAt) && now.Sub(r.lostAt) <= crashAttributionWindow {
		r.reportCrash(call) // the end of another call has shown the loss before
		return true
	}
	r.broken = slices.DeleteFunc(r.broken, func(b brokenCall) bool { return now.Sub(b.brokenAt) > crashAttributionWindow })
	r.broken = append(r.broken, brokenCall{call: call, brokenAt: now})
	return false
}

// OnCompleted handles a call that the target has answered. The completion is reported
// only if a target's crash during the request was reported to the callers' nodes
// (CrashesReported). CrashCount alone may stem from an earlier attempt that ended with
// ReasonAnswerCut, which was not reported.
func (r *Recorder) OnCompleted(call *model.Call) {
	if call.CrashesReported {
		r.reports = append(r.reports, model.CrashReport{Fingerprint: Fingerprint(call)})
	}
}

// OnTargetLost handles the detection that the target has crashed or restarted.
func (r *Recorder) OnTargetLost(now time.Time) {
	r.lostAt = now
	for _, b := range r.broken {
		if now.Sub(b.brokenAt) <= crashAttributionWindow {
			r.reportCrash(b.call)
		}
	}
	r.broken = r.broken[:0]
}

func (r *Recorder) reportCrash(call *model.Call) {
	r.reports = append(r.reports, model.CrashReport{Fingerprint: Fingerprint(call), Count: call.CrashCount + 1})
}

// TakeReports returns and clears the reports for the callers' nodes.
func (r *Recorder) TakeReports() []model.CrashReport {
	reports := r.reports
	r.reports = nil
	return reports
}
