// Package switches takes availability zones and targets in and out of
// service, for the subcommands "zone" and "target".
package switches

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v4"
	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/command/internal/operator"
	"github.com/oleanderworks/oleanderworks/logservice/publish"
	"github.com/oleanderworks/oleanderworks/model"
)

// maxAttempts limits the attempts to publish when there are conflicts. Each attempt
// amends the newest version and changes only whether the object is out of service, so it
// overwrites no other change.
const maxAttempts = 4

// Kind is a kind of object that can be taken out of service: availability zones or targets.
type Kind struct {
	DocumentKind string // kind of document that holds the availability, such as model.KindZone
	Command      string // name of the subcommand, such as "zone"
	Noun         string // noun used in messages, such as "availability zone"
	// MustExist makes the subcommand reject objects that have no document.
	MustExist bool
}

// nounWithArticle returns the noun with "a" or "an".
func (k Kind) nounWithArticle() string {
	if strings.ContainsRune("aeiou", rune(k.Noun[0])) {
		return "an " + k.Noun
	}
	return "a " + k.Noun
}

// New returns the subcommand, which has the subcommands "out" and "in".
func New(k Kind, stdout io.Writer) *ff.Command {
	return &ff.Command{
		Name:      k.Command,
		Usage:     fmt.Sprintf("oleanderworks %s out|in NAME --log URL", k.Command),
		ShortHelp: fmt.Sprintf("take %s out of service or back into service", k.nounWithArticle()),
		LongHelp: fmt.Sprintf("Nodes send no new requests to %s that is out of service; running requests complete.\n"+
			"When it returns to service, its load ramps up as after a cold start.", k.nounWithArticle()),
		Subcommands: []*ff.Command{
			k.subcommand("out", true, stdout),
			k.subcommand("in", false, stdout),
		},
	}
}

func (k Kind) subcommand(verb string, out bool, stdout io.Writer) *ff.Command {
	flags := operator.NewLogFlags(k.Command + " " + verb)
	return &ff.Command{
		Name:      verb,
		Usage:     fmt.Sprintf("oleanderworks %s %s NAME --log URL", k.Command, verb),
		ShortHelp: fmt.Sprintf("take %s %s", k.nounWithArticle(), map[bool]string{true: "out of service", false: "back into service"}[out]),
		Flags:     flags.FlagSet,
		Exec: func(ctx context.Context, args []string) error {
			name, err := operator.SingleArgument(args, "the name of one "+k.Noun)
			if err != nil {
				return err
			}
			return k.setAvailability(ctx, flags, name, out, stdout)
		},
	}
}

func (k Kind) setAvailability(ctx context.Context, flags *operator.LogFlags, name string, out bool, stdout io.Writer) error {
	c, ctx, cancel, err := flags.Connect(ctx, nil)
	if err != nil {
		return err
	}
	defer cancel()
	for attempt := 1; ; attempt++ {
		amendment, err := k.amendment(c, name, out)
		if err != nil {
			return err
		}
		if amendment == nil {
			fmt.Fprintf(stdout, "%s %s is %s already\n", k.Noun, name, inOrOut(out))
			return nil
		}
		p, err := c.Publish(ctx, []model.Amendment{*amendment})
		if errors.Is(err, publish.ErrConflict) && attempt < maxAttempts {
			continue
		}
		if err != nil {
			return err
		}
		fmt.Fprintf(stdout, "accepted: %s %s is %s, offset %d\n", k.Noun, name, inOrOut(out), p.Offset)
		return nil
	}
}

func inOrOut(out bool) string {
	if out {
		return "out"
	}
	return "in"
}

// amendment returns the change that takes an object out of service or back into service,
// or nil if there is nothing to change.
func (k Kind) amendment(c *publish.Client, name string, out bool) (*model.Amendment, error) {
	documentName := model.DocumentName(k.DocumentKind, name)
	doc := c.Configuration().Document(documentName)
	if k.MustExist && model.IsDeleted(doc.Body) {
		return nil, errors.Errorf("%s %q is not in the configuration, expected one of %s", k.Noun, name, k.knownNames(c))
	}
	var config model.AvailabilityConfig
	if !model.IsDeleted(doc.Body) {
		if err := json.Unmarshal(doc.Body, &config); err != nil {
			return nil, errors.Wrapf(err, "document %s version %d", documentName, doc.Version)
		}
	}
	if config.OutOfService == out {
		return nil, nil
	}
	config.OutOfService = out
	body, err := json.Marshal(config)
	return &model.Amendment{Document: documentName, Base: doc.Version, Body: body}, err
}

func (k Kind) knownNames(c *publish.Client) string {
	var names []string
	for name, doc := range c.Configuration().Documents() {
		object, ok := strings.CutPrefix(name, k.DocumentKind+"/")
		if ok && !model.IsDeleted(doc.Body) {
			names = append(names, object)
		}
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}
