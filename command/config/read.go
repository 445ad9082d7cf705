package config

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v4"
	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/command/internal/operator"
	"github.com/oleanderworks/oleanderworks/logservice/publish"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/configlog"
)

const defaultHistoryLimit = 20

func showCommand(stdout io.Writer) *ff.Command {
	flags := operator.NewLogFlags("show")
	return &ff.Command{
		Name:      "show",
		Usage:     "oleanderworks config show [PREFIX] --log URL",
		ShortHelp: "print the current documents and their versions",
		LongHelp:  "PREFIX selects documents by name, such as customer/ or service/tally.",
		Flags:     flags.FlagSet,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 1 {
				return errors.Errorf("%d arguments, expected at most one prefix", len(args))
			}
			c, _, cancel, err := flags.Connect(ctx, nil)
			if err != nil {
				return err
			}
			defer cancel()
			return show(c.Configuration(), strings.Join(args, ""), stdout)
		},
	}
}

func show(config *configlog.Configuration, prefix string, w io.Writer) error {
	var names []string
	for name, doc := range config.Documents() {
		if strings.HasPrefix(name, prefix) && !model.IsDeleted(doc.Body) {
			names = append(names, name)
		}
	}
	if len(names) == 0 && prefix != "" {
		return errors.Errorf("no document name starts with %q", prefix)
	}
	slices.Sort(names)
	for _, name := range names {
		doc := config.Document(name)
		fmt.Fprintf(w, "%s version %d %s\n", name, doc.Version, doc.Body)
	}
	return nil
}

func historyCommand(stdout io.Writer) *ff.Command {
	flags := operator.NewLogFlags("history")
	limit := flags.FlagSet.IntLong("limit", defaultHistoryLimit, "number of newest publications to list; 0 for all")
	return &ff.Command{
		Name:      "history",
		Usage:     "oleanderworks config history [--limit N] --log URL",
		ShortHelp: "list the publications in the log and whether each was accepted",
		Flags:     flags.FlagSet,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 || *limit < 0 {
				return errors.New("expected no arguments and a limit of 0 or more")
			}
			var all []publish.PublicationResult
			_, _, cancel, err := flags.Connect(ctx, func(p publish.PublicationResult) {
				all = append(all, p)
				if *limit > 0 && len(all) > *limit {
					all = all[1:]
				}
			})
			if err != nil {
				return err
			}
			defer cancel()
			for _, p := range all {
				fmt.Fprintln(stdout, describePublication(p))
			}
			return nil
		},
	}
}

// describePublication returns the history line of a publication.
func describePublication(p publish.PublicationResult) string {
	publication := p.Publication
	line := fmt.Sprintf("%d %s %s %s %s:", p.Offset, p.Time.UTC().Format(time.RFC3339), p.Verdict, publication.ID, authorOrDash(publication.Author))
	switch {
	case len(publication.Refresh) > 0:
		return fmt.Sprintf("%s refresh of %d documents", line, len(publication.Refresh))
	case len(publication.Withdraw) > 0:
		return fmt.Sprintf("%s withdrawal of %d keys", line, len(publication.Withdraw))
	}
	for _, a := range publication.Amendments {
		line += fmt.Sprintf(" %s@%d%s", a.Document, a.Base+1, deletionSuffix(a))
	}
	if p.Verdict == configlog.Conflict {
		line += fmt.Sprintf(" (%s was at version %d)", p.Document, p.Current)
	}
	return line
}

func authorOrDash(name string) string {
	if name == "" {
		return "-"
	}
	return name
}
