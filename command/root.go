// Package command assembles the subcommands of the oleanderworks binary.
package command

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/command/charts"
	"github.com/oleanderworks/oleanderworks/command/config"
	"github.com/oleanderworks/oleanderworks/command/dev"
	"github.com/oleanderworks/oleanderworks/command/events"
	"github.com/oleanderworks/oleanderworks/command/internal/operator"
	"github.com/oleanderworks/oleanderworks/command/key"
	"github.com/oleanderworks/oleanderworks/command/mesh"
	"github.com/oleanderworks/oleanderworks/command/node"
	"github.com/oleanderworks/oleanderworks/command/status"
	"github.com/oleanderworks/oleanderworks/command/target"
	"github.com/oleanderworks/oleanderworks/command/version"
	"github.com/oleanderworks/oleanderworks/command/zone"
)

// Exit codes of the binary.
const (
	exitOK           = 0
	exitError        = 1
	exitNoSubcommand = 2 // the arguments select no executable subcommand; the help was printed
)

// newRoot returns the root command with all subcommands.
func newRoot(stdout, stderr io.Writer) *ff.Command {
	return &ff.Command{
		Name:      "oleanderworks",
		Usage:     "oleanderworks SUBCOMMAND ...",
		ShortHelp: "overload control for service call graphs",
		Subcommands: []*ff.Command{
			node.New(stdout, stderr),
			mesh.New(stdout),
			dev.New(stdout, stderr),
			config.New(stdout),
			key.New(os.Stdin, stdout),
			zone.New(stdout),
			target.New(stdout),
			status.New(stdout),
			charts.New(stdout),
			events.New(stdout),
			version.New(stdout),
		},
	}
}

// Run runs the subcommand that args select and returns the exit code. It writes errors
// to stderr, one per line. An invalid file can have several errors.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := newRoot(stdout, stderr)
	err := root.ParseAndRun(ctx, flagsFirst(root, args))
	var exit operator.ExitError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &exit):
		if exit.Err != nil {
			fmt.Fprintf(stderr, "oleanderworks: %v\n", exit.Err)
		}
		return exit.Code
	case errors.Is(err, ff.ErrHelp), errors.Is(err, ff.ErrNoExec):
		fmt.Fprintln(stdout, ffhelp.Command(root.GetSelected()))
		return helpExitCode(err)
	default:
		fmt.Fprintf(stderr, "oleanderworks: %v\n", err)
		return exitError
	}
}

func helpExitCode(err error) int {
	if errors.Is(err, ff.ErrHelp) {
		return exitOK
	}
	return exitNoSubcommand
}
