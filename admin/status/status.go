// Package status is the `status` command.
package status

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"chestnutlatch/cmdkit"
	"chestnutlatch/config"
	"chestnutlatch/daemon"
	"chestnutlatch/ident"
)

const daemonTimeout = 5 * time.Second

// Options are the dependencies and flags of `status`.
type Options struct {
	Factory *cmdkit.Factory
	JSON    bool
	Daemon  string
}

// NewCmdStatus returns the `status` command.
func NewCmdStatus(f *cmdkit.Factory, runF func(*Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show which revision is in force where, or one daemon's view",
		Example: `  chestnutlatch status
  chestnutlatch status --daemon 127.0.0.1:9100 --json`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if runF != nil {
				return runF(opts)
			}
			if opts.Daemon != "" {
				return daemonRun(cmd.Context(), opts)
			}
			return fleetRun(cmd.Context(), opts)
		},
	}
	cmdkit.AddJSON(cmd, &opts.JSON)
	cmd.Flags().StringVar(&opts.Daemon, "daemon", "", "operator address of one daemon, as ip:port")
	return cmd
}

func fleetRun(ctx context.Context, opts *Options) error {
	st, err := opts.Factory.Store()
	if err != nil {
		return err
	}
	state, err := config.Load(ctx, st)
	if err != nil {
		return err
	}
	reports, err := daemon.ReadReports(ctx, st)
	if err != nil {
		return err
	}
	if opts.JSON {
		return opts.Factory.Streams.JSON(struct {
			Accepted ident.Revision  `json:"accepted"`
			Reports  []daemon.Report `json:"reports"`
		}{state.Revision, reports})
	}
	opts.Factory.Streams.Printf("newest revision: %d", state.Revision)
	var rows [][]string
	for _, r := range reports {
		age := (opts.Factory.Clock.Wall() - r.At).Duration().Round(time.Second)
		rows = append(rows, []string{
			string(r.Region), string(r.DataCentre), fmt.Sprint(uint64(r.InForce)),
			fmt.Sprint(r.Live), fmt.Sprint(r.Silent), age.String(),
		})
	}
	return opts.Factory.Streams.Table([]string{"region", "data_centre", "in_force", "live", "silent", "report_age"}, rows)
}

func daemonRun(ctx context.Context, opts *Options) error {
	ctx, done := context.WithTimeout(ctx, daemonTimeout)
	defer done()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+opts.Daemon+"/v1/status", nil)
	if err != nil {
		return &cmdkit.FlagError{Flag: "daemon", Remedy: "give the operator address as ip:port"}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "daemon does not answer: check the operator address")
	}
	defer resp.Body.Close()
	var s daemon.Status
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		return errors.Wrap(err, "daemon's answer is not a status")
	}
	if opts.JSON {
		return opts.Factory.Streams.JSON(s)
	}
	opts.Factory.Streams.Printf("instance %s, revision %d, %d rate slots held, %d tickets open",
		s.Instance, s.Revision, s.RateSlots, s.TicketsOpen)
	var rows [][]string
	for _, m := range s.Members {
		for _, t := range m.Targets {
			rows = append(rows, []string{
				string(m.Region), string(m.DataCentre), string(m.Instance), m.Status,
				fmt.Sprint(!m.PathBad), string(t.Target), string(t.Service), t.State.String(),
			})
		}
	}
	return opts.Factory.Streams.Table(
		[]string{"region", "data_centre", "instance", "status", "reachable", "target", "service", "state"}, rows)
}
