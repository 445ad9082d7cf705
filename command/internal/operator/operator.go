// Package operator has the flags, the connection and the argument checks that are common
// to the subcommands of operators.
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

// defaultTimeout limits the time of all log service calls of a subcommand. A failure of
// the first read ends the subcommand at once. Later appends and reads are retried until
// the timeout, so that a short outage does not fail a publication.
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
		author:  set.StringLong("author", os.Getenv("USER"), "name shown in the history"),
		timeout: set.DurationLong("timeout", defaultTimeout, "how long to wait for the log service"),
	}
}

// HasLogURL reports whether the flag --log was given.
func (f *LogFlags) HasLogURL() bool { return *f.log != "" }

// Connect returns a client of the log service that has read the configuration,
// and a context that ends after --timeout. The caller calls cancel when it is
// done. It calls onPublication, unless nil, for every publication that it reads.
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

// SingleArgument returns the only argument, or an error that says what is
// expected.
func SingleArgument(args []string, expected string) (string, error) {
	if len(args) != 1 || args[0] == "" {
		return "", errors.Errorf("%d arguments, expected %s", len(args), expected)
	}
	return args[0], nil
}
