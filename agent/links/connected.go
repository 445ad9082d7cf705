package links

import "github.com/oleanderworks/oleanderworks/model"

// Connected returns the instances to which Send has a link, in no particular
// order. It is safe for concurrent use.
func (h *Handler) Connected() []model.Instance {
	sessions, inbound := *h.sessionsView.Load(), *h.inboundView.Load()
	out := make([]model.Instance, 0, len(sessions)+len(inbound))
	for i := range sessions {
		out = append(out, i)
	}
	for i := range inbound {
		if sessions[i] == nil {
			out = append(out, i)
		}
	}
	return out
}
