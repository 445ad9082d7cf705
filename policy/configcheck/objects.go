package configcheck

import "github.com/oleanderworks/oleanderworks/model/graph"

const (
	// maxBodyBytes is the largest body that a node takes, whatever the configuration says,
	// since a body must fit into a frame (agent/mesh).
	maxBodyBytes = 64 << 20
	// rateWindow is the time in seconds over which the use of a rate is measured
	// (policy/mesh/quota).
	rateWindow = 5
)

func (c *checker) checkLimits() {
	l := c.draft.Limits
	if l.HeaderBytes < 0 || l.BodyBytes < 0 || l.IdleTimeout < 0 {
		c.warn(document, "a negative limit counts as none")
	}
	if l.HeaderBytes > 0 && l.BodyBytes > 0 && int64(l.HeaderBytes) > l.BodyBytes {
		c.warn(document, "the header limit of %d bytes is above the body limit of %d bytes", l.HeaderBytes, l.BodyBytes)
	}
	if l.BodyBytes > maxBodyBytes {
		c.warn(document, "the body limit of %d bytes is above the %d bytes that nodes take", l.BodyBytes, int64(maxBodyBytes))
	}
}

func (c *checker) checkServices() {
	names := make(map[string]int)
	for i, s := range c.draft.Services {
		place := Place{graph.KindService, i, string(s.Name)}
		c.checkName(place, names)
		if s.ColdRate < 0 || s.ColdDuration < 0 {
			c.warn(place, "a negative cold rate or duration counts as none")
		}
		if s.ColdRate > 0 && s.ColdDuration <= 0 {
			c.warn(place, "has a cold rate of %v/s but no cold duration", s.ColdRate)
		}
	}
}

func (c *checker) checkCustomers() {
	names := make(map[string]int)
	holders := make(map[string]Place) // by key
	keysNeeded := c.needsKeys()
	for i, customer := range c.draft.Customers {
		if customer == nil {
			continue
		}
		place := Place{graph.KindCustomer, i, string(customer.Name)}
		c.checkName(place, names)
		c.checkRate(place, customer)
		c.checkKeys(place, customer.Keys, holders)
		if len(customer.Keys) > 0 && !keysNeeded {
			c.warn(place, "keys that can never be used, as no route needs one: %d", len(customer.Keys))
		}
	}
}

// needsKeys reports whether a route needs a key, or might after its fields are corrected.
func (c *checker) needsKeys() bool {
	for _, r := range c.draft.Routes {
		if r == nil || !r.Open {
			return true
		}
	}
	return false
}

func (c *checker) checkRate(place Place, customer *graph.Customer) {
	rate, burst := customer.Rate, customer.Burst
	if rate < 0 || burst < 0 {
		c.fail(place, "rate %v and burst %v, want at least 0", rate, burst)
		return
	}
	switch {
	case rate == 0 && burst > 0:
		c.warn(place, "burst %v has no effect: no rate is set", burst)
	case rate > 0 && burst < 1:
		c.warn(place, "burst %v is below one request", burst)
	}
	if rate > 0 && rate*rateWindow < 1 {
		c.warn(place, "rate %v/s is below one request in the %d s over which it is measured", rate, rateWindow)
	}
}

// checkKeys finds keys that identify no customer. holders has the first customer with each
// key. Keys are counted, not named.
func (c *checker) checkKeys(place Place, keys []string, holders map[string]Place) {
	shared := make(map[Place]int)
	repeated, empty := 0, 0
	for _, key := range keys {
		other, held := holders[key]
		switch {
		case key == "":
			empty++
		case !held:
			holders[key] = place
		case other == place:
			repeated++
		default:
			shared[other]++
		}
	}
	for other, n := range shared {
		c.fail(place, "keys shared with %s: %d", other, n)
	}
	if repeated > 0 {
		c.warn(place, "keys listed more than once: %d", repeated)
	}
	if empty > 0 {
		c.fail(place, "empty keys: %d", empty)
	}
}
