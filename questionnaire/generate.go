package questionnaire

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/model"
)

// Defaults of answers that may be missing.
const (
	defaultRetryBudget = 2
	defaultGroups      = 1
	defaultWeight      = 1
)

// Generate returns the documents that a checked questionnaire describes,
// sorted by name. The same questionnaire gives the same bytes. Keys and the
// switches of availability zones and targets are not part of it: operators
// set them while traffic runs.
func Generate(q *Questionnaire) ([]model.Document, error) {
	var g generator
	g.add(model.FleetDocument, fleet(q))
	for _, z := range q.Zones {
		g.add(model.DocumentName(model.KindZone, z.Name), model.AvailabilityConfig{Region: model.Region(z.Region)})
	}
	for i := range q.Services {
		g.add(model.DocumentName(model.KindService, q.Services[i].Name), service(&q.Services[i]))
	}
	for i := range q.Customers {
		x := &q.Customers[i]
		g.add(model.DocumentName(model.KindCustomer, x.Name), customer(x, q.Zones[0].Region))
	}
	slices.SortFunc(g.documents, func(a, b model.Document) int { return strings.Compare(a.Name, b.Name) })
	return g.documents, g.err
}

type generator struct {
	documents []model.Document
	err       error
}

func (g *generator) add(name string, v any) {
	body, err := json.Marshal(v)
	if err != nil && g.err == nil {
		g.err = errors.Wrapf(err, "encode document %s", name)
	}
	g.documents = append(g.documents, model.Document{Name: name, Body: body})
}

func fleet(q *Questionnaire) model.FleetConfig {
	out := model.FleetConfig{Groups: defaultGroups, RetryBudget: defaultRetryBudget}
	if q.Groups != nil {
		out.Groups = *q.Groups
	}
	if q.RetryBudget != nil {
		out.RetryBudget = *q.RetryBudget
	}
	for _, class := range q.Classes {
		out.Classes = append(out.Classes, model.Class(class))
	}
	return out
}

func service(s *Service) model.ServiceConfig {
	out := model.ServiceConfig{
		Name:        model.Service(s.Name),
		Slots:       s.Slots,
		Connections: s.Connections,
		ColdFloor:   s.ColdFloor,
		RampTime:    duration(s.RampTime),
	}
	for _, r := range s.Routes {
		out.Routes = append(out.Routes, model.Route{
			Method: r.Method, Prefix: r.Prefix, Class: model.Class(r.Class),
			Open: r.Open, Idempotent: r.Idempotent, Timeout: duration(r.Timeout),
		})
	}
	for _, callee := range s.Calls {
		out.Calls = append(out.Calls, model.Service(callee))
	}
	return out
}

func customer(x *Customer, region string) model.CustomerConfig {
	out := model.CustomerConfig{
		Name:   model.Customer(x.Name),
		Rate:   x.Rate,
		Burst:  x.Burst,
		Weight: defaultWeight,
		Home:   model.Region(x.Home),
		Owner:  x.Owner,
	}
	if x.Weight != nil {
		out.Weight = *x.Weight
	}
	if x.Home == "" {
		out.Home = model.Region(region)
	}
	return out
}

// duration converts a text that was checked.
func duration(text string) model.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0
	}
	return model.Duration(d)
}
