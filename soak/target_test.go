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
	slots      = 20
	targetWork = 10 * time.Millisecond
	// beatInterval separates the heartbeats of a target.
	beatInterval = 500 * time.Millisecond
	// leaveTime is how long a target that leaves serves on after the drain time.
	leaveTime = 2 * time.Second
	// callShare is the part of the first service's requests that call the second
	// one.
	callShare      = 0.3
	nestedDeadline = time.Second
)

// target is the stand-in of a back end beside a node. It runs in the process of
// the soak and checks what reaches it.
type target struct {
	m       *machine
	address string
	client  *http.Client // to the node's control address

	mu       sync.Mutex
	rng      *rand.Rand
	id       string
	born     int64
	sequence int
	server   *http.Server
	leaving  bool
	ending   bool      // it stops, or starts again
	acked    time.Time // of the word that it leaves
	lose     float64   // share of answers lost after the run
	garble   float64   // share of answers cut or followed by more bytes
	slow     time.Duration
}

// start begins a new incarnation.
func (t *target) start() {
	l, err := net.Listen("tcp", t.address)
	if err != nil {
		t.m.fleet.book.broken("target of %s cannot listen: %v", t.m.name, err)
		return
	}
	t.mu.Lock()
	t.born = time.Now().UnixMilli()
	t.id = fmt.Sprintf("i-%s-%d", t.m.name, t.born)
	t.sequence, t.leaving, t.acked = 0, false, time.Time{}
	t.server = &http.Server{Handler: http.HandlerFunc(t.serve)}
	server, id := t.server, t.id
	t.mu.Unlock()
	go func() { _ = server.Serve(l) }() // ends when the target stops
	go t.beat(id)
}

// stop ends the incarnation without a word.
func (t *target) stop() {
	t.mu.Lock()
	server := t.server
	t.id = ""
	t.mu.Unlock()
	server.Close()
}

// leave says that the target leaves, serves on for a while and ends.
func (t *target) leave(dark bool) {
	t.mu.Lock()
	t.leaving = true
	id := t.id
	t.mu.Unlock()
	for range 10 {
		if t.isCurrent(id) && t.say(id, dark) {
			t.mu.Lock()
			t.acked = time.Now()
			t.mu.Unlock()
			break
		}
		time.Sleep(beatInterval)
	}
	time.Sleep(drainTime + leaveTime)
	if t.isCurrent(id) {
		t.stop()
	}
}

func (t *target) isCurrent(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.id == id
}

func (t *target) beat(id string) {
	for t.isCurrent(id) && !t.m.fleet.ended() {
		t.mu.Lock()
		leaving := t.leaving
		t.mu.Unlock()
		if !leaving {
			t.say(id, false)
		}
		time.Sleep(beatInterval)
	}
}

// say sends a heartbeat, or a deregistration, and reports whether it was
// acknowledged.
func (t *target) say(id string, deregister bool) bool {
	t.mu.Lock()
	t.sequence++
	b := standin.Announcement{
		ID: id, Address: t.m.targetProxy, Service: t.m.service, Zone: t.m.zone,
		Born: t.born, Sequence: t.sequence, Slots: slots, Leaving: t.leaving,
	}
	t.mu.Unlock()
	status, err := standin.Announce(t.client, t.m.control, b, deregister)
	return err == nil && status == http.StatusOK
}

func (t *target) serve(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	id, leaving, acked := t.id, t.leaving, t.acked
	slow, lose, garble := t.slow, t.rng.Float64() < t.lose, t.rng.Float64() < t.garble
	calls := t.rng.Float64() < callShare
	t.mu.Unlock()
	got := standin.ReadRequestHeaders(r)
	standin.SetAnswerHeaders(w.Header(), id, got.Attempt, "")
	if r.URL.Path == standin.HealthPath {
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if got.Expect != "" && got.Expect != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	t.m.fleet.book.onRun(t, r, got, string(body), acked)
	time.Sleep(targetWork + slow)
	if calls && t.m.service == services[0] && !t.call(r, got.Attempt) {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	answer := answerTo(r.Method, r.URL.Path, string(body), got.Attempt)
	standin.SetAnswerHeaders(w.Header(), id, got.Attempt, signature(answer))
	switch {
	case lose:
		cut(w, "")
	case garble:
		head := "HTTP/1.1 200 OK\r\n"
		for name := range w.Header() {
			head += name + ": " + w.Header().Get(name) + "\r\n"
		}
		cut(w, head+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(answer), answer[:len(answer)/2]))
	default:
		_, _ = io.WriteString(w, answer)
	}
}

// call makes a call of the target's own through its node.
func (t *target) call(parent *http.Request, attempt string) bool {
	id := fmt.Sprintf("%s.%d", attempt, t.m.fleet.book.nextID())
	path := "/" + services[1] + "/nested/x"
	t.m.fleet.book.onSend(&request{id: id, m: t.m, method: http.MethodGet, path: path, sent: time.Now(), idempotent: true})
	req, err := http.NewRequestWithContext(parent.Context(), http.MethodGet, "http://"+t.m.outbound+path, nil)
	if err != nil {
		return false
	}
	req.Host = host
	standin.SetRequestHeaders(req, id, "", nestedDeadline)
	resp, err := t.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && string(text) == answerTo(http.MethodGet, path, "", id)
}

// cut sends some bytes of an answer and closes the connection.
func cut(w http.ResponseWriter, text string) {
	conn, buffer, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = buffer.WriteString(text)
	_ = buffer.Flush()
	conn.Close()
}

// answerTo is the body with which a target answers a request.
func answerTo(method, path, body, attempt string) string {
	return fmt.Sprintf("%s %s %s %s", method, path, attempt, strings.Repeat(body, 4))
}

func signature(answer string) string {
	h := fnv.New64a()
	_, _ = io.WriteString(h, answer)
	return fmt.Sprintf("%x", h.Sum64())
}

// restart ends an incarnation in one way and begins another one later.
func (t *target) restart(end func(), down time.Duration) {
	if !t.begin() {
		return
	}
	end()
	t.m.fleet.after(down, func() {
		t.start()
		t.mu.Lock()
		t.ending = false
		t.mu.Unlock()
	})
}

// begin reports whether no other end of the target is in progress.
func (t *target) begin() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ending {
		return false
	}
	t.ending = true
	return true
}
