package team

import (
	"context"

	"github.com/spf13/cobra"

	"chestnutlatch/cmdkit"
	"chestnutlatch/ident"
	"chestnutlatch/record"
)

// SetOptions holds the dependencies and flags of `team set`.
type SetOptions struct {
	Factory *cmdkit.Factory
	Write   cmdkit.WriteOptions
	ID      string
	// Rate is in requests per second, summed over all instances.
	Rate uint32
	// Burst is the number of requests that the team may send at once.
	Burst uint32
	// Weight is the team's share of a fully loaded target, relative to the
	// weights of the other teams.
	Weight uint32
	// Regions are the regions in which the team's requests may be served.
	Regions cmdkit.RegionsFlag
	// Changed reports whether the command line set a flag. The stored record
	// keeps the values of the other flags.
	Changed func(flag string) bool
}

// NewCmdSet returns the `team set` command. If runF is not nil, it is called
// with the parsed options instead of running the command.
func NewCmdSet(f *cmdkit.Factory, runF func(*SetOptions) error) *cobra.Command {
	opts := &SetOptions{Factory: f}
	cmd := &cobra.Command{
		Use:     "set ID",
		Short:   "Create or change a team",
		Example: "  chestnutlatch team set fundi --rate 50 --burst 100",
		Args:    cobra.ExactArgs(1),
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
	flags.Uint32Var(&opts.Rate, "rate", 0, "requests per second over all instances")
	flags.Uint32Var(&opts.Burst, "burst", 0, "maximum number of requests in a burst; at least 2, and at least a tenth of the rate")
	opts.Regions.AddFlag(cmd)
	flags.Uint32Var(&opts.Weight, "weight", 1, "share of a fully loaded target, relative to the weights of the other teams")
	return cmd
}

func setRun(ctx context.Context, opts *SetOptions) error {
	edit, err := cmdkit.NewEdit(ctx, opts.Factory, opts.Write)
	if err != nil {
		return err
	}
	t := record.Team{ID: ident.Team(opts.ID), Weight: 1}
	old, found, err := edit.Current(record.KindTeam, opts.ID)
	if err != nil {
		return err
	}
	if found {
		t, _ = old.(record.Team)
	}
	if opts.Changed("rate") {
		t.Rate = opts.Rate
	}
	if opts.Changed("burst") {
		t.Burst = opts.Burst
	}
	if opts.Changed("weight") {
		t.Weight = opts.Weight
	}
	if opts.Changed(cmdkit.RegionsFlagName) {
		t.Regions = opts.Regions.Regions()
	}
	if err := edit.Put(t); err != nil {
		return err
	}
	return edit.Commit(ctx)
}
