// Package status implements the `status` command, which prints the data centres'
// reports from the store or the status of one daemon.
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

// daemonTimeout limits the status request to one daemon.
const daemonTimeout = 5 * time.Second

// Options holds the dependencies and flags of `status`.
type Options struct {
	Factory *cmdkit.Factory
	JSON    bool
	// Daemon is the operator address of one daemon as ip:port. If it is empty,
	// the command prints the reports of all data centres.
	Daemon string
}

// NewCmdStatus returns the `status` command. If runF is not nil, it is called
// with the parsed options instead of running the command.
func NewCmdStatus(f *cmdkit.Factory, runF func(*Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show the revision in force in each data centre, or the status of one daemon",
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
	cmdkit.AddJSONFlag(cmd, &opts.JSON)
	cmd.Flags().StringVar(&opts.Daemon, "daemon", "", "show the status of the daemon with this operator address, as ip:port")
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
	opts.Factory.Streams.Printf("latest revision: %d", state.Revision)
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
	ctx, cancel := context.WithTimeout(ctx, daemonTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+opts.Daemon+"/v1/status", nil)
	if err != nil {
		return &cmdkit.FlagError{Flag: "daemon", Hint: "invalid address: pass the daemon's operator address as ip:port"}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "cannot get the daemon's status: check its operator address")
	}
	defer resp.Body.Close()
	var status daemon.Status
	if err := json.NewDecoder(resp.Body).Decode(&status); err != nil {
		return errors.Wrap(err, "cannot decode the daemon's status: check its operator address")
	}
	if opts.JSON {
		return opts.Factory.Streams.JSON(status)
	}
	opts.Factory.Streams.Printf("instance %s, revision %d, %d rate slots held, %d open tickets",
		status.Instance, status.Revision, status.RateSlots, status.TicketsOpen)
	var rows [][]string
	for _, m := range status.Members {
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
