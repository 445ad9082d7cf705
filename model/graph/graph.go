// Package graph holds the configuration of a service call graph: its routes,
// services and customers, as one immutable document.
package graph

import (
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/model"
)

// Route describes the requests that match a host and a path prefix.
type Route struct {
	Name       string
	Host       string
	Prefix     string // begins and ends with a slash
	Idempotent bool   // may run more than once
	Open       bool   // needs no key
	Timeout    time.Duration
	Objective  time.Duration // an answer within it earns its full credit
	Priority   int           // 0 is the highest
	Attempts   int           // targets to which one request may be sent
	Parts      []Part
}

// Part is one of the services among which a route's requests are divided.
type Part struct {
	Service model.Service
	Weight  float64
}

// Service describes what each target of a service bears.
type Service struct {
	Name           model.Service
	HealthPath     string
	MaxConnections int           // accepted by one target from all callers
	ColdTime       time.Duration // after a start
	ColdRate       float64       // requests a second that a cold target bears
}

// Customer is the owner of keys and of a rate over the whole fleet.
type Customer struct {
	Name        model.Customer
	Keys        []string
	Priority    int // takes precedence over the route's, if HasPriority
	HasPriority bool
	Rate        float64 // requests a second; 0 for no limit
	Burst       float64 // requests
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	IdleTimeout time.Duration
}

// Config is one version of the configuration. It is never changed.
type Config struct {
	Version   uint64
	Limits    Limits
	Routes    []*Route
	Services  map[model.Service]*Service
	Customers map[model.Customer]*Customer

	hosts map[string][]*Route // longest prefix first
	keys  map[string]*Customer
}

// New checks the parts of a configuration and builds its indexes. The error
// names the object at fault.
func New(version uint64, limits Limits, routes []*Route, services []*Service, customers []*Customer) (*Config, error) {
	c := &Config{
		Version:   version,
		Limits:    limits,
		Routes:    routes,
		Services:  make(map[model.Service]*Service, len(services)),
		Customers: make(map[model.Customer]*Customer, len(customers)),
		hosts:     make(map[string][]*Route),
		keys:      make(map[string]*Customer),
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		if err := c.addRoute(r); err != nil {
			return nil, errors.Wrapf(err, "route %q", r.Name)
		}
	}
	for _, u := range customers {
		if err := c.addCustomer(u); err != nil {
			return nil, errors.Wrapf(err, "customer %q", u.Name)
		}
	}
	for _, list := range c.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return c, nil
}

func (c *Config) addRoute(r *Route) error {
	switch {
	case r.Host == "":
		return errors.New("has no host")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return errors.Errorf("prefix %q does not begin and end with a slash", r.Prefix)
	case r.Attempts < 1:
		return errors.Errorf("%d attempts, want at least 1", r.Attempts)
	case r.Timeout <= 0:
		return errors.New("has no timeout")
	case len(r.Parts) == 0:
		return errors.New("has no service")
	}
	for _, p := range r.Parts {
		if c.Services[p.Service] == nil {
			return errors.Errorf("service %q is not configured", p.Service)
		}
		if p.Weight < 0 {
			return errors.Errorf("service %q has a negative weight", p.Service)
		}
	}
	c.hosts[r.Host] = append(c.hosts[r.Host], r)
	return nil
}

func (c *Config) addCustomer(u *Customer) error {
	if u.Name == "" {
		return errors.New("has no name")
	}
	c.Customers[u.Name] = u
	for _, key := range u.Keys {
		if other := c.keys[key]; other != nil && other != u {
			return errors.Errorf("shares a key with customer %q", other.Name)
		}
		c.keys[key] = u
	}
	return nil
}

// Match returns the route of a host with the longest prefix that begins the
// path, or nil.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// CustomerOf returns the customer that holds a key, or nil.
func (c *Config) CustomerOf(key string) *Customer { return c.keys[key] }

// NeedsKeys reports whether requests carry keys at all.
func (c *Config) NeedsKeys() bool { return len(c.Customers) > 0 }
