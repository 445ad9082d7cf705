// Package docs_test checks the pages of the project.
package docs_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var (
	// code matches fenced blocks and code spans, in which "](" is no link.
	code = regexp.MustCompile("(?ms)^```.*?^```|`[^`\n]*`")
	// link matches the destination of a Markdown link, without title.
	link = regexp.MustCompile(`\]\(([^)\s]+)`)
)

// Guards against a relative link in README.md or docs to a file that does
// not exist.
func TestLinksLeadToFiles(t *testing.T) {
	for _, page := range pages(t) {
		text, err := os.ReadFile(page)
		assert.NilError(t, err)
		for _, match := range link.FindAllSubmatch(code.ReplaceAll(text, nil), -1) {
			path, _, _ := strings.Cut(string(match[1]), "#")
			if path == "" || strings.Contains(path, "://") || strings.HasPrefix(path, "mailto:") {
				continue
			}
			if _, err := os.Stat(filepath.Join(filepath.Dir(page), path)); err != nil {
				t.Errorf("%s: link to %s: %v", page, match[1], err)
			}
		}
	}
}

// pages returns README.md and every Markdown file under docs.
func pages(t *testing.T) []string {
	t.Helper()
	found := []string{filepath.Join("..", "README.md")}
	err := filepath.WalkDir(".", func(path string, _ fs.DirEntry, err error) error {
		if err == nil && filepath.Ext(path) == ".md" {
			found = append(found, path)
		}
		return err
	})
	assert.NilError(t, err)
	assert.Assert(t, len(found) > 1, "no pages under docs")
	return found
}
