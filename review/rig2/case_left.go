package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["left"] = playLeft }

const (
	memoryMB   = 284
	frozenFor  = 4 * time.Second
	bodyBytes  = 258 << 16 // a little over 16 MiB
	chunkBytes = 64 << 10
	bodyRate   = 115 << 20 // bytes per second of all clients, below link_mbps
	leaveAfter = 150 * time.Millisecond
	bigClients = 12
	keptCount  = 30
)

// playLeft freezes a machine while clients at another one send bodies for the upstream beside
// it and leave before they are answered. The node of the clients must not pass its memory: it
// would be ended, and the requests on its kept connections would be lost.
func playLeft(r *rig) error {
	front := r.addMachine("front", "za", "desk", 109, 300*time.Millisecond)
	back := r.addMachine("back", "za", "ledger", 109, 50*time.Millisecond)
	r.putConfig(1, []route{
		{Name: "r-desk", Host: routeHost, PathPrefix: "/desk/", Type: "idempotent", Timeout: "5000ms", SLO: "1200ms", Service: "desk", Attempts: 2},
		{Name: "r-ledger", Host: routeHost, PathPrefix: "/ledger/", Type: "non_idempotent", Timeout: "5000ms", SLO: "1200ms", Service: "ledger", Attempts: 2},
	})
	if err := r.startAll(); err != nil {
		return err
	}
	time.Sleep(contact)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var sentBytes atomic.Int64
	unanswered := make([][]string, keptCount)
	for i := range keptCount {
		clients.Go(func() { unanswered[i] = sendKept(r, front, i, stop) })
	}
	began := time.Now()
	for i := range bigClients {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				if due := time.Duration(float64(sentBytes.Load()) / bodyRate * float64(time.Second)); time.Since(began) < due {
					time.Sleep(5 * time.Millisecond)
					continue
				}
				sentBytes.Add(bodyBytes)
				sendAndLeave(r, front, fmt.Sprintf("l%d-%d", i, n))
			}
		})
	}
	time.Sleep(2 * time.Second)
	if r.trouble {
		back.signal(syscall.SIGSTOP)
		time.AfterFunc(frozenFor, func() { back.signal(syscall.SIGCONT) })
	}
	peak, ended := watchMemory(r, front, frozenFor+2*time.Second)
	close(stop)
	clients.Wait()
	lost := countRun(front.upstream, unanswered)
	r.rec.say("the node's memory was %d MB at most, %d allowed; ended by the platform: %v; %d MB of bodies sent; %d requests on kept connections lost that had been passed on", peak, memoryMB, ended, sentBytes.Load()>>20, lost)
	if ended && lost > 3 {
		return fmt.Errorf("%w: LOST: %d requests", errBroken, lost)
	}
	return nil
}

// watchMemory ends a node whose resident memory passes its limit, as the platform does. It
// returns the highest value seen and whether it has ended the node.
func watchMemory(r *rig, m *machine, limit time.Duration) (peak int, ended bool) {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		now := residentMB(m.cmd.Process.Pid)
		peak = max(peak, now)
		if now > memoryMB {
			r.rec.say("node %s has %d MB", m.name, now)
			m.signal(syscall.SIGKILL)
			return peak, true
		}
	}
	return peak, false
}

func residentMB(pid int) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	_, rest, _ := strings.Cut(string(text), "VmRSS:")
	kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.SplitN(rest, "\n", 2)[0], "kB")))
	return kb >> 10
}

// sendAndLeave sends a request with a body and closes the connection before the answer.
func sendAndLeave(r *rig, m *machine, id string) {
	conn, err := net.Dial("tcp", m.address(portOutbound))
	if err != nil {
		return
	}
	defer conn.Close()
	head := fmt.Sprintf("POST /ledger/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 5000\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n",
		id, routeHost, headerAttempt, id, headerDeadline, headerKey, tenantKey)
	text := []byte(head)
	chunk := make([]byte, chunkBytes)
	for range bodyBytes / chunkBytes {
		text = fmt.Appendf(text, "%x\r\n", chunkBytes)
		text = append(append(text, chunk...), '\r', '\n')
	}
	text = append(text, "0\r\n\r\n"...)
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := conn.Write(text); err != nil {
		r.rec.add("client could not send %s: %v", id, err)
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(leaveAfter))
	first := make([]byte, 64)
	n, err := conn.Read(first)
	line, _, _ := bytes.Cut(first[:n], []byte("\r\n"))
	r.rec.add("client leaves %s after %q, %v", id, line, err)
}

// sendKept sends requests one after the other on a kept connection, and returns the ids of those
// that got no answer.
func sendKept(r *rig, m *machine, client int, stop chan struct{}) (unanswered []string) {
	transport := &http.Transport{MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return unanswered
		default:
		}
		id := fmt.Sprintf("k%d-%d", client, i)
		req, err := http.NewRequest(http.MethodGet, "http://"+m.address(portOutbound)+"/desk/"+id, nil)
		if err != nil {
			panic(err) // the rig's own fault
		}
		req.Host = routeHost
		req.Header.Set(headerAttempt, id)
		req.Header.Set(headerDeadline, "5000")
		req.Header.Set(headerKey, tenantKey)
		sent := time.Now()
		resp, err := transport.RoundTrip(req)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		if err != nil {
			r.rec.add("client got no answer to %s in %.3f s: %v", id, time.Since(sent).Seconds(), err)
			unanswered = append(unanswered, id)
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// countRun returns how many of the requests an upstream has run.
func countRun(u *upstream, lists [][]string) int {
	ran := make(map[string]bool)
	for _, run := range u.allRuns() {
		ran[run.id] = true
	}
	count := 0
	for _, id := range slices.Concat(lists...) {
		if ran[id] {
			count++
		}
	}
	return count
}
