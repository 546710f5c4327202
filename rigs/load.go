package rigs

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"chestnutlatch/cmdkit"
	"chestnutlatch/fleet"
	"chestnutlatch/load"
)

// LoadOptions are the flags of `standin load`.
type LoadOptions struct {
	Streams     cmdkit.Streams
	Demo        string
	Duration    time.Duration
	RateFactor  float64
	SurgeFactor float64
	Timeout     time.Duration
	MaxRetries  int
	Seed        uint64
	LookupsOnly bool
	Direct      bool
	JSON        bool
}

// NewCmdLoad returns the `standin load` command.
func NewCmdLoad(s cmdkit.Streams, runF func(*LoadOptions) error) *cobra.Command {
	opts := &LoadOptions{Streams: s}
	cmd := &cobra.Command{
		Use:   "load --demo DIR/demo.json",
		Short: "Send callers' requests to a running demonstration and report the results",
		Example: `  standin load --demo demo/demo.json --duration 10s --rush 4
  standin load --demo demo/demo.json --lookups --direct --json`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if opts.Demo == "" {
				return &cmdkit.FlagError{Flag: "demo", Hint: "use the demo.json of a demonstration that `script/demo --hold DIR` keeps running"}
			}
			if runF != nil {
				return runF(opts)
			}
			return loadRun(cmd.Context(), opts)
		},
	}
	cmdkit.AddJSONFlag(cmd, &opts.JSON)
	fl := cmd.Flags()
	fl.StringVar(&opts.Demo, "demo", "", "path of the demo.json of a running demonstration")
	fl.DurationVar(&opts.Duration, "duration", 10*time.Second, "length of the run")
	fl.Float64Var(&opts.RateFactor, "scale", 1, "factor by which the teams' rates are multiplied")
	fl.Float64Var(&opts.SurgeFactor, "rush", 0, "factor by which the rates are multiplied in the last third of the run (0 = no surge)")
	fl.DurationVar(&opts.Timeout, "timeout", 3*time.Second, "time limit of one attempt")
	fl.IntVar(&opts.MaxRetries, "repeats", 5, "attempts at a one-time action after the first")
	fl.Uint64Var(&opts.Seed, "seed", 1, "seed of arrivals, teams and paths")
	fl.BoolVar(&opts.LookupsOnly, "lookups", false, "send only look-ups")
	fl.BoolVar(&opts.Direct, "direct", false, "first send look-ups at the same rate directly to the targets, for comparison")
	return cmd
}

// demoFile is the part of demo.json that the load generator reads.
type demoFile struct {
	Processes []fleet.Process `json:"processes"`
	Teams     []load.Team     `json:"teams"`
	Adapter   string          `json:"adapter"`
}

// loadRun sends the load to the demonstration and prints the result.
func loadRun(ctx context.Context, opts *LoadOptions) error {
	raw, err := os.ReadFile(opts.Demo)
	if err != nil {
		return errors.Wrap(err, "read demo.json")
	}
	var demo demoFile
	if err := json.Unmarshal(raw, &demo); err != nil {
		return errors.Wrap(err, "decode demo.json")
	}
	cfg := load.Config{
		Duration: opts.Duration, SurgeFactor: opts.SurgeFactor, Timeout: opts.Timeout, MaxRetries: opts.MaxRetries, Seed: opts.Seed, Label: "load",
		Paths: fleet.DemoPaths(),
	}
	if opts.LookupsOnly {
		cfg.Paths = cfg.Paths[:1]
	}
	var targets []string
	rate := 0.0
	for _, t := range demo.Teams {
		t.Rate *= opts.RateFactor
		rate += t.Rate
		cfg.Teams = append(cfg.Teams, t)
	}
	for _, p := range demo.Processes {
		switch {
		case p.Role == fleet.RoleDaemon:
			cfg.Entries = append(cfg.Entries, p.Address)
		case p.Role == fleet.RoleTarget && string(p.Service) == fleet.DemoServices()[0]:
			targets = append(targets, p.Address)
		}
	}
	var direct *load.Result
	if opts.Direct {
		direct = load.Direct(ctx, targets, rate, opts.Duration, opts.Seed)
	}
	return printResult(opts.Streams, load.Run(ctx, fleet.WithPlatformHeaders(cfg, demo.Adapter)), direct, opts.JSON)
}

// printResult prints a load result as a table or JSON. direct is the result of the
// load that was sent directly to the targets; it may be nil.
func printResult(s cmdkit.Streams, result, direct *load.Result, asJSON bool) error {
	type summary struct {
		*load.Result
		P50       int64 `json:"p50_us"`
		P99       int64 `json:"p99_us"`
		DirectP50 int64 `json:"direct_p50_us,omitempty"`
		DirectP99 int64 `json:"direct_p99_us,omitempty"`
	}
	sum := summary{Result: result, P50: result.Quantile(50), P99: result.Quantile(99)}
	if direct != nil {
		sum.DirectP50, sum.DirectP99 = direct.Quantile(50), direct.Quantile(99)
	}
	if asJSON {
		return s.JSON(&sum)
	}
	rows := [][]string{
		{"sent", fmt.Sprint(result.Sent)},
		{"served", fmt.Sprint(result.Served)},
		{"latency p50 / p99", fmt.Sprintf("%d / %d us", sum.P50, sum.P99)},
	}
	if direct != nil {
		rows = append(rows,
			[]string{"direct to target p50 / p99", fmt.Sprintf("%d / %d us", sum.DirectP50, sum.DirectP99)},
			[]string{"added p50 / p99", fmt.Sprintf("%d / %d us", sum.P50-sum.DirectP50, sum.P99-sum.DirectP99)},
		)
	}
	for _, kind := range sortedKeys(result.Refused) {
		rows = append(rows, []string{"refused " + kind, fmt.Sprint(result.Refused[kind])})
	}
	for _, name := range sortedKeys(result.Teams) {
		t := result.Teams[name]
		rows = append(rows, []string{"team " + name, fmt.Sprintf("%d of %d served, %d over rate", t.Served, t.Sent, t.OverRate)})
	}
	width := 0
	for _, r := range rows {
		width = max(width, len(r[0]))
	}
	for _, r := range rows {
		fmt.Fprintf(s.Out, "%s%s  %s\n", r[0], strings.Repeat(" ", width-len(r[0])), r[1])
	}
	return nil
}

// sortedKeys returns the keys of m in ascending order.
func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}
