// Package questionnaire reads the YAML questionnaire in which a team describes its
// services and customers, and generates the documents of the configuration from it.
package questionnaire

import (
	"os"

	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/core/strictyaml"
)

// Questionnaire holds the answers of a team. Lists are in the order of the file.
type Questionnaire struct {
	Team string `yaml:"team"`
	// Classes are the request classes in shedding order: requests of the first class
	// are shed first.
	Classes     []string   `yaml:"classes"`
	RetryBudget *int       `yaml:"retry_budget"` // additional executions of one request, over its whole call chain
	Groups      *int       `yaml:"groups"`       // quorum groups per region
	Zones       []Zone     `yaml:"zones"`
	Services    []Service  `yaml:"services"`
	Customers   []Customer `yaml:"customers"`
}

// Zone is an availability zone.
type Zone struct {
	Name   string `yaml:"name"`
	Region string `yaml:"region"`
}

// Service is a set of targets that serve the same routes. Slots, connections and the
// cold start are those of each target.
type Service struct {
	Name        string   `yaml:"name"`
	Upstreams   int      `yaml:"upstreams"`   // number of targets; "config check" multiplies it by Slots to report the service's capacity
	Slots       int      `yaml:"slots"`       // maximum concurrent calls
	Connections int      `yaml:"connections"` // maximum connections
	ColdFloor   int      `yaml:"cold_floor"`  // slots at the beginning of a cold start
	RampTime    string   `yaml:"ramp_time"`   // duration of the ramp from ColdFloor to all slots, such as 10s
	Calls       []string `yaml:"calls"`       // services that the targets call
	Routes      []Route  `yaml:"routes"`
}

// Route describes the calls that match a method and a path prefix.
type Route struct {
	Method     string `yaml:"method"` // empty for all methods
	Prefix     string `yaml:"prefix"`
	Class      string `yaml:"class"`
	Open       bool   `yaml:"open"`       // calls need no API key
	Idempotent bool   `yaml:"idempotent"` // calls may run more than once
	Timeout    string `yaml:"timeout"`    // such as 2s
}

// Customer describes a customer: its rate limit, its weight under overload, its home
// region and its owner.
type Customer struct {
	Name   string   `yaml:"name"`
	Rate   float64  `yaml:"rate"`   // requests per second over the whole fleet
	Burst  float64  `yaml:"burst"`  // number of requests
	Weight *float64 `yaml:"weight"` // relative share under overload; 1 by default
	Home   string   `yaml:"home"`   // region; optional if there is only one region
	Owner  string   `yaml:"owner"`  // contact; empty if the customer has none
}

// Load reads and checks a file. If the file could be read, the error is a
// strictyaml.ErrorList.
func Load(path string) (*Questionnaire, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read questionnaire")
	}
	return Parse(path, text)
}

// Parse decodes and checks a questionnaire. Errors name the file as name.
func Parse(name string, text []byte) (*Questionnaire, error) {
	q := new(Questionnaire)
	file, err := strictyaml.Decode(name, text, q)
	if err != nil {
		return nil, err
	}
	c := checker{file: file, q: q}
	c.checkAll()
	if err := file.Err(); err != nil {
		return nil, err
	}
	return q, nil
}
