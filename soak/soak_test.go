// Package soak runs a fleet of node processes of the real program on one host, injects
// faults from outside and checks what callers and targets observe. An instance of the
// fleet consists of the process of a node and the target beside it.
//
//	go test ./soak -run TestFreshSeeds -soak.seeds 50 -soak.fresh
//
// A seed determines which faults are injected and in which order. The processes run in
// real time, so that a seed that has failed may pass the next time. With -soak.logs, the
// logs of failed seeds are kept.
//
// The message of a violation begins with the time and the name of the check. Errors of
// the test itself, such as a program that cannot be started, have no such name.
//
//	UNASKED  a target ran a request that neither a caller nor a target sent, or one
//	         with a different content, customer or caller
//	TWICE    a non-idempotent request ran more than once
//	REFUSED  a non-idempotent request was refused, but ran
//	MIXED    a successful answer is not the target's answer to the request
//	DENIED   a known path or a valid key was not accepted
//	DRAIN    a request ran at a target after its drain time
//	EVAC     a request ran in an availability zone long after the zone was taken out
//	         of service
//	QUOTA    more requests of a customer ran than its rate and burst allow
//	CONFIG   a request got no answer within the caller's time limit or got it after
//	         the route's time limit, or a withdrawn key was still accepted
//	LOST     a connection failed while it waited for the answer to a request that ran
//	GRACE    a node did not exit within its shutdown grace period
//	EXIT     a node exited without being told to
//	START    a node did not become ready at the start of the fleet
//	RECOVER  the fleet did not become ready or serve again after the faults
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
	seedCount          = flag.Int("soak.seeds", 0, "number of seeds of TestFreshSeeds")
	firstSeed          = flag.Uint64("soak.seed", 1, "first seed of TestFreshSeeds")
	randomSeed         = flag.Bool("soak.fresh", false, "choose the first seed of TestFreshSeeds at random; -soak.seed is ignored")
	fleetSize          = flag.Int("soak.machines", 8, "number of instances of the fleet")
	faultTime          = flag.Duration("soak.time", 12*time.Second, "how long faults are injected")
	logDir             = flag.String("soak.logs", "", "keep the logs of failed seeds in this directory")
	callersPerInstance = flag.Int("soak.callers", 2, "number of callers at each instance")
)

const (
	// startTimeout is how long the nodes may take to become ready at the start.
	startTimeout = 15 * time.Second
	// recoveryTimeout is how long the nodes may take to become ready after the faults,
	// and how long the fleet may then take to serve again. recoveryWindow is the time
	// over which the share of served requests is measured.
	recoveryTimeout = 15 * time.Second
	recoveryWindow  = 2 * time.Second
	// recoveredShare is the smallest share of requests that a recovered fleet serves.
	// Requests of the customer that exceeds its rate do not count.
	recoveredShare = 0.95
)

// binaryPath is the path of the program under test.
var binaryPath string

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		panic(err)
	}
	binaryPath = filepath.Join(dir, "oleanderworks")
	if out, err := exec.Command("go", "build", "-o", binaryPath, "../cmd/oleanderworks").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build: %v: %s", err, out))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// Guards against violations of the checks above while nodes, targets, connections and
// the store fail, in a short run with fixed seeds.
func TestFixedSeeds(t *testing.T) {
	for seed := uint64(1); seed <= 2; seed++ {
		runSeed(t, seed)
	}
}

// Guards against violations that have occurred before. Each line of regressions.txt
// holds a seed that has failed and the cause.
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

// Guards against violations that the fixed seeds do not find. It is run manually and
// does nothing without -soak.seeds.
func TestFreshSeeds(t *testing.T) {
	begin := *firstSeed
	if *randomSeed {
		begin = rand.Uint64N(1 << 40)
	}
	for i := range *seedCount {
		runSeed(t, begin+uint64(i))
	}
}

// runSeed runs a fleet with a seed as a subtest that fails for each violation.
func runSeed(t *testing.T, seed uint64) {
	t.Run(fmt.Sprint(seed), func(t *testing.T) {
		dir := t.TempDir()
		f := newFleet(t, seed, *fleetSize, dir)
		violations, injected := f.run(seed)
		t.Logf("seed %d: %d served, %d refused, %d failed; %s", seed, f.recorder.served, f.recorder.refused, f.recorder.failed, strings.Join(injected, " "))
		for _, violation := range violations {
			t.Error(violation)
		}
		if t.Failed() && *logDir != "" {
			f.cancel()
			keep := filepath.Join(*logDir, fmt.Sprint(seed))
			assert.NilError(t, os.CopyFS(keep, os.DirFS(dir)))
		}
	})
}

// run waits until the fleet is ready, starts the callers, injects faults, ends them and
// waits for recovery. It returns the violations and the names of the injected faults.
func (f *fleet) run(seed uint64) (violations, injected []string) {
	if !eventually(startTimeout, f.allReady) {
		return []string{"START: not every node became ready"}, nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for i, inst := range f.instances {
		for k := range *callersPerInstance {
			c := newCaller(inst, seed+uint64(1000*i+k), i == 0 && k == 0)
			callers.Go(func() { c.run(ctx) })
		}
	}
	injected = f.injectFaults(*faultTime)
	f.healAll()
	f.checkRecovery()
	cancel()
	callers.Wait()
	return f.recorder.finish(), injected
}

// allReady reports whether every node is ready.
func (f *fleet) allReady() bool {
	for _, inst := range f.instances {
		if !inst.isReady() {
			return false
		}
	}
	return true
}

// checkRecovery waits until all nodes are ready and the fleet serves requests again. It
// reports a violation if either takes too long.
func (f *fleet) checkRecovery() {
	if !eventually(recoveryTimeout, f.allReady) {
		f.recorder.report("RECOVER: not every node became ready within %v of the end of the faults", recoveryTimeout)
		return
	}
	share := 0.0
	if !eventually(recoveryTimeout, func() bool { share = f.servedShare(recoveryWindow); return share >= recoveredShare }) {
		f.recorder.report("RECOVER: only %.0f%% of the requests were served %v after the nodes became ready", 100*share, recoveryTimeout)
	}
}

// servedShare waits for d and returns the served share of the requests that callers sent
// in the first three quarters of d. Sub-calls and requests of the customer that exceeds
// its rate do not count.
func (f *fleet) servedShare(d time.Duration) float64 {
	begin := time.Now()
	time.Sleep(d)
	f.recorder.mu.Lock()
	defer f.recorder.mu.Unlock()
	counted, served := 0, 0
	for _, req := range f.recorder.requests {
		if req.key == "k-export" || req.key == "" || req.sent.Before(begin) || time.Since(req.sent) < d/4 {
			continue
		}
		counted++
		if req.status == 200 {
			served++
		}
	}
	if counted == 0 {
		return 0
	}
	return float64(served) / float64(counted)
}
