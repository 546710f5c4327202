package config

import (
	"context"

	"github.com/spf13/cobra"

	"chestnutlatch/cmdkit"
	"chestnutlatch/record"
)

// ExportOptions holds the dependencies of `config export`.
type ExportOptions struct {
	Factory *cmdkit.Factory
}

// NewCmdExport returns the `config export` command. If runF is not nil, it is
// called with the parsed options instead of running the command.
func NewCmdExport(f *cmdkit.Factory, runF func(*ExportOptions) error) *cobra.Command {
	opts := &ExportOptions{Factory: f}
	return &cobra.Command{
		Use:     "export",
		Short:   "Print all records in the format that `config apply` reads",
		Example: "  chestnutlatch config export > records.json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if runF != nil {
				return runF(opts)
			}
			return exportRun(cmd.Context(), opts)
		},
	}
}

func exportRun(ctx context.Context, opts *ExportOptions) error {
	state, err := cmdkit.LoadConfig(ctx, opts.Factory)
	if err != nil {
		return err
	}
	items := []fileItem{}
	for k := range record.Kind(record.KindCount) {
		for _, it := range state.List(k) {
			items = append(items, fileItem{Kind: it.Kind, ID: it.ID, Record: it.Record})
		}
	}
	return opts.Factory.Streams.JSON(items)
}
