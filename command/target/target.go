// Package target implements the subcommand "target".
package target

import (
	"io"

	"github.com/peterbourgon/ff/v4"

	"github.com/oleanderworks/oleanderworks/command/internal/switches"
	"github.com/oleanderworks/oleanderworks/model"
)

// New returns the subcommand. A target has the name of its instance.
func New(stdout io.Writer) *ff.Command {
	k := switches.Kind{DocumentKind: model.KindTarget, Command: "target", Noun: "target"}
	return switches.New(k, stdout)
}
