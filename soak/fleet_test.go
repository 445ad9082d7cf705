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
	host      = "h.example"
	drainTime = 2 * time.Second
	graceTime = 6 * time.Second
	// memoryMB is the least memory of an instance in the deployments.
	memoryMB = 184
	// exportRate and exportBurst bound the customer that asks for more.
	exportRate, exportBurst = 30.0, 30.0
)

var (
	services = []string{"tally", "registry"} // the first one calls the second
	zones    = []string{"north", "south"}
)

// Ports of a machine; each has a loopback address of its own.
const (
	peerPort                                                   = 7000 // and the one for metrics after it
	callPort                                                   = 7010
	readyPort                                                  = 7011
	controlPort                                                = 7012
	peerProxyPort, targetProxyPort, targetPort, storeProxyPort = 7100, 7101, 7102, 7103
)

var addresses atomic.Int64

// newIP returns a loopback address that no other machine of this process has.
func newIP() string {
	n := addresses.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 16+os.Getpid()%200, 100+n/250, 1+n%250)
}

// fleet is the machines of one seed, with the store and the operator.
type fleet struct {
	t        *testing.T
	rng      *rand.Rand // of the plan
	book     *book
	store    *storetest.Store
	machines []*machine
	stop     context.Context
	cancel   context.CancelFunc

	mu        sync.Mutex
	version   int
	withdrawn time.Time       // since when the guest's key is withdrawn
	keys      map[string]bool // of the customer whose keys come and go
}

// machine is one instance: a node's process and the target beside it.
type machine struct {
	fleet                        *fleet
	name, zone, service          string
	outbound, ready, control     string
	peerProxy, targetProxy       string
	settingsPath, logPath        string
	process                      *process
	target                       *target
	peers, targetLink, storeLink *proxy
	quiet                        quiet
}

func newFleet(t *testing.T, seed uint64, size int, dir string) *fleet {
	f := &fleet{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), book: newBook(), store: storetest.New(t),
		keys: map[string]bool{"k-guest": true},
	}
	f.stop, f.cancel = context.WithCancel(context.Background())
	f.configure(func() {})
	for i := range size {
		f.machines = append(f.machines, f.newMachine(i, dir))
	}
	t.Cleanup(f.close)
	return f
}

func (f *fleet) newMachine(i int, dir string) *machine {
	ip := newIP()
	at := func(port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
	m := &machine{
		fleet: f, name: fmt.Sprintf("m%d", i), zone: zones[(i/len(services))%len(zones)], service: services[i%len(services)],
		outbound: at(callPort), ready: at(readyPort), control: at(controlPort),
		peerProxy: at(peerProxyPort), targetProxy: at(targetProxyPort),
	}
	m.settingsPath, m.logPath = filepath.Join(dir, m.name+".toml"), filepath.Join(dir, m.name+".log")
	settings := standin.Settings{
		Name: m.name, IP: ip, Zone: m.zone, Service: m.service, FirstPort: peerPort, Target: m.targetProxy,
		Store: at(storeProxyPort), CallAddress: m.outbound, ReadyAddress: m.ready, AnnouncementAddress: m.control,
		BeatInterval: beatInterval, Grace: graceTime, MemoryMB: memoryMB,
	}
	assert.NilError(f.t, os.WriteFile(m.settingsPath, []byte(settings.Render()), 0o644))
	var err error
	m.peers, err = newProxy(m.peerProxy, at(peerPort))
	assert.NilError(f.t, err)
	m.targetLink, err = newProxy(m.targetProxy, at(targetPort))
	assert.NilError(f.t, err)
	m.storeLink, err = newProxy(at(storeProxyPort), f.store.Address())
	assert.NilError(f.t, err)
	m.process = newProcess(m)
	m.target = &target{
		m: m, address: at(targetPort), rng: rand.New(rand.NewPCG(f.rng.Uint64(), 3)),
		client: &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: slots}},
	}
	m.target.start()
	m.process.step(eventStart)
	return m
}

func (f *fleet) ended() bool { return f.stop.Err() != nil }

func (f *fleet) close() {
	f.cancel()
	for _, m := range f.machines {
		m.process.step(eventResume)
		m.process.step(eventKill)
		m.process.ended(graceTime)
		m.target.stop()
		for _, p := range []*proxy{m.peers, m.targetLink, m.storeLink} {
			p.close()
		}
	}
}

// configure publishes a new version after a change.
func (f *fleet) configure(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	f.version++
	var routes []standin.Route
	for _, s := range services {
		r := standin.Route{
			Name: s, Host: host, Prefix: "/" + s + "/", Service: s, Idempotent: true, Timeout: routeTime, Objective: time.Second, Attempts: 2,
		}
		once, nested := r, r
		once.Name, once.Prefix, once.Idempotent = s+"-once", "/"+s+"/once/", false
		nested.Name, nested.Prefix, nested.Open = s+"-nested", "/"+s+"/nested", true
		nested.Prefix += "/"
		routes = append(routes, r, once, nested)
	}
	var keys []string
	for k, held := range f.keys {
		if held {
			keys = append(keys, k)
		}
	}
	f.store.Put(standin.OperatorTopic, standin.ConfigKey, standin.RenderConfig(f.version, routes, services, []standin.Customer{
		{Name: "herders", Keys: []string{"k-herders"}},
		{Name: "export", Keys: []string{"k-export"}, Rate: exportRate, Burst: exportBurst},
		{Name: "guest", Keys: append(keys, "k-guest-kept")},
	}))
}

// customerOf returns the customer that holds, or held, a key.
func customerOf(key string) string {
	return map[string]string{"k-herders": "herders", "k-export": "export", "k-guest": "guest", "k-guest-kept": "guest"}[key]
}

// isReady asks a node whether callers may use it.
func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + m.ready + standin.ReadyPath)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// eventually polls until ok, and reports whether it came in time.
func eventually(limit time.Duration, ok func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}
