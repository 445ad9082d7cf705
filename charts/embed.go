// Package charts embeds the state charts that the program interprets.
package charts

import (
	"embed"
	"io/fs"

	"github.com/pkg/errors"
)

//go:embed *.yaml
var files embed.FS

// Read returns the text of the chart with the given name.
func Read(name string) ([]byte, error) {
	text, err := files.ReadFile(name + ".yaml")
	return text, errors.Wrapf(err, "read chart %q", name)
}

// MustRead returns the text of a chart that is part of the program.
func MustRead(name string) []byte {
	text, err := Read(name)
	if err != nil {
		panic(err)
	}
	return text
}

// Names returns the file names of all charts, sorted.
func FileNames() []string {
	names, err := fs.Glob(files, "*.yaml")
	if err != nil {
		panic(err)
	}
	return names
}
