package rigs

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"chestnutlatch/cmdkit"
	"chestnutlatch/fleet"
	"chestnutlatch/ident"
	"chestnutlatch/load"
	"chestnutlatch/setup"
	"chestnutlatch/stand"
)

// DemoOptions are the flags of `standin demo`.
type DemoOptions struct {
	Streams  cmdkit.Streams
	Bin      string
	HoldDir  string
	Duration time.Duration
	Seed     uint64
	// Adapter names the platform adapter; empty selects the product's own interface.
	Adapter string
	// LogLevels are assigned to the daemons in rotation. Empty means info for all
	// daemons.
	LogLevels []string
}

// NewCmdDemo returns the `standin demo` command.
func NewCmdDemo(s cmdkit.Streams, runF func(*DemoOptions) error) *cobra.Command {
	opts := &DemoOptions{Streams: s}
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a small fleet on loopback, inject faults, and report what callers saw",
		Example: "  standin demo\n" +
			"  standin demo --adapter kv --hold demo --log-levels info,off",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if opts.Adapter != "" && opts.Adapter != setup.AdapterKV {
				return &cmdkit.FlagError{Flag: "adapter", Hint: "use " + setup.AdapterKV + " or leave it out"}
			}
			if runF != nil {
				return runF(opts)
			}
			return demoRun(cmd.Context(), opts)
		},
	}
	fl := cmd.Flags()
	fl.StringVar(&opts.Bin, "bin", "bin", "directory of the built programs")
	fl.StringVar(&opts.HoldDir, "hold", "", "keep the fleet running until interrupted, and write demo.json to this directory")
	fl.StringVar(&opts.Adapter, "adapter", "", "use the platform of this adapter (kv) instead of the product's own store")
	fl.StringSliceVar(&opts.LogLevels, "log-levels", nil, "log levels, assigned to the daemons in rotation (default info)")
	fl.DurationVar(&opts.Duration, "duration", 9*time.Second, "length of the load")
	fl.Uint64Var(&opts.Seed, "seed", 1, "seed of the load")
	return cmd
}

// errGuaranteeViolated reports that the fleet broke one of its guarantees, such as
// running a one-time action at most once.
var errGuaranteeViolated = errors.New("the demonstration found a violated guarantee: see its counts above")

// demoRun runs the demonstration, or keeps its fleet running until interrupted.
func demoRun(ctx context.Context, opts *DemoOptions) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	dir := opts.HoldDir
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "chestnutlatch-demo-"); err != nil {
			return err
		}
		defer os.RemoveAll(dir)
	}
	f, teams, err := StartDemo(opts, dir)
	if err != nil {
		return err
	}
	defer f.Stop()
	if opts.HoldDir != "" {
		if err := f.WriteDemoFile(dir, teams); err != nil {
			return err
		}
		opts.Streams.Printf("fleet is running, press Ctrl-C to stop it")
		<-ctx.Done()
		return nil
	}
	return showDemo(ctx, opts, f, teams)
}

// StartDemo starts the fleet of the demonstration in the directory dir: two regions
// with two data centres each, and three targets with a daemon each in every data
// centre. It returns when the fleet is configured and ready. On an error it stops
// the fleet, otherwise the caller does.
func StartDemo(opts *DemoOptions, dir string) (*fleet.Fleet, []load.Team, error) {
	var services []ident.Service
	for _, s := range fleet.DemoServices() {
		services = append(services, ident.Service(s))
	}
	f, err := fleet.Start(fleet.Spec{
		BinDir: opts.Bin, Dir: dir, Regions: 2, CentresPerRegion: 2, TargetsPerCentre: 3,
		Services: services, Slots: 5, WorkMillis: 5, RateSlots: 12, Adapter: opts.Adapter, LogLevels: opts.LogLevels,
	})
	if err != nil {
		return nil, nil, err
	}
	teams, err := f.Configure()
	if err == nil {
		err = f.WaitReady()
	}
	if err == nil {
		err = f.WaitSlots()
	}
	if err != nil {
		f.Stop()
		return nil, nil, err
	}
	return f, teams, nil
}

// showDemo sends look-ups to the fleet without faults, then the demonstration's load
// while a target fails and a daemon is killed, and prints what callers saw. It
// returns errGuaranteeViolated if the counts show a violation.
func showDemo(ctx context.Context, opts *DemoOptions, f *fleet.Fleet, teams []load.Team) error {
	var statusTargets []string
	for _, t := range f.Targets {
		if string(t.Service) == fleet.DemoServices()[0] {
			statusTargets = append(statusTargets, t.Address)
		}
	}
	lookups := load.Config{
		Entries: f.Entries(), Teams: teams, Paths: fleet.DemoPaths()[:1], Duration: 2 * time.Second,
		Timeout: 3 * time.Second, Seed: opts.Seed, Label: "quiet",
	}
	fleetResult := load.Run(ctx, fleet.WithPlatformHeaders(lookups, opts.Adapter))
	var directResult *load.Result
	if opts.Adapter == "" {
		// With an adapter, targets require the header that names the target, which
		// only daemons set.
		directResult = load.Direct(ctx, statusTargets, 50, 2*time.Second, opts.Seed)
	}
	faultErr := make(chan error, 1)
	go func() { faultErr <- injectFaults(ctx, opts, f) }()
	result := load.Run(ctx, fleet.WithPlatformHeaders(load.Config{
		Entries: f.Entries(), Teams: teams, Paths: fleet.DemoPaths(), Duration: opts.Duration,
		Timeout: 3 * time.Second, MaxRetries: 6, Seed: opts.Seed, SurgeFactor: 1.5, Label: "demo",
	}, opts.Adapter))
	if err := <-faultErr; err != nil {
		return err
	}
	check, err := f.CheckOutcomes(result)
	if err != nil {
		return err
	}
	if err := printResult(opts.Streams, result, nil, false); err != nil {
		return err
	}
	fmt.Fprintf(opts.Streams.Out, "look-ups without faults p50 / p99: through the fleet %d / %d us", fleetResult.Quantile(50), fleetResult.Quantile(99))
	if directResult != nil {
		fmt.Fprintf(opts.Streams.Out, ", direct %d / %d us, ratio %.2f / %.2f", directResult.Quantile(50), directResult.Quantile(99),
			float64(fleetResult.Quantile(50))/float64(directResult.Quantile(50)), float64(fleetResult.Quantile(99))/float64(directResult.Quantile(99)))
	}
	fmt.Fprintln(opts.Streams.Out)
	fmt.Fprintf(opts.Streams.Out, "doubles %d, false not_run %d, lost %d, unknown %d, keys seen by targets %d, mixed answers %d\n",
		check.Doubles, check.FalseNotRun, check.Lost, check.Unknown, check.KeysSeen, check.MixedAnswers)
	if !check.IsClean() {
		return errGuaranteeViolated
	}
	return nil
}

// injectFaults makes the first target slow and failing after a third of the load,
// and kills the last daemon after two thirds. Without an adapter it also reports
// how long another daemon takes to detect the sick target.
func injectFaults(ctx context.Context, opts *DemoOptions, f *fleet.Fleet) error {
	third := opts.Duration / 3
	if !sleepContext(ctx, third) {
		return nil
	}
	opts.Streams.Printf("making target %s slow and failing", f.Targets[0].Name)
	if err := fleet.PutJSON(f.Targets[0].Control, "/faults", stand.TargetFaults{SlowFactor: 20, ErrorRate: 0.5}); err != nil {
		return err
	}
	if opts.Adapter != "" {
		// With an adapter, daemons estimate the suspicion of a target and never give
		// it the status sick.
		if !sleepContext(ctx, third) {
			return nil
		}
		return killLastDaemon(opts, f)
	}
	start := time.Now()
	detectionTime, err := f.WaitSick(f.Daemons[1], ident.Target("t-"+strings.TrimPrefix(f.Targets[0].Name, "target-")))
	if err != nil {
		return err
	}
	opts.Streams.Printf("another daemon detected the sick target after %d ms", detectionTime.Milliseconds())
	if !sleepContext(ctx, third-time.Since(start)) {
		return nil
	}
	return killLastDaemon(opts, f)
}

// killLastDaemon kills the last daemon of the fleet without a shutdown.
func killLastDaemon(opts *DemoOptions, f *fleet.Fleet) error {
	daemon := f.Daemons[len(f.Daemons)-1]
	opts.Streams.Printf("killing %s", daemon.Name)
	return daemon.Kill()
}

// sleepContext sleeps for d and reports false if ctx ends first.
func sleepContext(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
