// Package strictyaml reads YAML files that people write. Every fault names
// the file, the line, the field and what is expected.
package strictyaml

import (
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
	"github.com/pkg/errors"
)

// maxBytes bounds a file. The example questionnaires have 3 KB.
const maxBytes = 4 << 20

// Fault is one fault of a file.
type FieldError struct {
	File    string
	Line    int    // from 1; 0 when the fault has no place
	Field   string // such as services[0].slots; empty for the whole file
	Message string
}

// Error returns "file:line: field: message".
func (f FieldError) Error() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d", f.Line)
	}
	b.WriteString(": ")
	if f.Field != "" {
		b.WriteString(f.Field + ": ")
	}
	b.WriteString(f.Message)
	return b.String()
}

// Faults are the faults of a file, in the order in which they were found.
type ErrorList []FieldError

// Error returns the faults, one a line.
func (f ErrorList) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// File is a decoded YAML file that knows the lines of its fields.
type File struct {
	name   string
	lines  map[string]int // path -> line
	faults ErrorList
}

// Read decodes text into a pointer to a struct. An unknown field, a duplicate
// key, a value of another type, an empty file and a second document are
// faults.
func Read(name string, text []byte, into any) (*File, error) {
	f := &File{name: name, lines: make(map[string]int)}
	if len(text) > maxBytes {
		return nil, ErrorList{{File: name, Message: fmt.Sprintf("has %d bytes, expected at most %d", len(text), maxBytes)}}
	}
	parsed, err := parser.ParseBytes(text, 0)
	if err != nil {
		return nil, f.convert(err)
	}
	if len(parsed.Docs) != 1 || parsed.Docs[0].Body == nil {
		return nil, ErrorList{{File: name, Message: fmt.Sprintf("has %d documents, expected 1 that is not empty", len(parsed.Docs))}}
	}
	body := parsed.Docs[0].Body
	if _, ok := body.(*ast.MappingNode); !ok {
		return nil, ErrorList{{File: name, Line: 1, Message: "expected fields, each as \"name: value\""}}
	}
	ast.Walk(f, body)
	if err := f.Err(); err != nil {
		return nil, err
	}
	if err := yaml.NodeToValue(body, into, yaml.Strict()); err != nil {
		return nil, f.convert(err)
	}
	return f, nil
}

// Visit implements ast.Visitor: it notes the line of each field. Tags, anchors
// and aliases are refused: no field needs them, aliases can make a small file
// large, and the YAML library fails on a tag before an empty list.
func (f *File) Visit(n ast.Node) ast.Visitor {
	path, t := n.GetPath(), n.GetToken()
	if t == nil || t.Position == nil {
		return f
	}
	switch n.(type) {
	case *ast.TagNode, *ast.AnchorNode, *ast.AliasNode, *ast.MergeKeyNode, *ast.DirectiveNode:
		f.faults = append(f.faults, FieldError{File: f.name, Line: t.Position.Line,
			Message: "has a YAML tag, anchor or alias, expected plain values"})
		return nil
	}
	if _, ok := f.lines[path]; !ok {
		f.lines[path] = t.Position.Line
	}
	return f
}

// Faultf notes a fault of the field at a path such as "services[0].slots". A
// field that the file lacks has the line of the one around it.
func (f *File) Errorf(field, format string, args ...any) {
	f.faults = append(f.faults, FieldError{
		File:    f.name,
		Line:    f.line("$." + field),
		Field:   field,
		Message: fmt.Sprintf(format, args...),
	})
}

// Err returns the faults noted so far as Faults, or nil.
func (f *File) Err() error {
	if len(f.faults) == 0 {
		return nil
	}
	return f.faults
}

func (f *File) line(path string) int {
	for path != "" {
		if line, ok := f.lines[path]; ok {
			return line
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 1
}

// convert turns an error of the YAML library into a fault.
func (f *File) convert(err error) error {
	var detailed yaml.Error
	if !errors.As(err, &detailed) {
		return ErrorList{{File: f.name, Message: oneLine(err.Error())}}
	}
	fault := FieldError{File: f.name, Message: oneLine(detailed.GetMessage())}
	if t := detailed.GetToken(); t != nil && t.Position != nil {
		fault.Line = t.Position.Line
		fault.Field = fieldOf(t)
	}
	return ErrorList{fault}
}

// fieldOf returns the name of the field on the token's line, as far as it is
// simple.
func fieldOf(t *token.Token) string {
	for at := t; at != nil && at.Position != nil && at.Position.Line == t.Position.Line; at = at.Prev {
		if at.Type == token.MappingValueType && at.Prev != nil {
			return at.Prev.Value
		}
	}
	if t.Next != nil && t.Next.Type == token.MappingValueType {
		return t.Value
	}
	return ""
}

func oneLine(text string) string {
	return strings.Join(strings.Fields(text), " ")
}
