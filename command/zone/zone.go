// Package zone implements the subcommand "zone".
package zone

import (
	"io"

	"github.com/peterbourgon/ff/v4"

	"github.com/oleanderworks/oleanderworks/command/internal/switches"
	"github.com/oleanderworks/oleanderworks/model"
)

// New returns the subcommand.
func New(stdout io.Writer) *ff.Command {
	k := switches.Kind{DocumentKind: model.KindZone, Command: "zone", Noun: "availability zone", MustExist: true}
	return switches.New(k, stdout)
}
