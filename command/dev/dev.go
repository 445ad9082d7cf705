// Package dev implements the subcommand "dev", which runs a small fleet in one process.
package dev

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/peterbourgon/ff/v4"
	"github.com/pkg/errors"
)

// New returns the subcommand.
func New(stdout, stderr io.Writer) *ff.Command {
	flags := ff.NewFlagSet("dev")
	duration := flags.Duration('d', "duration", 0, "stop after this time; 0 runs until interrupted")
	level := flags.String('l', "log-level", "warn", "minimum level of log lines: debug, info, warn or error")
	return &ff.Command{
		Name:      "dev",
		Usage:     "oleanderworks dev [--duration 20s]",
		ShortHelp: "run a small fleet in one process, without settings",
		Flags:     flags,
		Exec: func(ctx context.Context, _ []string) error {
			logger := hclog.New(&hclog.LoggerOptions{Level: hclog.LevelFromString(*level), Output: stderr})
			return run(ctx, *duration, stdout, logger)
		},
	}
}

func run(ctx context.Context, duration time.Duration, stdout io.Writer, logger hclog.Logger) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if duration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, duration)
		defer cancel()
	}
	f, err := startFleet(ctx, logger)
	if err != nil {
		return err
	}
	if err := f.waitReady(ctx); err != nil {
		return err
	}
	f.printReady(stdout)
	<-ctx.Done()
	f.printSummary(stdout)
	return f.stop()
}

// waitReady waits until a GET request with a sample API key to the service named
// "registry" is answered with status 200.
func (f *fleet) waitReady(ctx context.Context) error {
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, f.registryURL(), nil)
		if err != nil {
			return errors.Wrap(err, "create readiness request")
		}
		req.Header.Set("X-Api-Key", sampleKeys[0].key)
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
			return errors.New("the fleet did not become ready before the deadline or an interrupt")
		}
	}
}

// registryURL returns the URL, at the entry node, of a tag in the service named "registry".
func (f *fleet) registryURL() string {
	return fmt.Sprintf("http://%s/registry/tags/NZ-1042", f.nodes[0].CallAddress())
}

func (f *fleet) printReady(w io.Writer) {
	entry, ops := f.nodes[0].CallAddress(), f.nodes[0].OpsAddress()
	fmt.Fprintf(w, "ready: entry http://%s operators http://%s log http://%s\n", entry, ops, f.logAddress)
	for _, k := range sampleKeys {
		fmt.Fprintf(w, "key of customer %s: %s\n", k.customer, k.key)
	}
	key, withdrawn := sampleKeys[0].key, sampleKeys[len(sampleKeys)-1]
	fmt.Fprintf(w, "\nlookup:\n  curl -i -H 'X-Api-Key: %s' %s\n", key, f.registryURL())
	fmt.Fprintf(w, "filing:\n  curl -i -H 'X-Api-Key: %s' -H 'Idempotency-Key: %s' -d '{\"head\":42}' http://%s/tally/tallies\n",
		key, newRequestID(), entry)
	fmt.Fprintf(w, "withdrawal of the key of %s:\n  curl -i -d '{\"key\":\"%s\"}' http://%s/keys/withdraw\n",
		withdrawn.customer, withdrawn.key, ops)
	fmt.Fprintf(w, "status:\n  curl -s http://%s/status\n", ops)
	fmt.Fprintf(w, "configuration:\n  oleanderworks config history --log http://%s\n\n", f.logAddress)
}

func (f *fleet) printSummary(w io.Writer) {
	fmt.Fprintf(w, "summary: %d nodes, %d calls reached targets, %d records in the log\n",
		len(f.nodes), f.servedCalls.Load(), f.log.Appends())
}
