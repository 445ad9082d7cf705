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
	maxRetryBudget = 10        // additional executions of one request
	maxGroups      = 4096      // per region
	maxDuration    = time.Hour // of timeouts and ramps
	maxNumber      = 1_000_000 // of counts, rates in requests per second, bursts and weights
)

// namePattern matches names that need no escaping in URLs, stream names and document
// names.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// methods lists the methods that a route may have. The empty one stands for all methods.
// It must come first: checkRoute relies on it for the space before the list in its error.
var methods = []string{"", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}

// checker reports the errors that decoding into typed fields does not detect.
type checker struct {
	file *strictyaml.File
	q    *Questionnaire
}

func (c *checker) checkAll() {
	if strings.TrimSpace(c.q.Team) == "" {
		c.file.Errorf("team", "is empty, expected the team's name")
	}
	c.checkClasses()
	c.checkOptionalRange("retry_budget", c.q.RetryBudget, 0, maxRetryBudget)
	c.checkOptionalRange("groups", c.q.Groups, 1, maxGroups)
	c.checkZones()
	c.checkServices()
	c.checkCustomers()
}

// checkOptionalRange checks that v, if present, is in the range from low to high.
func (c *checker) checkOptionalRange(field string, v *int, low, high int) {
	if v != nil && (*v < low || *v > high) {
		c.file.Errorf(field, "is %d, expected %d to %d", *v, low, high)
	}
}

func (c *checker) checkClasses() {
	c.checkNotEmpty("classes", len(c.q.Classes), "at least one request class, in shedding order")
	c.checkNames("classes[%d]", c.q.Classes)
}

func (c *checker) checkZones() {
	c.checkNotEmpty("zones", len(c.q.Zones), "at least one availability zone")
	c.checkNames("zones[%d].name", namesOf(c.q.Zones, func(z Zone) string { return z.Name }))
	for i, z := range c.q.Zones {
		c.checkName(fmt.Sprintf("zones[%d].region", i), z.Region)
	}
}

func (c *checker) checkServices() {
	c.checkNotEmpty("services", len(c.q.Services), "at least one service")
	names := namesOf(c.q.Services, func(s Service) string { return s.Name })
	c.checkNames("services[%d].name", names)
	for i := range c.q.Services {
		c.checkService(fmt.Sprintf("services[%d]", i), &c.q.Services[i], names)
	}
}

func (c *checker) checkService(field string, s *Service, names []string) {
	c.checkCount(field+".upstreams", s.Upstreams)
	c.checkCount(field+".slots", s.Slots)
	c.checkCount(field+".connections", s.Connections)
	if s.Connections < s.Slots {
		c.file.Errorf(field+".connections", "is %d, expected at least the %d slots", s.Connections, s.Slots)
	}
	if s.ColdFloor < 1 || s.ColdFloor > s.Slots {
		c.file.Errorf(field+".cold_floor", "is %d, expected 1 to the %d slots", s.ColdFloor, s.Slots)
	}
	c.checkDuration(field+".ramp_time", s.RampTime)
	c.checkCalls(field, s, names)
	c.checkNotEmpty(field+".routes", len(s.Routes), "at least one route")
	seen := make(map[string]bool)
	for i := range s.Routes {
		c.checkRoute(fmt.Sprintf("%s.routes[%d]", field, i), &s.Routes[i], seen)
	}
}

func (c *checker) checkCalls(field string, s *Service, names []string) {
	seen := make(map[string]bool)
	for i, callee := range s.Calls {
		calleeField := fmt.Sprintf("%s.calls[%d]", field, i)
		switch {
		case !slices.Contains(names, callee):
			c.file.Errorf(calleeField, "is %q, expected one of the services %s", callee, strings.Join(names, ", "))
		case callee == s.Name:
			c.file.Errorf(calleeField, "is the service itself, expected another one")
		case seen[callee]:
			c.file.Errorf(calleeField, "%q is listed twice", callee)
		}
		seen[callee] = true
	}
}

func (c *checker) checkRoute(field string, r *Route, seen map[string]bool) {
	if !slices.Contains(methods, r.Method) {
		c.file.Errorf(field+".method", "is %q, expected one of%s", r.Method, strings.Join(methods, " "))
	}
	if !strings.HasPrefix(r.Prefix, "/") || strings.ContainsAny(r.Prefix, "?# \t") {
		c.file.Errorf(field+".prefix", "is %q, expected a path that starts with / and has no space, tab, ? or #", r.Prefix)
	}
	if !slices.Contains(c.q.Classes, r.Class) {
		c.file.Errorf(field+".class", "is %q, expected one of the classes %s", r.Class, strings.Join(c.q.Classes, ", "))
	}
	c.checkDuration(field+".timeout", r.Timeout)
	key := r.Method + " " + r.Prefix
	if seen[key] {
		c.file.Errorf(field, "method %q and prefix %q are listed twice in the service", r.Method, r.Prefix)
	}
	seen[key] = true
}

func (c *checker) checkCustomers() {
	c.checkNotEmpty("customers", len(c.q.Customers), "at least one customer")
	c.checkNames("customers[%d].name", namesOf(c.q.Customers, func(customer Customer) string { return customer.Name }))
	for i := range c.q.Customers {
		c.checkCustomer(fmt.Sprintf("customers[%d]", i), &c.q.Customers[i])
	}
}

func (c *checker) checkCustomer(field string, customer *Customer) {
	c.checkPositiveUpToMax(field+".rate", customer.Rate, "requests per second above 0, up to 1000000")
	c.checkPositiveUpToMax(field+".burst", customer.Burst, "a number of requests of 1 or more, up to 1000000")
	if customer.Burst > 0 && customer.Burst < 1 {
		c.file.Errorf(field+".burst", "is %g, expected a number of requests of 1 or more, up to 1000000", customer.Burst)
	}
	if customer.Weight != nil {
		c.checkPositiveUpToMax(field+".weight", *customer.Weight, "a number above 0, up to 1000000")
	}
	regions := c.regions()
	if customer.Home == "" && len(regions) > 1 {
		c.file.Errorf(field+".home", "is missing, expected one of the regions %s", strings.Join(regions, ", "))
	}
	if customer.Home != "" && !slices.Contains(regions, customer.Home) {
		c.file.Errorf(field+".home", "is %q, expected one of the regions %s", customer.Home, strings.Join(regions, ", "))
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

// checkPositiveUpToMax checks that v is above 0, finite and not above maxNumber.
func (c *checker) checkPositiveUpToMax(field string, v float64, expected string) {
	if !(v > 0) || math.IsInf(v, 0) || v > maxNumber {
		c.file.Errorf(field, "is %g, expected %s", v, expected)
	}
}

func (c *checker) checkCount(field string, v int) {
	if v < 1 || v > maxNumber {
		c.file.Errorf(field, "is %d, expected 1 to %d", v, maxNumber)
	}
}

func (c *checker) checkDuration(field, text string) {
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > maxDuration {
		c.file.Errorf(field, "is %q, expected a duration above 0 and up to 1h, such as 2s or 500ms", text)
	}
}

func (c *checker) checkNotEmpty(field string, n int, expected string) {
	if n == 0 {
		c.file.Errorf(field, "is empty, expected %s", expected)
	}
}

func (c *checker) checkName(field, name string) {
	if !namePattern.MatchString(name) {
		c.file.Errorf(field, "is %q, expected a name of 1 to 63 characters a-z, 0-9 and -, not starting with -", name)
	}
}

// checkNames checks that names are valid and unique. The field path of a name results
// from format and the name's index.
func (c *checker) checkNames(format string, names []string) {
	firstIndexes := make(map[string]int)
	for i, name := range names {
		field := fmt.Sprintf(format, i)
		c.checkName(field, name)
		if firstIndex, ok := firstIndexes[name]; ok {
			c.file.Errorf(field, "%q is listed before, as %s", name, fmt.Sprintf(format, firstIndex))
			continue
		}
		firstIndexes[name] = i
	}
}

func namesOf[T any](list []T, name func(T) string) []string {
	out := make([]string, len(list))
	for i, v := range list {
		out[i] = name(v)
	}
	return out
}
