package main

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
)

func init() { cases["popular"] = playPopular }

const (
	recovery     = 15 * time.Second
	popularPath  = "/count/season"
	popularEvery = 20 * time.Millisecond
	// crashAfter is how long an upstream runs the request that crashes it, and downFor how long
	// it is away then ("some seconds").
	crashAfter = 30 * time.Millisecond
	downFor    = 3 * time.Second
	// downAll is how long the nodes' processes are away after the final fault.
	downAll = 1100 * time.Millisecond
)

// playPopular sends one request that crashes each upstream that begins to run it, once more
// after its failure, while clients look up another path again and again, and ends with a final
// fault: all nodes' processes are killed right after a configuration is acknowledged. Later
// than recovery after that, at least a quarter of the requests must be served.
func playPopular(r *rig) error {
	front := r.addMachine("front", "za", "desk", 24, 20*time.Millisecond)
	for i, zone := range []string{"za", "zb", "zc"} {
		r.addMachine(fmt.Sprintf("archive%d", i), zone, "archive", 109, 220*time.Millisecond)
	}
	routes := []route{
		{Name: "r-count", Host: routeHost, PathPrefix: "/count/", Type: "idempotent", Timeout: "2500ms", SLO: "1200ms", Service: "archive", Attempts: 2},
	}
	r.putConfig(1, routes)
	if err := r.startAll(); err != nil {
		return err
	}
	time.Sleep(contact)
	stop := make(chan struct{})
	var mu sync.Mutex
	var requests []*request
	var senders sync.WaitGroup
	senders.Go(func() {
		for i := 0; ; i++ {
			path := popularPath
			if i%7 == 6 {
				path = fmt.Sprintf("/count/%d", i)
			}
			senders.Go(func() {
				q := r.send(front, "GET", path, "", 2500*time.Millisecond)
				mu.Lock()
				requests = append(requests, q)
				mu.Unlock()
			})
			select {
			case <-stop:
				return
			case <-time.After(popularEvery):
			}
		}
	})
	time.Sleep(4 * time.Second)
	faultAt := time.Now()
	if r.trouble {
		for range 2 { // the client tries once more, on a new connection
			if q := r.send(front, "GET", crashingPath, "", 2500*time.Millisecond); q.status == 200 {
				return errors.New("the crashing request was answered")
			}
		}
		time.Sleep(time.Second)
		if os.Getenv("NOKILL") == "" {
			r.putConfig(2, routes)
			faultAt = time.Now()
			if err := restartAll(r); err != nil {
				return err
			}
		}
	}
	backAt := time.Now()
	time.Sleep(recovery + 8*time.Second)
	close(stop)
	senders.Wait()
	return judgePopular(r, requests, faultAt, backAt)
}

// restartAll kills the processes of all nodes and starts them again.
func restartAll(r *rig) error {
	for _, m := range r.machines {
		m.signal(syscall.SIGKILL)
	}
	for _, m := range r.machines {
		m.waitExit(2 * time.Second)
	}
	time.Sleep(downAll)
	for _, m := range r.machines {
		if err := m.startNode(); err != nil {
			return err
		}
	}
	return nil
}

func judgePopular(r *rig, requests []*request, faultAt, backAt time.Time) error {
	count := func(from, to time.Time) (sent, served int, statuses map[int]int) {
		statuses = make(map[int]int)
		for _, q := range requests {
			if q.sent.Before(from) || !q.sent.Before(to) {
				continue
			}
			sent++
			statuses[q.status]++
			if q.status == 200 && q.signed {
				served++
			}
		}
		return sent, served, statuses
	}
	sentBefore, servedBefore, before := count(time.Time{}, faultAt)
	sentAfter, servedAfter, after := count(backAt.Add(recovery), backAt.Add(time.Hour))
	r.rec.say("before the final fault %d of %d requests were served, by status %v", servedBefore, sentBefore, before)
	r.rec.say("later than %v after the nodes were back %d of %d were served, by status %v", recovery, servedAfter, sentAfter, after)
	if 4*servedBefore >= sentBefore && 4*servedAfter < sentAfter {
		return fmt.Errorf("%w: RECOVER", errBroken)
	}
	return nil
}
