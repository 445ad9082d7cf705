package routing

import (
	"expvar"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/oleanderworks/oleanderworks/policy/node/routing"
)

const (
	// Histograms record 1 us to 60 s with two significant digits.
	maxMicros         = 60_000_000
	significantDigits = 2
	// The quantiles cover the last minute in windows of 10 s.
	windowCount     = 6
	windowDuration  = 10 * time.Second
	publishInterval = time.Second
	p50Percent      = 50
	p99Percent      = 99
)

// metrics holds the metrics of the routing duty. Only the duty's thread uses the
// histograms; expvar reads immutable values that are published from them.
type metrics struct {
	vars *expvar.Map

	// routing is the time from when the whole request was read to the first
	// decision. It includes the waits for tokens and claims only if that decision
	// is an answer.
	routing      *quantiles
	tokenWait    *quantiles
	claimWait    *quantiles
	handoffDelay *quantiles // from a call's arrival at the target's node to its handoff, including the time in the queue

	refusals        *expvar.Map // refusals and failures, by reason
	answered        *expvar.Int
	moves           *expvar.Int
	retries         *expvar.Int
	dropped         *expvar.Int // reports, completions and releases dropped because the quorum duty's ring was full
	callsInProgress *expvar.Int
	parents         *expvar.Int // calls running at the target

	publishedAt, rotatedAt time.Time
}

func newMetrics() *metrics {
	m := &metrics{
		vars:            new(expvar.Map).Init(),
		routing:         newQuantiles(),
		tokenWait:       newQuantiles(),
		claimWait:       newQuantiles(),
		handoffDelay:    newQuantiles(),
		refusals:        new(expvar.Map).Init(),
		answered:        new(expvar.Int),
		moves:           new(expvar.Int),
		retries:         new(expvar.Int),
		dropped:         new(expvar.Int),
		callsInProgress: new(expvar.Int),
		parents:         new(expvar.Int),
	}
	m.vars.Set("routing_us", m.routing)
	m.vars.Set("token_wait_us", m.tokenWait)
	m.vars.Set("claim_wait_us", m.claimWait)
	m.vars.Set("target_node_us", m.handoffDelay)
	m.vars.Set("refusals", m.refusals)
	m.vars.Set("answered", m.answered)
	m.vars.Set("moves", m.moves)
	m.vars.Set("retries", m.retries)
	m.vars.Set("quorum_dropped", m.dropped)
	m.vars.Set("calls", m.callsInProgress)
	m.vars.Set("parents", m.parents)
	return m
}

func (m *metrics) recordDecision(d routing.Decision) {
	switch {
	case d.Answer != nil && !d.Answer.FromNode():
		m.answered.Add(1)
	case d.Answer != nil:
		m.refusals.Add(string(d.Answer.Reason), 1)
	case d.Cause == routing.Moved:
		m.moves.Add(1)
	case d.Cause == routing.Retried:
		m.retries.Add(1)
	}
}

func (m *metrics) recordFirstDecision(total time.Duration, d routing.Decision) {
	m.routing.record(total - d.TokenWait - d.ClaimWait)
	if d.TokenWait > 0 {
		m.tokenWait.record(d.TokenWait)
	}
	if d.ClaimWait > 0 {
		m.claimWait.record(d.ClaimWait)
	}
}

func (m *metrics) publishAll(now time.Time, core *routing.Core) {
	if now.Sub(m.publishedAt) < publishInterval {
		return
	}
	m.publishedAt = now
	m.callsInProgress.Set(int64(core.Len()))
	m.parents.Set(int64(core.ParentCount()))
	rotate := now.Sub(m.rotatedAt) >= windowDuration
	if rotate {
		m.rotatedAt = now
	}
	for _, q := range []*quantiles{m.routing, m.tokenWait, m.claimWait, m.handoffDelay} {
		q.publish(rotate)
	}
}

// quantiles records durations. As an expvar.Var it returns the quantiles published
// last.
type quantiles struct {
	histogram *hdrhistogram.WindowedHistogram
	newest    atomic.Pointer[quantileValues]
}

// quantileValues are in microseconds.
type quantileValues struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

func newQuantiles() *quantiles {
	q := &quantiles{histogram: hdrhistogram.NewWindowed(windowCount, 1, maxMicros, significantDigits)}
	q.newest.Store(new(quantileValues))
	return q
}

func (q *quantiles) record(d time.Duration) {
	// The value is clamped to the histogram's range, so no error is possible.
	_ = q.histogram.Current.RecordValue(min(max(d.Microseconds(), 1), maxMicros))
}

func (q *quantiles) publish(rotate bool) {
	h := q.histogram.Merge()
	q.newest.Store(&quantileValues{
		Count: h.TotalCount(),
		P50:   h.ValueAtQuantile(p50Percent),
		P99:   h.ValueAtQuantile(p99Percent),
		Max:   h.Max(),
	})
	if rotate {
		q.histogram.Rotate()
	}
}

// String implements expvar.Var.
func (q *quantiles) String() string {
	return expvar.Func(func() any { return q.newest.Load() }).String()
}
