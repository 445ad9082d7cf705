// Package operator holds what the subcommands that use the log service share.
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

// defaultTimeout covers a short outage of the log service.
const defaultTimeout = 30 * time.Second

// LogFlags are the flags of a subcommand that uses the log service.
type LogFlags struct {
	Set     *ff.FlagSet
	log     *string
	author  *string
	timeout *time.Duration
}

// NewLogFlags returns the flags --log, --author and --timeout.
func NewLogFlags(name string) *LogFlags {
	set := ff.NewFlagSet(name)
	return &LogFlags{
		Set:     set,
		log:     set.StringLong("log", "", "URL of the log service, http://host:port"),
		author:  set.StringLong("author", os.Getenv("USER"), "name shown in the history"),
		timeout: set.DurationLong("timeout", defaultTimeout, "how long to wait for the log service"),
	}
}

// Given reports whether a log service was named.
func (f *LogFlags) Given() bool { return *f.log != "" }

// Client connects to the log service and reads the configuration. The caller
// calls cancel when it is done. Each is called for every publication; it may
// be nil.
func (f *LogFlags) Client(ctx context.Context, each func(publish.Publication)) (*publish.Client, context.Context, context.CancelFunc, error) {
	if !f.Given() {
		return nil, nil, nil, errors.New("flag --log is missing")
	}
	log, err := httplog.NewClient(*f.log)
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, *f.timeout)
	c := publish.NewClient(log, *f.author)
	if err := c.Follow(ctx, each); err != nil {
		cancel()
		return nil, nil, nil, errors.Wrap(err, "read the configuration")
	}
	return c, ctx, cancel, nil
}

// One returns the only argument, or an error that says what is expected.
func One(args []string, expected string) (string, error) {
	if len(args) != 1 || args[0] == "" {
		return "", errors.Errorf("%d arguments, expected %s", len(args), expected)
	}
	return args[0], nil
}
