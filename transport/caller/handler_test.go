package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/routing"
)

// reasonConstants returns the values of the constants in model/reason.go, without
// the empty ReasonNone.
func reasonConstants(t *testing.T) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "../../model/reason.go", nil, 0)
	assert.NilError(t, err)
	var out []string
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || !strings.HasPrefix(spec.Names[0].Name, "Reason") {
			return true
		}
		value, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
		assert.NilError(t, err)
		if value != "" {
			out = append(out, value)
		}
		return true
	})
	return out
}

// Guards against reasons that docs/callers.md does not list, and against a page
// that differs from what the node sends.
func TestCallersDocAndStatusTableHaveEveryReason(t *testing.T) {
	page, err := os.ReadFile("../../docs/callers.md")
	assert.NilError(t, err)
	all := reasonConstants(t)
	assert.Assert(t, len(all) > 20)
	assert.Equal(t, len(statusByReason), len(all))
	for _, name := range all {
		reason := model.Reason(name)
		status, ok := statusByReason[reason]
		assert.Assert(t, ok, "no status for %s", name)
		mayRetryLater := "no"
		if routing.MayRetryLater(reason) {
			mayRetryLater = "yes"
		}
		row := fmt.Sprintf("| `%s` | %d | %s |", name, status, mayRetryLater)
		assert.Assert(t, bytes.Contains(page, []byte(row)), "docs/callers.md has no row %q", row)
	}
	assert.Equal(t, bytes.Count(page, []byte("\n| `")), len(all)+headerRows, "rows of the tables of headers and reasons")
}

// headerRows is the number of rows in the tables of headers of docs/callers.md.
const headerRows = 13

// Guards against headers of the API that docs/callers.md does not describe.
func TestCallersDocHasEveryHeader(t *testing.T) {
	page, err := os.ReadFile("../../docs/callers.md")
	assert.NilError(t, err)
	for _, name := range []string{
		HeaderReason, HeaderRun, HeaderReplayed, HeaderTargetLost, HeaderTimeout, HeaderAttempt,
		HeaderContext, HeaderRequestID, HeaderAPIKey, headerAuthorization, headerRetryAfter,
	} {
		assert.Assert(t, bytes.Contains(page, []byte("| `"+name)), "docs/callers.md has no row for %s", name)
	}
}

// serve sends a request through the handler. It returns the response and the
// request that the backend received.
func serve(method, path string, header map[string]string, answer *model.Answer) (*http.Response, *model.Request) {
	var received *model.Request
	backend := func(_ context.Context, req *model.Request) *model.Answer {
		received = req
		return answer
	}
	r := httptest.NewRequest(method, path, nil)
	for name, value := range header {
		r.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	NewHandler(backend, false, nil).ServeHTTP(w, r)
	return w.Result(), received
}

// Guards against refusals of invalid headers that do not say what is expected.
func TestBadInputNamesTheHeader(t *testing.T) {
	cases := []struct{ header, value, want string }{
		{HeaderRequestID, "4711", "header Idempotency-Key: want a UUID of version 7"},
		{HeaderRequestID, uuid.NewString(), "header Idempotency-Key: want a UUID of version 7"},
		{HeaderTimeout, "1s", "header Oleander-Timeout: want a whole number from 0 to 86400000"},
		{HeaderTimeout, "99999999999999", "header Oleander-Timeout: want a whole number from 0 to 86400000"},
		{HeaderAttempt, "-1", "header Oleander-Attempt: want a whole number from 0 to 1000000"},
		{headerAuthorization, "Bearer other", "headers X-Api-Key and Authorization: want one key"},
	}
	for _, tc := range cases {
		resp, received := serve("GET", "/tally/a", map[string]string{HeaderAPIKey: "key", tc.header: tc.value}, nil)
		assert.Assert(t, received == nil)
		assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
		assert.Equal(t, resp.Header.Get(HeaderRun), "not-run")
		var body errorBody
		assert.NilError(t, json.NewDecoder(resp.Body).Decode(&body))
		assert.Equal(t, body.Detail, tc.want)
	}
}

// Guards against forwarding a key, and against not recognizing a key in one of
// the accepted headers.
func TestKeyIsReadAndStripped(t *testing.T) {
	for _, h := range []map[string]string{
		{HeaderAPIKey: "secret"}, {headerAuthorization: "Bearer secret"}, {headerAuthorization: "bearer secret"},
		{HeaderAPIKey: "secret", headerAuthorization: "Bearer secret", HeaderContext: "x", "Accept": "y"},
	} {
		_, received := serve("GET", "/tally/a?b=c", h, &model.Answer{Run: model.Completed, Status: 200})
		assert.Assert(t, received.HasKey && received.Key == "secret")
		assert.Equal(t, received.Path, "/a?b=c")
		assert.Assert(t, !strings.Contains(fmt.Sprint(received.Header), "secret"))
		assert.Equal(t, received.Header.Get(HeaderContext), "")
	}
	_, received := serve("GET", "/tally/a", map[string]string{headerAuthorization: "Basic c2VjcmV0"}, &model.Answer{Status: 200})
	assert.Assert(t, !received.HasKey && received.Header.Get(headerAuthorization) == "")
}

// Guards against refusals without the fields that callers need, and against
// requests without a service or with an unsupported method that get no refusal.
func TestRefusalHasAllFields(t *testing.T) {
	a := model.NewRefusal(1, model.ReasonShed, "the queue is full")
	a.RetryAfter = 1500 * time.Millisecond
	a.TargetLost = true
	resp, _ := serve("GET", "/tally", nil, a)
	assert.Equal(t, resp.StatusCode, 503)
	assert.Equal(t, resp.Header.Get("Retry-After"), "2")
	assert.Equal(t, resp.Header.Get(HeaderReason), "shed")
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), `{"reason":"shed","run":"not-run","detail":"the queue is full","retry_after_ms":1500,"target_lost":true}`+"\n")

	for _, path := range []string{"/", ""} {
		resp, _ = serve("GET", "http://node"+path, nil, nil)
		assert.Equal(t, resp.StatusCode, 404)
		assert.Equal(t, resp.Header.Get(HeaderReason), "no_route")
	}
	resp, _ = serve("TRACE", "/tally/a", nil, nil)
	assert.Equal(t, resp.Header.Get(HeaderReason), "no_route")
}

// Guards against a wrong Content-Length on an answer to HEAD, a Content-Length
// on 204, and headers from a target that only the node may set.
func TestAnswerHeadersOfNodeAndTarget(t *testing.T) {
	a := &model.Answer{Run: model.Completed, Status: 200, Replayed: true, Header: http.Header{
		"Content-Length": {"42"}, HeaderRun: {"not-run"}, HeaderReason: {"shed"}, HeaderContext: {"secret"},
	}}
	resp, _ := serve("HEAD", "/tally/a", nil, a)
	assert.Equal(t, resp.Header.Get("Content-Length"), "42")
	assert.Equal(t, resp.Header.Get(HeaderRun), "completed")
	assert.Equal(t, resp.Header.Get(HeaderReplayed), "true")
	assert.Equal(t, resp.Header.Get(HeaderReason)+resp.Header.Get(HeaderContext), "")
	resp, _ = serve("GET", "/tally/a", nil, a)
	assert.Equal(t, resp.Header.Get("Content-Length"), "0")
	resp, _ = serve("OPTIONS", "/tally/a", nil, &model.Answer{Status: 204, Header: http.Header{"Allow": {"GET"}}})
	assert.Equal(t, resp.Header.Get("Content-Length"), "")
	assert.Equal(t, resp.Header.Get("Allow"), "GET")
}

// FuzzReadHeaders guards against input that crashes the node, against accepting
// values out of range, and against forwarding a key.
func FuzzReadHeaders(f *testing.F) {
	f.Add("key", "Bearer key", "", "", "", "")
	f.Add("", "bearer  x", uuid.Must(uuid.NewV7()).String(), "100", "2", "context")
	f.Add("a", "Bearer b", "{01890a5d-ac96-774b-bcce-b302099a8057}", "-1", "9223372036854775808", "\x00")
	f.Add("", "Bearer", "urn:uuid:01890a5d-ac96-774b-bcce-b302099a8057", "+5", "0x10", "")
	f.Fuzz(func(t *testing.T, key, auth, id, timeout, attempt, parent string) {
		h := make(http.Header)
		for name, value := range map[string]string{
			HeaderAPIKey: key, headerAuthorization: auth, HeaderRequestID: id,
			HeaderTimeout: timeout, HeaderAttempt: attempt, HeaderContext: parent,
		} {
			if value != "" {
				h.Set(name, value)
			}
		}
		req := new(model.Request)
		if err := readHeaders(req, h); err != nil {
			assert.Assert(t, strings.HasPrefix(err.Error(), "header"), "%v", err)
			return
		}
		assert.Assert(t, req.Timeout >= 0 && req.Timeout <= 24*time.Hour)
		assert.Assert(t, req.ClientAttempt >= 0 && req.ClientAttempt <= maxAttempt)
		assert.Assert(t, req.RequestID == uuid.Nil || req.RequestID.Version() == 7)
		assert.Equal(t, req.HasKey, req.Key != "")
		for _, name := range strippedHeaders {
			assert.Equal(t, len(req.Header.Values(name)), 0)
		}
	})
}
