package mesh

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// wallClockMethods are the methods of time.Time that read the time of day or drop the
// reading of the steady clock, and the functions that make times without one.
var wallClockMethods = map[string]bool{
	"Unix": true, "UnixMilli": true, "UnixMicro": true, "UnixNano": true, "UTC": true, "Local": true, "In": true, "Round": true,
	"Truncate": true, "Date": true, "Clock": true, "Format": true, "AppendFormat": true, "MarshalText": true, "MarshalJSON": true,
	"MarshalBinary": true, "GobEncode": true, "Equal": true, "Parse": true, "ParseInLocation": true,
}

// Guards against a decision that follows the time of day, which may jump by seconds. The
// difference of two results of time.Now is that of the steady clock, unless one of them has
// lost its reading.
func TestNodeReadsNoTimeOfDay(t *testing.T) {
	folders := []string{
		".", "../../transport/exchange", "../../transport/frame", "../../platform", "../../core/duty", "../../core/ring",
		"../../core/timers", "../../core/budget",
	}
	policies := []string{"fleet", "quota", "dispatch", "gate", "poison", "freshness", "rollout", "memory"}
	for _, name := range policies {
		folders = append(folders, "../../policy/mesh/"+name)
	}
	checked := 0
	for _, folder := range folders {
		files, err := filepath.Glob(filepath.Join(folder, "*.go"))
		assert.NilError(t, err)
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			checked++
			checkNoWallClock(t, file)
		}
	}
	assert.Assert(t, checked >= 40, "only %d files were checked", checked)
}

func checkNoWallClock(t *testing.T, file string) {
	t.Helper()
	source, err := os.ReadFile(file)
	assert.NilError(t, err)
	set := token.NewFileSet()
	parsed, err := parser.ParseFile(set, file, source, 0)
	assert.NilError(t, err)
	usesTime := false
	for _, i := range parsed.Imports {
		usesTime = usesTime || i.Path.Value == `"time"`
	}
	if !usesTime {
		return
	}
	ast.Inspect(parsed, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		selector, ok := call.Fun.(*ast.SelectorExpr)
		if !ok || !wallClockMethods[selector.Sel.Name] {
			return true
		}
		if of, ok := selector.X.(*ast.Ident); ok && of.Name != "time" && importsPackage(parsed, of.Name) {
			return true // a function of another package
		}
		t.Errorf("%s: %s", set.Position(call.Pos()), selector.Sel.Name)
		return true
	})
}

func importsPackage(f *ast.File, name string) bool {
	for _, i := range f.Imports {
		path := strings.Trim(i.Path.Value, `"`)
		if i.Name != nil && i.Name.Name == name || path[strings.LastIndexByte(path, '/')+1:] == name {
			return true
		}
	}
	return false
}
