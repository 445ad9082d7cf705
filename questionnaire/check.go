package questionnaire

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/oleanderworks/oleanderworks/core/strictyaml"
)

const (
	maxRetryBudget = 10
	maxGroups      = 4096
	maxDuration    = time.Hour
	maxNumber      = 1_000_000
)

// namePattern keeps names safe in URLs, stream names and document names.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

var methods = []string{"", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}

// checker looks for faults that the types cannot express.
type checker struct {
	file *strictyaml.File
	q    *Questionnaire
}

func (c *checker) check() {
	if strings.TrimSpace(c.q.Team) == "" {
		c.file.Errorf("team", "is empty, expected the team's name")
	}
	c.classes()
	c.optional("retry_budget", c.q.RetryBudget, 0, maxRetryBudget)
	c.optional("groups", c.q.Groups, 1, maxGroups)
	c.zones()
	c.services()
	c.customers()
}

func (c *checker) optional(field string, v *int, low, high int) {
	if v != nil && (*v < low || *v > high) {
		c.file.Errorf(field, "is %d, expected %d to %d", *v, low, high)
	}
}

func (c *checker) classes() {
	c.notEmpty("classes", len(c.q.Classes), "at least one request class, in shedding order")
	c.names("classes[%d]", c.q.Classes)
}

func (c *checker) zones() {
	c.notEmpty("zones", len(c.q.Zones), "at least one availability zone")
	c.names("zones[%d].name", namesOf(c.q.Zones, func(z Zone) string { return z.Name }))
	for i, z := range c.q.Zones {
		c.name(fmt.Sprintf("zones[%d].region", i), z.Region)
	}
}

func (c *checker) services() {
	c.notEmpty("services", len(c.q.Services), "at least one service")
	names := namesOf(c.q.Services, func(s Service) string { return s.Name })
	c.names("services[%d].name", names)
	for i := range c.q.Services {
		c.service(fmt.Sprintf("services[%d]", i), &c.q.Services[i], names)
	}
}

func (c *checker) service(field string, s *Service, names []string) {
	c.number(field+".upstreams", s.Upstreams)
	c.number(field+".slots", s.Slots)
	c.number(field+".connections", s.Connections)
	if s.Connections < s.Slots {
		c.file.Errorf(field+".connections", "is %d, expected at least the %d slots", s.Connections, s.Slots)
	}
	if s.ColdFloor < 1 || s.ColdFloor > s.Slots {
		c.file.Errorf(field+".cold_floor", "is %d, expected 1 to the %d slots", s.ColdFloor, s.Slots)
	}
	c.duration(field+".ramp_time", s.RampTime)
	c.calls(field, s, names)
	c.notEmpty(field+".routes", len(s.Routes), "at least one route")
	seen := make(map[string]bool)
	for i := range s.Routes {
		c.route(fmt.Sprintf("%s.routes[%d]", field, i), &s.Routes[i], seen)
	}
}

func (c *checker) calls(field string, s *Service, names []string) {
	seen := make(map[string]bool)
	for i, callee := range s.Calls {
		at := fmt.Sprintf("%s.calls[%d]", field, i)
		switch {
		case !slices.Contains(names, callee):
			c.file.Errorf(at, "is %q, expected one of the services %s", callee, strings.Join(names, ", "))
		case callee == s.Name:
			c.file.Errorf(at, "is the service itself, expected another one")
		case seen[callee]:
			c.file.Errorf(at, "%q is listed twice", callee)
		}
		seen[callee] = true
	}
}

func (c *checker) route(field string, r *Route, seen map[string]bool) {
	if !slices.Contains(methods, r.Method) {
		c.file.Errorf(field+".method", "is %q, expected one of%s", r.Method, strings.Join(methods, " "))
	}
	if !strings.HasPrefix(r.Prefix, "/") || strings.ContainsAny(r.Prefix, "?# \t") {
		c.file.Errorf(field+".prefix", "is %q, expected a path that starts with /", r.Prefix)
	}
	if !slices.Contains(c.q.Classes, r.Class) {
		c.file.Errorf(field+".class", "is %q, expected one of the classes %s", r.Class, strings.Join(c.q.Classes, ", "))
	}
	c.duration(field+".timeout", r.Timeout)
	key := r.Method + " " + r.Prefix
	if seen[key] {
		c.file.Errorf(field, "method %q and prefix %q are listed twice in the service", r.Method, r.Prefix)
	}
	seen[key] = true
}

func (c *checker) customers() {
	c.notEmpty("customers", len(c.q.Customers), "at least one customer")
	c.names("customers[%d].name", namesOf(c.q.Customers, func(x Customer) string { return x.Name }))
	for i := range c.q.Customers {
		c.customer(fmt.Sprintf("customers[%d]", i), &c.q.Customers[i])
	}
}

func (c *checker) customer(field string, x *Customer) {
	c.positive(field+".rate", x.Rate, "requests a second above 0")
	c.positive(field+".burst", x.Burst, "a number of requests of 1 or more")
	if x.Burst > 0 && x.Burst < 1 {
		c.file.Errorf(field+".burst", "is %g, expected a number of requests of 1 or more", x.Burst)
	}
	if x.Weight != nil {
		c.positive(field+".weight", *x.Weight, "a number above 0")
	}
	regions := c.regions()
	if x.Home == "" && len(regions) > 1 {
		c.file.Errorf(field+".home", "is missing, expected one of the regions %s", strings.Join(regions, ", "))
	}
	if x.Home != "" && !slices.Contains(regions, x.Home) {
		c.file.Errorf(field+".home", "is %q, expected one of the regions %s", x.Home, strings.Join(regions, ", "))
	}
}

func (c *checker) regions() []string {
	var out []string
	for _, z := range c.q.Zones {
		if !slices.Contains(out, z.Region) {
			out = append(out, z.Region)
		}
	}
	return out
}

func (c *checker) positive(field string, v float64, expected string) {
	if !(v > 0) || math.IsInf(v, 0) || v > maxNumber {
		c.file.Errorf(field, "is %g, expected %s", v, expected)
	}
}

func (c *checker) number(field string, v int) {
	if v < 1 || v > maxNumber {
		c.file.Errorf(field, "is %d, expected 1 to %d", v, maxNumber)
	}
}

func (c *checker) duration(field, text string) {
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > maxDuration {
		c.file.Errorf(field, "is %q, expected a duration above 0 and up to 1h, such as 2s or 500ms", text)
	}
}

func (c *checker) notEmpty(field string, n int, expected string) {
	if n == 0 {
		c.file.Errorf(field, "is empty, expected %s", expected)
	}
}

func (c *checker) name(field, name string) {
	if !namePattern.MatchString(name) {
		c.file.Errorf(field, "is %q, expected a name of a-z, 0-9 and -", name)
	}
}

// names checks a list of names; format gives the field of each.
func (c *checker) names(format string, names []string) {
	first := make(map[string]int)
	for i, name := range names {
		field := fmt.Sprintf(format, i)
		c.name(field, name)
		if before, ok := first[name]; ok {
			c.file.Errorf(field, "%q is listed before, as %s", name, fmt.Sprintf(format, before))
			continue
		}
		first[name] = i
	}
}

func namesOf[T any](list []T, name func(T) string) []string {
	out := make([]string, len(list))
	for i, v := range list {
		out[i] = name(v)
	}
	return out
}
