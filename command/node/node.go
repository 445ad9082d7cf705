// Package node implements the subcommand "node".
package node

import (
	"context"
	"io"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/peterbourgon/ff/v4"
	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/agent"
	"github.com/oleanderworks/oleanderworks/logservice/httplog"
	"github.com/oleanderworks/oleanderworks/settings"
)

// New returns the subcommand.
func New(_, stderr io.Writer) *ff.Command {
	flags := ff.NewFlagSet("node")
	path := flags.String('s', "settings", "", "path of the YAML settings file")
	return &ff.Command{
		Name:      "node",
		Usage:     "oleanderworks node --settings FILE",
		ShortHelp: "run the node of one target",
		Flags:     flags,
		Exec: func(ctx context.Context, _ []string) error {
			if *path == "" {
				return errors.New("flag --settings is missing")
			}
			return run(ctx, *path, stderr)
		},
	}
}

func run(ctx context.Context, path string, stderr io.Writer) error {
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	log, err := httplog.NewClient(s.LogURL)
	if err != nil {
		return err
	}
	logger := hclog.New(&hclog.LoggerOptions{Level: hclog.LevelFromString(s.LogLevel), Output: stderr})
	n, err := agent.New(s, log, logger)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	configureGC(s.ByteBudget)
	n.Start()
	<-ctx.Done()
	return n.Stop()
}
