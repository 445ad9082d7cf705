// Package charts implements the subcommand "charts".
package charts

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/peterbourgon/ff/v4"
	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/charts"
	"github.com/oleanderworks/oleanderworks/core/chart"
)

// New returns the subcommand, which writes its results to stdout.
func New(stdout io.Writer) *ff.Command {
	check := &ff.Command{
		Name:      "check",
		Usage:     "oleanderworks charts check",
		ShortHelp: "check every embedded state chart",
		Exec: func(context.Context, []string) error {
			return checkAll(stdout)
		},
	}
	promela := &ff.Command{
		Name:      "promela",
		Usage:     "oleanderworks charts promela NAME",
		ShortHelp: "print a chart as Promela for the model checker",
		Exec: func(_ context.Context, args []string) error {
			return writePromela(stdout, args)
		},
	}
	return &ff.Command{
		Name:        "charts",
		Usage:       "oleanderworks charts SUBCOMMAND ...",
		ShortHelp:   "inspect the state charts",
		Subcommands: []*ff.Command{check, promela},
	}
}

func writePromela(stdout io.Writer, args []string) error {
	if len(args) != 1 {
		return errors.New("expected the name of one chart")
	}
	text, err := charts.Read(args[0])
	if err != nil {
		return err
	}
	def, err := chart.Parse(text)
	if err != nil {
		return err
	}
	_, err = io.WriteString(stdout, def.Promela())
	return errors.Wrap(err, "write promela")
}

func checkAll(stdout io.Writer) error {
	failed := 0
	for _, file := range charts.FileNames() {
		name := strings.TrimSuffix(file, ".yaml")
		if err := checkOne(name); err != nil {
			failed++
			fmt.Fprintf(stdout, "%s: %v\n", file, err)
			continue
		}
		fmt.Fprintf(stdout, "%s: ok\n", file)
	}
	if failed > 0 {
		return errors.Errorf("%d charts are invalid", failed)
	}
	return nil
}

func checkOne(name string) error {
	text, err := charts.Read(name)
	if err != nil {
		return err
	}
	_, err = chart.Parse(text)
	return err
}
