package config

import (
	"context"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v4"
	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/command/internal/operator"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/questionnaire"
)

func publishCommand(stdout io.Writer) *ff.Command {
	flags := operator.NewLogFlags("publish")
	prune := flags.FlagSet.BoolLong("prune", "delete services, customers and availability zones that are not in the questionnaire")
	dryRun := flags.FlagSet.BoolLong("dry-run", "show what would change and publish nothing")
	return &ff.Command{
		Name:      "publish",
		Usage:     "oleanderworks config publish FILE --log URL",
		ShortHelp: "publish a questionnaire and report whether it was accepted",
		LongHelp: "Only documents that differ are amended, based on the versions that were read. If another\n" +
			"operator has changed one of them since, nothing is published and the conflict is reported; run\n" +
			"the command again to publish on top of the new version. Keys and out-of-service settings do not change.",
		Flags: flags.FlagSet,
		Exec: func(ctx context.Context, args []string) error {
			wanted, err := generate(args)
			if err != nil {
				return err
			}
			return publishDocuments(ctx, flags, wanted, *prune, *dryRun, stdout)
		},
	}
}

func publishDocuments(ctx context.Context, flags *operator.LogFlags, wanted []model.Document, prune, dryRun bool, stdout io.Writer) error {
	c, ctx, cancel, err := flags.Connect(ctx, nil)
	if err != nil {
		return err
	}
	defer cancel()
	amendments, err := questionnaire.Amendments(c.Configuration().Documents(), wanted, prune)
	if err != nil {
		return err
	}
	for _, a := range amendments {
		fmt.Fprintf(stdout, "%s: version %d -> %d%s\n", a.Document, a.Base, a.Base+1, deletionSuffix(a))
	}
	switch {
	case len(amendments) == 0:
		fmt.Fprintln(stdout, "nothing to publish: no document differs")
		return nil
	case dryRun:
		return nil
	}
	p, err := c.Publish(ctx, amendments)
	if err != nil {
		return errors.Wrap(err, "publish")
	}
	fmt.Fprintf(stdout, "accepted: publication %s, offset %d, %d documents\n", p.Publication.ID, p.Offset, len(amendments))
	return nil
}

func deletionSuffix(a model.Amendment) string {
	if model.IsDeleted(a.Body) {
		return " (deleted)"
	}
	return ""
}
