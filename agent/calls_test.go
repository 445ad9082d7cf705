package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/oleanderworks/oleanderworks/logservice/memlog"
	"github.com/oleanderworks/oleanderworks/model"
)

// publishHighCapacityConfig publishes a configuration with more slots and tokens
// than the tests need, so that no call is refused for lack of them. Most routes are
// idempotent.
func publishHighCapacityConfig(t testing.TB, log *memlog.Log) {
	t.Helper()
	publish(t, log, map[string]any{
		model.FleetDocument: model.FleetConfig{Classes: []model.Class{"lookup", "filing"}, RetryBudget: 2},
		"service/registry": model.ServiceConfig{Slots: 200, ColdFloor: 200, Routes: []model.Route{
			{Prefix: "/", Class: "lookup", Idempotent: true}}},
		"service/tally": model.ServiceConfig{Slots: 200, ColdFloor: 200, Routes: []model.Route{
			{Prefix: "/", Class: "filing", Idempotent: true}, {Prefix: "/once", Class: "filing"},
			{Prefix: "/open", Class: "lookup", Idempotent: true, Open: true}}},
		"customer/herders":                       model.CustomerConfig{Name: "herders", Rate: 100_000, Burst: 100_000},
		"key/" + model.HashKey(testKey).String(): model.KeyConfig{Customer: "herders"},
	})
}

// startTarget starts a target with a handler and returns its URL.
func startTarget(t testing.TB, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.URL
}

func waitForGetOK(t testing.TB, n *Node, path string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		resp, text := call(t, n, http.MethodGet, path, nil)
		if resp.StatusCode != http.StatusOK {
			return poll.Continue("status %d: %s", resp.StatusCode, text)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(10*time.Millisecond))
}

// Guards against a sub-call that is not charged to its parent's customer, that needs
// a key, or that is accepted after its parent has ended.
func TestSubCallInheritsCustomerAndEndsWithParent(t *testing.T) {
	var subAddress atomic.Value // address of the node's loopback listener
	var parentContextID atomic.Value
	subCall := func(ctx context.Context, contextID string) (int, string) {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+subAddress.Load().(string)+"/tally/count", nil)
		assert.NilError(t, err)
		req.Header.Set("Oleander-Context", contextID)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0, err.Error()
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(text) + resp.Header.Get("Oleander-Reason")
	}
	parentTarget := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		parentContextID.Store(r.Header.Get("Oleander-Context"))
		status, text := subCall(r.Context(), parentContextID.Load().(string))
		w.WriteHeader(status)
		_, _ = io.WriteString(w, text)
	})
	subCallTarget := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		// The target must not get the caller's key, so the body must be "42 head ".
		_, _ = io.WriteString(w, "42 head "+r.Header.Get("X-Api-Key"))
	})
	log := memlog.New(time.Now, memlog.DefaultRetention)
	publishHighCapacityConfig(t, log)
	entry := startNode(t, log, "registry-1", "registry", parentTarget)
	subAddress.Store(entry.SubAddress())
	startNode(t, log, "tally-1", "tally", subCallTarget)

	waitForGetOK(t, entry, "/registry/ask")
	_, text := call(t, entry, http.MethodGet, "/registry/ask", nil)
	assert.Equal(t, text, "42 head ")
	status, text := subCall(t.Context(), parentContextID.Load().(string))
	assert.Equal(t, status, http.StatusConflict)
	assert.Assert(t, strings.HasSuffix(text, "parent_ended"), text)
}

// Guards against an answer that reaches the wrong caller while many callers send
// requests and some disconnect early, and against a disconnect that does not cancel
// the call at the target: at least one call must be canceled.
func TestEachCallerGetsItsOwnAnswer(t *testing.T) {
	var canceled atomic.Int64
	target := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		wait := time.Duration(len(body)%20) * time.Millisecond
		if strings.HasPrefix(string(body), "cancel") {
			wait = 5 * time.Second
		}
		select {
		case <-time.After(wait):
		case <-r.Context().Done():
			canceled.Add(1)
			return
		}
		_, _ = w.Write(body)
	})
	log := memlog.New(time.Now, memlog.DefaultRetention)
	publishHighCapacityConfig(t, log)
	entry := startNode(t, log, "registry-1", "registry", target)
	startNode(t, log, "tally-1", "tally", target)
	waitForGetOK(t, entry, "/tally/count")

	rng := rand.New(rand.NewPCG(1, 2))
	var wait sync.WaitGroup
	for i := range 200 {
		body := fmt.Sprintf("waits %d %s", i, strings.Repeat("x", rng.IntN(2000)))
		// The target delays its answer by 5 s if the body begins with "cancel", so
		// that the caller disconnects first.
		cancels := i%4 == 0
		if cancels {
			body = "cancel" + body
		}
		wait.Go(func() {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if cancels {
				time.AfterFunc(200*time.Millisecond, cancel)
			}
			expectEcho(t, ctx, entry, body, cancels)
		})
	}
	wait.Wait()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := canceled.Load(); n == 0 {
			return poll.Continue("no attempt was canceled although callers disconnected")
		}
		return poll.Success()
	}, poll.WithTimeout(2*time.Second))
}

// expectEcho sends body and expects it back unchanged. It retries a call that was
// refused as not run, as happens on a busy machine, so that every caller that does
// not cancel must get its own answer.
func expectEcho(t *testing.T, ctx context.Context, entry *Node, body string, cancels bool) {
	for t.Context().Err() == nil {
		refused, err := echoOnce(t, ctx, entry, body)
		if refused && !cancels {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		if err != nil && !cancels {
			t.Error(err)
		}
		return
	}
}

// echoOnce sends a call. It reports whether the call was refused as not run, and
// returns an error if there was no complete answer. Any answer other than body fails
// the test.
func echoOnce(t *testing.T, ctx context.Context, entry *Node, body string) (refused bool, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.CallAddress()+"/tally/echo", strings.NewReader(body))
	if err != nil {
		return false, err
	}
	req.Header.Set("X-Api-Key", testKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return false, err
	}
	if resp.Header.Get("Oleander-Run") == "not-run" {
		return true, nil
	}
	if string(text) != body {
		t.Errorf("status %d: got %.40q, want %.40q", resp.StatusCode, text, body)
	}
	return false, nil
}

// Guards against a withdrawn key that is still accepted on a connection opened before
// the withdrawal, and against an open route that refuses a caller because of its
// withdrawn key.
func TestWithdrawnKeyIsRefusedOnOpenConnection(t *testing.T) {
	target := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Header.Get("X-Api-Key"))
	})
	log := memlog.New(time.Now, memlog.DefaultRetention)
	publishHighCapacityConfig(t, log)
	entry := startNode(t, log, "tally-1", "tally", target)
	waitForGetOK(t, entry, "/tally/count")
	key := "key/" + model.HashKey(testKey).String()
	body, err := json.Marshal(model.KeyConfig{Customer: "herders", Withdrawn: true})
	assert.NilError(t, err)
	p, err := json.Marshal(model.Publication{ID: uuid.NewString(),
		Amendments: []model.Amendment{{Document: key, Base: 1, Body: body}}})
	assert.NilError(t, err)
	_, err = log.Append(context.Background(), model.ConfigStream, uuid.NewString(), p)
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		resp, _ := call(t, entry, http.MethodGet, "/tally/count", nil)
		if resp.StatusCode != http.StatusUnauthorized {
			return poll.Continue("status %d", resp.StatusCode)
		}
		assert.Equal(t, resp.Header.Get("Oleander-Reason"), "key_unknown")
		return poll.Success()
	}, poll.WithTimeout(3*time.Second), poll.WithDelay(10*time.Millisecond))
	resp, text := call(t, entry, http.MethodGet, "/tally/open", nil)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, text, "")
}

// Guards against a key that appears in a log line, a metric, an error or a request to
// the target, and against routing metrics that are not published.
func TestKeysAreNotExposed(t *testing.T) {
	var logOutput syncBuffer
	var targetRequests syncBuffer
	target := startTarget(t, func(_ http.ResponseWriter, r *http.Request) { _ = r.Write(&targetRequests) })
	log := memlog.New(time.Now, memlog.DefaultRetention)
	publishHighCapacityConfig(t, log)
	out := hclog.New(&hclog.LoggerOptions{Level: hclog.Trace, Output: &logOutput})
	entry := startNodeWithLogger(t, log, "tally-1", "tally", target, out)
	waitForGetOK(t, entry, "/tally/count")
	for _, key := range []string{testKey, "unknown-" + testKey} {
		for _, path := range []string{"/tally/count", "/tally/open", "/nowhere"} {
			req, err := http.NewRequest(http.MethodGet, "http://"+entry.CallAddress()+path, nil)
			assert.NilError(t, err)
			req.Header.Set("Authorization", "Bearer "+key)
			resp, err := http.DefaultClient.Do(req)
			assert.NilError(t, err)
			text, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			resp.Body.Close()
			assert.Assert(t, !strings.Contains(string(text), testKey))
		}
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if vars := entry.vars.String(); !strings.Contains(vars, `"key_unknown": 1`) || strings.Contains(vars, `"routing_us": {"count":0`) {
			return poll.Continue("%s", vars)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
	for _, text := range []string{logOutput.String(), targetRequests.String(), entry.vars.String()} {
		assert.Assert(t, text != "" && !strings.Contains(text, testKey))
	}
}

// syncBuffer is a buffer that is safe for concurrent use.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// Guards against a non-idempotent request that runs twice when its caller resends it
// to another node.
func TestResentRequestGetsTheStoredAnswer(t *testing.T) {
	var runs atomic.Int64
	target := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			_, _ = fmt.Fprintf(w, "credited %d", runs.Add(1))
		}
	})
	log := memlog.New(time.Now, memlog.DefaultRetention)
	publishHighCapacityConfig(t, log)
	nodes := []*Node{
		startNode(t, log, "registry-1", "registry", target),
		startNode(t, log, "tally-1", "tally", target),
	}
	waitForGetOK(t, nodes[0], "/tally/count")
	waitForGetOK(t, nodes[1], "/tally/count")
	id := uuid.Must(uuid.NewV7()).String()
	send := func(n *Node) (*http.Response, string) {
		req, err := http.NewRequest(http.MethodPost, "http://"+n.CallAddress()+"/tally/once", strings.NewReader("42 blanks"))
		assert.NilError(t, err)
		req.Header.Set("X-Api-Key", testKey)
		req.Header.Set("Idempotency-Key", id)
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		return resp, string(text)
	}
	resp, text := send(nodes[0])
	assert.Equal(t, text, "credited 1")
	assert.Equal(t, resp.Header.Get("Oleander-Replayed"), "")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		resp, text := send(nodes[1])
		if resp.Header.Get("Oleander-Reason") == "in_progress" {
			return poll.Continue("the answer is not stored yet")
		}
		assert.Equal(t, text, "credited 1")
		assert.Equal(t, resp.Header.Get("Oleander-Replayed"), "true")
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(10*time.Millisecond))
	assert.Equal(t, runs.Load(), int64(1))
}

// Guards against an idempotent call that fails because the link to its target's
// node broke, although another target could have answered.
func TestIdempotentCallIsRetriedWhenItsLinkIsLost(t *testing.T) {
	release := make(chan struct{})
	started := make(chan struct{}, 1)
	stuck := startTarget(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			started <- struct{}{}
			<-release
		}
	})
	defer close(release)
	log := memlog.New(time.Now, memlog.DefaultRetention)
	publishHighCapacityConfig(t, log)
	entry := startNode(t, log, "registry-1", "registry", stuck)
	first := startNode(t, log, "tally-1", "tally", stuck)
	waitForGetOK(t, entry, "/tally/count")
	answer := make(chan int)
	go func() {
		resp, _ := call(t, entry, http.MethodGet, "/tally/wait", nil)
		answer <- resp.StatusCode
	}()
	<-started
	startNode(t, log, "tally-2", "tally", startTarget(t, func(http.ResponseWriter, *http.Request) {}))
	waitForLinks(t, entry, []*Node{entry, first})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if entry.entry.Sessions.Session("tally-2") == nil {
			return poll.Continue("no link to tally-2")
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
	entry.entry.Sessions.Session("tally-1").Close()
	assert.Equal(t, <-answer, http.StatusOK)
}
