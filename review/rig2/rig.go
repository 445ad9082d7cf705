// Command rig2 starts a small deployment on loopback addresses with stand-ins for the
// platform's store, the upstreams and the clients, and plays one case of the review. It exits
// with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	routeHost = "herd.example"
	tenantKey = "k-herders-1"
)

// rig is a deployment: a store, machines and clients.
type rig struct {
	rec          *record
	program      string
	dir          string
	network      string // first three numbers of the machines' addresses
	basePort     int
	store        *store
	storeAddress string
	machines     []*machine
	trouble      bool
}

// errBroken reports that the rule of the case was broken.
var errBroken = errors.New("the rule is broken")

var cases = map[string]func(*rig) error{}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE FOLDER")
		return 2
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	r := &rig{rec: rec, trouble: os.Getenv("TROUBLE") != "0", store: newStore()}
	defer r.stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		r.stop()
		os.Exit(2)
	}()
	if err := r.prepare(); err != nil {
		rec.say("the case can't run: %v", err)
		return 2
	}
	switch err := cases[os.Args[1]](r); {
	case errors.Is(err, errBroken):
		rec.say("BROKEN: %v", err)
		return 1
	case err != nil:
		rec.say("the case can't run: %v", err)
		return 2
	}
	rec.say("held")
	return 0
}

// prepare chooses a network and ports and starts the store.
func (r *rig) prepare() error {
	var err error
	if r.program, err = filepath.Abs("target/oleanderworks"); err != nil {
		return err
	}
	if r.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.storeAddress = l.Addr().String()
	go func() { _ = http.Serve(l, r.store.handler()) }() // ends with the process
	r.network = fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(250))
	for range 50 {
		r.basePort = 12000 + rand.IntN(16000)
		if portsFree(r.network+".1", r.basePort) {
			return nil
		}
	}
	return errors.New("no free ports")
}

// addMachine adds a machine whose upstream works for a time on each request.
func (r *rig) addMachine(name, zone, service string, slots int, work time.Duration) *machine {
	m := &machine{rig: r, name: name, zone: zone, service: service, ip: fmt.Sprintf("%s.%d", r.network, len(r.machines)+1)}
	m.upstream = &upstream{m: m, rec: r.rec, slots: slots, work: work}
	r.machines = append(r.machines, m)
	return m
}

// route is a route of the configuration.
type route struct {
	Name       string `json:"name"`
	Host       string `json:"host"`
	PathPrefix string `json:"path_prefix"`
	Type       string `json:"type"`
	Timeout    string `json:"timeout"`
	SLO        string `json:"slo"`
	Priority   int    `json:"priority"`
	Service    string `json:"service"`
	Attempts   int    `json:"attempts"`
	Public     bool   `json:"public"`
}

// putConfig writes a configuration with one tenant.
func (r *rig) putConfig(version int, routes []route) {
	var services []map[string]any
	seen := map[string]bool{}
	for _, m := range r.machines {
		if !seen[m.service] {
			seen[m.service] = true
			services = append(services, map[string]any{"name": m.service, "health_path": healthPath, "max_conns": 754, "proto": "h1", "tls": false, "cold": "3s", "cold_per_s": 21.0})
		}
	}
	text, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
		"tenants": []map[string]any{{"name": "herders", "api_keys": []string{tenantKey}, "priority": 1, "rate_per_s": 2000, "burst": 2000}},
	})
	if err != nil {
		panic(err) // the rig's own fault
	}
	r.store.put("keyed.op", "config", string(text))
}

// startAll starts the nodes and the upstreams and waits until requests can be served.
func (r *rig) startAll() error {
	for _, m := range r.machines {
		if err := m.writeSettings(); err != nil {
			return err
		}
		if err := m.startNode(); err != nil {
			return err
		}
	}
	for _, m := range r.machines {
		if err := m.upstream.start(); err != nil {
			return err
		}
	}
	return r.eventually(10*time.Second, "all nodes are ready", func() bool {
		for _, m := range r.machines {
			if !m.ready() {
				return false
			}
		}
		return true
	})
}

// eventually waits until a condition holds.
func (r *rig) eventually(limit time.Duration, what string, holds func() bool) error {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("not within %v: %s", limit, what)
}

// stop ends all processes that the rig has started.
func (r *rig) stop() {
	for _, m := range r.machines {
		m.upstream.exit()
		if m.cmd != nil {
			_ = m.cmd.Process.Signal(syscall.SIGKILL)
			m.waitExit(2 * time.Second)
		}
	}
	if r.dir != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	}
}
