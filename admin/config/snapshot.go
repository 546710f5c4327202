package config

import (
	"context"

	"github.com/spf13/cobra"

	"chestnutlatch/cmdkit"
	"chestnutlatch/config"
)

// SnapshotOptions holds the dependencies and flags of `config snapshot`.
type SnapshotOptions struct {
	Factory *cmdkit.Factory
	DryRun  bool
}

// NewCmdSnapshot returns the `config snapshot` command. If runF is not nil, it
// is called with the parsed options instead of running the command.
func NewCmdSnapshot(f *cmdkit.Factory, runF func(*SnapshotOptions) error) *cobra.Command {
	opts := &SnapshotOptions{Factory: f}
	cmd := &cobra.Command{
		Use:     "snapshot",
		Short:   "Write a snapshot of the configuration, which loads faster than the change log",
		Example: "  chestnutlatch config snapshot",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if runF != nil {
				return runF(opts)
			}
			return snapshotRun(cmd.Context(), opts)
		},
	}
	cmd.Flags().BoolVar(&opts.DryRun, "dry-run", false, "read the change log without writing the snapshot")
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
	opts.Factory.Streams.Printf("wrote a snapshot of revision %d", state.Revision)
	return nil
}
