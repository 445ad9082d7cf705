package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/platform/standin"
	"github.com/oleanderworks/oleanderworks/platform/storetest"
)

const (
	host = "h.example"
	// targetDrainTime is how long a target still gets requests after its leave.
	targetDrainTime = 2 * time.Second
	// shutdownGrace is the nodes' shutdown grace period.
	shutdownGrace = 6 * time.Second
	// memoryMB is the memory of the smallest instance in the deployments.
	memoryMB = 184
	// exportRate and exportBurst limit the customer export, whose caller exceeds them.
	exportRate, exportBurst = 30.0, 30.0
)

var (
	services = []string{"tally", "registry"} // the targets of the first call the second
	zones    = []string{"north", "south"}
)

// Ports of an instance. Each instance has its own loopback address.
const (
	peerPort                                                   = 7000 // first port of the node; the next one serves metrics
	callPort                                                   = 7010
	readyPort                                                  = 7011
	announcementPort                                           = 7012
	peerProxyPort, targetProxyPort, targetPort, storeProxyPort = 7100, 7101, 7102, 7103
)

var loopbackIPCount atomic.Int64

// newLoopbackIP returns a loopback address that no other instance in this test process
// uses. The process id makes collisions with other test processes unlikely.
func newLoopbackIP() string {
	n := loopbackIPCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 16+os.Getpid()%200, 100+n/250, 1+n%250)
}

// fleet holds the instances and the store of a run with one seed. Its methods also act
// as the operator and publish configuration.
type fleet struct {
	t         *testing.T
	rng       *rand.Rand // determines the faults
	recorder  *recorder
	store     *storetest.Store
	instances []*instance
	ctx       context.Context
	cancel    context.CancelFunc

	mu             sync.Mutex
	configVersion  int
	keyWithdrawnAt time.Time       // zero while k-guest is valid
	guestKeys      map[string]bool // whether the keys that faults withdraw are valid
	zonesOut       map[string]bool // whether each availability zone is out of service
}

// instance is a node process with the target beside it, and the proxies on their links.
type instance struct {
	fleet                                          *fleet
	name, zone, service                            string
	callAddress, readyAddress, announcementAddress string
	peerProxyAddress, targetProxyAddress           string
	settingsPath, logPath                          string
	process                                        *process
	target                                         *target
	peerLink, targetLink, storeLink                *proxy
	faultState                                     faultState
}

func newFleet(t *testing.T, seed uint64, size int, dir string) *fleet {
	f := &fleet{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), recorder: newRecorder(), store: storetest.New(t),
		guestKeys: map[string]bool{"k-guest": true}, zonesOut: make(map[string]bool),
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.publishConfig(func() {})
	for i := range size {
		f.instances = append(f.instances, f.newInstance(i, dir))
	}
	t.Cleanup(f.close)
	return f
}

// newInstance starts an instance. The services and then the availability zones are
// assigned in turn.
func (f *fleet) newInstance(i int, dir string) *instance {
	ip := newLoopbackIP()
	addressOf := func(port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
	inst := &instance{
		fleet: f, name: fmt.Sprintf("m%d", i), zone: zones[(i/len(services))%len(zones)], service: services[i%len(services)],
		callAddress: addressOf(callPort), readyAddress: addressOf(readyPort), announcementAddress: addressOf(announcementPort),
		peerProxyAddress: addressOf(peerProxyPort), targetProxyAddress: addressOf(targetProxyPort),
	}
	inst.settingsPath, inst.logPath = filepath.Join(dir, inst.name+".toml"), filepath.Join(dir, inst.name+".log")
	settings := standin.Settings{
		Name: inst.name, IP: ip, Zone: inst.zone, Service: inst.service, FirstPort: peerPort, TargetAddress: inst.targetProxyAddress,
		StoreAddress: addressOf(storeProxyPort), CallAddress: inst.callAddress, ReadyAddress: inst.readyAddress, AnnouncementAddress: inst.announcementAddress,
		HeartbeatInterval: heartbeatInterval, GracePeriod: shutdownGrace, MemoryMB: memoryMB,
	}
	assert.NilError(f.t, os.WriteFile(inst.settingsPath, []byte(settings.Render()), 0o644))
	var err error
	inst.peerLink, err = newProxy(inst.peerProxyAddress, addressOf(peerPort))
	assert.NilError(f.t, err)
	inst.targetLink, err = newProxy(inst.targetProxyAddress, addressOf(targetPort))
	assert.NilError(f.t, err)
	inst.storeLink, err = newProxy(addressOf(storeProxyPort), f.store.Address())
	assert.NilError(f.t, err)
	inst.process = newProcess(inst)
	inst.target = &target{
		inst: inst, address: addressOf(targetPort), rng: rand.New(rand.NewPCG(f.rng.Uint64(), 3)),
		client: &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: targetSlots}},
	}
	inst.target.start()
	inst.process.step(eventStart)
	return inst
}

// closed reports whether close has begun. Delayed steps of faults do nothing from then
// on.
func (f *fleet) closed() bool { return f.ctx.Err() != nil }

// close ends all processes, targets and proxies.
func (f *fleet) close() {
	f.cancel()
	for _, inst := range f.instances {
		inst.process.step(eventResume)
		inst.process.step(eventKill)
		inst.process.waitExit(shutdownGrace)
		inst.target.stop()
		for _, p := range []*proxy{inst.peerLink, inst.targetLink, inst.storeLink} {
			p.close()
		}
	}
}

// publishConfig applies a change while it holds f.mu, and publishes a new version of the
// configuration.
func (f *fleet) publishConfig(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	f.configVersion++
	var routes []standin.Route
	for _, s := range services {
		route := standin.Route{
			Name: s, Host: host, Prefix: "/" + s + "/", Service: s, Idempotent: true, Timeout: routeTimeout, Objective: time.Second, Attempts: 2,
		}
		nonIdempotentRoute, subCallRoute := route, route
		nonIdempotentRoute.Name, nonIdempotentRoute.Prefix, nonIdempotentRoute.Idempotent = s+"-once", "/"+s+"/once/", false
		subCallRoute.Name, subCallRoute.Prefix, subCallRoute.Open = s+"-nested", "/"+s+"/nested", true
		subCallRoute.Prefix += "/"
		routes = append(routes, route, nonIdempotentRoute, subCallRoute)
	}
	var keys []string
	for k, valid := range f.guestKeys {
		if valid {
			keys = append(keys, k)
		}
	}
	f.store.Put(standin.OperatorTopic, standin.ConfigKey, standin.RenderConfig(f.configVersion, routes, services, []standin.Customer{
		{Name: "herders", Keys: []string{"k-herders"}},
		{Name: "export", Keys: []string{"k-export"}, Rate: exportRate, Burst: exportBurst},
		{Name: "guest", Keys: append(keys, "k-guest-kept")},
	}))
}

// customerOf returns the customer of a key, whether the key is valid or withdrawn.
func customerOf(key string) string {
	return map[string]string{"k-herders": "herders", "k-export": "export", "k-guest": "guest", "k-guest-kept": "guest"}[key]
}

// isReady reports whether the node's readiness check succeeds.
func (inst *instance) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + inst.readyAddress + standin.ReadyPath)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// eventually polls ok and reports whether it returned true within the limit.
func eventually(limit time.Duration, ok func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}
