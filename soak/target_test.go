package soak

import (
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/oleanderworks/oleanderworks/platform/standin"
)

const (
	targetSlots = 20
	// workTime is the service time of a request without extraWork and sub-calls.
	workTime = 10 * time.Millisecond
	// heartbeatInterval is the time between two heartbeats of a target.
	heartbeatInterval = 500 * time.Millisecond
	// lateServeTime is how long a leaving target still serves requests after its drain
	// time. A request that reaches it then is a violation (DRAIN).
	lateServeTime = 2 * time.Second
	// subCallShare is the share of the first service's requests that call the second
	// service.
	subCallShare   = 0.3
	subCallTimeout = time.Second
)

// target is a stand-in for the target beside a node. It runs in the test process and
// checks the requests that reach it.
type target struct {
	inst    *instance
	address string
	client  *http.Client // to the node, for announcements and sub-calls

	mu                   sync.Mutex
	rng                  *rand.Rand
	instanceID           string // announced id, new in each incarnation; empty while the target is down
	startedAtMs          int64
	sequence             int
	server               *http.Server
	leaving              bool
	restarting           bool      // a stop and the next start are in progress
	leaveAckedAt         time.Time // when the node acknowledged the announcement of the leave; zero before
	lostAnswerShare      float64   // share of requests that run and get no answer
	truncatedAnswerShare float64   // share of answers that are truncated
	extraWork            time.Duration
}

// start starts a new incarnation: its server and its heartbeats.
func (t *target) start() {
	l, err := net.Listen("tcp", t.address)
	if err != nil {
		t.inst.fleet.recorder.report("listen for target %s: %v", t.inst.name, err)
		return
	}
	t.mu.Lock()
	t.startedAtMs = time.Now().UnixMilli()
	t.instanceID = fmt.Sprintf("i-%s-%d", t.inst.name, t.startedAtMs)
	t.sequence, t.leaving, t.leaveAckedAt = 0, false, time.Time{}
	t.server = &http.Server{Handler: http.HandlerFunc(t.serve)}
	server, id := t.server, t.instanceID
	t.mu.Unlock()
	go func() { _ = server.Serve(l) }() // ends when the target stops
	go t.sendHeartbeats(id)
}

// stop ends the incarnation, like a crash, without an announcement.
func (t *target) stop() {
	t.mu.Lock()
	server := t.server
	t.instanceID = ""
	t.mu.Unlock()
	server.Close()
}

// leave announces that the target leaves, by a deregistration or a heartbeat. The target
// serves for targetDrainTime and lateServeTime and then stops.
func (t *target) leave(deregister bool) {
	t.mu.Lock()
	t.leaving = true
	id := t.instanceID
	t.mu.Unlock()
	for range 10 {
		if t.isCurrent(id) && t.announce(id, deregister) {
			t.mu.Lock()
			t.leaveAckedAt = time.Now()
			t.mu.Unlock()
			break
		}
		time.Sleep(heartbeatInterval)
	}
	time.Sleep(targetDrainTime + lateServeTime)
	if t.isCurrent(id) {
		t.stop()
	}
}

// isCurrent reports whether an id belongs to the current incarnation.
func (t *target) isCurrent(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.instanceID == id
}

// sendHeartbeats sends heartbeats until the target leaves or the incarnation ends.
func (t *target) sendHeartbeats(id string) {
	for t.isCurrent(id) && !t.inst.fleet.closed() {
		t.mu.Lock()
		leaving := t.leaving
		t.mu.Unlock()
		if !leaving {
			t.announce(id, false)
		}
		time.Sleep(heartbeatInterval)
	}
}

// announce sends a heartbeat or a deregistration, and reports whether the node
// acknowledged it.
func (t *target) announce(id string, deregister bool) bool {
	t.mu.Lock()
	t.sequence++
	announcement := standin.Announcement{
		ID: id, Address: t.inst.targetProxyAddress, Service: t.inst.service, Zone: t.inst.zone,
		StartedAtMs: t.startedAtMs, Sequence: t.sequence, Slots: targetSlots, Leaving: t.leaving,
	}
	t.mu.Unlock()
	status, err := standin.Announce(t.client, t.inst.announcementAddress, announcement, deregister)
	return err == nil && status == http.StatusOK
}

// serve answers health probes and requests. It checks each request, and a fault may
// suppress or truncate the answer.
func (t *target) serve(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	id, leaving, leaveAckedAt := t.instanceID, t.leaving, t.leaveAckedAt
	extraWork, loseAnswer, truncateAnswer := t.extraWork, t.rng.Float64() < t.lostAnswerShare, t.rng.Float64() < t.truncatedAnswerShare
	sendsSubCall := t.rng.Float64() < subCallShare
	t.mu.Unlock()
	got := standin.ReadRequestHeaders(r)
	standin.SetAnswerHeaders(w.Header(), id, got.Attempt, "")
	if r.URL.Path == standin.HealthPath {
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if got.ExpectedInstance != "" && got.ExpectedInstance != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	t.inst.fleet.recorder.checkRun(t, r, got, string(body), leaveAckedAt)
	time.Sleep(workTime + extraWork)
	if sendsSubCall && t.inst.service == services[0] && !t.sendSubCall(r, got.Attempt) {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	answer := expectedAnswer(r.Method, r.URL.Path, string(body), got.Attempt)
	standin.SetAnswerHeaders(w.Header(), id, got.Attempt, signature(answer))
	switch {
	case loseAnswer:
		writeAndClose(w, "")
	case truncateAnswer:
		head := "HTTP/1.1 200 OK\r\n"
		for name := range w.Header() {
			head += name + ": " + w.Header().Get(name) + "\r\n"
		}
		writeAndClose(w, head+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(answer), answer[:len(answer)/2]))
	default:
		_, _ = io.WriteString(w, answer)
	}
}

// sendSubCall sends a sub-call through the target's node, and reports whether it got
// the correct answer.
func (t *target) sendSubCall(parent *http.Request, attempt string) bool {
	id := fmt.Sprintf("%s.%d", attempt, t.inst.fleet.recorder.nextID())
	path := "/" + services[1] + "/nested/x"
	t.inst.fleet.recorder.recordSent(&request{id: id, inst: t.inst, method: http.MethodGet, path: path, sent: time.Now(), idempotent: true})
	req, err := http.NewRequestWithContext(parent.Context(), http.MethodGet, "http://"+t.inst.callAddress+path, nil)
	if err != nil {
		return false
	}
	req.Host = host
	standin.SetRequestHeaders(req, id, "", subCallTimeout)
	resp, err := t.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && string(text) == expectedAnswer(http.MethodGet, path, "", id)
}

// writeAndClose writes raw text to the connection and closes it, without the answer that
// the HTTP server would send.
func writeAndClose(w http.ResponseWriter, text string) {
	conn, buffer, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = buffer.WriteString(text)
	_ = buffer.Flush()
	conn.Close()
}

// expectedAnswer returns the body of the correct answer to a request.
func expectedAnswer(method, path, body, attempt string) string {
	return fmt.Sprintf("%s %s %s %s", method, path, attempt, strings.Repeat(body, 4))
}

// signature returns the signature of an answer by which callers recognize a target's
// answer.
func signature(answer string) string {
	h := fnv.New64a()
	_, _ = io.WriteString(h, answer)
	return fmt.Sprintf("%x", h.Sum64())
}

// restart calls end, which ends the incarnation, and starts the next one after downTime.
// It does nothing if a restart is in progress.
func (t *target) restart(end func(), downTime time.Duration) {
	if !t.beginRestart() {
		return
	}
	end()
	t.inst.fleet.after(downTime, func() {
		t.start()
		t.mu.Lock()
		t.restarting = false
		t.mu.Unlock()
	})
}

// beginRestart marks the target as restarting. It returns false if a restart is already
// in progress.
func (t *target) beginRestart() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.restarting {
		return false
	}
	t.restarting = true
	return true
}
