package mesh

import (
	"expvar"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/mesh/chain"
	"github.com/oleanderworks/oleanderworks/policy/mesh/dispatch"
)

const (
	// maxLatency is the largest value of the latency histogram; longer latencies
	// are recorded as maxLatency. latencyDigits is the histogram's precision in
	// significant decimal digits.
	maxLatency    = time.Minute
	latencyDigits = 2
)

// metrics holds the node's counters and its latency histogram.
type metrics struct {
	vars            *expvar.Map
	refusedByReason *expvar.Map
	served          expvar.Int // requests that a target answered, with any status
	gateRefused     expvar.Int
	retriesDenied   expvar.Int   // requests that the retry budget of their service did not allow to be sent again
	windows         *expvar.Map  // sizes of the windows of external calls, by priority
	nestedSlots     expvar.Float // slots that nested calls needed recently
	probes          expvar.Int
	crashReports    expvar.Int // reports that a target crashed while it ran a request, also those of peers
	// suspectedRequests is the number of requests that are suspected of crashing targets,
	// including the refused ones.
	suspectedRequests expvar.Int
	// rollouts holds the phase of each service's order to move to another version.
	rollouts       *expvar.Map
	rolloutWrites  expvar.Int  // states of orders that this node wrote to the log
	rolloutReports expvar.Int  // states of orders that this node sent to its peers
	logChecks      expvar.Int  // checks whether the log has newer documents
	limits         *expvar.Map // requests and connections that were refused or ended by a limit
	memory         memoryMetrics
	// chainLimits holds the limits on requests whose nested calls need a service that is
	// short of room; nil until the first tick of the entry duty.
	chainLimits atomic.Pointer[[]chain.Limit]
	// zoneShares holds the shares of the calls that leave the availability zone; nil until
	// the first tick of the entry duty.
	zoneShares atomic.Pointer[[]dispatch.ZoneShare]
	// Bytes sent on links within the availability zone and to other zones.
	sentInZone, sentToOtherZones *expvar.Map

	mu      sync.Mutex
	latency *hdrhistogram.Histogram // microseconds; of requests that a target answered
}

func newMetrics() *metrics {
	m := &metrics{
		vars:            new(expvar.Map).Init(),
		refusedByReason: new(expvar.Map).Init(),
		windows:         new(expvar.Map).Init(),
		limits:          new(expvar.Map).Init(),

		rollouts:         new(expvar.Map).Init(),
		sentInZone:       new(expvar.Map).Init(),
		sentToOtherZones: new(expvar.Map).Init(),

		latency: hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits),
	}
	m.vars.Set("served", &m.served)
	m.vars.Set("refused_by_reason", m.refusedByReason)
	m.vars.Set("client_limits", m.limits)
	m.vars.Set("gate_refused", &m.gateRefused)
	m.vars.Set("retries_denied", &m.retriesDenied)
	m.vars.Set("external_windows", m.windows)
	m.vars.Set("nested_slots", &m.nestedSlots)
	m.vars.Set("probes", &m.probes)
	m.vars.Set("crash_reports", &m.crashReports)
	m.vars.Set("suspected_requests", &m.suspectedRequests)
	m.vars.Set("log_checks", &m.logChecks)
	m.vars.Set("rollouts", m.rollouts)
	m.vars.Set("rollout_writes", &m.rolloutWrites)
	m.vars.Set("rollout_reports", &m.rolloutReports)
	m.vars.Set("chain_limits", expvar.Func(m.chainLimitsByService))
	m.vars.Set("zone_shares", expvar.Func(m.zoneSharesByService))
	m.vars.Set("sent_bytes_in_zone", m.sentInZone)
	m.vars.Set("sent_bytes_to_other_zones", m.sentToOtherZones)
	m.vars.Set("latency_us", expvar.Func(m.latencyQuantiles))
	return m
}

// sentBytes returns the counters of bytes sent for a link within the
// availability zone or to another one.
func (m *metrics) sentBytes(inZone bool) *expvar.Map {
	if inZone {
		return m.sentInZone
	}
	return m.sentToOtherZones
}

// setWindow sets the size of the window of external calls of a priority.
func (m *metrics) setWindow(priority int, size float64) {
	v := new(expvar.Float)
	v.Set(size)
	m.windows.Set(strconv.Itoa(priority), v)
}

// recordAnswer counts an answer to a caller and, if a target sent it, records the
// latency.
func (m *metrics) recordAnswer(a *model.Answer, elapsed time.Duration) {
	if a.FromNode() {
		m.refusedByReason.Add(string(a.Reason), 1)
		return
	}
	m.served.Add(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.latency.RecordValue(min(elapsed, maxLatency).Microseconds()) // clamped to the range
}

// chainLimitsByService returns, for each service that requests reach through nested calls,
// the fraction of these requests that is begun and the load that decides it.
func (m *metrics) chainLimitsByService() any {
	out := make(map[string]map[string]any)
	if limits := m.chainLimits.Load(); limits != nil {
		for _, l := range *limits {
			out[string(l.Service)] = map[string]any{
				"state": l.State, "fraction": l.Fraction, "shed": l.Load.ShedFraction,
				"queue_delay_ms": l.Load.QueueDelay.Milliseconds(), "nested": l.Load.Nested, "limit": l.Load.Limit,
			}
		}
	}
	return out
}

func (m *metrics) latencyQuantiles() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	return map[string]int64{
		"p50":   m.latency.ValueAtQuantile(50),
		"p90":   m.latency.ValueAtQuantile(90),
		"p99":   m.latency.ValueAtQuantile(99),
		"count": m.latency.TotalCount(),
	}
}

// setRolloutPhase publishes the phase of a service's order to move to another version.
func (m *metrics) setRolloutPhase(service model.Service, phase model.RolloutPhase) {
	value := new(expvar.String)
	value.Set(phase.String())
	m.rollouts.Set(string(service), value)
}
