// Package events implements the subcommand "events".
package events

import (
	"context"
	"io"

	"github.com/peterbourgon/ff/v4"
	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/core/event"
)

// New returns the subcommand, which writes the catalogue to stdout.
func New(stdout io.Writer) *ff.Command {
	return &ff.Command{
		Name:      "events",
		Usage:     "oleanderworks events",
		ShortHelp: "write the catalogue of log events as Markdown",
		Exec: func(context.Context, []string) error {
			_, err := io.WriteString(stdout, event.Markdown())
			return errors.Wrap(err, "write catalogue")
		},
	}
}
