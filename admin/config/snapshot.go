package config

import (
	"context"

	"github.com/spf13/cobra"

	"chestnutlatch/cmdkit"
	"chestnutlatch/config"
)

// SnapshotOptions are the dependencies of `config snapshot`.
type SnapshotOptions struct {
	Factory *cmdkit.Factory
}

// NewCmdSnapshot returns the `config snapshot` command.
func NewCmdSnapshot(f *cmdkit.Factory, runF func(*SnapshotOptions) error) *cobra.Command {
	opts := &SnapshotOptions{Factory: f}
	return &cobra.Command{
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
	if err := config.WriteSnapshot(ctx, st, state); err != nil {
		return err
	}
	opts.Factory.Streams.Printf("snapshot of revision %d is written", state.Revision)
	return nil
}
