package config

import (
	"context"

	"github.com/spf13/cobra"

	"chestnutlatch/cmdkit"
	"chestnutlatch/config"
)

// SnapshotOptions are the dependencies and flags of `config snapshot`.
type SnapshotOptions struct {
	Factory *cmdkit.Factory
	DryRun  bool
}

// NewCmdSnapshot returns the `config snapshot` command.
func NewCmdSnapshot(f *cmdkit.Factory, runF func(*SnapshotOptions) error) *cobra.Command {
	opts := &SnapshotOptions{Factory: f}
	cmd := &cobra.Command{
		Use:     "snapshot",
		Short:   "Fold the log into a snapshot, so that it is read faster",
		Example: "  chestnutlatch config snapshot",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if runF != nil {
				return runF(opts)
			}
			return snapshotRun(cmd.Context(), opts)
		},
	}
	cmd.Flags().BoolVar(&opts.DryRun, "dry-run", false, "read and fold the log without writing")
	return cmd
}

func snapshotRun(ctx context.Context, opts *SnapshotOptions) error {
	st, err := opts.Factory.Store()
	if err != nil {
		return err
	}
	state, err := config.Load(ctx, st)
	if err != nil {
		return err
	}
	if opts.DryRun {
		opts.Factory.Streams.Printf("dry run: a snapshot of revision %d would be written", state.Revision)
		return nil
	}
	if err := config.WriteSnapshot(ctx, st, state); err != nil {
		return err
	}
	opts.Factory.Streams.Printf("snapshot of revision %d is written", state.Revision)
	return nil
}
