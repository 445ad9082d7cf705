package version

import (
	"runtime/debug"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a version that hides which commit was built, or that it was modified.
func TestText(t *testing.T) {
	info := &debug.BuildInfo{Main: debug.Module{Version: "v1.2.0"}, Settings: []debug.BuildSetting{
		{Key: "vcs.revision", Value: "abc123"}, {Key: "vcs.modified", Value: "true"},
	}}
	got := text(info, true)
	assert.Assert(t, strings.HasPrefix(got, "build v1.2.0\ncommit abc123 (modified)\nframes "), got)
	assert.Assert(t, strings.HasPrefix(text(nil, false), "build unknown\ncommit unknown\n"))
}
