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
	Streams  cmdkit.Streams
	Demo     string
	Duration time.Duration
	Scale    float64
	Rush     float64
	Timeout  time.Duration
	Repeats  int
	Seed     uint64
	Lookups  bool
	Direct   bool
	JSON     bool
}

// NewCmdLoad returns the `standin load` command.
func NewCmdLoad(s cmdkit.Streams, runF func(*LoadOptions) error) *cobra.Command {
	opts := &LoadOptions{Streams: s}
	cmd := &cobra.Command{
		Use:   "load --demo DIR/demo.json",
		Short: "Send callers' requests to a running demonstration",
		Example: `  standin load --demo demo/demo.json --duration 10s --rush 4
  standin load --demo demo/demo.json --lookups --direct --json`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if opts.Demo == "" {
				return &cmdkit.FlagError{Flag: "demo", Remedy: "name the demo.json of a demonstration that `script/demo --hold DIR` keeps running"}
			}
			if runF != nil {
				return runF(opts)
			}
			return loadRun(cmd.Context(), opts)
		},
	}
	cmdkit.AddJSON(cmd, &opts.JSON)
	fl := cmd.Flags()
	fl.StringVar(&opts.Demo, "demo", "", "demo.json of a running demonstration")
	fl.DurationVar(&opts.Duration, "duration", 10*time.Second, "length of the run")
	fl.Float64Var(&opts.Scale, "scale", 1, "times the teams' rates")
	fl.Float64Var(&opts.Rush, "rush", 0, "times the rates in the last third of the run")
	fl.DurationVar(&opts.Timeout, "timeout", 3*time.Second, "time limit of one attempt")
	fl.IntVar(&opts.Repeats, "repeats", 5, "repeats of a one-time action with unknown outcome")
	fl.Uint64Var(&opts.Seed, "seed", 1, "seed of arrivals, teams and paths")
	fl.BoolVar(&opts.Lookups, "lookups", false, "send only look-ups")
	fl.BoolVar(&opts.Direct, "direct", false, "send the same load straight to the targets too, for the ratio")
	return cmd
}

type demoFile struct {
	Processes []fleet.Process `json:"processes"`
	Teams     []load.Team     `json:"teams"`
	Adapter   string          `json:"adapter"`
}

func loadRun(ctx context.Context, opts *LoadOptions) error {
	b, err := os.ReadFile(opts.Demo)
	if err != nil {
		return errors.Wrap(err, "read demo file")
	}
	var demo demoFile
	if err := json.Unmarshal(b, &demo); err != nil {
		return errors.Wrap(err, "decode demo file")
	}
	cfg := load.Config{
		Duration: opts.Duration, Rush: opts.Rush, Timeout: opts.Timeout, Repeats: opts.Repeats, Seed: opts.Seed, Label: "load",
		Paths: fleet.DemoPaths(),
	}
	if opts.Lookups {
		cfg.Paths = cfg.Paths[:1]
	}
	var direct []string
	rate := 0.0
	for _, t := range demo.Teams {
		t.Rate *= opts.Scale
		rate += t.Rate
		cfg.Teams = append(cfg.Teams, t)
	}
	for _, p := range demo.Processes {
		switch {
		case p.Role == fleet.RoleDaemon:
			cfg.Entries = append(cfg.Entries, p.Address)
		case p.Role == fleet.RoleTarget && string(p.Service) == fleet.DemoServices()[0]:
			direct = append(direct, p.Address)
		}
	}
	var straight *load.Result
	if opts.Direct {
		straight = load.Direct(ctx, direct, rate, opts.Duration, opts.Seed)
	}
	return printResult(opts.Streams, load.Run(ctx, fleet.OnPlatform(cfg, demo.Adapter)), straight, opts.JSON)
}

// printResult writes what callers saw.
func printResult(s cmdkit.Streams, res, straight *load.Result, asJSON bool) error {
	type summary struct {
		*load.Result
		P50       int64 `json:"p50_us"`
		P99       int64 `json:"p99_us"`
		DirectP50 int64 `json:"direct_p50_us,omitempty"`
		DirectP99 int64 `json:"direct_p99_us,omitempty"`
	}
	sum := summary{Result: res, P50: res.Quantile(50), P99: res.Quantile(99)}
	if straight != nil {
		sum.DirectP50, sum.DirectP99 = straight.Quantile(50), straight.Quantile(99)
	}
	if asJSON {
		return s.JSON(&sum)
	}
	rows := [][]string{
		{"sent", fmt.Sprint(res.Sent)},
		{"served", fmt.Sprint(res.Served)},
		{"latency p50 / p99", fmt.Sprintf("%d / %d us", sum.P50, sum.P99)},
	}
	if straight != nil {
		rows = append(rows,
			[]string{"straight to target p50 / p99", fmt.Sprintf("%d / %d us", sum.DirectP50, sum.DirectP99)},
			[]string{"added p50 / p99", fmt.Sprintf("%d / %d us", sum.P50-sum.DirectP50, sum.P99-sum.DirectP99)},
		)
	}
	for _, kind := range sortedKeys(res.Refused) {
		rows = append(rows, []string{"refused " + kind, fmt.Sprint(res.Refused[kind])})
	}
	for _, name := range sortedKeys(res.Teams) {
		t := res.Teams[name]
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

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}
