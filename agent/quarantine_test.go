package agent

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/oleanderworks/oleanderworks/logservice/memlog"
	"github.com/oleanderworks/oleanderworks/model"
)

// crashingTarget returns the handler of a target that crashes on each path with the
// prefix /poison: it closes the connection without an answer.
func crashingTarget(crashes *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/poison") {
			return
		}
		crashes.Add(1)
		conn, _, _ := w.(http.Hijacker).Hijack()
		conn.Close()
	}
}

// Guards against a request that crashes one target after the other while its caller
// keeps resending it. It may crash at most two of four targets.
func TestCrashingRequestReachesTwoTargetsOnly(t *testing.T) {
	var crashes atomic.Int64
	log := memlog.New(time.Now, memlog.DefaultRetention)
	publishHighCapacityConfig(t, log)
	var nodes []*Node
	for _, instance := range []string{"tally-1", "tally-2", "tally-3", "tally-4"} {
		nodes = append(nodes, startNode(t, log, instance, "tally", startTarget(t, crashingTarget(&crashes))))
	}
	for _, n := range nodes {
		waitForGetOK(t, n, "/tally/count")
		waitForLinks(t, n, nodes)
	}
	resp, text := call(t, nodes[0], http.MethodGet, "/tally/poison", nil)
	assert.Equal(t, resp.StatusCode, http.StatusBadGateway, text)
	assert.Equal(t, crashes.Load(), int64(2))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, n := range nodes {
			if v := n.vars.Get("quarantine").String(); !strings.Contains(v, `"quarantined": 1`) {
				return poll.Continue("%s: %s", n.member().Instance, v)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(10*time.Millisecond))
	for _, n := range nodes {
		resp, text := call(t, n, http.MethodGet, "/tally/poison", nil)
		assert.Equal(t, resp.StatusCode, http.StatusUnprocessableEntity, text)
		assert.Equal(t, resp.Header.Get("Oleander-Target-Lost"), "true")
	}
	resp, _ = call(t, nodes[0], http.MethodGet, "/tally/count", nil)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, crashes.Load(), int64(2))
}

func waitForLinks(t *testing.T, n *Node, all []*Node) {
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, peer := range all {
			if peer != n && n.entry.Sessions.Session(model.Instance(peer.settings.Instance)) == nil {
				return poll.Continue("no link to %s", peer.settings.Instance)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
}
