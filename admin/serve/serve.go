// Package serve implements the `serve` command, which runs the daemon until
// SIGTERM or SIGINT and reloads its settings file when it changes.
package serve

import (
	"context"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/spf13/cobra"

	"chestnutlatch/clock"
	"chestnutlatch/cmdkit"
	"chestnutlatch/daemon"
	"chestnutlatch/logs"
	"chestnutlatch/platform"
	"chestnutlatch/setup"
	"chestnutlatch/store"
)

// gcPercent is the garbage collector's target percentage. It trades CPU time for
// memory, since most of a daemon's heap is the configuration, which rarely
// changes.
const gcPercent = 50

// Options holds the dependencies and flags of `serve`.
type Options struct {
	Factory *cmdkit.Factory
	// File is the path of the settings file.
	File string
}

// NewCmdServe returns the `serve` command. If runF is not nil, it is called
// with the parsed options instead of running the daemon.
func NewCmdServe(f *cmdkit.Factory, runF func(*Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	cmd := &cobra.Command{
		Use:     "serve --config FILE.ini",
		Short:   "Run the daemon next to its targets",
		Example: "  chestnutlatch serve --config /etc/chestnutlatch.ini",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if opts.File == "" {
				return &cmdkit.FlagError{Flag: "config", Hint: "no settings file given: pass its path"}
			}
			if runF != nil {
				return runF(opts)
			}
			return serveRun(cmd.Context(), opts)
		},
	}
	cmd.Flags().StringVar(&opts.File, "config", "", "path of the settings file")
	return cmd
}

func serveRun(ctx context.Context, opts *Options) error {
	// Registered before everything else and released after it, since each of these
	// signals ends the process by default.
	hup := notifyHangup()
	ctx, releaseSignals := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer releaseSignals()
	cfg, err := setup.Load(opts.File)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(cfg.MemoryLimitMB) << 20)
	clk := clock.NewSystem()
	writer := logs.NewWriter(opts.Factory.Streams.Out, logs.Limits{LinesPerSecond: cfg.LogLines, BytesPerSecond: cfg.LogBytes}, clk)
	defer writer.Close()
	log := logs.NewLimitedLogger(hclog.New(&hclog.LoggerOptions{
		Name: "chestnutlatch", Level: cfg.LogLevel, JSONFormat: cfg.LogJSON, Output: writer,
	}), writer).With("instance", cfg.Instance)
	d, err := newDaemon(cfg, clk, log)
	if err != nil {
		return err
	}
	d.RegisterDroppedLines(writer.Dropped)
	// Settings also change during a planned stop, so the watch does not end with ctx.
	watchCtx, endWatch := context.WithCancel(context.WithoutCancel(ctx))
	defer endWatch()
	go watchSettings(watchCtx, opts.File, hup, log, d.Reload)
	return d.Run(ctx)
}

// newDaemon creates a daemon. If the settings set an adapter, the daemon uses the
// platform adapter and its store; otherwise it dials the store.
func newDaemon(cfg *setup.Settings, clk clock.Clock, log hclog.Logger) (*daemon.Daemon, error) {
	if cfg.Adapter != "" {
		return daemon.NewWithPlatform(platform.Adapter(), cfg, clk, log, platform.NewStore(cfg.StoreAddress, log.Named("store")))
	}
	st, err := store.Dial(cfg.StoreAddress)
	if err != nil {
		return nil, err
	}
	return daemon.New(cfg, clk, log, st)
}
