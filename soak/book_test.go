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
	// Bounds of the promises, as the deployments of the platform state them.
	quotaWindow = 5 * time.Second
	quotaOver   = 0.1
	quotaSlack  = 20
	applyTime   = 2 * time.Second
	contactTime = 3 * time.Second
	outerTime   = 5 * time.Second
	evacuate    = 5 * time.Second
	// clockSlack covers the time between an event and its entry in the book on a
	// busy machine.
	clockSlack = 250 * time.Millisecond
	// maxBroken bounds the findings that are kept.
	maxBroken = 50
)

// request is one attempt of a caller.
type request struct {
	id, method, path, key, body string
	m                           *machine
	sent                        time.Time
	idempotent                  bool

	runs   int // by targets
	status int // of the answer; 0 without one
}

// book holds what callers and targets have seen, and judges it.
type book struct {
	ids atomic.Int64

	mu       sync.Mutex
	requests map[string]*request
	exports  []time.Time // runs for the customer with a rate
	findings []string
	served   int
	refused  int
	failed   int
}

func newBook() *book { return &book{requests: make(map[string]*request)} }

func (b *book) nextID() int64 { return b.ids.Add(1) }

// broken notes a broken promise.
func (b *book) broken(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.note(format, args...)
}

func (b *book) note(format string, args ...any) {
	if len(b.findings) < maxBroken {
		b.findings = append(b.findings, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
	}
}

func (b *book) onSend(r *request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[r.id] = r
}

// onRun takes a request that a target begins to run.
func (b *book) onRun(t *target, r *http.Request, got standin.ReceivedHeaders, body string, acked time.Time) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	q := b.requests[got.Attempt]
	if q == nil {
		b.note("UNASKED: %s ran %q, which nobody sent", t.m.name, got.Attempt)
		return
	}
	q.runs++
	switch {
	case r.Method != q.method || r.URL.Path != q.path || body != q.body:
		b.note("UNASKED: %s ran %s as %s %s", t.m.name, q.id, r.Method, r.URL.Path)
	case got.HasKey || got.Customer != customerOf(q.key):
		b.note("UNASKED: %s ran %s for customer %q, want %q; key passed on: %v", t.m.name, q.id, got.Customer, customerOf(q.key), got.HasKey)
	case got.Caller != q.m.service:
		b.note("UNASKED: %s ran %s for caller %q, want %q", t.m.name, q.id, got.Caller, q.m.service)
	case !q.idempotent && q.runs > 1:
		b.note("TWICE: %s ran at %s, run %d", q.id, t.m.name, q.runs)
	case !q.idempotent && isRefusal(q.status):
		b.note("REFUSED: %s was answered %d and runs at %s", q.id, q.status, t.m.name)
	case !acked.IsZero() && now.Sub(acked) > drainTime+clockSlack:
		b.note("DRAIN: %s ran at %s %v after its leaving was acknowledged", q.id, t.m.name, now.Sub(acked))
	}
	if got.Customer == "export" {
		b.exports = append(b.exports, now)
	}
	b.checkOut(t.m, q, now)
}

// checkOut looks for work in an availability zone that is out of service.
func (b *book) checkOut(m *machine, q *request, now time.Time) {
	since := m.quiet.out()
	if since.IsZero() || !m.quiet.calm(now, contactTime) || !q.m.quiet.calm(now, contactTime) {
		return
	}
	if after := now.Sub(since); after > evacuate+outerTime+clockSlack {
		b.note("EVAC: %s ran at %s %v after its availability zone went out", q.id, m.name, after)
	}
}

// isRefusal reports whether a status promises that the request has not run.
func isRefusal(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// onAnswer takes what a caller got. signature is that of a target.
func (b *book) onAnswer(q *request, status int, signed, body string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	q.status = status
	want := answerTo(q.method, q.path, q.body, q.id)
	switch {
	case status == http.StatusOK && (body != want || signed != signature(want)):
		b.note("MIXED: %s got %q, want %q", q.id, body, want)
	case status == http.StatusOK:
		b.served++
	case isRefusal(status):
		b.refused++
		if !q.idempotent && q.runs > 0 {
			b.note("REFUSED: %s was answered %d and has run %d times", q.id, status, q.runs)
		}
	case status == http.StatusNotFound || status == http.StatusUnauthorized && q.key != "k-guest":
		b.note("DENIED: %s got %d at %s", q.id, status, q.m.name)
	default:
		b.failed++
	}
}

// finish judges what needs the whole record.
func (b *book) finish() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := int((exportRate*quotaWindow.Seconds()+exportBurst)*(1+quotaOver)) + quotaSlack
	first := 0
	for i, at := range b.exports {
		for at.Sub(b.exports[first]) > quotaWindow {
			first++
		}
		if n := i - first + 1; n > limit {
			b.note("QUOTA: %d runs in %v, at most %d", n, quotaWindow, limit)
			break
		}
	}
	return slices.Clone(b.findings)
}

// quiet tells since when a machine is undisturbed, and whether its zone is out.
type quiet struct {
	mu      sync.Mutex
	until   time.Time // end of the newest disturbance
	zoneOut time.Time
}

func (q *quiet) disturb(d time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if end := time.Now().Add(d); end.After(q.until) {
		q.until = end
	}
}

// calm reports whether nothing has disturbed the machine for a time.
func (q *quiet) calm(now time.Time, d time.Duration) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return now.Sub(q.until) > d
}

func (q *quiet) setOut(at time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.zoneOut = at
}

func (q *quiet) out() time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.zoneOut
}
