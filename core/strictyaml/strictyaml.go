// Package strictyaml decodes hand-written YAML files strictly. Errors name
// the file and, where known, the line, the field and the expected value.
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

// maxBytes bounds the size of a file. The example questionnaires have 3 KB.
const maxBytes = 4 << 20

// FieldError is an error in a file, with its position.
type FieldError struct {
	File    string
	Line    int    // starts at 1; 0 if the YAML library does not give the line
	Field   string // path such as services[0].slots; empty for the whole file
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

// ErrorList lists the errors of a file in the order in which they were found.
type ErrorList []FieldError

// Error returns the errors, one per line.
func (l ErrorList) Error() string {
	lines := make([]string, len(l))
	for i, e := range l {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// File is a decoded YAML file. It records the line of each field and the errors
// reported so far.
type File struct {
	name  string
	lines map[string]int // by path
	errs  ErrorList
}

// Decode decodes text into the struct to which out points. It rejects unknown fields,
// duplicate keys, values of the wrong type, empty files and files with several
// documents. Errors name the file as name.
func Decode(name string, text []byte, out any) (*File, error) {
	f := &File{name: name, lines: make(map[string]int)}
	if len(text) > maxBytes {
		return nil, ErrorList{{File: name, Message: fmt.Sprintf("has %d bytes, expected at most %d", len(text), maxBytes)}}
	}
	parsed, err := parser.ParseBytes(text, 0)
	if err != nil {
		return nil, f.convertError(err)
	}
	if len(parsed.Docs) != 1 || parsed.Docs[0].Body == nil {
		return nil, ErrorList{{File: name, Message: fmt.Sprintf("has %d documents, expected 1 non-empty document", len(parsed.Docs))}}
	}
	body := parsed.Docs[0].Body
	if _, ok := body.(*ast.MappingNode); !ok {
		return nil, ErrorList{{File: name, Line: 1, Message: "expected fields, each as \"name: value\""}}
	}
	ast.Walk(f, body)
	if err := f.Err(); err != nil {
		return nil, err
	}
	if err := yaml.NodeToValue(body, out, yaml.Strict()); err != nil {
		return nil, f.convertError(err)
	}
	return f, nil
}

// Visit implements ast.Visitor. It records the line of each field and rejects
// tags, anchors and aliases: no field needs them, aliases can expand a small file
// to a huge value, and the YAML library panics if a field of list type has a tag
// and no list.
func (f *File) Visit(n ast.Node) ast.Visitor {
	path, t := n.GetPath(), n.GetToken()
	if t == nil || t.Position == nil {
		return f
	}
	switch n.(type) {
	case *ast.TagNode, *ast.AnchorNode, *ast.AliasNode, *ast.MergeKeyNode, *ast.DirectiveNode:
		f.errs = append(f.errs, FieldError{File: f.name, Line: t.Position.Line,
			Message: "has a YAML tag, anchor or alias, expected plain values"})
		return nil
	}
	if _, ok := f.lines[path]; !ok {
		f.lines[path] = t.Position.Line
	}
	return f
}

// Errorf records an error for the field at a path such as "services[0].slots". If
// the file lacks the field, the error has the line of the innermost enclosing field
// that is present, or else that of the file's first field.
func (f *File) Errorf(field, format string, args ...any) {
	f.errs = append(f.errs, FieldError{
		File:    f.name,
		Line:    f.lineOf("$." + field),
		Field:   field,
		Message: fmt.Sprintf(format, args...),
	})
}

// Err returns the errors recorded so far as an ErrorList, or nil.
func (f *File) Err() error {
	if len(f.errs) == 0 {
		return nil
	}
	return f.errs
}

func (f *File) lineOf(path string) int {
	for path != "" {
		if line, ok := f.lines[path]; ok {
			return line
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 1
}

// convertError converts an error of the YAML library to an ErrorList.
func (f *File) convertError(err error) error {
	var yamlErr yaml.Error
	if !errors.As(err, &yamlErr) {
		return ErrorList{{File: f.name, Message: oneLine(err.Error())}}
	}
	fieldErr := FieldError{File: f.name, Message: oneLine(yamlErr.GetMessage())}
	if t := yamlErr.GetToken(); t != nil && t.Position != nil {
		fieldErr.Line = t.Position.Line
		fieldErr.Field = fieldNameAt(t)
	}
	return ErrorList{fieldErr}
}

// fieldNameAt returns the last field name before the token on the token's line. If there
// is none, it returns the token itself if that is a field name, and otherwise "".
func fieldNameAt(t *token.Token) string {
	for tok := t; tok != nil && tok.Position != nil && tok.Position.Line == t.Position.Line; tok = tok.Prev {
		if tok.Type == token.MappingValueType && tok.Prev != nil {
			return tok.Prev.Value
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
