package mesh

import (
	"fmt"
	"strings"

	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/policy/mesh/zoneshare"
)

// reportZoneShares logs the changes of the shares of the calls that leave the
// availability zone, and publishes the shares.
func (h *entryHandler) reportZoneShares() {
	for _, c := range h.core.TakeShareChanges() {
		h.node.log.Emit(event.MeshZoneShareChanged, "service", c.Service, "nested", c.Nested, "share", c.Leaving, "reason", c.Reason,
			"own", loadText(c.Input.Own), "others", loadsText(c.Input.Others), "gain", c.Input.Gain)
	}
	shares := h.core.ZoneShares()
	h.node.metrics.zoneShares.Store(&shares)
}

// loadText returns the utilization, the capacity and the age of the reports of a zone's
// targets.
func loadText(l zoneshare.Load) string {
	return fmt.Sprintf("%s %.2f of %.0f/s, %d ms old", l.Zone, l.Utilization(), l.Capacity, l.Age.Milliseconds())
}

func loadsText(loads []zoneshare.Load) string {
	texts := make([]string, len(loads))
	for i, l := range loads {
		texts[i] = loadText(l)
	}
	return strings.Join(texts, "; ")
}

// zoneSharesByService returns, for the external and the nested calls to each service, the
// share that leaves the availability zone, its reason and what it depends on.
func (m *metrics) zoneSharesByService() any {
	out := make(map[string]map[string]any)
	shares := m.zoneShares.Load()
	if shares == nil {
		return out
	}
	for _, s := range *shares {
		service, kind := string(s.Service), "external"
		if s.Nested {
			kind = "nested"
		}
		if out[service] == nil {
			out[service] = make(map[string]any)
		}
		out[service][kind] = map[string]any{
			"share": s.Leaving, "reason": s.Reason, "own_utilization": s.Input.Own.Utilization(),
			"own_capacity": s.Input.Own.Capacity, "own_age_ms": s.Input.Own.Age.Milliseconds(),
		}
	}
	return out
}
