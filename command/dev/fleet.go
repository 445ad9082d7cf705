package dev

import (
	"context"
	_ "embed" // for dev.yaml
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/agent"
	"github.com/oleanderworks/oleanderworks/logservice/httplog"
	"github.com/oleanderworks/oleanderworks/logservice/memlog"
	"github.com/oleanderworks/oleanderworks/logservice/publish"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/questionnaire"
	"github.com/oleanderworks/oleanderworks/settings"
)

const loopbackAddress = "127.0.0.1:0"

// sampleKeys are API keys that are the same in every run, so that printed commands can
// be copied.
var sampleKeys = []struct{ customer, key string }{
	{"vanua-herders", "dev-key-vanua-herders"},
	{"nightly-export", "dev-key-nightly-export"},
}

// questionnaireText is the questionnaire from which the configuration is generated.
//
//go:embed dev.yaml
var questionnaireText []byte

// fleetNodes lists the nodes of the fleet: one for each service and availability zone.
var fleetNodes = []struct{ instance, service, zone string }{
	{"registry-1", "registry", "north"},
	{"registry-2", "registry", "south"},
	{"tally-1", "tally", "north"},
	{"tally-2", "tally", "south"},
}

// fleet is a log service, targets and nodes that run in one process.
type fleet struct {
	log         *memlog.Log
	logAddress  string
	servers     []*http.Server
	nodes       []*agent.Node
	servedCalls atomic.Int64
}

func newRequestID() string { return uuid.Must(uuid.NewV7()).String() }

func startFleet(ctx context.Context, logger hclog.Logger) (*fleet, error) {
	f := &fleet{log: memlog.New(time.Now, memlog.DefaultRetention)}
	if err := f.publishConfig(ctx); err != nil {
		return nil, err
	}
	address, err := f.startServer(httplog.NewHandler(f.log))
	if err != nil {
		return nil, err
	}
	f.logAddress = address
	for _, m := range fleetNodes {
		target, err := f.startServer(http.HandlerFunc(f.echoCall))
		if err != nil {
			return nil, err
		}
		s := &settings.Node{
			Instance: m.instance, Service: m.service, Zone: m.zone, Region: "dev",
			TargetURL:   "http://" + target,
			CallAddress: loopbackAddress, SubAddress: loopbackAddress, PeerAddress: loopbackAddress, OpsAddress: loopbackAddress,
			EntryServices: []string{"registry", "tally"},
			DrainTime:     time.Second,
			Insecure:      true,
		}
		n, err := agent.New(s, f.log, logger)
		if err != nil {
			return nil, err
		}
		n.Start()
		f.nodes = append(f.nodes, n)
	}
	return f, nil
}

func (f *fleet) startServer(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", loopbackAddress)
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// echoCall is the handler of every target. It answers with the path, method and body of
// the call as JSON.
func (f *fleet) echoCall(w http.ResponseWriter, r *http.Request) {
	f.servedCalls.Add(1)
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]string{"path": r.URL.Path, "method": r.Method, "body": string(body)})
}

// publishConfig publishes the configuration with the sample keys.
func (f *fleet) publishConfig(ctx context.Context) error {
	q, err := questionnaire.Parse("dev.yaml", questionnaireText)
	if err != nil {
		return err
	}
	documents, err := questionnaire.Generate(q)
	if err != nil {
		return err
	}
	c := publish.NewClient(f.log, "dev")
	amendments, err := questionnaire.Amendments(nil, documents, false)
	if err != nil {
		return err
	}
	for _, k := range sampleKeys {
		body, err := json.Marshal(model.KeyConfig{Customer: model.Customer(k.customer)})
		if err != nil {
			return errors.Wrap(err, "encode key")
		}
		name := model.DocumentName(model.KindKey, model.HashKey(k.key).String())
		amendments = append(amendments, model.Amendment{Document: name, Body: body})
	}
	_, err = c.Publish(ctx, amendments)
	return err
}

func (f *fleet) stop() error {
	stopped := make(chan error, len(f.nodes))
	for _, n := range f.nodes {
		go func() { stopped <- n.Stop() }()
	}
	var firstErr error
	for range f.nodes {
		if err := <-stopped; err != nil && firstErr == nil {
			firstErr = err
		}
	}
	for _, server := range f.servers {
		server.Close()
	}
	return firstErr
}
