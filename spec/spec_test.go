// Package spec contains Promela models of the protocols. Its test checks that
// the models use the same state charts as the program.
package spec

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/charts"
	"github.com/oleanderworks/oleanderworks/core/chart"
)

// Guards against models whose transitions differ from those of the charts that
// the program interprets.
func TestModelsMatchCharts(t *testing.T) {
	files, err := filepath.Glob("gen/*.pml")
	assert.NilError(t, err)
	assert.Assert(t, len(files) >= 2)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".pml")
		text, err := charts.Read(name)
		assert.NilError(t, err)
		def, err := chart.Parse(text)
		assert.NilError(t, err)
		model, err := os.ReadFile(file)
		assert.NilError(t, err)
		assert.Equal(t, string(model), def.Promela(),
			"run: go run ./cmd/oleanderworks charts promela %s > spec/%s", name, file)
	}
}
