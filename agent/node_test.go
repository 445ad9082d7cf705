package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/oleanderworks/oleanderworks/logservice/memlog"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/settings"
)

const testKey = "key-of-herders"

func publish(t testing.TB, log *memlog.Log, documents map[string]any) {
	t.Helper()
	p := model.Publication{ID: uuid.NewString()}
	for name, doc := range documents {
		body, err := json.Marshal(doc)
		assert.NilError(t, err)
		p.Amendments = append(p.Amendments, model.Amendment{Document: name, Body: body})
	}
	body, err := json.Marshal(p)
	assert.NilError(t, err)
	_, err = log.Append(context.Background(), model.ConfigStream, p.ID, body)
	assert.NilError(t, err)
}

func startNode(t testing.TB, log *memlog.Log, instance, service, target string, options ...func(*settings.Node)) *Node {
	t.Helper()
	return startNodeWithLogger(t, log, instance, service, target, hclog.NewNullLogger(), options...)
}

func startNodeWithLogger(t testing.TB, log *memlog.Log, instance, service, target string, out hclog.Logger, options ...func(*settings.Node)) *Node {
	t.Helper()
	const loopback = "127.0.0.1:0"
	s := &settings.Node{
		Instance: instance, Service: service, Zone: "suva", Region: "viti", TargetURL: target,
		CallAddress: loopback, SubAddress: loopback, PeerAddress: loopback, OpsAddress: loopback,
		EntryServices: []string{"registry", "tally"}, Insecure: true,
	}
	for _, option := range options {
		option(s)
	}
	n, err := New(s, log, out)
	assert.NilError(t, err)
	n.Start()
	t.Cleanup(func() {
		assert.NilError(t, n.Stop())
		assert.Equal(t, n.checker.Violations(), int64(0))
	})
	return n
}

func call(t testing.TB, n *Node, method, path string, body []byte) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+n.CallAddress()+path, bytes.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("X-Api-Key", testKey)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp, string(text)
}

// Guards against a failure on the path from a caller through the entry node and the
// target's node to the target and back, and against a key that reaches the target.
func TestCallReachesTargetOfOtherNode(t *testing.T) {
	var seenKey, seenBody string
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seenKey = r.Header.Get("X-Api-Key") + r.Header.Get("Authorization")
		body, _ := io.ReadAll(r.Body)
		seenBody = string(body)
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, "filed")
	}))
	t.Cleanup(target.Close)
	log := memlog.New(time.Now, memlog.DefaultRetention)
	publish(t, log, map[string]any{
		model.FleetDocument:                      model.FleetConfig{Classes: []model.Class{"lookup", "filing"}, RetryBudget: 2},
		"service/registry":                       model.ServiceConfig{Slots: 4, Routes: []model.Route{{Prefix: "/", Class: "lookup", Idempotent: true}}},
		"service/tally":                          model.ServiceConfig{Slots: 4, Routes: []model.Route{{Prefix: "/", Class: "filing"}}},
		"customer/herders":                       model.CustomerConfig{Name: "herders", Rate: 100, Burst: 100},
		"key/" + model.HashKey(testKey).String(): model.KeyConfig{Customer: "herders"},
	})
	entry := startNode(t, log, "registry-1", "registry", target.URL)
	startNode(t, log, "tally-1", "tally", target.URL)

	poll.WaitOn(t, func(poll.LogT) poll.Result {
		resp, text := call(t, entry, http.MethodPost, "/tally/tallies", []byte("42 head"))
		if resp.StatusCode != http.StatusCreated {
			return poll.Continue("status %d: %s", resp.StatusCode, text)
		}
		assert.Equal(t, text, "filed")
		assert.Equal(t, resp.Header.Get("Oleander-Run"), "completed")
		assert.Equal(t, resp.ContentLength, int64(len("filed")), "an incomplete answer must be visible to the caller")
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(10*time.Millisecond))
	assert.Equal(t, seenBody, "42 head")
	assert.Equal(t, seenKey, "")
}
