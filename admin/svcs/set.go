package svcs

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"chestnutlatch/clock"
	"chestnutlatch/cmdkit"
	"chestnutlatch/ident"
	"chestnutlatch/record"
)

// SetOptions holds the dependencies and flags of `service set`.
type SetOptions struct {
	Factory *cmdkit.Factory
	Write   cmdkit.WriteOptions
	ID      string
	// Floor is the minimum percentage of selectable targets, 1 to 100.
	Floor uint32
	// ColdStart is how long a target is cold after its start, and ColdRate the number of
	// requests per second that it then tolerates; 0 means no limit.
	ColdStart time.Duration
	ColdRate  uint32
	// Changed reports whether a flag was set on the command line.
	Changed func(flag string) bool
}

// NewCmdSet returns the `service set` command. If runF is not nil, it is called
// with the parsed options instead of running the command.
func NewCmdSet(f *cmdkit.Factory, runF func(*SetOptions) error) *cobra.Command {
	opts := &SetOptions{Factory: f}
	cmd := &cobra.Command{
		Use:   "set ID [--floor PERCENT] [--cold-start TIME --cold-rate N]",
		Short: "Set the minimum share of selectable targets and the limit of cold targets of a service",
		Example: `  chestnutlatch service set stores --floor 60
  chestnutlatch service set stores --cold-start 20s --cold-rate 10`,
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
	cmd.Flags().Uint32Var(&opts.Floor, "floor", record.DefaultFloorPercent, "minimum percentage of selectable targets, 1 to 100")
	cmd.Flags().DurationVar(&opts.ColdStart, "cold-start", 0, "time that a target is cold after its start, up to 10m")
	cmd.Flags().Uint32Var(&opts.ColdRate, "cold-rate", 0, "requests per second that a cold target tolerates; 0 sets no limit")
	return cmd
}

func setRun(ctx context.Context, opts *SetOptions) error {
	edit, err := cmdkit.NewEdit(ctx, opts.Factory, opts.Write)
	if err != nil {
		return err
	}
	s := record.Service{ID: ident.Service(opts.ID), FloorPercent: record.DefaultFloorPercent}
	old, found, err := edit.Current(record.KindService, opts.ID)
	if err != nil {
		return err
	}
	if found {
		s, _ = old.(record.Service)
	}
	opts.applyFlags(&s)
	if err := edit.Put(s); err != nil {
		return err
	}
	return edit.Commit(ctx)
}

// applyFlags replaces the fields whose flags were set on the command line.
func (o *SetOptions) applyFlags(s *record.Service) {
	if o.Changed("floor") {
		s.FloorPercent = o.Floor
	}
	if o.Changed("cold-start") {
		s.ColdStart = clock.FromDuration(o.ColdStart)
	}
	if o.Changed("cold-rate") {
		s.ColdRate = o.ColdRate
	}
}
