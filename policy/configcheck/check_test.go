package configcheck

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model/graph"
)

const secretKey = "secret-key"

func validDraft() *graph.Draft {
	split := []graph.WeightedService{{Service: "s1", Weight: 9}, {Service: "s2", Weight: 0}}
	return &graph.Draft{
		Version: 8,
		Limits:  graph.Limits{HeaderBytes: 16384, BodyBytes: 64 << 20, IdleTimeout: 15 * time.Second},
		Routes: []*graph.Route{
			{Name: "r1", Host: "h", Prefix: "/a/", Timeout: time.Second, LatencyObjective: time.Second, MaxAttempts: 2, Split: split},
			{Name: "r2", Host: "h", Prefix: "/a/b/", Timeout: time.Second, MaxAttempts: 1, Split: split, Open: true},
		},
		Services: []*graph.Service{{Name: "s1", ColdRate: 25, ColdDuration: time.Second}, {Name: "s2"}},
		Customers: []*graph.Customer{
			{Name: "c1", Keys: []string{secretKey, "k2"}, Rate: 10, Burst: 10},
			{Name: "c2", Keys: []string{"k3"}},
		},
	}
}

func lines(findings []Finding) string {
	var out []string
	for _, f := range findings {
		out = append(out, f.String())
	}
	return strings.Join(out, "\n")
}

// Guards against findings about a configuration that is as intended.
func TestValidConfigurationHasNoFinding(t *testing.T) {
	assert.Equal(t, lines(Check(validDraft(), nil)), "")
	assert.Equal(t, lines(Check(validDraft(), validDraft())), "error: document: version 8 is not above version 8, which is in force")
}

// Guards against a kind of fault that is no longer found, that names another place, or that
// hides behind others, and against a printed key.
func TestEachFaultIsFound(t *testing.T) {
	type draft = graph.Draft
	for want, change := range map[string]func(d *draft){
		`error: document: has no version`: func(d *draft) { d.Version = 0 },
		`error: route 3 "r4": field "timeout" cannot be decoded`: func(d *draft) {
			d.Undecoded = []graph.Undecoded{{Kind: graph.KindRoute, Index: 3, Name: "r4", Field: "timeout"}}
		},
		`error: customer 1 "": cannot be decoded: not an object`:                       func(d *draft) { d.Undecoded = []graph.Undecoded{{Kind: graph.KindCustomer, Index: 1}} },
		`warning: document: unknown type`:                                              func(d *draft) { d.Warnings = []string{"unknown type"} },
		`error: route 1 "": has no name`:                                               func(d *draft) { d.Routes[1].Name = "" },
		`error: route 1 "r1": has the name of route 0`:                                 func(d *draft) { d.Routes[1].Name = "r1" },
		`error: service 1 "s1": has the name of service 0`:                             func(d *draft) { d.Services[1].Name = "s1" },
		`error: customer 1 "c1": has the name of customer 0`:                           func(d *draft) { d.Customers[1].Name = "c1" },
		`error: route 1 "r2": has no host`:                                             func(d *draft) { d.Routes[1].Host = "" },
		`error: route 1 "r2": prefix "/x" does not begin and end with a slash`:         func(d *draft) { d.Routes[1].Prefix = "/x" },
		`error: route 1 "r2": never matches: hidden by route 0 "r1", which`:            func(d *draft) { d.Routes[1].Prefix = "/a/" },
		`warning: route 0 "r1": host and prefix are longer`:                            func(d *draft) { d.Limits.HeaderBytes = 3 },
		`error: route 0 "r1": 0 attempts`:                                              func(d *draft) { d.Routes[0].MaxAttempts = 0 },
		`error: route 0 "r1": has no timeout`:                                          func(d *draft) { d.Routes[0].Timeout = 0 },
		`warning: route 0 "r1": the latency objective 2s is above the timeout 1s`:      func(d *draft) { d.Routes[0].LatencyObjective = 2 * time.Second },
		`warning: route 0 "r1": the latency objective -1s is negative`:                 func(d *draft) { d.Routes[0].LatencyObjective = -time.Second },
		`warning: route 1 "r2": the timeout 34ms leaves less than 35ms for each of 1`:  func(d *draft) { d.Routes[1].Timeout = 34 * time.Millisecond },
		`error: route 0 "r1": has no service`:                                          func(d *draft) { d.Routes[0].Split = nil },
		`error: route 0 "r1": service "s2" is not configured`:                          func(d *draft) { d.Services = d.Services[:1] },
		`error: route 0 "r1": service "s1" has the negative weight -1`:                 func(d *draft) { d.Routes[0].Split[0].Weight = -1 },
		`error: route 0 "r1": no service has a weight above 0`:                         func(d *draft) { d.Routes[0].Split[0].Weight = 0 },
		`warning: service 0 "s1": has a cold rate of 25/s but no cold duration`:        func(d *draft) { d.Services[0].ColdDuration = 0 },
		`warning: service 1 "s2": a negative cold rate or duration`:                    func(d *draft) { d.Services[1].ColdRate = -1 },
		`error: customer 0 "c1": rate -1 and burst 10, want at least 0`:                func(d *draft) { d.Customers[0].Rate = -1 },
		`warning: customer 0 "c1": burst 10 has no effect: no rate is set`:             func(d *draft) { d.Customers[0].Rate = 0 },
		`warning: customer 0 "c1": burst 0.5 is below one request`:                     func(d *draft) { d.Customers[0].Burst = 0.5 },
		`warning: customer 0 "c1": rate 0.1/s is below one request in the 5 s`:         func(d *draft) { d.Customers[0].Rate = 0.1 },
		`error: customer 1 "c2": keys shared with customer 0 "c1": 1`:                  func(d *draft) { d.Customers[1].Keys = []string{secretKey} },
		`warning: customer 1 "c2": keys listed more than once: 1`:                      func(d *draft) { d.Customers[1].Keys = []string{"k3", "k3"} },
		`error: customer 1 "c2": empty keys: 1`:                                        func(d *draft) { d.Customers[1].Keys = []string{""} },
		`warning: customer 0 "c1": keys that can never be used, as no route needs one`: func(d *draft) { d.Routes[0].Open = true },
		`warning: document: a negative limit counts as none`:                           func(d *draft) { d.Limits.BodyBytes = -1 },
		`warning: document: the header limit of 16384 bytes is above the body limit`:   func(d *draft) { d.Limits.BodyBytes = 100 },
		`warning: document: the body limit of 67108865 bytes is above the 67108864`:    func(d *draft) { d.Limits.BodyBytes++ },
	} {
		d := validDraft()
		change(d)
		findings := Check(d, nil)
		out := lines(findings)
		assert.Assert(t, strings.Contains(out, want), "want %s\ngot %s", want, out)
		assert.Assert(t, !strings.Contains(out, secretKey), "a key is printed: %s", out)
		worst, found := Worst(findings)
		assert.Assert(t, found && strings.HasPrefix(want, worst.String()), "%s: %s", want, worst)
		if _, err := d.Config(); err != nil {
			assert.Equal(t, worst, Error, "nodes reject it: %v", err)
		}
	}
}

// Guards against a difference that is not listed, a printed key, an unstable order, and
// differences that count as faults.
func TestDifferencesFromTheVersionInForce(t *testing.T) {
	d := validDraft()
	d.Version = 9
	d.Limits.IdleTimeout = time.Second
	d.Routes[0].Timeout = 2 * time.Second
	d.Routes[1].Name = "r3"
	d.Services[1].HealthPath = "/up"
	d.Customers[0].Keys = []string{"k2", "k4", "k5"}
	d.Customers[0].Rate = 20
	d.Customers[1].Name = "c3"
	want := `change: document: idle timeout 15s -> 1s
change: document: version 8 -> 9
change: route 0 "r1": timeout 1s -> 2s
change: route 1 "r2": removed
change: route 1 "r3": added
change: service 1 "s2": health path "" -> "/up"
change: customer 0 "c1": keys added: 2, keys removed: 1
change: customer 0 "c1": rate 10 -> 20
change: customer 1 "c2": removed, keys: 1
change: customer 1 "c3": added, keys: 1`
	for range 10 {
		findings := Check(d, validDraft())
		assert.Equal(t, lines(findings), want)
		_, found := Worst(findings)
		assert.Assert(t, !found)
	}
}
