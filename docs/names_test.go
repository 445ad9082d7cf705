package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var (
	// span matches a code span, without its backquotes.
	span = regexp.MustCompile("`([^`\n]+)`")
	// goName matches a Go name with its package, such as policy/gate.Core or
	// model.Call.Customer.
	goName = regexp.MustCompile(`^([a-z][a-z/]*)\.([A-Z]\w*)(?:\.([A-Z]\w*))?$`)
	// fileName matches the name of a source file, with or without its folder.
	fileName = regexp.MustCompile(`^[a-z0-9_./]+\.(?:go|yaml|pml|proto)$`)
	// testName matches the name of a test, a benchmark or a fuzz target.
	testName = regexp.MustCompile(`\b(?:Test|Benchmark|Fuzz)[A-Z]\w*`)
	// testPattern matches the pattern of a go test command that selects tests.
	testPattern = regexp.MustCompile("-(?:run|bench|fuzz) '?([^'` ]+)")
	// examples are names and patterns in the pages that stand for any test or for none.
	examples = map[string]bool{"TestName": true, "NAME": true, "^$": true, "xxx": true, "XXX": true}
)

// declarations holds the names that a folder's packages declare, tests
// included: Name, and Type.Name for methods and fields.
type declarations map[string]bool

// Guards against pages that name an identifier, a test or a source file that was
// renamed or removed, and against commands in them that select no test.
func TestNamesInPagesExist(t *testing.T) {
	folders, tests := parseModule(t)
	files := sourceFiles(t)
	for _, page := range append(pages(t), "../DEVELOPERS.md", "../CONTRIBUTING.md", "../KNOWN-RED.txt") {
		text, err := os.ReadFile(page)
		assert.NilError(t, err)
		for _, match := range span.FindAllStringSubmatch(string(text), -1) {
			if fileName.MatchString(match[1]) && !files[match[1]] {
				t.Errorf("%s: file %s does not exist", page, match[1])
			}
			name := goName.FindStringSubmatch(match[1])
			if name == nil {
				continue
			}
			declared, ok := folders[name[1]]
			if !ok {
				continue // a package of the standard library or of another module
			}
			ident := name[2]
			if name[3] != "" {
				ident += "." + name[3]
			}
			if !declared[ident] {
				t.Errorf("%s: %s is not declared", page, match[1])
			}
		}
		for _, name := range testName.FindAllString(string(text), -1) {
			if !tests[name] && !examples[name] {
				t.Errorf("%s: %s does not exist", page, name)
			}
		}
		for _, match := range testPattern.FindAllStringSubmatch(string(text), -1) {
			if !examples[match[1]] && !selectsTest(t, match[1], tests) {
				t.Errorf("%s: the pattern %s selects no test", page, match[1])
			}
		}
	}
}

// selectsTest reports whether a pattern of go test matches a test; in a table of a
// page its "|" is escaped.
func selectsTest(t *testing.T, pattern string, tests map[string]bool) bool {
	t.Helper()
	pattern, _, _ = strings.Cut(strings.ReplaceAll(pattern, `\|`, "|"), "/")
	re, err := regexp.Compile(pattern)
	assert.NilError(t, err)
	for name := range tests {
		if re.MatchString(name) {
			return true
		}
	}
	return false
}

// sourceFiles returns the paths and the names of all files of the module.
func sourceFiles(t *testing.T) map[string]bool {
	t.Helper()
	files := make(map[string]bool)
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		path = strings.TrimPrefix(filepath.ToSlash(path), "../")
		files[path], files[filepath.Base(path)] = true, true
		return nil
	})
	assert.NilError(t, err)
	return files
}

// parseModule returns the declarations of every folder of the module, by its
// path and by its last element, and the names of all tests.
func parseModule(t *testing.T) (map[string]declarations, map[string]bool) {
	t.Helper()
	folders, tests := make(map[string]declarations), make(map[string]bool)
	err := filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || filepath.Ext(path) != ".go" {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		folder := strings.TrimPrefix(filepath.ToSlash(filepath.Dir(path)), "../")
		for _, key := range []string{folder, filepath.Base(folder)} {
			if folders[key] == nil {
				folders[key] = make(declarations)
			}
			for _, d := range file.Decls {
				folders[key].add(d)
			}
		}
		if strings.HasSuffix(path, "_test.go") {
			for _, d := range file.Decls {
				if f, ok := d.(*ast.FuncDecl); ok && f.Recv == nil {
					tests[f.Name.Name] = true
				}
			}
		}
		return nil
	})
	assert.NilError(t, err)
	assert.Assert(t, len(folders) > 0 && len(tests) > 0, "no Go files found")
	return folders, tests
}

func (d declarations) add(decl ast.Decl) {
	switch decl := decl.(type) {
	case *ast.FuncDecl:
		name := decl.Name.Name
		if decl.Recv != nil {
			name = receiver(decl.Recv.List[0].Type) + "." + name
		}
		d[name] = true
	case *ast.GenDecl:
		for _, s := range decl.Specs {
			switch s := s.(type) {
			case *ast.TypeSpec:
				d.addType(s)
			case *ast.ValueSpec:
				for _, name := range s.Names {
					d[name.Name] = true
				}
			}
		}
	}
}

func (d declarations) addType(s *ast.TypeSpec) {
	d[s.Name.Name] = true
	var members *ast.FieldList
	switch t := s.Type.(type) {
	case *ast.StructType:
		members = t.Fields
	case *ast.InterfaceType:
		members = t.Methods
	default:
		return
	}
	for _, field := range members.List {
		for _, name := range field.Names {
			d[s.Name.Name+"."+name.Name] = true
		}
	}
}

// receiver returns the name of a receiver's type, without pointer and type
// parameters.
func receiver(e ast.Expr) string {
	switch e := e.(type) {
	case *ast.StarExpr:
		return receiver(e.X)
	case *ast.IndexExpr:
		return receiver(e.X)
	case *ast.IndexListExpr:
		return receiver(e.X)
	case *ast.Ident:
		return e.Name
	default:
		return ""
	}
}
