package quorum

import (
	"expvar"
	"sync/atomic"
)

// metrics are the duty's counters. Other threads may read them.
type metrics struct {
	tokensGranted        atomic.Int64 // as grantor
	tokenRequestsRefused atomic.Int64 // of this node's routing duty
	claims               atomic.Int64 // claims of this node with a result
	messagesUnsent       atomic.Int64 // no link to the peer, or its queue was full
	retirements          atomic.Int64 // times that the votes were given up after a pause
	records              atomic.Int64
	leasesHeld           atomic.Int64
}

func (m *metrics) update(h *Handler) {
	m.records.Store(int64(h.store.Len()))
	m.leasesHeld.Store(int64(h.leases.HeldCount()))
}

// addTo publishes the metrics under their names.
func (m *metrics) addTo(vars *expvar.Map) {
	for name, value := range map[string]*atomic.Int64{
		"tokens_granted": &m.tokensGranted, "token_requests_refused": &m.tokenRequestsRefused, "claims": &m.claims,
		"messages_unsent": &m.messagesUnsent, "retirements": &m.retirements, "records": &m.records, "leases_held": &m.leasesHeld,
	} {
		vars.Set(name, expvar.Func(func() any { return value.Load() }))
	}
}
