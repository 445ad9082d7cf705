package configcheck

import (
	"fmt"
	"slices"
	"strings"

	"github.com/oleanderworks/oleanderworks/model/graph"
)

// object is an object of a configuration with its fields as text, for comparison.
type object struct {
	place  Place
	fields []field
	keys   []string // compared, never printed
}

type field struct{ name, value string }

// compare adds a change for each difference from the version in force.
func (c *checker) compare(inForce *graph.Draft) {
	if c.draft.Version != inForce.Version {
		c.add(Change, document, "version %d -> %d", inForce.Version, c.draft.Version)
	}
	before, after := objects(inForce), objects(c.draft)
	for id, now := range after {
		if old, ok := before[id]; ok {
			c.compareObject(old, now)
		} else {
			c.add(Change, now.place, "added%s", keyCount(now))
		}
	}
	for id, old := range before {
		if _, ok := after[id]; !ok {
			c.add(Change, old.place, "removed%s", keyCount(old))
		}
	}
}

func (c *checker) compareObject(old, now object) {
	for i, f := range now.fields {
		if was := old.fields[i].value; was != f.value {
			c.add(Change, now.place, "%s %s -> %s", f.name, was, f.value)
		}
	}
	added, removed := countMissing(now.keys, old.keys), countMissing(old.keys, now.keys)
	if added+removed > 0 {
		c.add(Change, now.place, "keys added: %d, keys removed: %d", added, removed)
	}
}

// countMissing returns how many different keys of list are not in other.
func countMissing(list, other []string) int {
	missing := make(map[string]bool)
	for _, key := range list {
		if !slices.Contains(other, key) {
			missing[key] = true
		}
	}
	return len(missing)
}

func keyCount(o object) string {
	if o.place.Kind != graph.KindCustomer {
		return ""
	}
	return fmt.Sprintf(", keys: %d", countMissing(o.keys, nil))
}

// id identifies an object in two versions of a configuration.
type id struct {
	kind graph.Kind
	name string
}

// objects returns the objects of a configuration; of several with one name, the first.
func objects(d *graph.Draft) map[id]object {
	out := make(map[id]object)
	add := func(o object) {
		key := id{o.place.Kind, o.place.Name}
		if _, ok := out[key]; !ok {
			out[key] = o
		}
	}
	add(object{place: document, fields: limitFields(d.Limits)})
	for i, r := range d.Routes {
		if r != nil {
			add(object{place: Place{graph.KindRoute, i, r.Name}, fields: routeFields(r)})
		}
	}
	for i, s := range d.Services {
		add(object{place: Place{graph.KindService, i, string(s.Name)}, fields: serviceFields(s)})
	}
	for i, customer := range d.Customers {
		if customer != nil {
			place := Place{graph.KindCustomer, i, string(customer.Name)}
			add(object{place: place, fields: customerFields(customer), keys: customer.Keys})
		}
	}
	return out
}

func limitFields(l graph.Limits) []field {
	return []field{
		{"header limit", fmt.Sprint(l.HeaderBytes)},
		{"body limit", fmt.Sprint(l.BodyBytes)},
		{"idle timeout", l.IdleTimeout.String()},
	}
}

func routeFields(r *graph.Route) []field {
	return []field{
		{"host", fmt.Sprintf("%q", r.Host)},
		{"prefix", fmt.Sprintf("%q", r.Prefix)},
		{"idempotent", fmt.Sprint(r.Idempotent)},
		{"needs a key", fmt.Sprint(!r.Open)},
		{"timeout", r.Timeout.String()},
		{"latency objective", r.LatencyObjective.String()},
		{"priority", fmt.Sprint(r.Priority)},
		{"attempts", fmt.Sprint(r.MaxAttempts)},
		{"split", describeSplit(r.Split)},
	}
}

func describeSplit(split []graph.WeightedService) string {
	var parts []string
	for _, weighted := range split {
		parts = append(parts, fmt.Sprintf("%q %v", weighted.Service, weighted.Weight))
	}
	return "[" + strings.Join(parts, ", ") + "]"
}

func serviceFields(s *graph.Service) []field {
	return []field{
		{"health path", fmt.Sprintf("%q", s.HealthPath)},
		{"connections", fmt.Sprint(s.MaxConnections)},
		{"cold duration", s.ColdDuration.String()},
		{"cold rate", fmt.Sprint(s.ColdRate)},
	}
}

func customerFields(customer *graph.Customer) []field {
	priority := "none"
	if customer.HasPriority {
		priority = fmt.Sprint(customer.Priority)
	}
	return []field{
		{"priority", priority},
		{"rate", fmt.Sprint(customer.Rate)},
		{"burst", fmt.Sprint(customer.Burst)},
	}
}
