package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/oleanderworks/oleanderworks/core/fault"
	"github.com/oleanderworks/oleanderworks/logservice"
	"github.com/oleanderworks/oleanderworks/logservice/memlog"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/settings"
)

// unreachableLog is a log service that a node cannot reach.
type unreachableLog struct{}

func (unreachableLog) Append(_ context.Context, stream, _ string, _ json.RawMessage) (logservice.Offset, error) {
	return 0, fault.Wrap("append", stream, logservice.ErrUnavailable)
}

func (unreachableLog) Read(_ context.Context, stream string, _ logservice.Offset, _ logservice.ReadOptions) (logservice.Page, error) {
	return logservice.Page{}, fault.Wrap("read", stream, logservice.ErrUnavailable)
}

func startNodeWithPeers(t *testing.T, log logservice.Log, instance, zone, target string, peers ...string) *Node {
	t.Helper()
	const loopback = "127.0.0.1:0"
	n, err := New(&settings.Node{
		Instance: instance, Service: "registry", Zone: zone, Region: "viti", TargetURL: target,
		CallAddress: loopback, SubAddress: loopback, PeerAddress: loopback, OpsAddress: loopback,
		Peers: peers, Insecure: true,
	}, log, hclog.NewNullLogger())
	assert.NilError(t, err)
	n.Start()
	t.Cleanup(func() { assert.NilError(t, n.Stop()) })
	return n
}

func withdraw(t *testing.T, n *Node, key string) []model.Region {
	t.Helper()
	body, err := json.Marshal(map[string]string{"key": key})
	assert.NilError(t, err)
	resp, err := http.Post("http://"+n.OpsAddress()+"/keys/withdraw", "application/json", bytes.NewReader(body))
	assert.NilError(t, err)
	defer resp.Body.Close()
	var answer withdrawResponse
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&answer))
	return answer.Accepted
}

// waitForStatus polls until a call with the test key at n is answered with the
// status.
func waitForStatus(t *testing.T, n *Node, want int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		resp, text := call(t, n, http.MethodGet, "/registry/tags/1", nil)
		if resp.StatusCode != want {
			return poll.Continue("status %d, want %d: %s", resp.StatusCode, want, text)
		}
		return poll.Success()
	}, poll.WithTimeout(12*time.Second), poll.WithDelay(20*time.Millisecond))
}

// Guards against a node that cannot get the configuration from its peers while the
// log is unreachable, and against a withdrawn key that such a node still accepts.
func TestNodeStartsFromPeersWithoutLog(t *testing.T) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	}))
	t.Cleanup(target.Close)
	log := memlog.New(time.Now, memlog.DefaultRetention)
	publish(t, log, map[string]any{
		model.FleetDocument:                      model.FleetConfig{Classes: []model.Class{"lookup"}},
		"zone/suva":                              model.AvailabilityConfig{},
		"zone/nadi":                              model.AvailabilityConfig{},
		"service/registry":                       model.ServiceConfig{Name: "registry", Slots: 4, Routes: []model.Route{{Prefix: "/", Class: "lookup", Idempotent: true}}},
		"customer/herders":                       model.CustomerConfig{Name: "herders", Rate: 1000, Burst: 1000},
		"key/" + model.HashKey(testKey).String(): model.KeyConfig{Customer: "herders"},
	})
	first := startNodeWithPeers(t, log, "registry-1", "suva", target.URL)
	waitForStatus(t, first, http.StatusOK)
	second := startNodeWithPeers(t, unreachableLog{}, "registry-2", "nadi", target.URL, first.member().PeerAddress)
	waitForStatus(t, second, http.StatusOK)
	assert.Assert(t, second.logDuties.followerHandler.View().LastLogContact.IsZero())

	log.SetFaults(memlog.Faults{Down: true})
	assert.DeepEqual(t, withdraw(t, first, testKey), []model.Region{"viti"})
	waitForStatus(t, second, http.StatusUnauthorized)
	waitForStatus(t, first, http.StatusUnauthorized)
	assert.DeepEqual(t, withdraw(t, second, testKey), []model.Region{"viti"})

	log.SetFaults(memlog.Faults{})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if first.status().Config.Offset < 2 {
			return poll.Continue("the withdrawal is not in the log")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
}
