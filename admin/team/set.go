package team

import (
	"context"

	"github.com/spf13/cobra"

	"chestnutlatch/cmdkit"
	"chestnutlatch/ident"
	"chestnutlatch/record"
)

// SetOptions are the dependencies and flags of `team set`.
type SetOptions struct {
	Factory *cmdkit.Factory
	Write   cmdkit.WriteOptions
	ID      string
	Rate    uint32
	Burst   uint32
	Weight  uint32
	// Given reports whether a flag was given; flags not given keep the stored
	// value.
	Given func(flag string) bool
}

// NewCmdSet returns the `team set` command.
func NewCmdSet(f *cmdkit.Factory, runF func(*SetOptions) error) *cobra.Command {
	opts := &SetOptions{Factory: f}
	cmd := &cobra.Command{
		Use:     "set ID",
		Short:   "Create or change a team",
		Example: "  chestnutlatch team set fundi --rate 50 --burst 100",
		Args:    cobra.ExactArgs(1),
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
	fl.Uint32Var(&opts.Rate, "rate", 0, "requests per second across all instances")
	fl.Uint32Var(&opts.Burst, "burst", 0, "requests at once, at least 2 and a tenth of the rate")
	fl.Uint32Var(&opts.Weight, "weight", 1, "part at a full target against other teams")
	return cmd
}

func setRun(ctx context.Context, opts *SetOptions) error {
	e, err := cmdkit.NewEdit(ctx, opts.Factory, opts.Write)
	if err != nil {
		return err
	}
	t := record.Team{ID: ident.Team(opts.ID), Weight: 1}
	old, found, err := e.Current(record.KindTeam, opts.ID)
	if err != nil {
		return err
	}
	if found {
		t, _ = old.(record.Team)
	}
	if opts.Given("rate") {
		t.Rate = opts.Rate
	}
	if opts.Given("burst") {
		t.Burst = opts.Burst
	}
	if opts.Given("weight") {
		t.Weight = opts.Weight
	}
	if err := e.Put(t); err != nil {
		return err
	}
	return e.Commit(ctx)
}
