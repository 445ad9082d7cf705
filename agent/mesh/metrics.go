package mesh

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// maxLatency and latencyDigits bound the histogram of latencies.
	maxLatency    = time.Minute
	latencyDigits = 2
)

// metrics are the node's counters.
type metrics struct {
	vars    *expvar.Map
	reasons *expvar.Map
	served  expvar.Int
	refused expvar.Int
	probes  expvar.Int
	// Bytes sent on links inside the availability zone and to other ones.
	sentNear, sentFar *expvar.Map

	mu      sync.Mutex
	latency *hdrhistogram.Histogram // microseconds
}

func newMetrics() *metrics {
	m := &metrics{
		vars:    new(expvar.Map).Init(),
		reasons: new(expvar.Map).Init(),

		sentNear: new(expvar.Map).Init(),
		sentFar:  new(expvar.Map).Init(),

		latency: hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits),
	}
	m.vars.Set("served", &m.served)
	m.vars.Set("refused_by_reason", m.reasons)
	m.vars.Set("gate_refused", &m.refused)
	m.vars.Set("probes", &m.probes)
	m.vars.Set("sent_bytes_in_zone", m.sentNear)
	m.vars.Set("sent_bytes_to_other_zones", m.sentFar)
	m.vars.Set("latency_us", expvar.Func(m.quantiles))
	return m
}

// sent returns the counters of the bytes that are sent on a link.
func (m *metrics) sent(inZone bool) *expvar.Map {
	if inZone {
		return m.sentNear
	}
	return m.sentFar
}

// answered counts an answer to a caller.
func (m *metrics) answered(a *model.Answer, took time.Duration) {
	if a.FromSystem() {
		m.reasons.Add(string(a.Reason), 1)
		return
	}
	m.served.Add(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.latency.RecordValue(min(took, maxLatency).Microseconds()) // clamped to the range
}

func (m *metrics) quantiles() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	return map[string]int64{
		"p50":   m.latency.ValueAtQuantile(50),
		"p90":   m.latency.ValueAtQuantile(90),
		"p99":   m.latency.ValueAtQuantile(99),
		"count": m.latency.TotalCount(),
	}
}
