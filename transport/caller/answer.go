package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

// reservedHeaders may be set by the node only and are removed from a target's
// answers.
var reservedHeaders = []string{HeaderReason, HeaderRun, HeaderReplayed, HeaderTargetLost, HeaderContext}

// errorBody is the JSON body of an answer from the node itself: a refusal or a
// failure.
type errorBody struct {
	Reason       string `json:"reason"`
	Run          string `json:"run"`
	Detail       string `json:"detail,omitempty"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	TargetLost   bool   `json:"target_lost,omitempty"`
}

func writeAnswer(w http.ResponseWriter, method string, a *model.Answer) {
	if a.FromNode() {
		writeError(w, a)
		return
	}
	h := w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	for _, name := range reservedHeaders {
		h.Del(name)
	}
	h.Set(HeaderRun, a.Run.String())
	if a.Replayed {
		h.Set(HeaderReplayed, "true")
	}
	if hasBody(method, a.Status) {
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// hasBody reports whether an answer has a body, so that Content-Length must be
// the length of that body. In answers to HEAD and with status 304, Content-Length
// is the length of the body that GET would return, which only the target knows.
func hasBody(method string, status int) bool {
	if method == http.MethodHead {
		return false
	}
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

func writeError(w http.ResponseWriter, a *model.Answer) {
	h := w.Header()
	h.Set(HeaderRun, a.Run.String())
	h.Set(HeaderReason, string(a.Reason))
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	if a.TargetLost {
		h.Set(HeaderTargetLost, "true")
	}
	if a.RetryAfter > 0 {
		seconds := (a.RetryAfter + time.Second - 1) / time.Second
		h.Set(headerRetryAfter, strconv.FormatInt(int64(seconds), 10))
	}
	w.WriteHeader(statusOf(a.Reason))
	_ = json.NewEncoder(w).Encode(errorBody{
		Reason:       string(a.Reason),
		Run:          a.Run.String(),
		Detail:       a.Detail,
		RetryAfterMS: a.RetryAfter.Milliseconds(),
		TargetLost:   a.TargetLost,
	})
}
