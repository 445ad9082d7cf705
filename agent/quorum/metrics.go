package quorum

import (
	"expvar"
	"sync/atomic"
)

// metrics are the duty's counters and gauges. Other threads may read them.
type metrics struct {
	tokensGranted        atomic.Int64 // tokens that this node granted as grantor
	tokenRequestsRefused atomic.Int64 // token requests of this node's routing duty that were refused
	claims               atomic.Int64 // claims for requests of this node's callers that have ended, with any outcome
	messagesUnsent       atomic.Int64 // messages not sent: not encodable, no link to the peer, or its queue full
	retirements          atomic.Int64 // times the voter was retired after a pause
	records              atomic.Int64 // request records that this node holds as a member of groups
	leasesHeld           atomic.Int64 // groups of which this node is the grantor
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
