package svcs

import (
	"context"

	"github.com/spf13/cobra"

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
}

// NewCmdSet returns the `service set` command. If runF is not nil, it is called
// with the parsed options instead of running the command.
func NewCmdSet(f *cmdkit.Factory, runF func(*SetOptions) error) *cobra.Command {
	opts := &SetOptions{Factory: f}
	cmd := &cobra.Command{
		Use:     "set ID --floor PERCENT",
		Short:   "Set the minimum share of a service's targets that stays selectable",
		Example: "  chestnutlatch service set stores --floor 60",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			opts.ID = args[0]
			if runF != nil {
				return runF(opts)
			}
			return setRun(cmd.Context(), opts)
		},
	}
	opts.Write.AddFlags(cmd)
	cmd.Flags().Uint32Var(&opts.Floor, "floor", record.DefaultFloorPercent, "minimum percentage of selectable targets, 1 to 100")
	return cmd
}

func setRun(ctx context.Context, opts *SetOptions) error {
	edit, err := cmdkit.NewEdit(ctx, opts.Factory, opts.Write)
	if err != nil {
		return err
	}
	if err := edit.Put(record.Service{ID: ident.Service(opts.ID), FloorPercent: opts.Floor}); err != nil {
		return err
	}
	return edit.Commit(ctx)
}
