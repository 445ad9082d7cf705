// Package mesh implements the subcommand "mesh".
package mesh

import (
	"context"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/peterbourgon/ff/v4"

	"github.com/oleanderworks/oleanderworks/agent/mesh"
	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/platform"
)

const (
	// gcPercent lets the heap grow to two and a half times the live heap between
	// two collections. It is lower than for a node outside the platform because on
	// the platform a node's memory costs more than twice as much as its CPU time.
	gcPercent = 150
	// memoryLimitFraction is the fraction of the process's memory limit that is set
	// as the Go runtime's memory limit. Close to the limit the runtime collects more
	// often.
	memoryLimitFraction = 0.7
	// flushTimeout limits the time for writing the last log lines at exit.
	flushTimeout = 200 * time.Millisecond
)

// New returns the subcommand.
func New(stdout io.Writer) *ff.Command {
	flags := ff.NewFlagSet("mesh")
	level := flags.String('l', "log-level", "info", "minimum level of log lines: debug, info, warn or error")
	advertise := flags.StringLong("advertise", "", "address, IP:port, at which peers reach the node; default: the address in the settings")
	return &ff.Command{
		Name:      "mesh",
		Usage:     "oleanderworks mesh [--log-level LEVEL] [--advertise ADDRESS]",
		ShortHelp: "run a mesh node on an instance of the platform, with the settings that the platform provides",
		Flags:     flags,
		Exec: func(ctx context.Context, _ []string) error {
			return run(ctx, *level, *advertise, stdout)
		},
	}
}

func run(ctx context.Context, level, advertise string, stdout io.Writer) error {
	s, store, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	if err := s.Advertise(advertise); err != nil {
		return err
	}
	configureGC(s.MemoryBytes)
	writer := event.NewAsyncWriter(stdout)
	defer flushLog(writer)
	logger := hclog.New(&hclog.LoggerOptions{Level: hclog.LevelFromString(level), Output: writer, JSONFormat: true})
	n := mesh.New(s, platform.NewStoreClient(store), platform.DocumentDecoder{}, platform.TargetCodec{}, logger)
	// SIGHUP only checks the settings and logs the result: a running node keeps the
	// settings with which it started.
	settingsCheckSignals := make(chan os.Signal, 1)
	signal.Notify(settingsCheckSignals, syscall.SIGHUP)
	go func() {
		for range settingsCheckSignals {
			_, _, err := platform.LoadSettings()
			n.LogReload(err)
		}
	}()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := n.Start(mesh.Handlers{
		Calls:         platform.CallHandler(n),
		Ready:         platform.ReadinessHandler(n),
		Announcements: platform.AnnouncementHandler(n),
	}); err != nil {
		return err
	}
	<-ctx.Done()
	return n.Stop()
}

func flushLog(w *event.AsyncWriter) {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	w.Close(ctx)
}

// configureGC configures the garbage collector of a process that may use
// maxMemoryBytes; 0 means no limit. The environment variables GOGC and
// GOMEMLIMIT take precedence.
func configureGC(maxMemoryBytes int64) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" && maxMemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(maxMemoryBytes)))
	}
}
