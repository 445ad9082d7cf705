// Package configlog turns log records into the configuration of a node. The
// outcome depends on the order of the log alone, so that every node accepts
// the same publications.
package configlog

import (
	"encoding/json"
	"maps"

	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/logservice"
	"github.com/oleanderworks/oleanderworks/model"
)

// Verdict is the fate of one publication.
type Verdict uint8

// Verdicts on a publication.
const (
	Accepted   Verdict = iota
	Conflict           // a base version was not the current one
	Duplicate          // a record with the same id came before
	Malformed          // the record does not decode
	Superseded         // a refresh of versions that are already known
)

// State is the configuration as of an offset of the log. It is owned by one
// duty.
type State struct {
	documents map[string]model.Document
	seen      map[string]Verdict
	next      logservice.Offset
}

// NewState returns an empty configuration.
func NewState() *State {
	return &State{
		documents: make(map[string]model.Document),
		seen:      make(map[string]Verdict),
	}
}

// Next returns the offset of the next record to apply.
func (s *State) Next() logservice.Offset { return s.next }

// Documents returns a copy of the current documents.
func (s *State) Documents() map[string]model.Document { return maps.Clone(s.documents) }

// Verdict returns the fate of the publication with the given id and whether
// it was seen.
func (s *State) Verdict(id string) (Verdict, bool) {
	v, ok := s.seen[id]
	return v, ok
}

// Apply applies one record in log order. The error describes a malformed
// record; the record is skipped then.
func (s *State) Apply(r logservice.Record) (Verdict, error) {
	s.next = r.Offset + 1
	var p model.Publication
	if err := json.Unmarshal(r.Body, &p); err != nil {
		return Malformed, errors.Wrapf(err, "record at offset %d", r.Offset)
	}
	if _, ok := s.seen[p.ID]; ok {
		return Duplicate, nil
	}
	verdict := s.accept(&p)
	s.seen[p.ID] = verdict
	return verdict, nil
}

func (s *State) accept(p *model.Publication) Verdict {
	if len(p.Refresh) > 0 {
		return s.refresh(p.Refresh)
	}
	for _, a := range p.Amendments {
		if s.documents[a.Document].Version != a.Base {
			return Conflict
		}
	}
	for _, a := range p.Amendments {
		s.documents[a.Document] = model.Document{Name: a.Document, Version: a.Base + 1, Body: a.Body}
	}
	return Accepted
}

// refresh merges documents whose version is above the known one. A version
// never goes down.
func (s *State) refresh(documents []model.Document) Verdict {
	verdict := Superseded
	for _, doc := range documents {
		if doc.Version > s.documents[doc.Name].Version {
			s.documents[doc.Name] = doc
			verdict = Accepted
		}
	}
	return verdict
}
