package svcs

import (
	"context"

	"github.com/spf13/cobra"

	"chestnutlatch/cmdkit"
	"chestnutlatch/ident"
	"chestnutlatch/record"
)

// SetOptions are the dependencies and flags of `service set`.
type SetOptions struct {
	Factory *cmdkit.Factory
	Write   cmdkit.WriteOptions
	ID      string
	Floor   uint32
}

// NewCmdSet returns the `service set` command.
func NewCmdSet(f *cmdkit.Factory, runF func(*SetOptions) error) *cobra.Command {
	opts := &SetOptions{Factory: f}
	cmd := &cobra.Command{
		Use:     "set ID --floor PERCENT",
		Short:   "Set the part of a service's targets that always stays selectable",
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
	cmd.Flags().Uint32Var(&opts.Floor, "floor", record.DefaultFloorPercent, "percent of the targets, 1 to 100")
	return cmd
}

func setRun(ctx context.Context, opts *SetOptions) error {
	e, err := cmdkit.NewEdit(ctx, opts.Factory, opts.Write)
	if err != nil {
		return err
	}
	if err := e.Put(record.Service{ID: ident.Service(opts.ID), FloorPercent: opts.Floor}); err != nil {
		return err
	}
	return e.Commit(ctx)
}
