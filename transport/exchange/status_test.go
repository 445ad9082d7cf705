package exchange

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
)

// Guards against passing on an answer whose status no HTTP response can have, which
// net/http parses, and against waiting for another answer after it.
func TestImpossibleStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000 None", "000", "099 Low", "101 Switching Protocols", "600 High", "999"} {
		t.Run(status, func(t *testing.T) {
			s := serveScript(t, func(n int64, r *http.Request) string {
				if n > 1 {
					return okAnswer(r.Header.Get("Id"), "next")
				}
				return "HTTP/1.1 " + status + "\r\nId: a\r\nKeep-Alive: timeout=10\r\nContent-Length: 4\r\n\r\nbody"
			})
			a, outcome := do(t, s, newCall("a"))
			assert.Equal(t, outcome, model.OutcomeFailed)
			assert.Equal(t, a.Run, model.RunUnknown)
			assert.Equal(t, a.Reason, model.ReasonAnswerCut)
			a, _ = do(t, s, newCall("b"))
			assert.Equal(t, string(a.Body), "next")
		})
	}
}
