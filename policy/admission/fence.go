package admission

import (
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

// fence judges again, at the target's node, what the entry node judged from
// a configuration that may be older. It returns a refusal or nil.
func (c *Core) fence(now time.Time, call *model.Call) *model.Answer {
	if c.service() == nil {
		return model.Refusal(call.ID, model.ReasonNoContact, "the target's node has no configuration yet")
	}
	if call.Service != c.self.Service {
		return model.Refusal(call.ID, model.ReasonNoTarget, "the target serves another service")
	}
	if c.snapshot.Zones[c.self.Zone].Out {
		return model.Refusal(call.ID, model.ReasonZoneOut, "the availability zone is out of service")
	}
	if c.snapshot.Targets[c.self.Instance].Out {
		return model.Refusal(call.ID, model.ReasonTargetOut, "the target is out of service")
	}
	if !call.Open && c.contact.lost(now) {
		return model.Refusal(call.ID, model.ReasonNoContact, "the target's node has no contact with the log or its peers")
	}
	if !call.Open {
		if _, ok := c.snapshot.CustomerOf(call.KeyHash); !ok {
			return model.Refusal(call.ID, model.ReasonKeyUnknown, "the key is unknown or withdrawn")
		}
	}
	if !now.Before(call.Deadline) {
		return model.Refusal(call.ID, model.ReasonDeadline, "the deadline has passed")
	}
	return nil
}
