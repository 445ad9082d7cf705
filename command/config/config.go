// Package config implements the subcommand "config".
package config

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/peterbourgon/ff/v4"
	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/command/internal/operator"
	"github.com/oleanderworks/oleanderworks/examples"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/questionnaire"
)

// New returns the subcommand, which writes its results to stdout.
func New(stdout io.Writer) *ff.Command {
	return &ff.Command{
		Name:      "config",
		Usage:     "oleanderworks config new|check|check-mesh|generate|publish|show|history ...",
		ShortHelp: "write, check and publish questionnaires; read the configuration",
		Subcommands: []*ff.Command{
			newCommand(stdout),
			checkCommand(stdout),
			checkMeshCommand(stdout),
			generateCommand(stdout),
			publishCommand(stdout),
			showCommand(stdout),
			historyCommand(stdout),
		},
	}
}

func newCommand(stdout io.Writer) *ff.Command {
	return &ff.Command{
		Name:      "new",
		Usage:     "oleanderworks config new FILE|-",
		ShortHelp: "write a questionnaire with example answers",
		LongHelp:  "An existing file is not overwritten. The argument - selects the standard output.",
		Exec: func(_ context.Context, args []string) error {
			path, err := operator.SingleArgument(args, "one file name or -")
			if err != nil {
				return err
			}
			if path == "-" {
				_, err := stdout.Write(examples.Trust)
				return err
			}
			return writeExample(path, stdout)
		},
	}
}

func writeExample(path string, stdout io.Writer) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
	if err != nil {
		return errors.Wrap(err, "write questionnaire")
	}
	if _, err := f.Write(examples.Trust); err != nil {
		f.Close()
		return errors.Wrap(err, "write questionnaire")
	}
	fmt.Fprintf(stdout, "wrote %s; change the answers, then run: oleanderworks config check %s\n", path, filepath.Clean(path))
	return errors.Wrap(f.Close(), "write questionnaire")
}

func checkCommand(stdout io.Writer) *ff.Command {
	return &ff.Command{
		Name:      "check",
		Usage:     "oleanderworks config check FILE...",
		ShortHelp: "check questionnaires and list the errors of the first invalid one",
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return errors.New("0 arguments, expected at least one file name")
			}
			for _, path := range args {
				q, err := questionnaire.Load(path)
				if err != nil {
					return err
				}
				summarize(stdout, path, q)
			}
			return nil
		},
	}
}

func summarize(w io.Writer, path string, q *questionnaire.Questionnaire) {
	rate := 0.0
	for _, c := range q.Customers {
		rate += c.Rate
	}
	fmt.Fprintf(w, "%s: ok, %d availability zones, %d services, %d customers with %g requests a second\n",
		path, len(q.Zones), len(q.Services), len(q.Customers), rate)
	for _, s := range q.Services {
		fmt.Fprintf(w, "  %s: %d targets, %d slots\n", s.Name, s.Upstreams, s.Upstreams*s.Slots)
	}
}

// generate reads the questionnaire whose path is the only argument and returns its
// documents.
func generate(args []string) ([]model.Document, error) {
	path, err := operator.SingleArgument(args, "one file name")
	if err != nil {
		return nil, err
	}
	q, err := questionnaire.Load(path)
	if err != nil {
		return nil, err
	}
	return questionnaire.Generate(q)
}

func generateCommand(stdout io.Writer) *ff.Command {
	return &ff.Command{
		Name:      "generate",
		Usage:     "oleanderworks config generate FILE",
		ShortHelp: "print the documents that a questionnaire describes",
		LongHelp:  "Each line has the name of a document and its JSON. The output is deterministic.",
		Exec: func(_ context.Context, args []string) error {
			documents, err := generate(args)
			if err != nil {
				return err
			}
			for _, d := range documents {
				fmt.Fprintf(stdout, "%s %s\n", d.Name, d.Body)
			}
			return nil
		},
	}
}
