package agent

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/oleanderworks/oleanderworks/logservice"
	"github.com/oleanderworks/oleanderworks/logservice/memlog"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/settings"
)

func startEmptyTarget(t testing.TB) string {
	t.Helper()
	target := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(target.Close)
	return target.URL
}

func inZone(zone string) func(*settings.Node) {
	return func(s *settings.Node) { s.Zone = zone }
}

func lastRecord(t *testing.T, log *memlog.Log, service model.Service) model.MemberRecord {
	t.Helper()
	page, err := log.Read(context.Background(), model.MemberStream(service), 0, logservice.ReadOptions{})
	assert.NilError(t, err)
	var r model.MemberRecord
	assert.NilError(t, json.Unmarshal(page.Records[len(page.Records)-1].Body, &r))
	return r
}

// Guards against a node that does not rejoin after other nodes removed it by mistake.
func TestWronglyRemovedNodeRejoins(t *testing.T) {
	log := memlog.New(time.Now, memlog.DefaultRetention)
	publish(t, log, nonIdempotentConfig())
	n := startNode(t, log, "tally-1", "tally", startEmptyTarget(t))
	waitForPostOK(t, n, "/tally/x")
	removed := n.member()
	body, err := json.Marshal(model.MemberRecord{ID: uuid.NewString(), Leave: true, Member: removed, Reporter: "tally-2"})
	assert.NilError(t, err)
	_, err = log.Append(context.Background(), model.MemberStream("tally"), "", body)
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		r := lastRecord(t, log, "tally")
		if r.Leave || r.Member.Incarnation == removed.Incarnation {
			return poll.Continue("no join under a new incarnation yet")
		}
		assert.Equal(t, r.Member.NodeID, n.member().NodeID)
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(10*time.Millisecond))
	waitForPostOK(t, n, "/tally/x")
}

// Guards against a node that refuses requests with a key while the log is down but
// its peers are connected, and against a node that still serves such requests after
// it has lost contact with its peers.
func TestCallsWithKeyNeedContactWithPeers(t *testing.T) {
	log := memlog.New(time.Now, memlog.DefaultRetention)
	publish(t, log, nonIdempotentConfig())
	a := startNode(t, log, "tally-1", "tally", startEmptyTarget(t))
	b := startNode(t, log, "tally-2", "tally", startEmptyTarget(t), inZone("nadi"))
	waitForPostOK(t, a, "/tally/x")
	waitForPostOK(t, b, "/tally/x")
	log.SetFaults(memlog.Faults{Down: true})
	// Longer than membership.ContactLifetime (5 s), for which contact lasts without
	// heartbeats.
	time.Sleep(7 * time.Second)
	resp, text := call(t, a, http.MethodPost, "/tally/x", nil)
	assert.Equal(t, resp.StatusCode, http.StatusOK, text)

	b.tomb.Kill(nil)
	lostAt := time.Now()
	took := waitForRefusal(t, a, model.ReasonNoContact).Sub(lostAt)
	t.Logf("refused %s after the last peer was lost", took)
	// membership.ContactLifetime (5 s) plus 500 ms for the calls that detect the loss.
	assert.Assert(t, took < 5500*time.Millisecond)
}

// waitForRefusal sends a call every 50 ms and returns the time at which the first one
// was refused for the reason. The calls overlap, since a call may wait seconds for
// its token.
func waitForRefusal(t *testing.T, n *Node, reason model.Reason) time.Time {
	t.Helper()
	refused := make(chan time.Time, 1)
	var calls sync.WaitGroup
	defer calls.Wait()
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	timeout := time.After(10 * time.Second)
	for {
		select {
		case at := <-refused:
			return at
		case <-timeout:
			t.Fatalf("no refusal with reason %s", reason)
		case <-ticker.C:
			calls.Go(func() {
				resp, _ := call(t, n, http.MethodPost, "/tally/x", nil)
				if resp.Header.Get("Oleander-Reason") == string(reason) && resp.Header.Get("Oleander-Run") == "not-run" {
					trySend(refused, time.Now())
				}
			})
		}
	}
}

func trySend[T any](c chan T, v T) {
	select {
	case c <- v:
	default:
	}
}
