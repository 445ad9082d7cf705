package hop

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against forwarding hop-by-hop fields, and against losing other fields.
func TestRemoveFields(t *testing.T) {
	h := http.Header{"Connection": {"close"}, "Keep-Alive": {"timeout=5"}, "Te": {"trailers"}, "Accept": {"a", "b"}}
	RemoveFields(h)
	assert.DeepEqual(t, h, http.Header{"Accept": {"a", "b"}})
}
