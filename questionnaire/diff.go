package questionnaire

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/model"
)

// Amendments returns the changes that turn the current documents into the
// wanted ones, each from the version that it was made from, sorted by name.
// A document that does not differ gets none. The switch of an availability
// zone stays as it is, and keys and targets are never touched. With prune,
// services, customers and availability zones that are not wanted are deleted;
// without it they stay, since other teams publish theirs.
func Amendments(current map[string]model.Document, wanted []model.Document, prune bool) ([]model.Amendment, error) {
	var out []model.Amendment
	named := make(map[string]bool, len(wanted))
	for _, w := range wanted {
		named[w.Name] = true
		known := current[w.Name]
		body, err := keepSwitch(known, w)
		if err != nil {
			return nil, err
		}
		if !equal(known.Body, body) {
			out = append(out, model.Amendment{Document: w.Name, Base: known.Version, Body: body})
		}
	}
	if prune {
		out = append(out, deletions(current, named)...)
	}
	slices.SortFunc(out, func(a, b model.Amendment) int { return strings.Compare(a.Document, b.Document) })
	return out, nil
}

// keepSwitch returns the wanted body of a document, with the current switch
// of an availability zone.
func keepSwitch(known, wanted model.Document) (json.RawMessage, error) {
	kind, _, err := model.SplitDocumentName(wanted.Name)
	if err != nil || kind != model.KindZone || model.IsDeleted(known.Body) {
		return wanted.Body, err
	}
	var before, after model.AvailabilityConfig
	if err := json.Unmarshal(known.Body, &before); err != nil {
		return nil, errors.Wrapf(err, "document %s version %d", known.Name, known.Version)
	}
	if err := json.Unmarshal(wanted.Body, &after); err != nil {
		return nil, errors.Wrapf(err, "document %s", wanted.Name)
	}
	after.Out = before.Out
	return json.Marshal(after)
}

func deletions(current map[string]model.Document, named map[string]bool) []model.Amendment {
	var out []model.Amendment
	for name, doc := range current {
		kind, _, err := model.SplitDocumentName(name)
		generated := kind == model.KindService || kind == model.KindCustomer || kind == model.KindZone
		if err == nil && generated && !named[name] && !model.IsDeleted(doc.Body) {
			out = append(out, model.Amendment{Document: name, Base: doc.Version, Body: json.RawMessage("null")})
		}
	}
	return out
}

// equal compares two bodies by value, whatever their spaces and order.
func equal(a, b json.RawMessage) bool {
	var x, y any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	return reflect.DeepEqual(x, y)
}
