// Package charts embeds the state chart files that package core/chart interprets.
package charts

import (
	"embed"
	"io/fs"

	"github.com/pkg/errors"
)

//go:embed *.yaml
var files embed.FS

// Read returns the text of a chart, given its name without ".yaml".
func Read(name string) ([]byte, error) {
	text, err := files.ReadFile(name + ".yaml")
	return text, errors.Wrapf(err, "read chart %q", name)
}

// MustRead is like Read, but panics if the chart does not exist.
func MustRead(name string) []byte {
	text, err := Read(name)
	if err != nil {
		panic(err)
	}
	return text
}

// FileNames returns the file names of all charts in lexical order.
func FileNames() []string {
	names, err := fs.Glob(files, "*.yaml")
	if err != nil {
		panic(err)
	}
	return names
}
