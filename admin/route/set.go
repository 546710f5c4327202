package route

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"chestnutlatch/clock"
	"chestnutlatch/cmdkit"
	"chestnutlatch/ident"
	"chestnutlatch/record"
)

// SetOptions holds the dependencies and flags of `route set`.
type SetOptions struct {
	Factory  *cmdkit.Factory
	Write    cmdkit.WriteOptions
	ID       string
	Host     string
	Prefix   string
	Service  string
	Priority string
	OneTime  bool
	Open     bool
	Timeout  time.Duration
	Regions  cmdkit.RegionsFlag
	// Changed reports whether the command line set a flag. The stored record
	// keeps the values of the other flags.
	Changed func(flag string) bool
}

// NewCmdSet returns the `route set` command. If runF is not nil, it is called
// with the parsed options instead of running the command.
func NewCmdSet(f *cmdkit.Factory, runF func(*SetOptions) error) *cobra.Command {
	opts := &SetOptions{Factory: f}
	cmd := &cobra.Command{
		Use:   "set ID",
		Short: "Create or change a route",
		Example: `  chestnutlatch route set vouchers --prefix /vouchers --service stores --one-time --priority high
  chestnutlatch route set status --timeout 2s --regions north,south`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			opts.ID = args[0]
			opts.Changed = cmd.Flags().Changed
			if runF != nil {
				return runF(opts)
			}
			return setRun(cmd.Context(), opts)
		},
	}
	opts.Write.AddFlags(cmd)
	flags := cmd.Flags()
	flags.StringVar(&opts.Host, "host", "", "host name to match; empty matches every host")
	flags.StringVar(&opts.Prefix, "prefix", "", "path prefix to match, such as /vouchers")
	flags.StringVar(&opts.Service, "service", "", "service that receives the requests")
	flags.StringVar(&opts.Priority, "priority", "normal", "priority of the requests: low, normal or high")
	flags.BoolVar(&opts.OneTime, "one-time", false, "run each action at most once")
	flags.BoolVar(&opts.Open, "open", false, "accept requests without a key")
	opts.Regions.AddFlag(cmd)
	flags.DurationVar(&opts.Timeout, "timeout", record.DefaultTimeout.Duration(), "time limit of a request")
	return cmd
}

func setRun(ctx context.Context, opts *SetOptions) error {
	edit, err := cmdkit.NewEdit(ctx, opts.Factory, opts.Write)
	if err != nil {
		return err
	}
	r := record.Route{ID: ident.Route(opts.ID), Priority: ident.PriorityNormal, Timeout: record.DefaultTimeout}
	old, found, err := edit.Current(record.KindRoute, opts.ID)
	if err != nil {
		return err
	}
	if found {
		r, _ = old.(record.Route)
	}
	if err := opts.applyFlags(&r); err != nil {
		return err
	}
	if err := edit.Put(r); err != nil {
		return err
	}
	return edit.Commit(ctx)
}

// applyFlags replaces the fields whose flags were set on the command line.
func (o *SetOptions) applyFlags(r *record.Route) error {
	if o.Changed("host") {
		r.Host = o.Host
	}
	if o.Changed("prefix") {
		r.Prefix = o.Prefix
	}
	if o.Changed("service") {
		r.Service = ident.Service(o.Service)
	}
	if o.Changed("one-time") {
		r.OneTime = o.OneTime
	}
	if o.Changed("open") {
		r.Open = o.Open
	}
	if o.Changed("timeout") {
		r.Timeout = clock.FromDuration(o.Timeout)
	}
	if o.Changed(cmdkit.RegionsFlagName) {
		r.Regions = o.Regions.Regions()
	}
	if !o.Changed("priority") {
		return nil
	}
	p, err := ident.PriorityString(o.Priority)
	if err != nil {
		return &cmdkit.FlagError{Flag: "priority", Hint: "unknown priority: use low, normal or high"}
	}
	r.Priority = p
	return nil
}
