package questionnaire

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/model"
)

// Amendments returns the changes from the current documents to the wanted ones, sorted
// by name. Each is based on the current version of its document; there is none for a
// document that does not differ. Availability zones stay in or out of service, and
// documents of keys and targets do not change. With prune, services, customers and
// availability zones that are not wanted are deleted. Without prune they stay, since
// other teams may have published them.
func Amendments(current map[string]model.Document, wanted []model.Document, prune bool) ([]model.Amendment, error) {
	var out []model.Amendment
	wantedNames := make(map[string]bool, len(wanted))
	for _, w := range wanted {
		wantedNames[w.Name] = true
		existing := current[w.Name]
		body, err := keepAvailability(existing, w)
		if err != nil {
			return nil, err
		}
		if !equalJSON(existing.Body, body) {
			out = append(out, model.Amendment{Document: w.Name, Base: existing.Version, Body: body})
		}
	}
	if prune {
		out = append(out, deletions(current, wantedNames)...)
	}
	slices.SortFunc(out, func(a, b model.Amendment) int { return strings.Compare(a.Document, b.Document) })
	return out, nil
}

// keepAvailability returns the wanted body of a document. For an availability zone it
// keeps the existing value of out.
func keepAvailability(existing, wanted model.Document) (json.RawMessage, error) {
	kind, _, err := model.SplitDocumentName(wanted.Name)
	if err != nil || kind != model.KindZone || model.IsDeleted(existing.Body) {
		return wanted.Body, err
	}
	var before, after model.AvailabilityConfig
	if err := json.Unmarshal(existing.Body, &before); err != nil {
		return nil, errors.Wrapf(err, "document %s version %d", existing.Name, existing.Version)
	}
	if err := json.Unmarshal(wanted.Body, &after); err != nil {
		return nil, errors.Wrapf(err, "document %s", wanted.Name)
	}
	after.OutOfService = before.OutOfService
	return json.Marshal(after)
}

// deletions returns amendments that delete the existing documents that are not wanted, of
// the kinds that Generate produces for the objects in a questionnaire.
func deletions(current map[string]model.Document, wantedNames map[string]bool) []model.Amendment {
	var out []model.Amendment
	for name, doc := range current {
		kind, _, err := model.SplitDocumentName(name)
		generated := kind == model.KindService || kind == model.KindCustomer || kind == model.KindZone
		if err == nil && generated && !wantedNames[name] && !model.IsDeleted(doc.Body) {
			out = append(out, model.Amendment{Document: name, Base: doc.Version, Body: json.RawMessage("null")})
		}
	}
	return out
}

// equalJSON reports whether two JSON texts have the same value, regardless of white space
// and the order of fields.
func equalJSON(a, b json.RawMessage) bool {
	var x, y any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	return reflect.DeepEqual(x, y)
}
