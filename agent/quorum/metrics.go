package quorum

import (
	"expvar"
	"sync/atomic"
)

// metrics are the duty's counters, readable by other threads.
type metrics struct {
	granted atomic.Int64 // tokens
	refused atomic.Int64 // requests for tokens
	claims  atomic.Int64 // results of claims
	unsent  atomic.Int64 // messages without a link
	pauses  atomic.Int64
	records atomic.Int64
	leases  atomic.Int64
}

func (m *metrics) update(h *Handler) {
	m.records.Store(int64(h.store.Len()))
	m.leases.Store(int64(h.leases.HeldCount()))
}

// addTo publishes the metrics under their names.
func (m *metrics) addTo(vars *expvar.Map) {
	for name, value := range map[string]*atomic.Int64{
		"tokens_granted": &m.granted, "token_requests_refused": &m.refused, "claims": &m.claims,
		"messages_unsent": &m.unsent, "retirements": &m.pauses, "records": &m.records, "leases_held": &m.leases,
	} {
		vars.Set(name, expvar.Func(func() any { return value.Load() }))
	}
}
