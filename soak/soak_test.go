// Package soak runs the real programs as processes of one machine, disturbs them
// from outside and checks what callers and targets see.
//
//	go test ./soak -run TestFreshSeeds -soak.seeds 50 -soak.fresh
//
// A seed decides which faults come in which order. The times of the processes
// are real, so that a seed that failed once may pass the next time; its logs are
// kept.
package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	seeds   = flag.Int("soak.seeds", 0, "number of seeds of TestFreshSeeds")
	first   = flag.Uint64("soak.seed", 1, "first of them")
	fresh   = flag.Bool("soak.fresh", false, "begin with a random seed")
	size    = flag.Int("soak.machines", 8, "machines of a fleet")
	length  = flag.Duration("soak.time", 12*time.Second, "time of the faults")
	logDir  = flag.String("soak.logs", "", "keep the logs of failed seeds in this directory")
	callers = flag.Int("soak.callers", 2, "callers of each machine")
)

const (
	startTime = 15 * time.Second
	// recovery is the time after which a healed fleet serves again, and calmTime
	// for how long that is watched.
	recovery = 15 * time.Second
	calmTime = 2 * time.Second
	// calmServed is the part of the requests that a healed fleet serves. The
	// customer over its rate does not count.
	calmServed = 0.95
)

// binary is the program under test.
var binary string

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "oleanderworks")
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/oleanderworks").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build: %v: %s", err, out))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// Guards against every promise that is broken while processes, connections and
// the store fail: a short run with fixed seeds.
func TestFixedSeeds(t *testing.T) {
	for seed := uint64(1); seed <= 2; seed++ {
		runSeed(t, seed)
	}
}

// Guards against a return of what a seed has found. One line of regressions.txt
// has a seed and the cause.
func TestRegressions(t *testing.T) {
	text, err := os.ReadFile("regressions.txt")
	assert.NilError(t, err)
	for line := range strings.Lines(string(text)) {
		var seed uint64
		if _, err := fmt.Sscan(line, &seed); err == nil {
			runSeed(t, seed)
		}
	}
}

// Guards against what no fixed seed has found. It is run by hand.
func TestFreshSeeds(t *testing.T) {
	begin := *first
	if *fresh {
		begin = rand.Uint64N(1 << 40)
	}
	for i := range *seeds {
		runSeed(t, begin+uint64(i))
	}
}

func runSeed(t *testing.T, seed uint64) {
	t.Run(fmt.Sprint(seed), func(t *testing.T) {
		dir := t.TempDir()
		f := newFleet(t, seed, *size, dir)
		findings, played := f.soak(seed)
		t.Logf("seed %d: %d served, %d refused, %d failed; %s", seed, f.book.served, f.book.refused, f.book.failed, strings.Join(played, " "))
		for _, finding := range findings {
			t.Error(finding)
		}
		if t.Failed() && *logDir != "" {
			f.cancel()
			keep := filepath.Join(*logDir, fmt.Sprint(seed))
			assert.NilError(t, os.CopyFS(keep, os.DirFS(dir)))
		}
	})
}

// soak starts the fleet, disturbs it, heals it and returns what was broken.
func (f *fleet) soak(seed uint64) (findings, played []string) {
	if !eventually(startTime, f.allReady) {
		return []string{"START: not every node is ready"}, nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for i, m := range f.machines {
		for k := range *callers {
			c := newCaller(m, seed+uint64(1000*i+k), i == 0 && k == 0)
			all.Go(func() { c.run(ctx) })
		}
	}
	played = f.play(*length)
	f.heal()
	f.checkRecovery()
	cancel()
	all.Wait()
	return f.book.finish(), played
}

func (f *fleet) allReady() bool {
	for _, m := range f.machines {
		if !m.isReady() {
			return false
		}
	}
	return true
}

// checkRecovery waits until the fleet is as good as before the faults.
func (f *fleet) checkRecovery() {
	if !eventually(recovery, f.allReady) {
		f.book.broken("RECOVER: not every node is ready %v after the last fault", recovery)
		return
	}
	share := 0.0
	if !eventually(recovery, func() bool { share = f.servedShare(calmTime); return share >= calmServed }) {
		f.book.broken("RECOVER: %.0f%% of the requests are served %v after the last fault", 100*share, recovery)
	}
}

// servedShare watches the requests that are sent within a time.
func (f *fleet) servedShare(d time.Duration) float64 {
	begin := time.Now()
	time.Sleep(d)
	f.book.mu.Lock()
	defer f.book.mu.Unlock()
	asked, served := 0, 0
	for _, q := range f.book.requests {
		if q.key == "k-export" || q.key == "" || q.sent.Before(begin) || time.Since(q.sent) < d/4 {
			continue
		}
		asked++
		if q.status == 200 {
			served++
		}
	}
	if asked == 0 {
		return 0
	}
	return float64(served) / float64(asked)
}
