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
	Hold     string
	Duration time.Duration
	Seed     uint64
	// Adapter names a platform; empty is the product's own interface.
	Adapter string
	// LogLevels are given to the daemons in turn.
	LogLevels []string
}

// NewCmdDemo returns the `standin demo` command.
func NewCmdDemo(s cmdkit.Streams, runF func(*DemoOptions) error) *cobra.Command {
	opts := &DemoOptions{Streams: s}
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a small fleet on loopback, hurt it, and show what callers saw",
		Example: "  standin demo\n" +
			"  standin demo --adapter kv --hold demo --log-levels info,off",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if opts.Adapter != "" && opts.Adapter != setup.AdapterKV {
				return &cmdkit.FlagError{Flag: "adapter", Remedy: "use " + setup.AdapterKV + " or leave it out"}
			}
			if runF != nil {
				return runF(opts)
			}
			return demoRun(cmd.Context(), opts)
		},
	}
	fl := cmd.Flags()
	fl.StringVar(&opts.Bin, "bin", "bin", "folder of the built programs")
	fl.StringVar(&opts.Hold, "hold", "", "keep the fleet running until interrupted, and write demo.json to this folder")
	fl.StringVar(&opts.Adapter, "adapter", "", "stand on the platform with this adapter (kv) instead of the product's own store")
	fl.StringSliceVar(&opts.LogLevels, "log-levels", nil, "log levels of the daemons, in turn (default info)")
	fl.DurationVar(&opts.Duration, "duration", 9*time.Second, "length of the load")
	fl.Uint64Var(&opts.Seed, "seed", 1, "seed of the load")
	return cmd
}

// errBroken reports a promise that did not hold.
var errBroken = errors.New("the demonstration found a broken promise")

func demoRun(ctx context.Context, opts *DemoOptions) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	dir := opts.Hold
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
	if opts.Hold != "" {
		if err := f.WriteDemo(dir, teams); err != nil {
			return err
		}
		opts.Streams.Printf("fleet is running; interrupt to stop it")
		<-ctx.Done()
		return nil
	}
	return showDemo(ctx, opts, f, teams)
}

// StartDemo starts the demonstration's fleet: two regions with two data
// centres each, and three targets with a daemon each in every data centre.
func StartDemo(opts *DemoOptions, dir string) (*fleet.Fleet, []load.Team, error) {
	var services []ident.Service
	for _, s := range fleet.DemoServices() {
		services = append(services, ident.Service(s))
	}
	f, err := fleet.Start(fleet.Spec{
		Bin: opts.Bin, Dir: dir, Regions: 2, CentresPerRegion: 2, TargetsPerCentre: 3,
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

// showDemo sends the load, makes a target sick and kills a daemon meanwhile,
// and prints what callers saw.
func showDemo(ctx context.Context, opts *DemoOptions, f *fleet.Fleet, teams []load.Team) error {
	var status []string
	for _, t := range f.Targets {
		if string(t.Service) == fleet.DemoServices()[0] {
			status = append(status, t.Address)
		}
	}
	lookups := load.Config{
		Entries: f.Entries(), Teams: teams, Paths: fleet.DemoPaths()[:1], Duration: 2 * time.Second,
		Timeout: 3 * time.Second, Seed: opts.Seed, Label: "quiet",
	}
	through := load.Run(ctx, fleet.OnPlatform(lookups, opts.Adapter))
	var quiet *load.Result
	if opts.Adapter == "" {
		// Targets of a platform want to be named, which only daemons do.
		quiet = load.Direct(ctx, status, 50, 2*time.Second, opts.Seed)
	}
	hurt := make(chan error, 1)
	go func() { hurt <- hurtFleet(ctx, opts, f) }()
	res := load.Run(ctx, fleet.OnPlatform(load.Config{
		Entries: f.Entries(), Teams: teams, Paths: fleet.DemoPaths(), Duration: opts.Duration,
		Timeout: 3 * time.Second, Repeats: 6, Seed: opts.Seed, Rush: 1.5, Label: "demo",
	}, opts.Adapter))
	if err := <-hurt; err != nil {
		return err
	}
	v, err := f.Judge(res)
	if err != nil {
		return err
	}
	if err := printResult(opts.Streams, res, nil, false); err != nil {
		return err
	}
	fmt.Fprintf(opts.Streams.Out, "quiet look-ups p50 / p99: through the fleet %d / %d us", through.Quantile(50), through.Quantile(99))
	if quiet != nil {
		fmt.Fprintf(opts.Streams.Out, ", straight %d / %d us, ratio %.2f / %.2f", quiet.Quantile(50), quiet.Quantile(99),
			float64(through.Quantile(50))/float64(quiet.Quantile(50)), float64(through.Quantile(99))/float64(quiet.Quantile(99)))
	}
	fmt.Fprintln(opts.Streams.Out)
	fmt.Fprintf(opts.Streams.Out, "doubles %d, false not_run %d, lost %d, unknown %d, keys seen by targets %d, mixed answers %d\n",
		v.Doubles, v.FalseNotRun, v.Lost, v.Unknown, v.KeysSeen, v.Mixed)
	if !v.IsClean() {
		return errBroken
	}
	return nil
}

// hurtFleet makes one target slow and failing, and kills one daemon.
func hurtFleet(ctx context.Context, opts *DemoOptions, f *fleet.Fleet) error {
	third := opts.Duration / 3
	if !pause(ctx, third) {
		return nil
	}
	opts.Streams.Printf("target %s turns sick", f.Targets[0].Name)
	if err := fleet.PutJSON(f.Targets[0].Control, "/faults", stand.TargetFaults{SlowFactor: 20, ErrorRate: 0.5}); err != nil {
		return err
	}
	if opts.Adapter != "" {
		// Daemons of a platform suspect targets rather than call them sick.
		if !pause(ctx, third) {
			return nil
		}
		return killOne(opts, f)
	}
	began := time.Now()
	took, err := f.WaitSick(f.Daemons[1], ident.Target("t-"+strings.TrimPrefix(f.Targets[0].Name, "target-")))
	if err != nil {
		return err
	}
	opts.Streams.Printf("another daemon sees it as sick after %d ms", took.Milliseconds())
	if !pause(ctx, third-time.Since(began)) {
		return nil
	}
	return killOne(opts, f)
}

func killOne(opts *DemoOptions, f *fleet.Fleet) error {
	victim := f.Daemons[len(f.Daemons)-1]
	opts.Streams.Printf("%s is killed", victim.Name)
	return victim.Kill()
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
