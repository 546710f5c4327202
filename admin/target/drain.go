package target

import (
	"context"

	"github.com/spf13/cobra"

	"chestnutlatch/cmdkit"
	"chestnutlatch/ident"
	"chestnutlatch/record"
)

// DrainOptions holds the dependencies and flags of `target drain` and `target
// restore`.
type DrainOptions struct {
	Factory *cmdkit.Factory
	Write   cmdkit.WriteOptions
	ID      string
	// Drain is true for `target drain` and false for `target restore`.
	Drain bool
}

// NewCmdDrain returns the `target drain` command. If runF is not nil, it is
// called with the parsed options instead of running the command.
func NewCmdDrain(f *cmdkit.Factory, runF func(*DrainOptions) error) *cobra.Command {
	return newSetDrainCmd(&DrainOptions{Factory: f, Drain: true}, "drain", "Stop sending new requests to a target", runF)
}

func newSetDrainCmd(opts *DrainOptions, verb, short string, runF func(*DrainOptions) error) *cobra.Command {
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
	edit, err := cmdkit.NewEdit(ctx, opts.Factory, opts.Write)
	if err != nil {
		return err
	}
	if err := edit.Put(record.Target{ID: ident.Target(opts.ID), Drain: opts.Drain}); err != nil {
		return err
	}
	return edit.Commit(ctx)
}
