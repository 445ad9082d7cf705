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
	// goName matches a Go name with its package, such as policy/mesh/gate.Core or
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

// module holds the names that the pages may give.
type module struct {
	folders map[string]declarations // by path and by the last element of the path
	tests   map[string]bool         // tests, benchmarks and fuzz targets
	files   map[string]bool         // paths and names of files
}

// declarations holds the names that a folder's packages declare, tests
// included: Name, and Type.Name for methods and fields.
type declarations map[string]bool

// Guards against pages that name an identifier, a test or a source file that was
// renamed or removed, and against commands in them that select no test.
func TestNamesInPagesExist(t *testing.T) {
	m := parseModule(t)
	for _, page := range append(pages(t), "../DEVELOPERS.md", "../CONTRIBUTING.md", "../KNOWN-RED.txt") {
		text, err := os.ReadFile(page)
		assert.NilError(t, err)
		for _, match := range span.FindAllStringSubmatch(string(text), -1) {
			if fileName.MatchString(match[1]) && !m.files[match[1]] {
				t.Errorf("%s: file %s does not exist", page, match[1])
			}
			name := goName.FindStringSubmatch(match[1])
			if name == nil {
				continue
			}
			declared, ok := m.folders[name[1]]
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
			if !m.tests[name] && !examples[name] {
				t.Errorf("%s: %s does not exist", page, name)
			}
		}
		for _, match := range testPattern.FindAllStringSubmatch(string(text), -1) {
			if !examples[match[1]] && !m.selectsTest(t, match[1]) {
				t.Errorf("%s: the pattern %s selects no test", page, match[1])
			}
		}
	}
}

// selectsTest reports whether a pattern of go test matches a test; in a table of a
// page its "|" is escaped.
func (m *module) selectsTest(t *testing.T, pattern string) bool {
	t.Helper()
	pattern, _, _ = strings.Cut(strings.ReplaceAll(pattern, `\|`, "|"), "/")
	re, err := regexp.Compile(pattern)
	assert.NilError(t, err)
	for name := range m.tests {
		if re.MatchString(name) {
			return true
		}
	}
	return false
}

// parseModule reads the module's files. Files that git holds for itself are left out.
func parseModule(t *testing.T) *module {
	t.Helper()
	m := &module{folders: make(map[string]declarations), tests: make(map[string]bool), files: make(map[string]bool)}
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if entry.Name() == ".git" {
				return filepath.SkipDir
			}
			return nil
		}
		name := strings.TrimPrefix(filepath.ToSlash(path), "../")
		m.files[name], m.files[filepath.Base(name)] = true, true
		if filepath.Ext(name) != ".go" {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		m.add(name, file)
		return nil
	})
	assert.NilError(t, err)
	assert.Assert(t, len(m.folders) > 0 && len(m.tests) > 0, "no Go files found")
	return m
}

// add adds the declarations of a Go file, given its path in the module.
func (m *module) add(name string, file *ast.File) {
	folder := filepath.ToSlash(filepath.Dir(name))
	for _, key := range []string{folder, filepath.Base(folder)} {
		if m.folders[key] == nil {
			m.folders[key] = make(declarations)
		}
		for _, d := range file.Decls {
			m.folders[key].add(d)
		}
	}
	if !strings.HasSuffix(name, "_test.go") {
		return
	}
	for _, d := range file.Decls {
		if f, ok := d.(*ast.FuncDecl); ok && f.Recv == nil {
			m.tests[f.Name.Name] = true
		}
	}
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
