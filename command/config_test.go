package command

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/examples"
	"github.com/oleanderworks/oleanderworks/logservice/httplog"
	"github.com/oleanderworks/oleanderworks/logservice/memlog"
)

// commandRunner runs subcommands that use the same log service.
type commandRunner struct {
	t   *testing.T
	log *memlog.Log
	url string
}

func newCommandRunner(t *testing.T) *commandRunner {
	log := memlog.New(time.Now, memlog.DefaultRetention)
	server := httptest.NewServer(httplog.NewHandler(log))
	t.Cleanup(server.Close)
	return &commandRunner{t: t, log: log, url: server.URL}
}

// run returns the exit code, and the output to stdout and stderr together.
func (c *commandRunner) run(args ...string) (int, string) {
	var out bytes.Buffer
	code := Run(context.Background(), append(args, "--log", c.url), &out, &out)
	return code, out.String()
}

func (c *commandRunner) mustSucceed(args ...string) string {
	c.t.Helper()
	code, out := c.run(args...)
	assert.Equal(c.t, code, 0, out)
	return out
}

func (c *commandRunner) mustFail(want string, args ...string) {
	c.t.Helper()
	code, out := c.run(args...)
	assert.Equal(c.t, code, 1, out)
	assert.Assert(c.t, strings.Contains(out, want), out)
	assert.Equal(c.t, strings.Count(out, "\n"), 1, "not one line: %s", out)
}

func (c *commandRunner) writeQuestionnaire(text string) string {
	path := filepath.Join(c.t.TempDir(), "q.yaml")
	assert.NilError(c.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Guards against a publication that amends documents that do not differ, deletes issued
// keys, or puts an availability zone back into service.
func TestPublishAmendsOnlyChangedDocuments(t *testing.T) {
	c := newCommandRunner(t)
	path := c.writeQuestionnaire(string(examples.Trust))
	assert.Assert(t, strings.Contains(c.mustSucceed("config", "publish", path), "accepted"))
	issued := c.mustSucceed("key", "issue", "--customer", "ra-herders")
	key := strings.TrimSpace(issued[strings.LastIndex(issued, " ")+1:])
	assert.Assert(t, strings.HasPrefix(key, "ow_"))
	c.mustSucceed("zone", "out", "nadi")
	assert.Assert(t, strings.Contains(c.mustSucceed("zone", "out", "nadi"), "out already"))
	assert.Assert(t, strings.Contains(c.mustSucceed("config", "publish", path), "nothing to publish"))

	changed := strings.Replace(string(examples.Trust), "rate: 300,", "rate: 310,", 1)
	out := c.mustSucceed("config", "publish", "--prune", c.writeQuestionnaire(changed))
	assert.Equal(t, strings.Count(out, "->"), 1, out)
	assert.Assert(t, strings.Contains(out, "customer/ra-herders: version 1 -> 2"), out)
	assert.Assert(t, strings.Contains(c.mustSucceed("config", "show", "zone/nadi"), `"out":true`))
	assert.Assert(t, strings.Contains(c.mustSucceed("key", "list"), "valid"))

	c.mustSucceed("key", "withdraw", key)
	assert.Assert(t, strings.Contains(c.mustSucceed("key", "list"), "withdrawn"))
	assert.Assert(t, !strings.Contains(c.mustSucceed("config", "show"), key), "the key itself is in the log")
	c.mustSucceed("zone", "in", "nadi")
	c.mustSucceed("target", "out", "tally-1")
	assert.Assert(t, strings.Contains(c.mustSucceed("config", "history", "--limit", "1"), "target/tally-1@1"))
}

// Guards against a command that appends a record although it fails, and against an error
// with a single cause that is reported in several lines.
func TestErrorsPublishNothing(t *testing.T) {
	c := newCommandRunner(t)
	invalid := strings.Replace(string(examples.Trust), "rate: 300,", "rate: -300,", 1)
	c.mustFail("customers[2].rate: is -300, expected", "config", "publish", c.writeQuestionnaire(invalid))
	c.mustFail("not in the configuration", "key", "issue", "--customer", "nobody")
	c.mustFail("not in the configuration", "zone", "out", "atlantis")
	c.mustFail("not in the configuration", "key", "withdraw", "ow_unknown")
	c.mustFail("expected the name of one", "zone", "out")
	assert.Equal(t, c.log.Appends(), int64(0))
}

// Guards against a publication that is applied twice or is reported as failed because
// the answer to its append was lost.
func TestPublicationWithLostAnswerIsAppliedOnce(t *testing.T) {
	c := newCommandRunner(t)
	c.log.SetFaults(memlog.Faults{LoseAnswers: 1})
	assert.Assert(t, strings.Contains(c.mustSucceed("config", "publish", c.writeQuestionnaire(string(examples.Trust))), "accepted"))
	assert.Equal(t, c.log.Appends(), int64(1))
	assert.Assert(t, strings.Contains(c.mustSucceed("config", "show", "customer/ra-herders"), "version 1"))
}

// Guards against a command that reports success, or another error, although its first
// read failed because the log service is unavailable.
func TestUnavailableLogIsReported(t *testing.T) {
	c := newCommandRunner(t)
	c.log.SetFaults(memlog.Faults{Down: true})
	c.mustFail("log service is unavailable", "zone", "out", "nadi", "--timeout", "300ms")
}

// Guards against a status command that does not use the given address or does not report
// the failed request.
func TestStatusReportsFailedRequest(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	var out bytes.Buffer
	assert.Equal(t, Run(context.Background(), []string{"status", server.URL}, &out, &out), 1)
	assert.Assert(t, strings.Contains(out.String(), "status 404, expected 200"), out.String())
}
