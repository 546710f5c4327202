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

// SetOptions are the dependencies and flags of `route set`.
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
	// Given reports whether a flag was given; flags not given keep the stored
	// value.
	Given func(flag string) bool
}

// NewCmdSet returns the `route set` command.
func NewCmdSet(f *cmdkit.Factory, runF func(*SetOptions) error) *cobra.Command {
	opts := &SetOptions{Factory: f}
	cmd := &cobra.Command{
		Use:   "set ID",
		Short: "Create or change a route",
		Example: `  chestnutlatch route set vouchers --prefix /vouchers --service stores --one-time --priority high
  chestnutlatch route set status --timeout 2s`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			opts.ID = args[0]
			opts.Given = cmd.Flags().Changed
			if runF != nil {
				return runF(opts)
			}
			return setRun(cmd.Context(), opts)
		},
	}
	opts.Write.AddFlags(cmd)
	fl := cmd.Flags()
	fl.StringVar(&opts.Host, "host", "", "host name; empty matches every host")
	fl.StringVar(&opts.Prefix, "prefix", "", "path prefix, such as /vouchers")
	fl.StringVar(&opts.Service, "service", "", "service of the targets")
	fl.StringVar(&opts.Priority, "priority", "normal", "low, normal or high")
	fl.BoolVar(&opts.OneTime, "one-time", false, "run each action at most once")
	fl.BoolVar(&opts.Open, "open", false, "need no key")
	fl.DurationVar(&opts.Timeout, "timeout", record.DefaultTimeout.Duration(), "time limit of a request")
	return cmd
}

func setRun(ctx context.Context, opts *SetOptions) error {
	e, err := cmdkit.NewEdit(ctx, opts.Factory, opts.Write)
	if err != nil {
		return err
	}
	r := record.Route{ID: ident.Route(opts.ID), Priority: ident.PriorityNormal, Timeout: record.DefaultTimeout}
	old, found, err := e.Current(record.KindRoute, opts.ID)
	if err != nil {
		return err
	}
	if found {
		r, _ = old.(record.Route)
	}
	if err := opts.overlay(&r); err != nil {
		return err
	}
	if err := e.Put(r); err != nil {
		return err
	}
	return e.Commit(ctx)
}

// overlay replaces the fields whose flags were given.
func (o *SetOptions) overlay(r *record.Route) error {
	if o.Given("host") {
		r.Host = o.Host
	}
	if o.Given("prefix") {
		r.Prefix = o.Prefix
	}
	if o.Given("service") {
		r.Service = ident.Service(o.Service)
	}
	if o.Given("one-time") {
		r.OneTime = o.OneTime
	}
	if o.Given("open") {
		r.Open = o.Open
	}
	if o.Given("timeout") {
		r.Timeout = clock.FromDuration(o.Timeout)
	}
	if !o.Given("priority") {
		return nil
	}
	p, err := ident.PriorityString(o.Priority)
	if err != nil {
		return &cmdkit.FlagError{Flag: "priority", Remedy: "use low, normal or high"}
	}
	r.Priority = p
	return nil
}
