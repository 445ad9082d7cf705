// Package questionnaire reads the questionnaire that a team fills in and
// generates the documents of the configuration from it.
package questionnaire

import (
	"os"

	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/core/strictyaml"
)

// Questionnaire is a team's answers. Lists are in the order of the file.
type Questionnaire struct {
	Team string `yaml:"team"`
	// Classes are the request classes in shedding order: the first is shed
	// first.
	Classes     []string   `yaml:"classes"`
	RetryBudget *int       `yaml:"retry_budget"` // extra executions for one request, over its whole chain
	Groups      *int       `yaml:"groups"`       // quorum groups in each region
	Zones       []Zone     `yaml:"zones"`
	Services    []Service  `yaml:"services"`
	Customers   []Customer `yaml:"customers"`
}

// Zone is an availability zone.
type Zone struct {
	Name   string `yaml:"name"`
	Region string `yaml:"region"`
}

// Service is a set of targets that serve the same routes. Numbers are for one
// target.
type Service struct {
	Name        string   `yaml:"name"`
	Upstreams   int      `yaml:"upstreams"`   // targets, for the capacity that check prints
	Slots       int      `yaml:"slots"`       // calls that a target runs at once
	Connections int      `yaml:"connections"` // connections that a target accepts
	ColdFloor   int      `yaml:"cold_floor"`  // slots that a target in cold start bears
	RampTime    string   `yaml:"ramp_time"`   // from the floor to all slots, such as 10s
	Calls       []string `yaml:"calls"`       // services that its targets call
	Routes      []Route  `yaml:"routes"`
}

// Route describes the calls that match a method and a path prefix.
type Route struct {
	Method     string `yaml:"method"` // every method when it is missing
	Prefix     string `yaml:"prefix"`
	Class      string `yaml:"class"`
	Open       bool   `yaml:"open"`       // needs no key
	Idempotent bool   `yaml:"idempotent"` // may run more than once
	Timeout    string `yaml:"timeout"`    // such as 2s
}

// Customer is a tenant.
type Customer struct {
	Name   string   `yaml:"name"`
	Rate   float64  `yaml:"rate"`   // requests a second, over the whole fleet
	Burst  float64  `yaml:"burst"`  // requests
	Weight *float64 `yaml:"weight"` // part under overload; 1 when it is missing
	Home   string   `yaml:"home"`   // region; may be missing with one region
	Owner  string   `yaml:"owner"`  // contact; missing for an ownerless customer
}

// Load reads and checks a file. The error is strictyaml.ErrorList when the file
// could be read.
func Load(path string) (*Questionnaire, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read questionnaire")
	}
	return Parse(path, text)
}

// Parse reads and checks a questionnaire. Name stands for the file in errors.
func Parse(name string, text []byte) (*Questionnaire, error) {
	q := new(Questionnaire)
	file, err := strictyaml.Read(name, text, q)
	if err != nil {
		return nil, err
	}
	c := checker{file: file, q: q}
	c.check()
	if err := file.Err(); err != nil {
		return nil, err
	}
	return q, nil
}
