package target

import (
	"context"

	"github.com/spf13/cobra"

	"chestnutlatch/cmdkit"
	"chestnutlatch/ident"
	"chestnutlatch/record"
)

// DrainOptions are the dependencies and flags of `target drain` and `target
// restore`.
type DrainOptions struct {
	Factory *cmdkit.Factory
	Write   cmdkit.WriteOptions
	ID      string
	Drain   bool
}

// NewCmdDrain returns the `target drain` command.
func NewCmdDrain(f *cmdkit.Factory, runF func(*DrainOptions) error) *cobra.Command {
	return newCmd(&DrainOptions{Factory: f, Drain: true}, "drain", "Give a target no new work", runF)
}

func newCmd(opts *DrainOptions, verb, short string, runF func(*DrainOptions) error) *cobra.Command {
	cmd := &cobra.Command{
		Use:     verb + " ID",
		Short:   short,
		Example: "  chestnutlatch target " + verb + " stores-03",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			opts.ID = args[0]
			if runF != nil {
				return runF(opts)
			}
			return drainRun(cmd.Context(), opts)
		},
	}
	opts.Write.AddFlags(cmd)
	return cmd
}

func drainRun(ctx context.Context, opts *DrainOptions) error {
	e, err := cmdkit.NewEdit(ctx, opts.Factory, opts.Write)
	if err != nil {
		return err
	}
	if err := e.Put(record.Target{ID: ident.Target(opts.ID), Drain: opts.Drain}); err != nil {
		return err
	}
	return e.Commit(ctx)
}
