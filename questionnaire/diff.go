package questionnaire

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/model"
)

// Amendments returns the changes that turn the current documents into the wanted ones,
// sorted by name. Each is based on the current version of its document; documents that
// do not differ have none. Whether an availability zone is in service is left as it is,
// and documents of keys and targets are not changed. With prune, services, customers
// and availability zones that are not wanted are deleted. Without it they stay, since
// other teams publish theirs.
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

// keepAvailability returns the wanted body of a document. An availability zone stays in
// or out of service as it currently is.
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
	after.Out = before.Out
	return json.Marshal(after)
}

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

// equalJSON reports whether two JSON texts have the same value, regardless of white
// space and the order of fields.
func equalJSON(a, b json.RawMessage) bool {
	var x, y any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	return reflect.DeepEqual(x, y)
}
