package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oleanderworks/oleanderworks/platform/standin"
)

const (
	// quotaWindow is the time over which the runs of the customer with a rate are
	// counted (QUOTA).
	quotaWindow = 5 * time.Second
	// quotaTolerance is the fraction by which these runs may exceed the rate and burst.
	quotaTolerance = 0.1
	// quotaSlackRuns is the number of runs by which they may exceed them in addition.
	quotaSlackRuns = 20
	// configApplyTime is the time within which nodes guarantee to apply a change of the
	// configuration.
	configApplyTime = 2 * time.Second
	// settleTime is how long the effects of a fault may last after its end.
	settleTime = 3 * time.Second
	// propagationTime is added to configApplyTime and evacuationTime, since faults may
	// delay the distribution of the configuration.
	propagationTime = 5 * time.Second
	// evacuationTime is the time after which the fleet guarantees that no request runs
	// in an availability zone that was taken out of service.
	evacuationTime = 5 * time.Second
	// recordingSlack covers the time between an event and its recording on a busy host.
	recordingSlack = 250 * time.Millisecond
	// maxViolations is the largest number of violations that are kept.
	maxViolations = 50
)

// request is a request of a caller or a sub-call of a target. It is sent once, except
// that the HTTP transport may resend a GET.
type request struct {
	id, method, path, key, body string
	inst                        *instance
	sent                        time.Time
	idempotent                  bool

	runs   int // how many times targets ran it
	status int // of the answer; 0 if there is none
}

// recorder records the requests and answers that callers and targets observe, and checks
// them against the guarantees of the fleet.
type recorder struct {
	ids atomic.Int64

	mu         sync.Mutex
	requests   map[string]*request
	exportRuns []time.Time // when targets ran requests of the customer export
	violations []string
	served     int
	refused    int
	failed     int
}

func newRecorder() *recorder { return &recorder{requests: make(map[string]*request)} }

func (rec *recorder) nextID() int64 { return rec.ids.Add(1) }

// report records a violation.
func (rec *recorder) report(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.reportLocked(format, args...)
}

// reportLocked is report for callers that hold rec.mu.
func (rec *recorder) reportLocked(format string, args ...any) {
	if len(rec.violations) < maxViolations {
		rec.violations = append(rec.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
	}
}

// recordSent records a request before it is sent.
func (rec *recorder) recordSent(req *request) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.requests[req.id] = req
}

// checkRun records and checks a request that a target begins to run. leaveAckedAt is
// when the node acknowledged that the target leaves, zero if it has not.
func (rec *recorder) checkRun(t *target, r *http.Request, got standin.ReceivedHeaders, body string, leaveAckedAt time.Time) {
	now := time.Now()
	rec.mu.Lock()
	defer rec.mu.Unlock()
	req := rec.requests[got.Attempt]
	if req == nil {
		rec.reportLocked("UNASKED: %s ran %q, which neither a caller nor a target sent", t.inst.name, got.Attempt)
		return
	}
	req.runs++
	switch {
	case r.Method != req.method || r.URL.Path != req.path || body != req.body:
		rec.reportLocked("UNASKED: %s ran %s with a different method, path or body: %s %s", t.inst.name, req.id, r.Method, r.URL.Path)
	case got.HasKey || got.Customer != customerOf(req.key):
		rec.reportLocked("UNASKED: %s ran %s for customer %q, want %q; key forwarded: %v", t.inst.name, req.id, got.Customer, customerOf(req.key), got.HasKey)
	case got.CallerService != req.inst.service:
		rec.reportLocked("UNASKED: %s ran %s for caller %q, want %q", t.inst.name, req.id, got.CallerService, req.inst.service)
	case !req.idempotent && req.runs > 1:
		rec.reportLocked("TWICE: non-idempotent %s ran at %s, run %d", req.id, t.inst.name, req.runs)
	case !req.idempotent && isRefusal(req.status):
		rec.reportLocked("REFUSED: %s was refused with status %d and then ran at %s", req.id, req.status, t.inst.name)
	case !leaveAckedAt.IsZero() && now.Sub(leaveAckedAt) > targetDrainTime+recordingSlack:
		rec.reportLocked("DRAIN: %s ran at %s %v after the target's leave was acknowledged", req.id, t.inst.name, now.Sub(leaveAckedAt))
	}
	if got.Customer == "export" {
		rec.exportRuns = append(rec.exportRuns, now)
	}
	rec.checkZoneOut(t.inst, req, now)
}

// checkZoneOut reports a request that runs in an availability zone long after the zone
// was taken out of service.
func (rec *recorder) checkZoneOut(inst *instance, req *request, now time.Time) {
	since := inst.faultState.zoneOutSince()
	if since.IsZero() || !inst.faultState.unaffectedFor(now, settleTime) || !req.inst.faultState.unaffectedFor(now, settleTime) {
		return
	}
	if after := now.Sub(since); after > evacuationTime+propagationTime+recordingSlack {
		rec.reportLocked("EVAC: %s ran at %s %v after its availability zone was taken out of service", req.id, inst.name, after)
	}
}

// isRefusal reports whether an answer with this status guarantees that the request has
// not run.
func isRefusal(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// checkAnswer records and checks the answer to a request of a caller. gotSignature is the
// target's signature of the answer, empty if the answer is not from a target.
func (rec *recorder) checkAnswer(req *request, status int, gotSignature, body string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	req.status = status
	want := expectedAnswer(req.method, req.path, req.body, req.id)
	switch {
	case status == http.StatusOK && (body != want || gotSignature != signature(want)):
		rec.reportLocked("MIXED: %s got %q, want %q", req.id, body, want)
	case status == http.StatusOK:
		rec.served++
	case isRefusal(status):
		rec.refused++
		if !req.idempotent && req.runs > 0 {
			rec.reportLocked("REFUSED: %s was refused with status %d after %d runs", req.id, status, req.runs)
		}
	case status == http.StatusNotFound || status == http.StatusUnauthorized && req.key != "k-guest":
		rec.reportLocked("DENIED: %s got %d at %s", req.id, status, req.inst.name)
	default:
		rec.failed++
	}
}

// finish checks the rate of the customer export over the whole run, and returns all
// violations.
func (rec *recorder) finish() []string {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	limit := int((exportRate*quotaWindow.Seconds()+exportBurst)*(1+quotaTolerance)) + quotaSlackRuns
	first := 0
	for i, at := range rec.exportRuns {
		for at.Sub(rec.exportRuns[first]) > quotaWindow {
			first++
		}
		if n := i - first + 1; n > limit {
			rec.reportLocked("QUOTA: %d runs in %v, limit %d", n, quotaWindow, limit)
			break
		}
	}
	return slices.Clone(rec.violations)
}

// faultState holds the time until which faults may affect calls at an instance, and the
// time at which its availability zone was taken out of service.
type faultState struct {
	mu            sync.Mutex
	affectedUntil time.Time
	zoneOutAt     time.Time // zero while the zone is in service
}

// markAffected records that faults may affect the instance for d from now on.
func (s *faultState) markAffected(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if end := time.Now().Add(d); end.After(s.affectedUntil) {
		s.affectedUntil = end
	}
}

// unaffectedFor reports whether faults have not affected the instance for more than d.
// Callers of markAffected add settleTime to the duration of a fault, so that with
// d = settleTime, twice settleTime must have passed since the end of the fault.
func (s *faultState) unaffectedFor(now time.Time, d time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.affectedUntil) > d
}

func (s *faultState) setZoneOut(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.zoneOutAt = at
}

func (s *faultState) zoneOutSince() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.zoneOutAt
}
