// Package version implements the subcommand "version".
package version

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"runtime/debug"

	"github.com/peterbourgon/ff/v4"
	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/transport/frame"
)

// unknown stands for what the build does not record, such as the commit with
// -buildvcs=false.
const unknown = "unknown"

// New returns the subcommand, which writes the versions to stdout, one per line.
func New(stdout io.Writer) *ff.Command {
	return &ff.Command{
		Name:      "version",
		Usage:     "oleanderworks version",
		ShortHelp: "write the versions of the build, the commit and the frames between nodes",
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return errors.Errorf("version: unexpected argument %q", args[0])
			}
			_, err := io.WriteString(stdout, text(debug.ReadBuildInfo()))
			return errors.Wrap(err, "write version")
		},
	}
}

func text(info *debug.BuildInfo, ok bool) string {
	build, commit := unknown, unknown
	if ok {
		if info.Main.Version != "" {
			build = info.Main.Version
		}
		for _, s := range info.Settings {
			switch {
			case s.Key == "vcs.revision":
				commit = s.Value
			case s.Key == "vcs.modified" && s.Value == "true":
				commit += " (modified)"
			}
		}
	}
	return fmt.Sprintf("build %s\ncommit %s\nframes %d\ngo %s %s/%s\n", build, commit, frame.Version, runtime.Version(), runtime.GOOS, runtime.GOARCH)
}
