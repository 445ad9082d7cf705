// Package graph defines the configuration of a service call graph: its routes,
// services and customers, as one immutable value.
package graph

import (
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/model"
)

// Route describes how requests for a host and a path prefix are handled.
type Route struct {
	Name             string
	Host             string
	Prefix           string // begins and ends with a slash
	Idempotent       bool   // may run more than once
	Open             bool   // needs no key
	Timeout          time.Duration
	LatencyObjective time.Duration // answers that take longer miss the objective
	Priority         int           // 0 is the highest
	MaxAttempts      int           // upper bound on the entry node's attempts of one request
	Split            []WeightedService
}

// WeightedService is one of the services among which a route divides its
// requests, in proportion to their weights.
type WeightedService struct {
	Service model.Service
	Weight  float64
}

// Service describes the capacity of each target of a service.
type Service struct {
	Name           model.Service
	HealthPath     string
	MaxConnections int           // connections that one target accepts from all callers together; not enforced
	ColdDuration   time.Duration // duration of a target's cold start; not used
	ColdRate       float64       // requests per second that a cold target can serve
}

// Customer holds keys and a rate limit that covers the whole fleet.
type Customer struct {
	Name        model.Customer
	Keys        []string
	Priority    int // if HasPriority is set, ranks before the route's priority, which then decides between customers of equal priority
	HasPriority bool
	Rate        float64 // requests per second; 0 for no limit
	Burst       float64 // requests
}

// Limits holds the limits on a caller's request and on the idle time of its
// connection, as decoded from the configuration; 0 for none. The node's own idle time is
// longer than IdleTimeout, which is not used.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	IdleTimeout time.Duration
}

// Config is one version of the configuration. It is immutable.
type Config struct {
	Version   uint64
	Limits    Limits
	Routes    []*Route
	Services  map[model.Service]*Service
	Customers map[model.Customer]*Customer
	Warnings  []string // what the decoder did not understand and handled in a safe way, for logs

	routesByHost   map[string][]*Route // longest prefix first
	customersByKey map[string]*Customer
}

// New validates a configuration and indexes its routes and keys. The error names the
// invalid object.
func New(version uint64, limits Limits, routes []*Route, services []*Service, customers []*Customer) (*Config, error) {
	c := &Config{
		Version:        version,
		Limits:         limits,
		Routes:         routes,
		Services:       make(map[model.Service]*Service, len(services)),
		Customers:      make(map[model.Customer]*Customer, len(customers)),
		routesByHost:   make(map[string][]*Route),
		customersByKey: make(map[string]*Customer),
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		if err := c.addRoute(r); err != nil {
			return nil, errors.Wrapf(err, "route %q", r.Name)
		}
	}
	for _, customer := range customers {
		if err := c.addCustomer(customer); err != nil {
			return nil, errors.Wrapf(err, "customer %q", customer.Name)
		}
	}
	for _, list := range c.routesByHost {
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
	case r.MaxAttempts < 1:
		return errors.Errorf("%d attempts, want at least 1", r.MaxAttempts)
	case r.Timeout <= 0:
		return errors.New("has no timeout")
	case len(r.Split) == 0:
		return errors.New("has no service")
	}
	for _, weighted := range r.Split {
		if c.Services[weighted.Service] == nil {
			return errors.Errorf("service %q is not configured", weighted.Service)
		}
		if weighted.Weight < 0 {
			return errors.Errorf("service %q has a negative weight", weighted.Service)
		}
	}
	c.routesByHost[r.Host] = append(c.routesByHost[r.Host], r)
	return nil
}

func (c *Config) addCustomer(customer *Customer) error {
	if customer.Name == "" {
		return errors.New("has no name")
	}
	if customer.Rate < 0 || customer.Burst < 0 {
		return errors.Errorf("rate %v and burst %v, want at least 0", customer.Rate, customer.Burst)
	}
	c.Customers[customer.Name] = customer
	for _, key := range customer.Keys {
		if other := c.customersByKey[key]; other != nil && other != customer {
			return errors.Errorf("shares a key with customer %q", other.Name)
		}
		c.customersByKey[key] = customer
	}
	return nil
}

// MatchRoute returns the host's route with the longest matching path prefix, or
// nil.
func (c *Config) MatchRoute(host, path string) *Route {
	for _, r := range c.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// CustomerOf returns the customer that holds a key, or nil.
func (c *Config) CustomerOf(key string) *Customer { return c.customersByKey[key] }

// NeedsKeys reports whether requests on routes that are not open need keys, which is the
// case if the configuration has customers.
func (c *Config) NeedsKeys() bool { return len(c.Customers) > 0 }
