package configcheck

import (
	"strings"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/model/graph"
)

// minAttemptTime is the shortest time that an attempt needs to be of use. A waiting call
// expires 15 ms before its deadline, and gates look for expired calls every 20 ms
// (policy/mesh/gate): with less than both, it may be refused the first time they look.
const minAttemptTime = 35 * time.Millisecond

// routeMatch is what a request is matched by.
type routeMatch struct{ host, prefix string }

func (c *checker) checkRoutes() {
	names := make(map[string]int)
	matches := make(map[routeMatch]Place)
	services := make(map[model.Service]bool)
	for _, s := range c.draft.Services {
		services[s.Name] = true
	}
	for i, r := range c.draft.Routes {
		if r == nil {
			continue
		}
		place := Place{graph.KindRoute, i, r.Name}
		c.checkName(place, names)
		c.checkMatch(place, r, matches)
		c.checkTimes(place, r)
		c.checkSplit(place, r, services)
	}
}

// checkName finds names that an earlier object of the same kind has. Of services and
// customers with one name nodes keep the last; state of routes is kept by name.
func (c *checker) checkName(place Place, names map[string]int) {
	if place.Name == "" {
		c.fail(place, "has no name")
		return
	}
	if other, ok := names[place.Name]; ok {
		c.fail(place, "has the name of %s %d", place.Kind, other)
		return
	}
	names[place.Name] = place.Index
}

func (c *checker) checkMatch(place Place, r *graph.Route, matches map[routeMatch]Place) {
	if r.Host == "" {
		c.fail(place, "has no host")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		c.fail(place, "prefix %q does not begin and end with a slash", r.Prefix)
	}
	match := routeMatch{r.Host, r.Prefix}
	if other, ok := matches[match]; ok {
		c.fail(place, "never matches: hidden by %s, which has the same host and prefix", other)
	} else {
		matches[match] = place
	}
	if limit := c.draft.Limits.HeaderBytes; limit > 0 && len(r.Host)+len(r.Prefix) > limit {
		c.warn(place, "host and prefix are longer than the header limit of %d bytes", limit)
	}
}

func (c *checker) checkTimes(place Place, r *graph.Route) {
	if r.MaxAttempts < 1 {
		c.fail(place, "%d attempts, want at least 1", r.MaxAttempts)
	}
	if r.LatencyObjective < 0 {
		c.warn(place, "the latency objective %v is negative", r.LatencyObjective)
	}
	if r.Timeout <= 0 {
		c.fail(place, "has no timeout")
		return
	}
	if r.LatencyObjective > r.Timeout {
		c.warn(place, "the latency objective %v is above the timeout %v", r.LatencyObjective, r.Timeout)
	}
	if r.MaxAttempts >= 1 && r.Timeout/time.Duration(r.MaxAttempts) < minAttemptTime {
		c.warn(place, "the timeout %v leaves less than %v for each of %d attempts", r.Timeout, minAttemptTime, r.MaxAttempts)
	}
}

func (c *checker) checkSplit(place Place, r *graph.Route, services map[model.Service]bool) {
	if len(r.Split) == 0 {
		c.fail(place, "has no service")
		return
	}
	var highest float64
	for _, weighted := range r.Split {
		if !services[weighted.Service] {
			c.fail(place, "service %q is not configured", weighted.Service)
		}
		if weighted.Weight < 0 {
			c.fail(place, "service %q has the negative weight %v", weighted.Service, weighted.Weight)
		}
		highest = max(highest, weighted.Weight)
	}
	if highest == 0 {
		c.fail(place, "no service has a weight above 0")
	}
}
