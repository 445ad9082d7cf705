package graph

import "github.com/pkg/errors"

// Draft holds the objects of a configuration in the order of its document, before New
// validates and indexes them. Config cannot hold a configuration that New rejects, nor the
// order and the duplicates of services and customers, which a check has to name.
type Draft struct {
	Version   uint64
	Limits    Limits
	Routes    []*Route    // nil for one that could not be decoded
	Services  []*Service  // only the name is set of one that could not be decoded
	Customers []*Customer // nil for one that could not be decoded
	Warnings  []string    // as Config.Warnings
	Undecoded []Undecoded
}

// Undecoded is a field of a draft that could not be decoded. It has no value, which might
// be a key.
type Undecoded struct {
	Kind  Kind
	Index int    // position in the document's list of this kind, from 0
	Name  string // of the object, empty if that could not be decoded
	Field string // empty if the object as a whole could not be decoded
}

// Kind is a kind of object in a configuration.
type Kind string

// Kinds of objects. KindDocument stands for what the document has once.
const (
	KindDocument Kind = "document"
	KindRoute    Kind = "route"
	KindService  Kind = "service"
	KindCustomer Kind = "customer"
)

// Config validates and indexes the draft. The error names the invalid object.
func (d *Draft) Config() (*Config, error) {
	if len(d.Undecoded) > 0 {
		return nil, errors.Errorf("%d fields could not be decoded", len(d.Undecoded))
	}
	c, err := New(d.Version, d.Limits, d.Routes, d.Services, d.Customers)
	if err != nil {
		return nil, err
	}
	c.Warnings = d.Warnings
	return c, nil
}
