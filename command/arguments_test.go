package command

import (
	"io"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a parser that drops the argument "-", which stands for the standard
// input, before or after a flag.
func TestStandardInputArgumentIsKept(t *testing.T) {
	want := []string{"key", "withdraw", "--node", "URL", "--", "-"}
	for _, args := range [][]string{
		{"key", "withdraw", "-", "--node", "URL"},
		{"key", "withdraw", "--node", "URL", "-"},
	} {
		assert.DeepEqual(t, flagsFirst(newRoot(io.Discard, io.Discard), args), want)
	}
}
