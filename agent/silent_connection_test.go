package agent

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/oleanderworks/oleanderworks/logservice/memlog"
	"github.com/oleanderworks/oleanderworks/model"
)

// announceAddress appends a member record with another address for a node.
func announceAddress(t *testing.T, log *memlog.Log, n *Node, address string) {
	t.Helper()
	m := n.member()
	m.PeerAddress = address
	body, err := json.Marshal(model.MemberRecord{ID: uuid.NewString(), Member: m})
	assert.NilError(t, err)
	_, err = log.Append(context.Background(), model.MemberStream(m.Service), "", body)
	assert.NilError(t, err)
}

// nonIdempotentConfig returns a configuration in which the calls of the service tally
// are not idempotent.
func nonIdempotentConfig() map[string]any {
	return map[string]any{
		model.FleetDocument:                      model.FleetConfig{Classes: []model.Class{"lookup", "filing"}, RetryBudget: 2},
		"service/registry":                       model.ServiceConfig{Slots: 4, Routes: []model.Route{{Prefix: "/", Class: "lookup", Idempotent: true}}},
		"service/tally":                          model.ServiceConfig{Slots: 40, Routes: []model.Route{{Prefix: "/", Class: "filing"}}},
		"customer/herders":                       model.CustomerConfig{Name: "herders", Rate: 1000, Burst: 1000},
		"key/" + model.HashKey(testKey).String(): model.KeyConfig{Customer: "herders"},
	}
}

func waitForPostOK(t *testing.T, n *Node, path string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		resp, text := call(t, n, http.MethodPost, path, nil)
		if resp.StatusCode != http.StatusOK {
			return poll.Continue("status %d: %s", resp.StatusCode, text)
		}
		return poll.Success()
	}, poll.WithTimeout(8*time.Second), poll.WithDelay(10*time.Millisecond))
}

// Guards against callers that hang, and against calls that are reported as not run
// although they ran, when a device between two nodes loses the state of a connection.
func TestSilentConnectionDoesNotHangCallers(t *testing.T) {
	release := make(chan struct{})
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			select {
			case <-release:
			case <-r.Context().Done():
			}
		}
		_, _ = io.WriteString(w, "filed")
	}))
	t.Cleanup(target.Close)
	t.Cleanup(func() { close(release) })
	log := memlog.New(time.Now, memlog.DefaultRetention)
	publish(t, log, nonIdempotentConfig())
	entry := startNode(t, log, "registry-1", "registry", target.URL)
	tally := startNode(t, log, "tally-1", "tally", target.URL)
	r := newRelay(t, tally.member().PeerAddress)
	time.Sleep(100 * time.Millisecond) // lets the node append its own member record first
	announceAddress(t, log, tally, r.address())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		waitForPostOK(t, entry, "/tally/x")
		if r.connectionCount() == 0 {
			tally.closeInboundSessions()
			return poll.Continue("the link does not use the relay yet")
		}
		return poll.Success()
	}, poll.WithTimeout(8*time.Second))

	type result struct {
		run  string
		took time.Duration
	}
	slow := make(chan result, 1)
	start := time.Now()
	go func() {
		resp, _ := call(t, entry, http.MethodPost, "/tally/slow", nil)
		slow <- result{resp.Header.Get("Oleander-Run"), time.Since(start)}
	}()
	time.Sleep(200 * time.Millisecond)
	assert.Assert(t, r.silenceConnections() > 0)
	waitForPostOK(t, entry, "/tally/x")
	recovered := time.Since(start)
	got := <-slow
	t.Logf("new calls served after %s, the call in progress answered after %s", recovered, got.took)
	assert.Equal(t, got.run, "unknown")
	// 3 s until the silence is detected, 1 s until the connection is closed, up to two
	// ticks of the duty, and the heartbeat that was in flight.
	assert.Assert(t, got.took < 6*time.Second)
	assert.Assert(t, recovered < 5*time.Second)
}
