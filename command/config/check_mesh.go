package config

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v4"
	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/command/internal/operator"
	"github.com/oleanderworks/oleanderworks/model/graph"
	"github.com/oleanderworks/oleanderworks/platform"
	"github.com/oleanderworks/oleanderworks/policy/configcheck"
)

// Exit codes of check-mesh, for scripts. Without a finding it is 0.
const (
	exitWarnings   = 1
	exitErrors     = 2
	exitUnreadable = 3
)

func checkMeshCommand(stdout io.Writer) *ff.Command {
	flags := ff.NewFlagSet("check-mesh")
	against := flags.StringLong("against", "", "file with the version in force, to list the differences")
	return &ff.Command{
		Name:      "check-mesh",
		Usage:     "oleanderworks config check-mesh FILE [--against FILE]",
		ShortHelp: "check a configuration of mesh nodes before it is sent",
		LongHelp: "One line is printed for each finding. The exit code is 0 without errors and warnings,\n" +
			"1 with warnings only, 2 with errors, 3 if a file cannot be read. Differences from the\n" +
			"version in force do not change it. Keys are counted, never printed.",
		Flags: flags,
		Exec: func(_ context.Context, args []string) error {
			path, err := operator.SingleArgument(args, "one file name")
			if err != nil {
				return operator.ExitError{Code: exitUnreadable, Err: err}
			}
			return checkMesh(path, *against, stdout)
		},
	}
}

func checkMesh(path, against string, stdout io.Writer) error {
	draft, err := readDraft(path)
	if err != nil {
		return operator.ExitError{Code: exitUnreadable, Err: err}
	}
	var inForce *graph.Draft
	if against != "" {
		inForce, err = readDraft(against)
		if err == nil && len(inForce.Undecoded) > 0 {
			err = errors.Errorf("%s: %d fields of the version in force cannot be decoded", against, len(inForce.Undecoded))
		}
		if err != nil {
			return operator.ExitError{Code: exitUnreadable, Err: err}
		}
	}
	findings := configcheck.Check(draft, inForce)
	for _, f := range findings {
		if _, err := fmt.Fprintln(stdout, f); err != nil {
			return errors.Wrap(err, "print findings")
		}
	}
	return exitOf(findings)
}

func readDraft(path string) (*graph.Draft, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration")
	}
	draft, err := platform.DocumentDecoder{}.Draft(text)
	return draft, errors.Wrap(err, path)
}

// exitOf returns the error that sets the exit code, or nil.
func exitOf(findings []configcheck.Finding) error {
	worst, found := configcheck.Worst(findings)
	switch {
	case !found:
		return nil
	case worst == configcheck.Error:
		return operator.ExitError{Code: exitErrors}
	default:
		return operator.ExitError{Code: exitWarnings}
	}
}
