// Package operator provides flags, the connection to the log service and argument checks
// for the subcommands that operators use.
package operator

import (
	"context"
	"os"
	"time"

	"github.com/peterbourgon/ff/v4"
	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/logservice/httplog"
	"github.com/oleanderworks/oleanderworks/logservice/publish"
)

// defaultTimeout limits the total time of a subcommand's calls of the log service. If the
// first read fails, the subcommand fails at once. Later appends and reads are retried
// until the timeout, so that a publication survives a short outage.
const defaultTimeout = 30 * time.Second

// LogFlags is the flag set of a subcommand that uses the log service.
type LogFlags struct {
	FlagSet *ff.FlagSet
	log     *string
	author  *string
	timeout *time.Duration
}

// NewLogFlags returns a flag set with --log, --author and --timeout.
func NewLogFlags(name string) *LogFlags {
	set := ff.NewFlagSet(name)
	return &LogFlags{
		FlagSet: set,
		log:     set.StringLong("log", "", "URL of the log service, http://host:port"),
		author:  set.StringLong("author", os.Getenv("USER"), "author of the publication, shown by \"config history\""),
		timeout: set.DurationLong("timeout", defaultTimeout, "how long to wait for the log service"),
	}
}

// HasLogURL reports whether the flag --log was given.
func (f *LogFlags) HasLogURL() bool { return *f.log != "" }

// Connect returns a client of the log service that has read the configuration, and a
// context that ends after --timeout and that the caller must cancel. The client calls
// onPublication, unless nil, for every publication that it reads.
func (f *LogFlags) Connect(ctx context.Context, onPublication func(publish.PublicationResult)) (*publish.Client, context.Context, context.CancelFunc, error) {
	if !f.HasLogURL() {
		return nil, nil, nil, errors.New("flag --log is missing")
	}
	log, err := httplog.NewClient(*f.log)
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, *f.timeout)
	c := publish.NewClient(log, *f.author)
	if err := c.ReadToEnd(ctx, onPublication); err != nil {
		cancel()
		return nil, nil, nil, errors.Wrap(err, "read the configuration")
	}
	return c, ctx, cancel, nil
}

// SingleArgument returns the only argument, or an error that names the expected one.
func SingleArgument(args []string, expected string) (string, error) {
	if len(args) != 1 || args[0] == "" {
		return "", errors.Errorf("%d arguments, expected %s", len(args), expected)
	}
	return args[0], nil
}
