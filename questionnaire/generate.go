package questionnaire

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/model"
)

// Defaults of optional fields.
const (
	defaultRetryBudget = 2
	defaultGroups      = 1
	defaultWeight      = 1
)

// Generate returns the documents that a valid questionnaire describes, sorted by name.
// The same questionnaire always gives the same bytes. The result has no keys and takes
// no availability zone or target out of service: operators do that at run time.
func Generate(q *Questionnaire) ([]model.Document, error) {
	var g generator
	g.addDocument(model.FleetDocument, fleetConfig(q))
	for _, z := range q.Zones {
		g.addDocument(model.DocumentName(model.KindZone, z.Name), model.AvailabilityConfig{Region: model.Region(z.Region)})
	}
	for i := range q.Services {
		g.addDocument(model.DocumentName(model.KindService, q.Services[i].Name), serviceConfig(&q.Services[i]))
	}
	for i := range q.Customers {
		customer := &q.Customers[i]
		g.addDocument(model.DocumentName(model.KindCustomer, customer.Name), customerConfig(customer, q.Zones[0].Region))
	}
	slices.SortFunc(g.documents, func(a, b model.Document) int { return strings.Compare(a.Name, b.Name) })
	return g.documents, g.err
}

type generator struct {
	documents []model.Document
	err       error
}

func (g *generator) addDocument(name string, v any) {
	body, err := json.Marshal(v)
	if err != nil && g.err == nil {
		g.err = errors.Wrapf(err, "encode document %s", name)
	}
	g.documents = append(g.documents, model.Document{Name: name, Body: body})
}

func fleetConfig(q *Questionnaire) model.FleetConfig {
	config := model.FleetConfig{Groups: defaultGroups, RetryBudget: defaultRetryBudget}
	if q.Groups != nil {
		config.Groups = *q.Groups
	}
	if q.RetryBudget != nil {
		config.RetryBudget = *q.RetryBudget
	}
	for _, class := range q.Classes {
		config.Classes = append(config.Classes, model.Class(class))
	}
	return config
}

func serviceConfig(s *Service) model.ServiceConfig {
	config := model.ServiceConfig{
		Name:        model.Service(s.Name),
		Slots:       s.Slots,
		Connections: s.Connections,
		ColdFloor:   s.ColdFloor,
		RampTime:    parseDuration(s.RampTime),
	}
	for _, r := range s.Routes {
		config.Routes = append(config.Routes, model.Route{
			Method: r.Method, Prefix: r.Prefix, Class: model.Class(r.Class),
			Open: r.Open, Idempotent: r.Idempotent, Timeout: parseDuration(r.Timeout),
		})
	}
	for _, callee := range s.Calls {
		config.Calls = append(config.Calls, model.Service(callee))
	}
	return config
}

func customerConfig(customer *Customer, defaultRegion string) model.CustomerConfig {
	config := model.CustomerConfig{
		Name:   model.Customer(customer.Name),
		Rate:   customer.Rate,
		Burst:  customer.Burst,
		Weight: defaultWeight,
		Home:   model.Region(customer.Home),
		Owner:  customer.Owner,
	}
	if customer.Weight != nil {
		config.Weight = *customer.Weight
	}
	if customer.Home == "" {
		config.Home = model.Region(defaultRegion)
	}
	return config
}

// parseDuration parses a duration that checker.checkDuration has accepted.
func parseDuration(text string) model.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0
	}
	return model.Duration(d)
}
